"""Delivery of the newest news to tasks whose mailboxes may be full."""

from typing import Any

from orioleshore.tasks import mailbox


class Publisher:
    """Gives each listener the newest message, later if it must be.

    The owner calls ``deliver`` from time to time, so that a listener that
    was overloaded does not act on old news for ever.
    """

    def __init__(self, listeners: tuple[mailbox.Mailbox, ...]) -> None:
        self._listeners = listeners
        self._undelivered: list[mailbox.Mailbox] = []
        self._message: Any = None

    def add(self, listener: mailbox.Mailbox) -> None:
        """Include one more listener from the next message on."""
        self._listeners = (*self._listeners, listener)

    def publish(self, message: Any) -> None:
        """Replace the message of before, and deliver to all listeners."""
        self._message = message
        self._undelivered = list(self._listeners)
        self.deliver()

    def deliver(self) -> None:
        """Deliver to the listeners whose mailboxes were full."""
        self._undelivered = [
            listener
            for listener in self._undelivered
            if listener.put(self._message).is_err()
        ]
