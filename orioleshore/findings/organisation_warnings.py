"""Organisations that nobody can call as, and limits that contradict."""

from collections.abc import Iterator

from orioleshore.findings import words as vocabulary
from orioleshore.jobs import specs
from orioleshore.model import findings

MILLIS_PER_CORE = 1_000
# Memory for each core of a limit, beyond which one of its two parts is never
# reached: tasks need some tens of megabytes, and hosts have some gigabytes for
# each core.
MIN_MEMORY_MB_PER_CORE = 64
MAX_MEMORY_MB_PER_CORE = 65_536
# Part of the share of its weight below which a limit contradicts the weight.
MIN_LIMIT_SHARE = 0.25


def find_warnings(
    configuration: specs.Configuration, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    """Yield the warnings about the organisations of a configuration."""
    yield from _find_missing_callers(configuration, words)
    for position, organisation in enumerate(configuration.organisations):
        place = f'$.{words.organisations}[{position}]'
        yield from _find_key_warnings(organisation, place, words)
        yield from _find_weight_warnings(organisation, place, words)
        yield from _find_limit_warnings(organisation.limit, place, words)
    yield from _find_limits_below_share(configuration, words)


def _find_missing_callers(
    configuration: specs.Configuration, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    if not configuration.requires_keys or any(
        organisation.keys for organisation in configuration.organisations
    ):
        return
    for position, queue in enumerate(configuration.queues):
        if not queue.is_public:
            yield findings.Finding(
                findings.Kind.NO_CALLERS,
                f'$.{words.queues}[{position}]',
                f'nobody can call {words.queue} {queue.name!r}: it needs a '
                f'key, and no {words.organisation} has one',
                f'add {words.keys}, or set {words.is_public}',
            )


def _find_key_warnings(
    organisation: specs.Organisation, place: str, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    if not organisation.keys:
        yield findings.Finding(
            findings.Kind.NO_KEYS,
            f'{place}.{words.keys}',
            f'nobody can call as {words.organisation} {organisation.name!r}: '
            'it has no key',
            f'add a key, or remove the {words.organisation}',
        )
    # Keys are secret, so the message has only their number.
    repeated = len(organisation.keys) - len(set(organisation.keys))
    if repeated:
        yield findings.Finding(
            findings.Kind.REPEATED_KEY,
            f'{place}.{words.keys}',
            f'{repeated} of the keys of {organisation.name!r} repeat others',
            'list each key once',
        )


def _find_weight_warnings(
    organisation: specs.Organisation, place: str, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    if organisation.weight <= 0:
        yield findings.Finding(
            findings.Kind.ZERO_WEIGHT,
            f'{place}.weight',
            f'weight {organisation.weight:g} guarantees '
            f'{words.organisation} {organisation.name!r} no job when '
            'capacity is short',
            'set a weight above 0',
        )


def _find_limit_warnings(
    limit: specs.Resources, place: str, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    if 0 < limit.cpu_millis < MILLIS_PER_CORE:
        yield findings.Finding(
            findings.Kind.LIMIT_BELOW_ONE_CORE,
            f'{place}.{words.limit}.{words.cpu}',
            f'no task of one core ever fits into {limit.cpu_millis} '
            'thousandths of a core',
            f'set {MILLIS_PER_CORE} or more, or 0 for no limit',
        )
    if not limit.cpu_millis or not limit.memory_mb:
        return
    per_core_mb = limit.memory_mb * MILLIS_PER_CORE / limit.cpu_millis
    if per_core_mb < MIN_MEMORY_MB_PER_CORE:
        yield findings.Finding(
            findings.Kind.LIMITS_OUT_OF_PROPORTION,
            f'{place}.{words.limit}.{words.memory}',
            f'{limit.memory_mb} MB are used up long before '
            f'{limit.cpu_millis} thousandths of a core: {per_core_mb:.3g} MB '
            f'for each core, and tasks need {MIN_MEMORY_MB_PER_CORE} or more',
            f'raise {words.memory}, or lower {words.cpu}',
        )
    if per_core_mb > MAX_MEMORY_MB_PER_CORE:
        yield findings.Finding(
            findings.Kind.LIMITS_OUT_OF_PROPORTION,
            f'{place}.{words.limit}.{words.cpu}',
            f'{limit.cpu_millis} thousandths of a core are used up long '
            f'before {limit.memory_mb} MB: {per_core_mb:.3g} MB for each '
            f'core, and tasks need {MAX_MEMORY_MB_PER_CORE} or less',
            f'raise {words.cpu}, or lower {words.memory}',
        )


def _find_limits_below_share(
    configuration: specs.Configuration, words: vocabulary.Words
) -> Iterator[findings.Finding]:
    """Yield limits that are far below what the weight promises.

    The capacity is not part of a configuration, so shares are taken of the
    sum of all limits, which is known only if all organisations have one.
    """
    organisations = configuration.organisations
    total_weight = sum(item.weight for item in organisations)
    total_millis = sum(item.limit.cpu_millis for item in organisations)
    if total_weight <= 0 or not all(
        item.limit.cpu_millis for item in organisations
    ):
        return
    for position, item in enumerate(organisations):
        share_millis = total_millis * item.weight / total_weight
        if item.limit.cpu_millis < MIN_LIMIT_SHARE * share_millis:
            yield findings.Finding(
                findings.Kind.LIMIT_BELOW_SHARE,
                f'$.{words.organisations}[{position}].{words.limit}.'
                f'{words.cpu}',
                f'the weight of {item.name!r} is worth {share_millis:.0f} '
                'thousandths of a core of the limits together, its own limit '
                f'is {item.limit.cpu_millis}',
                'raise the limit, or lower the weight',
            )
