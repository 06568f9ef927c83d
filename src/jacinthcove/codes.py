"""The result codes of requests, from which the table in docs/result-codes.md is generated."""

from dataclasses import dataclass
from enum import Enum, IntEnum


class ResultClass(Enum):
    """Whether the request of a result was executed, which decides if a retry is safe."""

    DONE = "done"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class ResultCode(IntEnum):
    """The outcome of a request: 1xx is done, 2xx did not run, 3xx may have run."""

    OK = 100
    TARGET_REJECTED = 101
    REPLAYED = 102

    BAD_REQUEST = 200
    UNAUTHENTICATED = 201
    UNKNOWN_SERVICE = 202
    UNKNOWN_ROUTE = 203
    BODY_TOO_LARGE = 204
    BAD_DEADLINE = 205
    BAD_HINT = 206
    QUEUE_FULL = 210
    DEADLINE_BEFORE_START = 211
    NO_TARGET = 212
    STORE_UNAVAILABLE = 213
    ROUTER_STOPPING = 214
    NOT_ADMITTED = 215
    OVERLOADED = 216
    CONFIGURATION_STALE = 217
    NO_CAPACITY = 218
    HEADER_TIMEOUT = 219
    TOKEN_INVALID = 220
    UNKNOWN_KEY = 221
    KEY_REUSED = 222
    PART_QUARANTINED = 223

    TARGET_FAILED = 300
    STREAM_BROKEN = 301
    DEADLINE_DURING_RUN = 302
    IN_PROGRESS = 303
    OUTCOME_UNKNOWN = 304
    STREAM_GONE = 305
    INTERNAL = 306


@dataclass(frozen=True)
class CodeInfo:
    """The class, HTTP status and meaning of a result code."""

    result_class: ResultClass
    http_status: int
    meaning: str


_DONE = ResultClass.DONE
_NOT_RUN = ResultClass.NOT_RUN
_MAY_HAVE_RUN = ResultClass.MAY_HAVE_RUN

CODES: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo(_DONE, 200, "the request ran and its whole answer follows"),
    ResultCode.TARGET_REJECTED: CodeInfo(_DONE, 422, "the target processed and rejected the input"),
    ResultCode.REPLAYED: CodeInfo(_DONE, 200, "the stored outcome of an earlier keyed request"),
    ResultCode.BAD_REQUEST: CodeInfo(_NOT_RUN, 400, "the request is malformed"),
    ResultCode.UNAUTHENTICATED: CodeInfo(_NOT_RUN, 401, "the workspace key is missing or unknown"),
    ResultCode.UNKNOWN_SERVICE: CodeInfo(_NOT_RUN, 404, "the service is not configured"),
    ResultCode.UNKNOWN_ROUTE: CodeInfo(_NOT_RUN, 404, "the service has no such route"),
    ResultCode.BODY_TOO_LARGE: CodeInfo(_NOT_RUN, 413, "the body or a header is too large"),
    ResultCode.BAD_DEADLINE: CodeInfo(_NOT_RUN, 400, "the deadline is not a usable duration"),
    ResultCode.BAD_HINT: CodeInfo(_NOT_RUN, 400, "a cost hint is negative or not a number"),
    ResultCode.QUEUE_FULL: CodeInfo(_NOT_RUN, 429, "the workspace's queue is full"),
    ResultCode.DEADLINE_BEFORE_START: CodeInfo(
        _NOT_RUN, 503, "the deadline passed before a target was free"
    ),
    ResultCode.NO_TARGET: CodeInfo(_NOT_RUN, 503, "no target can take the request"),
    ResultCode.STORE_UNAVAILABLE: CodeInfo(
        _NOT_RUN, 503, "the claim of a keyed request could not be stored"
    ),
    ResultCode.ROUTER_STOPPING: CodeInfo(_NOT_RUN, 503, "the router is shutting down"),
    ResultCode.NOT_ADMITTED: CodeInfo(_NOT_RUN, 503, "targets refused to admit the request"),
    ResultCode.OVERLOADED: CodeInfo(_NOT_RUN, 503, "the router has too many open requests"),
    ResultCode.CONFIGURATION_STALE: CodeInfo(
        _NOT_RUN, 503, "the router has no recent word from the store about keys and routes"
    ),
    ResultCode.NO_CAPACITY: CodeInfo(
        _NOT_RUN,
        503,
        "no target could start the request in time, or its workspace is over its share",
    ),
    ResultCode.HEADER_TIMEOUT: CodeInfo(_NOT_RUN, 408, "the request did not arrive in time"),
    ResultCode.TOKEN_INVALID: CodeInfo(_NOT_RUN, 403, "the resume token is invalid or expired"),
    ResultCode.UNKNOWN_KEY: CodeInfo(
        _NOT_RUN, 404, "no request with this idempotency key is known"
    ),
    ResultCode.KEY_REUSED: CodeInfo(
        _NOT_RUN, 409, "the idempotency key belongs to a request with other content"
    ),
    ResultCode.PART_QUARANTINED: CodeInfo(
        _NOT_RUN,
        503,
        "the request or a part of its prompt has crashed targets and is in quarantine",
    ),
    ResultCode.TARGET_FAILED: CodeInfo(
        _MAY_HAVE_RUN, 502, "the target failed while it had the request"
    ),
    ResultCode.STREAM_BROKEN: CodeInfo(
        _MAY_HAVE_RUN, 502, "the answer broke off and could not be resumed"
    ),
    ResultCode.DEADLINE_DURING_RUN: CodeInfo(
        _MAY_HAVE_RUN, 504, "the deadline passed while the request ran"
    ),
    ResultCode.IN_PROGRESS: CodeInfo(
        _MAY_HAVE_RUN, 409, "a request with this idempotency key is running"
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(
        _MAY_HAVE_RUN, 409, "an earlier request with this idempotency key has no known outcome"
    ),
    ResultCode.STREAM_GONE: CodeInfo(_MAY_HAVE_RUN, 410, "the target no longer has the stream"),
    ResultCode.INTERNAL: CodeInfo(_MAY_HAVE_RUN, 500, "the router failed"),
}


def result_class(code: ResultCode) -> ResultClass:
    """Return whether a request that ended with `code` was executed."""
    return CODES[code].result_class


def http_status(code: ResultCode) -> int:
    """Return the HTTP status of a response with `code`."""
    return CODES[code].http_status
