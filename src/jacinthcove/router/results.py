"""Results of attempts, and the interface that records them per version."""

from dataclasses import dataclass
from typing import Protocol

from jacinthcove.codes import ResultCode
from jacinthcove.router.response import CallerResponse


@dataclass(frozen=True)
class AttemptResult:
    """The result of one attempt; times are in milliseconds, `used` is in service units.

    `delivered`: the caller has already received part of the response. `target_lost`: the target
    refused connections after it had received the request. `unreachable`: no connection to the
    target could be made, so the request did not run.
    """

    response: CallerResponse
    used: float = 0.0
    first_token_ms: int = 0
    token_ms_sum: int = 0
    tokens: int = 0
    unreachable: bool = False
    delivered: bool = False
    target_lost: bool = False

    @property
    def code(self) -> ResultCode:
        """Return the result code of the attempt."""
        return self.response.code


@dataclass(frozen=True)
class VersionResult:
    """The result of an attempt, used to judge a version on a route.

    `sent_at` is when the target was granted, in monotonic milliseconds. `target_lost` means that
    the whole target failed during the request.
    """

    service: str
    route: str
    version: str
    code: ResultCode
    first_token_ms: int
    token_ms_sum: int
    tokens: int
    sent_at: int = 0
    target: str = ""
    target_lost: bool = False


class ResultRecorder(Protocol):
    """Records the results that count for or against a version."""

    def record(self, result: VersionResult) -> None:
        """Record the result of one attempt."""
