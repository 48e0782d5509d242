"""Delivery of the newest message to tasks whose mailboxes may be full."""

from typing import Any

from orioleshore.tasks import mailbox


class Publisher:
    """Delivers the newest message to each listener, with retries.

    A listener whose mailbox is full stays pending. The owner calls
    ``deliver_pending`` periodically, so that an overloaded listener does not
    keep acting on an outdated message. Older messages are not redelivered.
    """

    def __init__(self, listeners: tuple[mailbox.Mailbox, ...]) -> None:
        self._listeners = listeners
        self._pending: list[mailbox.Mailbox] = []
        self._message: Any = None

    def add_listener(self, listener: mailbox.Mailbox) -> None:
        """Add a listener for all further messages."""
        self._listeners = (*self._listeners, listener)

    def publish(self, message: Any) -> None:
        """Replace the previous message and deliver to all listeners."""
        self._message = message
        self._pending = list(self._listeners)
        self.deliver_pending()

    def deliver_pending(self) -> None:
        """Retry delivery to the listeners whose mailboxes were full."""
        self._pending = [
            listener
            for listener in self._pending
            if listener.put(self._message).is_err()
        ]
