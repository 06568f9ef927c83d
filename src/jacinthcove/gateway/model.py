"""The routing configuration and the requests of the gateway as frozen dataclasses.

Durations are in milliseconds, rates are per second.
"""

from dataclasses import dataclass, field
from enum import Enum


class Repeatability(Enum):
    """What may be repeated when a request of a route may have run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """The relative weight with which a route sends to a service."""

    service: str
    weight: float


@dataclass(frozen=True)
class HttpRoute:
    """Requests of one host and path prefix; `latency_goal_ms` earns a response its full worth."""

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_ms: int
    latency_goal_ms: int
    services: tuple[ServiceShare, ...]
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.repeatability is Repeatability.STREAM:
            return self.resumable
        return self.repeatability is Repeatability.SAFE


@dataclass(frozen=True)
class EngineShape:
    """What a model engine can hold: requests at once and tokens of memory."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True)
class GatewayService:
    """A service behind the gateway; `engine` is None for a plain service."""

    name: str
    cold_requests_per_s: float = 0.0
    engine: EngineShape | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class RoutingConfig:
    """Everything the operator decides about routing; versions only rise."""

    version: int
    routes: tuple[HttpRoute, ...] = ()
    services: dict[str, GatewayService] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    # None means that requests carry no keys at all.
    workspace_by_key: dict[str, str] | None = None


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt that requests may share; `tokens` is its length."""

    id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """Length and shared parts of a prompt; the last part belongs to the request's session."""

    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def own_tokens(self) -> int:
        """Return the prompt tokens that no other request shares."""
        return self.parts[-1].tokens if self.parts else self.input_tokens

    @property
    def service_tokens(self) -> int:
        """Return the tokens by which fair shares count: read ones once, generated ones twice.

        Shared parts are left out, because most of them are kept and not read again.
        """
        return self.own_tokens + 2 * self.output_tokens


@dataclass(frozen=True)
class GatewayRequest:
    """One attempt of a caller; `received_at` and `deadline` are monotonic milliseconds."""

    id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: HttpRoute
    workspace: str
    received_at: int
    deadline: int
    prompt: PromptShape = PromptShape()
    last_event_id: str = ""
