"""Closed list of error kinds, and how each one is answered."""

import enum

import msgspec

from orioleshore.model import states


class ErrorKind(enum.Enum):
    """Every kind of error that one package reports to another."""

    INVALID_REQUEST = 'invalid_request'
    REQUEST_TOO_LARGE = 'request_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    REQUEST_TOO_SLOW = 'request_too_slow'
    NOT_READY = 'not_ready'
    UNKNOWN_SERVICE = 'unknown_service'
    KEY_REQUIRED = 'key_required'
    KEY_INVALID = 'key_invalid'
    KEY_REUSED = 'key_reused'
    KEY_EXPIRED = 'key_expired'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    OVERLOADED = 'overloaded'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    QUEUE_TIMEOUT = 'queue_timeout'
    NO_UPSTREAM = 'no_upstream'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_UNREACHABLE = 'upstream_unreachable'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_TIMEOUT = 'upstream_timeout'
    ANSWER_MISMATCH = 'answer_mismatch'
    ANSWER_TRUNCATED = 'answer_truncated'
    CALLER_GONE = 'caller_gone'
    STOPPING = 'stopping'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    JOB_UNKNOWN = 'job_unknown'
    INVALID_DOCUMENT = 'invalid_document'
    VERSION_CONFLICT = 'version_conflict'
    OPERATION_EXPIRED = 'operation_expired'
    OPERATION_INVALID = 'operation_invalid'
    NOT_LEADER = 'not_leader'
    NO_QUORUM = 'no_quorum'
    CHANGE_UNKNOWN = 'change_unknown'
    STALE_EPOCH = 'stale_epoch'
    BUDGET_EXCEEDED = 'budget_exceeded'
    ILLEGAL_TRANSITION = 'illegal_transition'
    PROTOCOL_ERROR = 'protocol_error'
    PEER_UNREACHABLE = 'peer_unreachable'
    PLATFORM_ERROR = 'platform_error'
    INVALID_SETTINGS = 'invalid_settings'
    STORAGE_DAMAGED = 'storage_damaged'
    STORAGE_FAILED = 'storage_failed'
    STORAGE_FULL = 'storage_full'
    FOLDER_IN_USE = 'folder_in_use'
    FORMAT_UNSUPPORTED = 'format_unsupported'
    INTERNAL = 'internal'


class Answer(msgspec.Struct, frozen=True):
    """How an error is reported over HTTP and on the command line.

    ``status`` is the HTTP status and ``exit_code`` that of the command line.
    ``ran`` states whether the request was executed, ``may_resend`` whether
    it may be sent again.
    """

    status: int
    ran: states.Ran
    may_resend: bool
    exit_code: int


class Failure(msgspec.Struct, frozen=True):
    """An error with its explanation; ``retry_after_s`` is in seconds."""

    kind: ErrorKind
    message: str
    details: tuple[str, ...] = ()
    retry_after_s: float | None = None

    @property
    def answer(self) -> Answer:
        return ANSWERS[self.kind]


EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4
EXIT_STORAGE = 5
EXIT_FAULT = 70

