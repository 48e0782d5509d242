"""Delivery of messages to tasks whose mailboxes are full."""

from orioleshore.tasks import mailbox
from orioleshore.tasks import publisher
from orioleshore.tests import support


def test_full_listener_receives_newest_message_later():
    """Guards against a task that uses an outdated configuration forever."""

    async def check():
        full = mailbox.Mailbox('full', 1)
        free = mailbox.Mailbox('free', 4)
        config_publisher = publisher.Publisher((full, free))
        full.put('work')
        config_publisher.publish('version 1')
        config_publisher.publish('version 2')
        assert await full.get() == 'work'
        config_publisher.deliver_pending()
        config_publisher.deliver_pending()
        assert (await full.get(), len(full)) == ('version 2', 0)
        assert [await free.get() for _ in range(2)] == [
            'version 1',
            'version 2',
        ]
        assert not len(free)

    support.run(check())
