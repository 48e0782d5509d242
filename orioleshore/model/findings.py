"""What a check finds in a configuration before it is sent."""

from collections.abc import Iterable
import enum

import msgspec


class Severity(enum.Enum):
    """Whether a finding makes the receiving side refuse the configuration."""

    ERROR = 'error'
    WARNING = 'warning'


class Kind(enum.Enum):
    """Every kind of finding."""

    # Refused by the receiving side.
    TOO_LARGE = 'too_large'
    UNREADABLE = 'unreadable'
    INVALID_FIELD = 'invalid_field'
    INVALID_VERSION = 'invalid_version'
    INVALID_TIMEOUT = 'invalid_timeout'
    DUPLICATE_NAME = 'duplicate_name'
    DUPLICATE_BRAND = 'duplicate_brand'
    DUPLICATE_PREFIX = 'duplicate_prefix'
    UNKNOWN_NAME = 'unknown_name'
    SHARED_KEY = 'shared_key'
    # Entries that never match or are never used.
    REPEATED_NAME = 'repeated_name'
    REPEATED_KEY = 'repeated_key'
    UNREACHABLE_HOST = 'unreachable_host'
    UNREACHABLE_PREFIX = 'unreachable_prefix'
    UNREACHABLE_BRAND = 'unreachable_brand'
    UNREACHABLE_OPERATION = 'unreachable_operation'
    PREFIX_TAKEN = 'prefix_taken'
    PREFIX_PARTLY_TAKEN = 'prefix_partly_taken'
    REDUNDANT_OPERATION = 'redundant_operation'
    OPERATION_WITHOUT_PATH = 'operation_without_path'
    NO_BRANDS = 'no_brands'
    NO_KEYS = 'no_keys'
    NO_CALLERS = 'no_callers'
    UNUSED_POOL = 'unused_pool'
    STANDBY_POOL_IN_USE = 'standby_pool_in_use'
    POOL_WITHOUT_HOSTS = 'pool_without_hosts'
    WAVE_WITHOUT_HOSTS = 'wave_without_hosts'
    VERSION_NOT_ABOVE = 'version_not_above'
    # Limits that contradict each other.
    PRIORITY_OUT_OF_RANGE = 'priority_out_of_range'
    NO_ATTEMPTS = 'no_attempts'
    OBJECTIVE_NEVER_MET = 'objective_never_met'
    TIMEOUT_ABOVE_OBJECTIVE = 'timeout_above_objective'
    TIMEOUT_ABOVE_DEADLINE = 'timeout_above_deadline'
    SLOTS_ABOVE_CONNECTIONS = 'slots_above_connections'
    ZERO_WEIGHT = 'zero_weight'
    LIMIT_BELOW_ONE_CORE = 'limit_below_one_core'
    LIMIT_BELOW_SHARE = 'limit_below_share'
    LIMITS_OUT_OF_PROPORTION = 'limits_out_of_proportion'
    QUOTA_ABOVE_CAPACITY = 'quota_above_capacity'
    JOB_ABOVE_QUOTA = 'job_above_quota'
    JOB_FITS_NO_HOST = 'job_fits_no_host'
    BUDGET_ALLOWS_NO_HOST = 'budget_allows_no_host'
    WAVE_NEVER_ENDS = 'wave_never_ends'


ERROR_KINDS = frozenset(
    {
        Kind.TOO_LARGE,
        Kind.UNREADABLE,
        Kind.INVALID_FIELD,
        Kind.INVALID_VERSION,
        Kind.INVALID_TIMEOUT,
        Kind.DUPLICATE_NAME,
        Kind.DUPLICATE_BRAND,
        Kind.DUPLICATE_PREFIX,
        Kind.UNKNOWN_NAME,
        Kind.SHARED_KEY,
    }
)


class Finding(msgspec.Struct, frozen=True):
    """One finding; ``place`` is a path in the file, such as "$.pools[2]".

    ``remedy`` says how to mend it.
    """

    kind: Kind
    place: str
    reason: str
    remedy: str = ''

    @property
    def severity(self) -> Severity:
        if self.kind in ERROR_KINDS:
            return Severity.ERROR
        return Severity.WARNING


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether the receiving side refuses the configuration."""
    return any(finding.severity is Severity.ERROR for finding in findings)
