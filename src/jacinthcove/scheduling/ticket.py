"""Requests for a target and the grants that answer them."""

from dataclasses import dataclass, field
from typing import Protocol

from jacinthcove.codes import ResultCode


@dataclass(frozen=True)
class TicketRequest:
    """A request that waits for a target; it has not run.

    `estimate` is in service units, `deadline` in monotonic milliseconds of the entry router.
    """

    id: str
    workspace: str
    service: str
    route: str
    version: str
    estimate: float
    deadline: int
    short: bool = False
    prefix_key: str = ""
    avoid: frozenset[str] = field(default_factory=frozenset)


@dataclass(frozen=True)
class GrantedTarget:
    """One slot of a target, held for one request until its use is reported as ended."""

    ticket_id: str
    workspace: str
    service: str
    shard: str
    owner: str
    target_id: str
    address: str
    version: str
    slot: int


@dataclass(frozen=True)
class Usage:
    """What a granted request has used so far; values are cumulative per grant.

    `used` is in service units; `token_ms_sum` is the time spent on tokens after the first one.
    """

    used: float
    ended: bool = False
    code: ResultCode = ResultCode.OK
    first_token_ms: int = 0
    token_ms_sum: int = 0
    tokens: int = 0
    unreachable: bool = False


class Dispatch(Protocol):
    """Where an entry router gets targets from."""

    def acquire(self, request: TicketRequest) -> GrantedTarget:
        """Wait for a target; raises `RequestRefused` with a not-run code."""

    def report(self, grant: GrantedTarget, usage: Usage) -> None:
        """Report service used; the report with `ended` frees the slot."""
