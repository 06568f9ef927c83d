"""What one attempt at a target produced, and who is told about it."""

from dataclasses import dataclass
from typing import Protocol

from jacinthcove.codes import ResultCode
from jacinthcove.router.answer import Answer


@dataclass(frozen=True)
class AttemptResult:
    """The end of one attempt; times are in milliseconds, `used` in service units.

    `delivered` says whether the caller already received part of the answer, `target_lost` whether
    the target refused connections after it had the request.
    """

    answer: Answer
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
        return self.answer.code


@dataclass(frozen=True)
class VersionResult:
    """A result as evidence about a version on a route.

    `sent_at` is the monotonic ms of the grant. `target_lost` says that the target failed as a whole
    during the request.
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
    """Takes every result that says something about a version."""

    def record(self, result: VersionResult) -> None:
        """Take one result."""
