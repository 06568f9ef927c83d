"""The routing configuration and the requests of the gateway as frozen dataclasses.

Durations are in milliseconds, rates are per second.
"""

from dataclasses import dataclass, field
from enum import Enum


class RetrySafety(Enum):
    """Whether a request may be retried after a target may have executed it.

    A `STREAM` may be retried only if its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """A service of a route, with its relative weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True)
class HttpRoute:
    """Settings for the requests of one host and path prefix.

    A response counts in full only if it begins within `latency_goal_ms`.
    """

    name: str
    host: str
    path_prefix: str
    retry_safety: RetrySafety
    timeout_ms: int
    latency_goal_ms: int
    services: tuple[ServiceShare, ...]
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.retry_safety is RetrySafety.STREAM:
            return self.resumable
        return self.retry_safety is RetrySafety.SAFE


@dataclass(frozen=True)
class EngineCapacity:
    """Capacity of a model engine: concurrent requests and memory in tokens."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True)
class ScalingBounds:
    """Bounds of the number of engines per failure domain; new ones serve after `boot_ms`."""

    min_engines: int
    max_engines: int
    boot_ms: int


@dataclass(frozen=True)
class GatewayService:
    """A service behind the gateway.

    `engine` is None for a plain service, one without model engines. A `cold_requests_per_s` of 0
    means that cold targets have no rate limit; they are cold for `cold_ms` after their start.
    `scaling` is None if its targets are not ordered.
    """

    name: str
    cold_requests_per_s: float = 0.0
    cold_ms: int = 0
    engine: EngineCapacity | None = None
    scaling: ScalingBounds | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's request and on the time to send it."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class RoutingConfig:
    """The operator's routing configuration; `version` only increases."""

    version: int
    routes: tuple[HttpRoute, ...] = ()
    services: dict[str, GatewayService] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    # None if requests are not authenticated by keys.
    workspace_by_key: dict[str, str] | None = None


@dataclass(frozen=True)
class PromptPart:
    """A cacheable block of a prompt, which requests may share; `tokens` is its length."""

    id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """Lengths and parts of a prompt.

    All parts except the last may be shared with other requests and form the shared prefix.
    """

    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def own_tokens(self) -> int:
        """Return the prompt tokens that are not shared with other requests."""
        return self.parts[-1].tokens if self.parts else self.input_tokens

    @property
    def share_cost_tokens(self) -> int:
        """Return the tokens charged to the workspace's fair share.

        Generated tokens count twice. Shared parts are free, because most of them are cached and not
        prefilled again.
        """
        return self.own_tokens + 2 * self.output_tokens


@dataclass(frozen=True)
class GatewayRequest:
    """A request received from a caller; `received_at` and `deadline` are in monotonic ms."""

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
