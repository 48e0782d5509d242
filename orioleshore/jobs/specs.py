"""Jobs that callers submit, and the configuration of queues and pools."""

import msgspec

from orioleshore.model import ids


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Resources that a task needs or a worker has; CPU in thousandths."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of two amounts."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference of two amounts, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> 'Resources':
        """Return the resources of several equal tasks."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Identical tasks of a job that may run in parallel.

    ``after`` lists the indexes of earlier steps that must be done first.
    ``max_per_worker`` of 0 sets no limit. At most ``max_unavailable`` tasks
    of a long-running step may be unavailable at a time because of orders of
    the scheduler; 0 sets no limit.
    """

    tasks: int
    need: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    needs_one_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    is_speculative: bool = msgspec.field(default=False, name='may_race')
    # Tasks run until the job is cancelled, and serve users meanwhile.
    is_long_running: bool = msgspec.field(default=False, name='is_lasting')
    image: str = ''
    tail_target_ms: int = 0
    # Filler tasks reserve no CPU and use what other tasks leave idle.
    is_filler: bool = False
    max_unavailable: int = msgspec.field(default=0, name='max_away')


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job; ``occurrences`` of 0 means that it runs once, immediately.

    ``first_due_ms`` is in milliseconds since the Unix epoch.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def is_long_running(self) -> bool:
        """Return whether the job ends only when it is cancelled."""
        return any(step.is_long_running for step in self.steps)

    @property
    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.occurrences)


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """Where callers submit jobs, and how these are scheduled.

    The objective of a job, the time within which it should be completed, is
    ``stretch`` times its longest chain of declared run times plus
    ``objective_ms``. Priority 0 is the most urgent.
    """

    name: ids.QueueId
    host: str
    prefix: str
    pool: ids.PoolId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    # Steps may run only on workers that the policy service approves.
    needs_approval: bool = False
    # Calls need no key.
    is_public: bool = False


class Pool(msgspec.Struct, frozen=True, omit_defaults=True):
    """Workers that run the tasks of the queues that name the pool.

    With ``guards_capacity``, workers refuse tasks that exceed their capacity.
    Hosts of a standby pool are switched off and cost nothing.
    """

    name: ids.PoolId
    guards_capacity: bool = False
    is_standby: bool = False


class Organisation(msgspec.Struct, frozen=True, omit_defaults=True):
    """A customer whose callers use its keys.

    ``weight`` is its share of capacity relative to other organisations, and
    also the number of jobs per second up to which its share is guaranteed.
    ``limit`` bounds what all its running tasks need; 0 sets no limit.
    """

    name: ids.OrganisationId
    keys: tuple[ids.ApiKey, ...] = ()
    weight: float = 1.0
    limit: Resources = Resources()


class Configuration(msgspec.Struct, frozen=True):
    """One version of all queues and pools.

    ``source`` is the document as the operator sent it; readers receive it
    unchanged.
    """

    version: ids.Version = ids.Version(0)
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    source: bytes = b''
    organisations: tuple[Organisation, ...] = ()
    # Calls to queues that are not public need the key of an organisation.
    requires_keys: bool = False


def find_queue(
    configuration: Configuration, host: str, path: str
) -> Queue | None:
    """Return the queue with the longest prefix of a path, if any."""
    found = None
    for queue in configuration.queues:
        if queue.host != host or not path.startswith(queue.prefix):
            continue
        if found is None or len(queue.prefix) > len(found.prefix):
            found = queue
    return found


def get_longest_chain_ms(steps: tuple[Step, ...]) -> int:
    """Return the longest chain of declared run times, in milliseconds."""
    ends: list[int] = []
    for step in steps:
        begin = max((ends[i] for i in step.after if i < len(ends)), default=0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0)


def count_longest_chain(steps: tuple[Step, ...], is_done: list[bool]) -> int:
    """Return the length of the longest chain of steps not yet done."""
    ends: list[int] = []
    for step, done in zip(steps, is_done, strict=True):
        begin = max((ends[i] for i in step.after if i < len(ends)), default=0)
        ends.append(begin + (not done))
    return max(ends, default=0)


def make_task_name(occurrence: int, step: int, index: int) -> ids.TaskName:
    """Return the name of a task within its job."""
    return ids.TaskName(f'{occurrence}.{step}.{index}')


def parse_task_name(name: ids.TaskName) -> tuple[int, int, int]:
    """Return occurrence, step and index; raises ValueError if malformed."""
    occurrence, step, index = name.split('.')
    return int(occurrence), int(step), int(index)
