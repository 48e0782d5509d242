"""The outgoing connection to one peer, with its bounded queue of frames."""

import asyncio
from collections.abc import Callable
import logging
import random
import socket

import msgspec

from orioleshore.model import addresses
from orioleshore.model import ids
from orioleshore.protocol import tls
from orioleshore.tasks import background
from orioleshore.tasks import mailbox
from orioleshore.telemetry import logs
from orioleshore.timers import clock

LOG = logging.getLogger(__name__)

QUEUE_CAPACITY = 1_024
CONNECT_TIMEOUT_S = 1.0
# Seconds after which an unanswered attempt to connect is joined by another
# one. The kernel repeats a lost opening packet only after a second, and
# callers wait while hosts that lost power come back.
ATTEMPT_INTERVAL_S = 0.25
# Pause after a refused connection: the process of the peer is starting.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.25
# A blocked or disconnected peer must not hold a frame for longer than an
# election takes.
WRITE_TIMEOUT_S = 2.0
# Probes, heartbeats and calls are sent again, so old frames would only delay
# newer ones after an outage.
MAX_FRAME_AGE_S = 2.0
# TCP closes a connection whose data is not acknowledged for this long.
# Shorter than the time for which callers wait.
TCP_USER_TIMEOUT_MS = 1_500
# Longer than it takes to probe 200 peers in turn, because each new TLS
# connection costs both ends milliseconds of CPU time.
IDLE_TIMEOUT_S = 600.0


class _QueuedFrame(msgspec.Struct, frozen=True):
    """A frame, with the monotonic time at which it was queued."""

    queued_at: float
    frame: bytes


