"""Entries without effect and contradictions among queues and pools.

The receiving side accepts all of these.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import re

from orioleshore.findings import organisation_warnings
from orioleshore.findings import words as vocabulary
from orioleshore.jobs import handlers
from orioleshore.jobs import specs
from orioleshore.model import findings

# Digits of the ids that callers choose; upper case is accepted, but unusual.
JOB_ID_DIGITS = '0123456789abcdef'
# Hosts are compared with the Host header up to its first colon, which clients
# send in lower case.
_HOST_PATTERN = re.compile(r'[^A-Z:/?#\s]+')
# Paths are compared after decoding and without their query.
_PREFIX_PATTERN = re.compile(r'/(?:[^?#%]|%(?![0-9A-Fa-f]{2}))*')


def find_warnings(
    configuration: specs.Configuration,
    timeouts_ms: Sequence[int] = (),
    words: vocabulary.Words = vocabulary.PLAIN_WORDS,
) -> Iterator[findings.Finding]:
    """Yield the warnings about a configuration without errors.

    ``timeouts_ms`` are the timeouts of the queues in their order, in
    milliseconds, empty if the form has none.
    """
    yield from _find_repeated_names(configuration, words)
    yield from _find_unreachable_queues(configuration, words)
    yield from _find_taken_prefixes(configuration, words)
    yield from _find_pool_warnings(configuration, words)
    for position, queue in enumerate(configuration.queues):
        place = f'$.{words.queues}[{position}]'
        yield from _find_objective_warnings(queue, place, words)
        if position < len(timeouts_ms):
            yield from _find_timeout_warnings(
                queue, timeouts_ms[position], place, words
            )
    yield from organisation_warnings.find_warnings(configuration, words)


def _find_repeated_names(
    configuration: specs.Configuration, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    for section, items in (
        (words.queues, configuration.queues),
        (words.pools, configuration.pools),
    ):
        seen = set()
        for position, item in enumerate(items):
            if item.name in seen:
                yield findings.Finding(
                    findings.Kind.REPEATED_NAME,
                    f'$.{section}[{position}].name',
                    f'{item.name!r} is listed more than once in {section}',
                    'merge the entries, or rename one',
                )
            seen.add(item.name)


def _find_unreachable_queues(
    configuration: specs.Configuration, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    for position, queue in enumerate(configuration.queues):
        place = f'$.{words.queues}[{position}]'
        if not _HOST_PATTERN.fullmatch(queue.host):
            yield findings.Finding(
                findings.Kind.UNREACHABLE_HOST,
                f'{place}.host',
                f'no call has the host {queue.host!r}: clients send a name in '
                'lower case, compared without its port',
                'write the name alone, in lower case',
            )
        if not _PREFIX_PATTERN.fullmatch(queue.prefix):
            yield findings.Finding(
                findings.Kind.UNREACHABLE_PREFIX,
                f'{place}.{words.prefix}',
                f'prefix {queue.prefix!r} matches no path as callers write '
                'it: paths begin with "/" and are compared decoded, without '
                'query and fragment',
                'begin it with "/", and write no "?", "#" or "%41" in it',
            )


def _find_taken_prefixes(
    configuration: specs.Configuration, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    """Yield queues that lose paths to queues with a longer prefix.

    The longest prefix wins, and a path is a prefix and an id.
    """
    prefixes = collections.defaultdict(list)
    for queue in configuration.queues:
        prefixes[queue.host].append(queue.prefix)
    for position, queue in enumerate(configuration.queues):
        place = f'$.{words.queues}[{position}].{words.prefix}'
        endings = [
            prefix[len(queue.prefix) :]
            for prefix in prefixes[queue.host]
            if prefix.startswith(queue.prefix) and prefix != queue.prefix
        ]
        taken = sorted(filter(_begins_job_id, endings))
        if _covers_all_ids(taken):
            yield findings.Finding(
                findings.Kind.PREFIX_TAKEN,
                place,
                f'no job reaches {words.queue} {queue.name!r}: longer '
                f'prefixes of {queue.host!r} take the ids of all its jobs',
                'end the prefixes with "/" and names that are no ids',
            )
            continue
        if taken:
            yield findings.Finding(
                findings.Kind.PREFIX_PARTLY_TAKEN,
                place,
                f'jobs of {words.queue} {queue.name!r} whose ids begin with '
                f'{", ".join(taken)} are refused: a longer prefix of '
                f'{queue.host!r} takes them',
                'end the prefixes with "/" and names that are no ids',
            )


def _begins_job_id(text: str) -> bool:
    return len(text) <= handlers.JOB_ID_LENGTH and all(
        char in JOB_ID_DIGITS for char in text
    )


def _covers_all_ids(beginnings: Iterable[str]) -> bool:
    """Return whether every id begins with one of the texts."""
    rests = collections.defaultdict(list)
    for text in beginnings:
        if not text:
            return True
        rests[text[0]].append(text[1:])
    return len(rests) == len(JOB_ID_DIGITS) and all(
        _covers_all_ids(rest) for rest in rests.values()
    )


def _find_pool_warnings(
    configuration: specs.Configuration, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    used = {queue.pool for queue in configuration.queues}
    for position, pool in enumerate(configuration.pools):
        if not pool.is_standby and pool.name not in used:
            yield findings.Finding(
                findings.Kind.UNUSED_POOL,
                f'$.{words.pools}[{position}]',
                f'no {words.queue} uses {words.pool} {pool.name!r}, so its '
                'hosts get no work',
                f'remove it, or set {words.is_standby}',
            )
    standby = {pool.name for pool in configuration.pools if pool.is_standby}
    for position, queue in enumerate(configuration.queues):
        if queue.pool in standby:
            yield findings.Finding(
                findings.Kind.STANDBY_POOL_IN_USE,
                f'$.{words.queues}[{position}].{words.pool}',
                f'{words.queue} {queue.name!r} names the standby '
                f'{words.pool} {queue.pool!r}, whose hosts are switched off',
                f'name another {words.pool}',
            )


def _find_objective_warnings(
    queue: specs.Queue, place: str, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    if queue.priority < 0:
        yield findings.Finding(
            findings.Kind.PRIORITY_OUT_OF_RANGE,
            f'{place}.{words.priority}',
            f'priority {queue.priority} goes before 0, the most urgent one',
            'set 0 or more',
        )
    if queue.max_attempts < 1:
        yield findings.Finding(
            findings.Kind.NO_ATTEMPTS,
            f'{place}.{words.max_attempts}',
            f'with {queue.max_attempts} attempts, a job fails with the first '
            'task that fails, as with 1',
            'set 1 or more',
        )
    if queue.stretch < 0 or (queue.stretch <= 1 and queue.objective_ms <= 0):
        yield findings.Finding(
            findings.Kind.OBJECTIVE_NEVER_MET,
            f'{place}.{words.objective}',
            f'{words.stretch} {queue.stretch:g} and {words.objective} '
            f'{queue.objective_ms} leave no time beyond the declared run '
            'times',
            f'set {words.stretch} above 1, or {words.objective} above 0',
        )


def _find_timeout_warnings(
    queue: specs.Queue, timeout_ms: int, place: str, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    if 0 < queue.objective_ms < timeout_ms:
        yield findings.Finding(
            findings.Kind.TIMEOUT_ABOVE_OBJECTIVE,
            f'{place}.{words.timeout}',
            f'a call may take {timeout_ms} ms, longer than the '
            f'{queue.objective_ms} ms that the objective leaves beside the '
            'run times',
            f'lower {words.timeout}, or raise {words.objective}',
        )
