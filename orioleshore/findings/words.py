"""Names of the parts of a configuration in the file that is checked."""

import msgspec


class Words(msgspec.Struct, frozen=True):
    """Nouns and field names of one form of the configuration of queues.

    The defaults are the names of ``jobs.specs``. Another form of the same
    configuration replaces those that differ, so that findings name the fields
    that its operators wrote.
    """

    queue: str = 'queue'
    queues: str = 'queues'
    pool: str = 'pool'
    pools: str = 'pools'
    organisation: str = 'organisation'
    organisations: str = 'organisations'
    prefix: str = 'prefix'
    priority: str = 'priority'
    max_attempts: str = 'max_attempts'
    stretch: str = 'stretch'
    objective: str = 'objective_ms'
    timeout: str = 'timeout_ms'
    is_public: str = 'is_public'
    is_standby: str = 'is_standby'
    keys: str = 'keys'
    limit: str = 'limit'
    cpu: str = 'cpu_millis'
    memory: str = 'memory_mb'


PLAIN_WORDS = Words()
