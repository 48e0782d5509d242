"""The story of one subject: its log lines and what explains them."""

import bisect
from collections.abc import Iterable
import enum
import pathlib

import msgspec

from orioleshore.history import lines
from orioleshore.history import phrases


class Subject(enum.Enum):
    """Kinds of items whose story the log tells."""

    REQUEST = 'request'
    JOB = 'job'
    TASK = 'task'
    WORKER = 'worker'
    HOST = 'host'
    POOL = 'pool'
    WAVE = 'wave'
    CHANGE = 'change'
    ORGANISATION = 'organisation'


# The pairs that name a subject. A request or a job is found by its id, which
# also stands at the end of paths.
_KEYS = {
    Subject.WORKER: ('worker',),
    Subject.HOST: ('host',),
    Subject.POOL: ('pool', 'from_pool'),
    Subject.WAVE: ('wave',),
    Subject.CHANGE: ('version', 'in_force'),
    Subject.ORGANISATION: ('organisation',),
}


class Story(msgspec.Struct, frozen=True):
    """Lines in order of time; those in ``context`` do not name the subject.

    ``summary`` says how it went, one sentence each.
    """

    summary: list[str]
    lines: list[lines.LogLine]
    context: list[lines.LogLine]


def tell(subject: Subject, name: str, paths: Iterable[pathlib.Path]) -> Story:
    """Read the story of a subject from log files.

    Each file is read twice, line by line. The times of different hosts are
    compared as they stand, so lines of hosts whose clocks differ may be out
    of order by that much. Raises OSError if a file cannot be read.
    """
    files = list(paths)
    own = _find_own_lines(subject, name, files)
    own.sort(key=lambda line: line.time)
    context = _find_context(own, files) if own else []
    return Story(_summarize(own, context), own, context)


def merge(story: Story) -> list[tuple[lines.LogLine, bool]]:
    """Return all lines in order of time, and whether each is context."""
    merged = [(line, False) for line in story.lines]
    for line in story.context:
        bisect.insort(merged, (line, True), key=lambda item: item[0].time)
    return merged


def _find_own_lines(
    subject: Subject, name: str, files: list[pathlib.Path]
) -> list[lines.LogLine]:
    if subject is Subject.TASK:
        job, _, task = name.partition('.')
        return [
            line
            for line in lines.find_containing(files, job)
            if _names_task(line, task)
        ]
    keys = _KEYS.get(subject)
    found = lines.find_containing(files, name)
    if keys is None:
        return list(found)
    return [
        line
        for line in found
        if any(line.pairs.get(key) == name for key in keys)
    ]


def _names_task(line: lines.LogLine, task: str) -> bool:
    """Return whether a line of a job is about one task or the whole job."""
    if 'task' in line.pairs:
        return line.pairs['task'] == task
    if 'tasks' in line.pairs:
        started = line.pairs['tasks'].split(',')
        return any(run.partition('/')[0] == task for run in started)
    return True


def _find_context(
    own: list[lines.LogLine], files: list[pathlib.Path]
) -> list[lines.LogLine]:
    """Return lines between the first and the last one that explain them."""
    first, last = own[0].time, own[-1].time
    workers = {line.pairs['worker'] for line in own if 'worker' in line.pairs}
    known = set(map(_get_identity, own))
    found = []
    wanted = phrases.GROUP_EVENTS | phrases.WORKER_EVENTS
    for line in lines.find_events(files, wanted):
        if not first <= line.time <= last or _get_identity(line) in known:
            continue
        is_relevant = (
            line.event in phrases.GROUP_EVENTS
            or line.pairs.get('worker') in workers
        )
        if is_relevant:
            found.append(line)
    found.sort(key=lambda line: line.time)
    return found


def _get_identity(line: lines.LogLine) -> tuple[str, str, str, str]:
    return line.time, line.node, line.event, str(line.pairs)


def _summarize(
    own: list[lines.LogLine], context: list[lines.LogLine]
) -> list[str]:
    if not own:
        return [
            'No line names it: it did not reach the hosts of these files, '
            'or its lines were left out.'
        ]
    by_event: dict[str, list[lines.LogLine]] = {}
    for line in (*own, *context):
        by_event.setdefault(line.event, []).append(line)
    found = []
    for event in ('job_refused', 'job_accepted', 'job_ended'):
        if event in by_event:
            newest = by_event[event][-1]
            found.append(_make_sentence(phrases.describe(newest)))
    if 'job_accepted' not in by_event and 'job_refused' not in by_event:
        failures = by_event.get('request_failed', [])
        found += [
            _make_sentence(phrases.describe(line)) for line in failures[-1:]
        ]
    found += [
        _make_sentence(phrases.describe(line))
        for line in by_event.get('task_given_up', [])
    ]
    holds = by_event.get('job_held_by_limit', [])
    if holds:
        found.append(_make_sentence(phrases.describe(holds[-1])))
    found += _summarize_runs(by_event)
    changes = len(by_event.get('scheduling_started', []))
    if changes:
        found.append(f'The leader changed {changes} times meanwhile.')
    return found


def _summarize_runs(by_event: dict[str, list[lines.LogLine]]) -> list[str]:
    found = []
    starts = by_event.get('tasks_started', [])
    # The wait of a later attempt counts from the first one.
    waits = [
        float(line.pairs.get('waited_s', '0'))
        for line in starts
        if '/1' in line.pairs.get('tasks', '')
    ]
    if waits:
        found.append(f'A step waited {max(waits):g} s at most for a worker.')
    ends: dict[str, int] = {}
    for line in by_event.get('task_ended', []):
        how = line.pairs.get('how', '-')
        ends[how] = ends.get(how, 0) + 1
    if ends:
        counts = ', '.join(f'{ends[how]} {how}' for how in sorted(ends))
        found.append(f'Runs that did not succeed: {counts}.')
    return found


def _make_sentence(text: str) -> str:
    return f'{text[:1].upper()}{text[1:]}.'