class Connection:
    """Writes frames to one address and reconnects after failures.

    It ends after ``IDLE_TIMEOUT_S`` without frames and then calls ``on_end``.
    """

    def __init__(
        self,
        address: addresses.Address,
        tls_contexts: tls.TlsContexts | None,
        on_end: Callable[[], object],
    ) -> None:
        self._address = address
        self._tls_contexts = tls_contexts
        self._on_end = on_end
        self._frames: mailbox.Mailbox[_QueuedFrame] = mailbox.Mailbox(
            f'peer {_format_address(address)}',
            QUEUE_CAPACITY,
            mailbox.Overflow.DROP_OLDEST,
        )
        self._expired_frames = 0
        self._is_ended = False
        self._is_connected = False
        # Incarnation of the peer when it last opened a connection.
        self._peer_incarnation: ids.Incarnation | None = None
        # Set when the peer was heard from, so that a new connection is likely
        # to succeed.
        self._peer_heard = asyncio.Event()
        self._task = background.start_task(
            self._run_connection(), self._frames.name, self._end_after_error
        )

    @property
    def is_ended(self) -> bool:
        return self._is_ended

    @property
    def queue_length(self) -> int:
        return len(self._frames)

    @property
    def dropped_frames(self) -> int:
        return self._frames.dropped + self._expired_frames

    def put(self, frame: bytes) -> None:
        """Queue a frame; a full queue drops its oldest frame."""
        self._frames.put(_QueuedFrame(clock.read_monotonic(), frame))

    def handle_contact(self, incarnation: ids.Incarnation) -> None:
        """Connect again at once: the peer has just opened a connection.

        An attempt or a pause that began while the host was unreachable would
        delay the first reply by up to two seconds. An established connection
        is kept unless the peer has restarted since, because both ends would
        otherwise replace their connections in turn.
        """
        known, self._peer_incarnation = self._peer_incarnation, incarnation
        has_restarted = known is not None and known != incarnation
        if has_restarted or not self._is_connected:
            self._peer_heard.set()

    async def stop(self) -> None:
        """Close the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def _end_after_error(self, error: BaseException) -> None:
        """Let the next frame open a new connection."""
        self._is_ended = True
        self._on_end()

    async def _run_connection(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            frame = await self._wait_for_frame()
            if frame is None:
                break
            streams = await self._connect_when_heard()
            if streams is None:
                was_heard = await self._wait_until_heard(
                    backoff_s * random.uniform(0.5, 1.0)
                )
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                if was_heard:
                    backoff_s = MIN_BACKOFF_S
                continue
            backoff_s = MIN_BACKOFF_S
            reader, writer = streams
            self._is_connected = True
            try:
                await self._write_until_closed(reader, writer, frame)
            finally:
                self._is_connected = False
                # A graceful close would wait indefinitely for a peer that
                # does not read, and keep the bytes buffered for it.
                writer.transport.abort()
        self._is_ended = True
        self._on_end()

    async def _connect_when_heard(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connect; begin again if the peer is heard from meanwhile."""
        self._peer_heard.clear()
        attempt = asyncio.create_task(self._connect())
        heard = asyncio.create_task(self._peer_heard.wait())
        try:
            await asyncio.wait(
                (attempt, heard), return_when=asyncio.FIRST_COMPLETED
            )
            if attempt.done():
                return attempt.result()
        finally:
            heard.cancel()
            attempt.cancel()
        self._peer_heard.clear()
        return await self._connect()

    async def _wait_until_heard(self, limit_s: float) -> bool:
        """Wait until the peer is heard from; return False after the limit."""
        try:
            async with asyncio.timeout(limit_s):
                return await self._peer_heard.wait()
        except TimeoutError:
            return False

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Return the streams of the first attempt that ends, None if it fails.

        Further attempts begin while the first ones are not answered.
        """
        attempts: list[asyncio.Task] = []
        started_at = clock.read_monotonic()
        try:
            while True:
                attempts.append(asyncio.create_task(self._open_streams()))
                age_s = clock.read_monotonic() - started_at
                is_last = age_s + ATTEMPT_INTERVAL_S >= CONNECT_TIMEOUT_S
                done, _ = await asyncio.wait(
                    attempts,
                    timeout=None if is_last else ATTEMPT_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    return _get_first_streams(attempts)
        except asyncio.CancelledError:
            unused = _get_first_streams(attempts)
            if unused is not None:
                unused[1].transport.abort()
            raise
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _open_streams(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            context = (
                self._tls_contexts and self._tls_contexts.get_client_context()
            )
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                streams = await asyncio.open_connection(
                    *self._address, ssl=context
                )
            streams[1].get_extra_info('socket').setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )
            return streams
        except (OSError, TimeoutError) as error:
            self._log_failure('peer_unreachable', error, logging.DEBUG)
            return None

    async def _write_until_closed(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        frame: _QueuedFrame,
    ) -> None:
        """Write frames until the connection ends or the peer restarts."""
        write_task = asyncio.create_task(self._write_frames(writer, frame))
        # The peer sends nothing on this connection, so the read returns only
        # when the peer closes it; the next frame uses a new connection.
        read_task = asyncio.create_task(reader.read(1))
        heard_task = asyncio.create_task(self._peer_heard.wait())
        tasks = (write_task, read_task, heard_task)
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for item in tasks:
                item.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for finished_task in done:
            error = finished_task.exception()
            if error is None:
                continue
            if not isinstance(error, (OSError, TimeoutError)):
                raise error
            self._log_failure('peer_connection_lost', error, logging.INFO)

    async def _write_frames(
        self, writer: asyncio.StreamWriter, frame: _QueuedFrame | None
    ) -> None:
        """Write frames until none was queued for ``IDLE_TIMEOUT_S``."""
        while frame is not None:
            if self._is_fresh(frame):
                writer.write(frame.frame)
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await writer.drain()
            frame = await self._wait_for_frame()

    async def _wait_for_frame(self) -> _QueuedFrame | None:
        """Return the next frame, or None after ``IDLE_TIMEOUT_S``."""
        queued_frame = self._frames.get_nowait()
        if queued_frame is not None:
            return queued_frame
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                return await self._frames.get()
        except TimeoutError:
            return None

    def _is_fresh(self, queued_frame: _QueuedFrame) -> bool:
        age_s = clock.read_monotonic() - queued_frame.queued_at
        if age_s <= MAX_FRAME_AGE_S:
            return True
        self._expired_frames += 1
        return False

    def _log_failure(
        self, event: str, error: BaseException, level: int
    ) -> None:
        text = str(error) or type(error).__name__
        LOG.log(
            level,
            logs.format_event(
                event, address=_format_address(self._address), error=text
            ),
        )


def _format_address(address: addresses.Address) -> str:
    return f'{address.host}:{address.port}'


def _get_first_streams(
    attempts: list[asyncio.Task],
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Return one connection of the finished attempts; abort the others."""
    first = None
    for attempt in attempts:
        streams = attempt.result() if attempt.done() else None
        if streams is None:
            continue
        if first is None:
            first = streams
        else:
            streams[1].transport.abort()
    return first
