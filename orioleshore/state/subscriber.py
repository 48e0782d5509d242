"""Task that keeps the configuration of a process up to date."""

import functools
import logging
import pathlib
from typing import Any

import msgspec
from result import Ok

from orioleshore.membership import events as membership_events
from orioleshore.model import changes
from orioleshore.model import decoding
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
RENEWAL_TIMER = ids.TimerId('subscription-renew')
# Each renewal goes to the next control member, so this also limits how long
# a subscriber depends on a member that failed.
RENEWAL_PERIOD_S = 0.5
CACHE_FILE_NAME = 'configuration'


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A newer version is in force at this process."""

    version: ids.Version
    document: documents.Document


class ControlMembers(msgspec.Struct, frozen=True):
    """The internal addresses of the control members changed."""

    addresses: tuple[str, ...]


class GetSubscriberStatus(msgspec.Struct, frozen=True):
    """Request for the version in force and the highest known version."""

    answer: reply.Reply


class CachedConfiguration(msgspec.Struct, frozen=True):
    """The configuration as cached in the data folder of an entry host."""

    version: ids.Version
    document: documents.Document


_EDITS_DECODER = decoding.make_msgpack_decoder(
    tuple[changes.Edit, ...], decoding.UNLIMITED_BYTES
)
_CACHE_DECODER = decoding.make_msgpack_decoder(
    CachedConfiguration, decoding.UNLIMITED_BYTES
)


class CurrentConfiguration:
    """Configuration in force; its version never decreases."""

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

    def restore_cached(self, cached: CachedConfiguration) -> None:
        """Restore the configuration that an earlier run cached."""
        self._version = cached.version
        self._highest_known = cached.version
        self._document = cached.document

    def observe_version(self, version: ids.Version) -> None:
        """Record a version that is in force at some process."""
        self._highest_known = max(self._highest_known, version)

    def apply_update(
        self,
        from_version: ids.Version,
        to_version: ids.Version,
        edits: tuple[changes.Edit, ...],
        full: bool,
    ) -> bool:
        """Apply an update if it is newer and its base version is known.

        Returns whether it was applied.
        """
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
    """Subscribes to configuration updates at the control members in turn."""

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
        self._address_index = 0
        self._sender = sender
        self._timers = timers
        self._publisher = publisher.Publisher(listeners)
        self._cache_folder = cache_folder
        self._configuration = CurrentConfiguration()

    def add_listener(self, listener: mailbox.Mailbox) -> None:
        """Add a task that is notified of newer versions."""
        self._publisher.add_listener(listener)

    async def open(self) -> None:
        """Load the cached configuration and start subscribing."""
        if self._cache_folder is not None:
            self._load_cache()
        self._timers.subscribe_every(
            self.mailbox, RENEWAL_TIMER, RENEWAL_PERIOD_S
        )
        self._subscribe()

    async def close(self) -> None:
        """Stop renewing the subscription."""
        self._timers.cancel(self.mailbox, RENEWAL_TIMER)

    async def handle(self, message: Any) -> None:
        """Handle an update, a membership change, the timer or a request."""
        _handle_message(message, self)

    def _subscribe(self) -> None:
        if not self._addresses:
            return
        self._address_index = (self._address_index + 1) % len(self._addresses)
        message = messages.Subscribe(
            self._configuration.version,
            tuple(section.value for section in self._sections),
        )
        address = self._addresses[self._address_index]
        self._sender.put(transport.SendTo(address, message))

    def _handle_update(self, received: messages.Received) -> None:
        update = received.message
        try:
            is_applied = self._configuration.apply_update(
                update.from_version,
                update.to_version,
                _EDITS_DECODER.decode(update.edits),
                update.full,
            )
        except decoding.DecodingError as error:
            # Without one of its items, a version would not be what was
            # accepted. Without a report, the sender repeats the update.
            LOG.warning(
                logs.format_event(
                    'update_unreadable',
                    sender=received.header.sender,
                    error=error,
                )
            )
            return
        if is_applied:
            self._write_cache()
            self._publish_change()
        report = messages.VersionReport(self._configuration.version)
        self._sender.put(
            transport.SendTo(received.header.reply_address, report)
        )

    def _publish_change(self) -> None:
        LOG.info(
            logs.format_event(
                'version_in_force', version=self._configuration.version
            )
        )
        change = ConfigurationChanged(
            self._configuration.version, self._configuration.document
        )
        self._publisher.publish(change)

    def _load_cache(self) -> None:
        path = pathlib.Path(self._cache_folder) / CACHE_FILE_NAME
        if not path.exists():
            return
        try:
            cached = _CACHE_DECODER.decode(path.read_bytes())
        except (OSError, decoding.DecodingError) as error:
            LOG.warning(
                logs.format_event('cache_ignored', path=path, error=error)
            )
            return
        self._configuration.restore_cached(cached)
        self._publish_change()

    def _write_cache(self) -> None:
        """Write the cache file.

        A failure is only logged: without the file, the next start waits
        for the configuration from a control member.
        """
        if self._cache_folder is None:
            return
        path = pathlib.Path(self._cache_folder) / CACHE_FILE_NAME
        temporary = path.with_suffix('.tmp')
        content = CachedConfiguration(
            self._configuration.version, self._configuration.document
        )
        try:
            temporary.write_bytes(msgspec.msgpack.encode(content))
            temporary.replace(path)
        except OSError as error:
            LOG.warning(
                logs.format_event('cache_not_written', path=path, error=error)
            )


@functools.singledispatch
def _handle_message(message: Any, subscriber: Subscriber) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: messages.Received, subscriber: Subscriber) -> None:
    subscriber._handle_update(message)


@_handle_message.register
def _(message: service.TimerFired, subscriber: Subscriber) -> None:
    subscriber._publisher.deliver_pending()
    subscriber._subscribe()


@_handle_message.register
def _(message: ControlMembers, subscriber: Subscriber) -> None:
    subscriber._addresses = list(message.addresses)


@_handle_message.register
def _(message: membership_events.PeersChanged, subscriber: Subscriber) -> None:
    for peer in message.peers.values():
        subscriber._configuration.observe_version(peer.version)


@_handle_message.register
def _(message: GetSubscriberStatus, subscriber: Subscriber) -> None:
    configuration = subscriber._configuration
    message.answer.resolve(
        Ok(
            {
                'version': configuration.version,
                'highest_known': configuration.highest_known,
            }
        )
    )
