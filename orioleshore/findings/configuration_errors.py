"""Why a configuration of queues, pools and organisations is refused.

The receiving side and the check before sending both use this module, so that
they agree.
"""

from collections.abc import Iterator
from collections.abc import Sequence

from orioleshore.findings import words as vocabulary
from orioleshore.jobs import specs
from orioleshore.model import findings
from orioleshore.model import ids


def find_errors(
    configuration: specs.Configuration,
    timeouts_ms: Sequence[int] = (),
    words: vocabulary.Words = vocabulary.PLAIN_WORDS,
) -> Iterator[findings.Finding]:
    """Yield every inconsistency for which a configuration is refused.

    ``timeouts_ms`` are the timeouts of the queues in their order, in
    milliseconds, empty if the form has none.
    """
    yield from _find_queue_errors(configuration, timeouts_ms, words)
    yield from _find_organisation_errors(configuration, words)
    if configuration.version < 1:
        yield findings.Finding(
            findings.Kind.INVALID_VERSION,
            '$.version',
            'the version is not positive',
            'set it above the version in force',
        )


def _find_queue_errors(
    configuration: specs.Configuration,
    timeouts_ms: Sequence[int],
    words: vocabulary.Words,
) -> Iterator[findings.Finding]:
    pools = {pool.name for pool in configuration.pools}
    taken = set()
    for position, queue in enumerate(configuration.queues):
        place = f'$.{words.queues}[{position}]'
        if queue.pool not in pools:
            yield findings.Finding(
                findings.Kind.UNKNOWN_NAME,
                f'{place}.{words.pool}',
                f'{words.queue} {queue.name!r} names the unknown '
                f'{words.pool} {queue.pool!r}',
                f'add it to {words.pools}, or name one that is listed there',
            )
        if position < len(timeouts_ms) and timeouts_ms[position] <= 0:
            yield findings.Finding(
                findings.Kind.INVALID_TIMEOUT,
                f'{place}.{words.timeout}',
                f'{words.queue} {queue.name!r} has no positive timeout',
                'set a number of milliseconds above 0',
            )
        if (queue.host, queue.prefix) in taken:
            yield findings.Finding(
                findings.Kind.DUPLICATE_PREFIX,
                f'{place}.{words.prefix}',
                f'another {words.queue} has the host and prefix of '
                f'{queue.name!r}',
                f'remove one {words.queue}, or change its prefix',
            )
        taken.add((queue.host, queue.prefix))


def _find_organisation_errors(
    configuration: specs.Configuration, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    names: set[ids.OrganisationId] = set()
    keys: set[ids.ApiKey] = set()
    for position, organisation in enumerate(configuration.organisations):
        place = f'$.{words.organisations}[{position}]'
        if organisation.name in names:
            yield findings.Finding(
                findings.Kind.DUPLICATE_NAME,
                f'{place}.name',
                f'two {words.organisations} have the name '
                f'{organisation.name!r}',
                'merge them, or rename one',
            )
        # Keys are secret, so the message names their owner only.
        if not keys.isdisjoint(organisation.keys):
            yield findings.Finding(
                findings.Kind.SHARED_KEY,
                f'{place}.{words.keys}',
                f'a key of {words.organisation} {organisation.name!r} '
                'belongs to another one too',
                'give each a key of its own',
            )
        names.add(organisation.name)
        keys.update(organisation.keys)
