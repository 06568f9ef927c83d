"""The interface between the gateway and the wire protocol of its callers and targets.

An implementation only translates; routing decisions are made by the gateway.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.choice import Choice
from jacinthcove.gateway.model import GatewayRequest
from jacinthcove.gateway.routes import RouteTable
from jacinthcove.targets.response import TargetResponse

Headers = tuple[tuple[str, str], ...]


class Execution(Enum):
    """Whether a target executed the request, according to its response."""

    NOT_RUN = "not_run"
    # The address belongs to another target now; the request has not run.
    OTHER_TARGET = "other_target"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    # The response belongs to another request or has no valid signature: the request may have run.
    FOREIGN = "foreign"


@dataclass(frozen=True)
class RateStatement:
    """What a response says about the requests per second that its target takes, None: no limit."""

    per_s: float | None = None


NO_LIMIT = RateStatement()


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a target's response; `headers` are those to send to the caller.

    `leaving` means that the target is about to stop. `retry_after_ms` is how long it refuses
    requests from this router, 0 if it does not say. `keep_alive_ms` is how long it keeps the
    connection open for another request, 0 if it closes it or does not say. `limit` is what it says
    about the requests that it takes from all routers together, None if that cannot be read.
    """

    status: int
    reason: str
    headers: Headers
    execution: Execution
    leaving: bool = False
    retry_after_ms: int = 0
    keep_alive_ms: int = 0
    limit: RateStatement | None = NO_LIMIT


@dataclass(frozen=True)
class RawRequest:
    """A request as received: `target` is the path with its query, `headers` are in order."""

    method: str
    target: str
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class RefusalResponse:
    """A response that the gateway itself makes."""

    status: int
    headers: Headers
    body: bytes


class GatewayCodec(Protocol):
    """Translates between the wire format and the types of the gateway."""

    def request_id(self, headers: Iterable[tuple[str, str]]) -> str:
        """Return the caller's id of the attempt, for logs, or an empty string."""

    def decode(self, raw: RawRequest, routes: RouteTable, now: int) -> GatewayRequest:
        """Return the typed request; raises `RequestRefused` with a code of class NOT_RUN."""

    def encode(
        self, request: GatewayRequest, choice: Choice, remaining_ms: int, last_event_id: str
    ) -> bytes:
        """Return the head of the request to a target; the body follows unchanged."""

    def is_response_to(self, request: GatewayRequest, response: TargetResponse) -> bool:
        """Return whether the response names the request as the one that it belongs to."""

    def parse_response_head(
        self, request: GatewayRequest, response: TargetResponse
    ) -> ResponseHead:
        """Return the head of a target's response, with the execution that it reports."""

    def refusal(self, refusal: RequestRefused) -> RefusalResponse:
        """Return the response to a request that the gateway refuses."""
