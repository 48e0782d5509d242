"""A loopback TCP proxy that delays, drops or resets traffic."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536
DELAY_S = 0.3


class Fault(enum.Enum):
    """Fault that the proxy applies to its traffic."""

    NONE = 'none'
    DELAY = 'delay'
    # Resets open and new connections.
    RESET = 'reset'
    # Drops data in both directions; connections stay open.
    SILENCE = 'silence'
    # Forwards requests and drops responses.
    ONE_WAY = 'one_way'


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.fault = Fault.NONE
        self._host = host
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def url(self) -> str:
        port = self._server.sockets[0].getsockname()[1]
        return f'http://{self._host}:{port}'

    async def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        self._server = await asyncio.start_server(
            self._handle_connection, self._host, 0
        )

    async def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        self._abort_connections()

    def set_fault(self, fault: Fault) -> None:
        """Set the fault; RESET also aborts open connections."""
        self.fault = fault
        if fault is Fault.RESET:
            self._abort_connections()

    def _abort_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        inner = None
        try:
            if self.fault is Fault.RESET:
                return
            inner_reader, inner = await asyncio.open_connection(*self._target)
            self._writers.add(inner)
            await asyncio.gather(
                self._copy_bytes(reader, inner, is_answer=False),
                self._copy_bytes(inner_reader, writer, is_answer=True),
            )
        except OSError:
            # The target is down, or the fault ended the connection.
            return
        finally:
            for end in (writer, inner):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is Fault.DELAY:
                await asyncio.sleep(DELAY_S)
            is_lost = self.fault is Fault.SILENCE or (
                self.fault is Fault.ONE_WAY and is_answer
            )
            if not is_lost:
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
