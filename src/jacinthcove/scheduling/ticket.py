"""Requests for a target, the grants that they receive, and reports of their usage."""

from dataclasses import dataclass, field
from typing import Protocol

from jacinthcove.codes import ResultCode


@dataclass(frozen=True)
class TicketRequest:
    """A request that waits for a target.

    `estimate` is the expected cost in service units, and `deadline` is in monotonic ms of the
    entry router. A `short` request may use reserved slots. `prefix_key` identifies the prompt
    prefix for cache affinity, empty for none. Targets in `avoid` are not used.
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
    """One slot of a target, granted to one request until its usage is reported as ended.

    `owner` is the id of the router that owns the shard; `slot` is unique at that router.
    """

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
    """Cumulative usage of one grant.

    `used` is in service units; `token_ms_sum` is the time spent on tokens after the first one.
    `unreachable` says that the target could not be reached.
    """

    used: float
    ended: bool = False
    code: ResultCode = ResultCode.OK
    first_token_ms: int = 0
    token_ms_sum: int = 0
    tokens: int = 0
    unreachable: bool = False


class Dispatch(Protocol):
    """Provides targets for the requests of an entry router."""

    def acquire(self, request: TicketRequest) -> GrantedTarget:
        """Wait for a target; raises `RequestRefused` with a code that says it did not run."""

    def report(self, grant: GrantedTarget, usage: Usage) -> None:
        """Report the usage of a grant; a report with `ended` set frees the slot."""
