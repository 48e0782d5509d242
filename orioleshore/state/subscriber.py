"""Task that keeps the newest known configuration of a process."""

import functools
import logging
import pathlib
from typing import Any

import msgspec
from result import Ok

from orioleshore.membership import events as membership_events
from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.tasks import mailbox
from orioleshore.tasks import publisher
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 256
RENEW = ids.TimerId('subscription-renew')
# Also bounds how long a subscriber stays with a control member that is gone.
RENEW_S = 0.5
CACHE_NAME = 'configuration'


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A newer version is in force at this process."""

    version: ids.Version
    document: documents.Document


class ControlMembers(msgspec.Struct, frozen=True):
    """Tells the inner addresses of the control members."""

    addresses: tuple[str, ...]


class GetSubscriberStatus(msgspec.Struct, frozen=True):
    """Asks for the version in force and the highest one known anywhere."""

    answer: reply.Reply


class Cached(msgspec.Struct, frozen=True):
    """The configuration as the data folder of an entry host keeps it."""

    version: ids.Version
    document: documents.Document


class Holder:
    """Decides which updates to take; versions never go back."""

    def __init__(self) -> None:
        self._version = ids.Version(0)
        self._highest_known = ids.Version(0)
        self._document = documents.Document()

    @property
    def version(self) -> ids.Version:
        return self._version

    @property
    def highest_known(self) -> ids.Version:
        return self._highest_known

    @property
    def document(self) -> documents.Document:
        return self._document

    def restore(self, cached: Cached) -> None:
        """Take the configuration that an earlier run of a process kept."""
        self._version = cached.version
        self._highest_known = cached.version
        self._document = cached.document

    def observe_version(self, version: ids.Version) -> None:
        """Remember the highest version in force anywhere."""
        self._highest_known = max(self._highest_known, version)

    def take(
        self,
        from_version: ids.Version,
        to_version: ids.Version,
        edits: tuple[changes.Edit, ...],
        full: bool,
    ) -> bool:
        """Apply an update; return whether it was newer and complete."""
        if to_version <= self._version or to_version < self._highest_known:
            return False
        if full:
            self._document = changes.apply_delta(documents.Document(), edits)
        elif from_version <= self._version:
            self._document = changes.apply_delta(self._document, edits)
        else:
            return False
        self._version = to_version
        self.observe_version(to_version)
        return True


class Subscriber(task.Task):
    """Subscribes at one control member at a time."""

    def __init__(
        self,
        sections: frozenset[changes.Section],
        addresses: tuple[str, ...],
        sender: mailbox.Mailbox,
        timers: service.TimerService,
        listeners: tuple[mailbox.Mailbox, ...],
        cache_folder: str | None = None,
    ) -> None:
        super().__init__(mailbox.Mailbox('subscriber', MAILBOX_CAPACITY))
        self._sections = sections
        self._addresses = list(addresses)
        self._position = 0
        self._sender = sender
        self._timers = timers
        self._publisher = publisher.Publisher(listeners)
        self._cache_folder = cache_folder
        self._holder = Holder()

    def add_listener(self, listener: mailbox.Mailbox) -> None:
        """Tell one more task about newer versions."""
        self._publisher.add(listener)

    async def open(self) -> None:
        """Load the kept configuration and start to subscribe."""
        if self._cache_folder is not None:
            self._load()
        self._timers.subscribe_every(self.mailbox, RENEW, RENEW_S)
        self._subscribe()

    async def close(self) -> None:
        """Stop to subscribe."""
        self._timers.cancel(self.mailbox, RENEW)

    async def handle(self, message: Any) -> None:
        """Handle an update, a version at a peer or the renewal."""
        _take(message, self)

    def _subscribe(self) -> None:
        if not self._addresses:
            return
        self._position = (self._position + 1) % len(self._addresses)
        message = messages.Subscribe(
            self._holder.version,
            tuple(section.value for section in self._sections),
        )
        address = self._addresses[self._position]
        self._sender.put(transport.SendTo(address, message))

    def _update(self, received: messages.Received) -> None:
        delta = received.message
        edits = msgspec.msgpack.decode(
            delta.edits, type=tuple[changes.Edit, ...]
        )
        taken = self._holder.take(
            delta.from_version, delta.to_version, edits, delta.full
        )
        if taken:
            self._keep()
            self._publish()
        report = messages.VersionReport(self._holder.version)
        self._sender.put(
            transport.SendTo(received.header.reply_address, report)
        )

    def _publish(self) -> None:
        LOG.info(
            logs.format_event('version_in_force', version=self._holder.version)
        )
        change = ConfigurationChanged(
            self._holder.version, self._holder.document
        )
        self._publisher.publish(change)

    def _load(self) -> None:
        path = pathlib.Path(self._cache_folder) / CACHE_NAME
        if not path.exists():
            return
        try:
            cached = msgspec.msgpack.decode(path.read_bytes(), type=Cached)
        except msgspec.MsgspecError as error:
            LOG.warning(
                logs.format_event('cache_ignored', path=path, error=error)
            )
            return
        self._holder.restore(cached)
        self._publish()

    def _keep(self) -> None:
        """Write the cache; losing it costs time, not correctness."""
        if self._cache_folder is None:
            return
        path = pathlib.Path(self._cache_folder) / CACHE_NAME
        temporary = path.with_suffix('.tmp')
        content = Cached(self._holder.version, self._holder.document)
        try:
            temporary.write_bytes(msgspec.msgpack.encode(content))
            temporary.replace(path)
        except OSError as error:
            LOG.warning(
                logs.format_event('cache_not_written', path=path, error=error)
            )


@functools.singledispatch
def _take(message: Any, subscriber: Subscriber) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_take.register
def _(message: messages.Received, subscriber: Subscriber) -> None:
    subscriber._update(message)


@_take.register
def _(message: service.TimerFired, subscriber: Subscriber) -> None:
    subscriber._publisher.deliver()
    subscriber._subscribe()


@_take.register
def _(message: ControlMembers, subscriber: Subscriber) -> None:
    subscriber._addresses = list(message.addresses)


@_take.register
def _(message: membership_events.PeersChanged, subscriber: Subscriber) -> None:
    for peer in message.peers.values():
        subscriber._holder.observe_version(peer.version)


@_take.register
def _(message: GetSubscriberStatus, subscriber: Subscriber) -> None:
    holder = subscriber._holder
    message.answer.resolve(
        Ok({'version': holder.version, 'highest_known': holder.highest_known})
    )