_NO = states.Ran.NO
_YES = states.Ran.YES
_UNKNOWN = states.Ran.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.INVALID_REQUEST: Answer(400, _NO, False, EXIT_INVALID),
    ErrorKind.REQUEST_TOO_LARGE: Answer(413, _NO, False, EXIT_INVALID),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, _NO, False, EXIT_INVALID),
    ErrorKind.REQUEST_TOO_SLOW: Answer(408, _NO, True, EXIT_REFUSED),
    ErrorKind.NOT_READY: Answer(503, _NO, True, EXIT_UNREACHABLE),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, _NO, False, EXIT_REFUSED),
    ErrorKind.KEY_REQUIRED: Answer(428, _NO, False, EXIT_INVALID),
    ErrorKind.KEY_INVALID: Answer(400, _NO, False, EXIT_INVALID),
    ErrorKind.KEY_REUSED: Answer(422, _NO, False, EXIT_INVALID),
    ErrorKind.KEY_EXPIRED: Answer(409, _UNKNOWN, False, EXIT_UNKNOWN),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, _NO, True, EXIT_UNREACHABLE),
    ErrorKind.OUTCOME_UNKNOWN: Answer(409, _UNKNOWN, False, EXIT_UNKNOWN),
    ErrorKind.ANSWER_NOT_KEPT: Answer(410, _YES, False, EXIT_REFUSED),
    ErrorKind.OVERLOADED: Answer(503, _NO, True, EXIT_REFUSED),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(503, _NO, True, EXIT_REFUSED),
    ErrorKind.QUEUE_TIMEOUT: Answer(504, _NO, True, EXIT_REFUSED),
    ErrorKind.NO_UPSTREAM: Answer(503, _NO, True, EXIT_REFUSED),
    ErrorKind.UPSTREAM_REFUSED: Answer(503, _NO, True, EXIT_REFUSED),
    ErrorKind.UPSTREAM_UNREACHABLE: Answer(502, _NO, True, EXIT_REFUSED),
    ErrorKind.UPSTREAM_FAILED: Answer(502, _UNKNOWN, False, EXIT_UNKNOWN),
    ErrorKind.UPSTREAM_TIMEOUT: Answer(504, _UNKNOWN, False, EXIT_UNKNOWN),
    ErrorKind.ANSWER_MISMATCH: Answer(502, _UNKNOWN, False, EXIT_UNKNOWN),
    ErrorKind.ANSWER_TRUNCATED: Answer(502, _UNKNOWN, False, EXIT_UNKNOWN),
    ErrorKind.CALLER_GONE: Answer(499, _UNKNOWN, False, EXIT_UNKNOWN),
    ErrorKind.STOPPING: Answer(503, _NO, True, EXIT_REFUSED),
    ErrorKind.UNAUTHORIZED: Answer(401, _NO, False, EXIT_REFUSED),
    ErrorKind.FORBIDDEN: Answer(403, _NO, False, EXIT_REFUSED),
    ErrorKind.NOT_FOUND: Answer(404, _NO, False, EXIT_REFUSED),
    ErrorKind.JOB_UNKNOWN: Answer(410, _NO, False, EXIT_REFUSED),
    ErrorKind.INVALID_DOCUMENT: Answer(422, _NO, False, EXIT_INVALID),
    ErrorKind.VERSION_CONFLICT: Answer(409, _NO, False, EXIT_REFUSED),
    ErrorKind.OPERATION_EXPIRED: Answer(410, _UNKNOWN, False, EXIT_UNKNOWN),
    ErrorKind.OPERATION_INVALID: Answer(400, _NO, False, EXIT_INVALID),
    ErrorKind.NOT_LEADER: Answer(503, _NO, True, EXIT_UNREACHABLE),
    ErrorKind.NO_QUORUM: Answer(503, _NO, True, EXIT_UNREACHABLE),
    ErrorKind.CHANGE_UNKNOWN: Answer(504, _UNKNOWN, True, EXIT_UNKNOWN),
    ErrorKind.STALE_EPOCH: Answer(409, _NO, False, EXIT_REFUSED),
    ErrorKind.BUDGET_EXCEEDED: Answer(409, _NO, True, EXIT_REFUSED),
    ErrorKind.ILLEGAL_TRANSITION: Answer(409, _NO, False, EXIT_REFUSED),
    ErrorKind.PROTOCOL_ERROR: Answer(400, _NO, False, EXIT_FAULT),
    ErrorKind.PEER_UNREACHABLE: Answer(503, _NO, True, EXIT_UNREACHABLE),
    ErrorKind.PLATFORM_ERROR: Answer(502, _UNKNOWN, True, EXIT_UNKNOWN),
    ErrorKind.INVALID_SETTINGS: Answer(500, _NO, False, EXIT_INVALID),
    ErrorKind.STORAGE_DAMAGED: Answer(500, _NO, False, EXIT_STORAGE),
    ErrorKind.STORAGE_FAILED: Answer(500, _UNKNOWN, False, EXIT_STORAGE),
    ErrorKind.STORAGE_FULL: Answer(503, _NO, True, EXIT_STORAGE),
    ErrorKind.FOLDER_IN_USE: Answer(500, _NO, False, EXIT_STORAGE),
    ErrorKind.FORMAT_UNSUPPORTED: Answer(500, _NO, False, EXIT_STORAGE),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, False, EXIT_FAULT),
}
