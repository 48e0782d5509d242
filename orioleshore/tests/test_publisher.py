"""Delivery of news to tasks whose mailboxes are full."""

from orioleshore.tasks import mailbox
from orioleshore.tasks import publisher
from orioleshore.tests import support


def test_full_listener_gets_the_newest_news_later():
    """Guards against a task that acts on an old configuration for ever."""

    async def go():
        full = mailbox.Mailbox('full', 1)
        free = mailbox.Mailbox('free', 4)
        news = publisher.Publisher((full, free))
        full.put('work')
        news.publish('version 1')
        news.publish('version 2')
        assert await full.get() == 'work'
        news.deliver()
        news.deliver()
        assert (await full.get(), len(full)) == ('version 2', 0)
        assert [await free.get() for _ in range(2)] == [
            'version 1',
            'version 2',
        ]
        assert not len(free)

    support.run(go())
