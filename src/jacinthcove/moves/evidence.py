"""Results of the requests to a service with an active move, per route and version."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from jacinthcove.codes import ResultCode
from jacinthcove.config.model import FleetConfig, Move
from jacinthcove.mesh.mesh_pb2 import RouteEvidence

# Number of recent results kept, so that the comparison follows changes in load.
WINDOW_REQUESTS = 400

# Results that the version may have caused. Rejections count too: a version that rejects requests
# more often than the old one is faulty.
ERROR_CODES = frozenset(
    {
        ResultCode.TARGET_REJECTED,
        ResultCode.NOT_ADMITTED,
        ResultCode.TARGET_FAILED,
        ResultCode.STREAM_BROKEN,
        ResultCode.DEADLINE_DURING_RUN,
        ResultCode.STREAM_GONE,
    }
)


@dataclass(frozen=True)
class EvidenceKey:
    """Identifies one version on one route of a service."""

    service: str
    route: str
    version: str


@dataclass(frozen=True)
class RequestResult:
    """How one request ended.

    `tokens` and `token_ms_sum` leave out the first token. `earlier_step` is set when the request
    was sent before the current step of the move began.
    """

    code: ResultCode
    first_token_ms: int = 0
    token_ms_sum: int = 0
    tokens: int = 0
    earlier_step: bool = False

    @property
    def failed(self) -> bool:
        """Whether the result counts as an error of the version."""
        return self.code in ERROR_CODES

    @property
    def token_ms(self) -> float | None:
        """The mean time per token after the first one in ms; None without such tokens."""
        return self.token_ms_sum / self.tokens if self.tokens > 0 else None


@dataclass(frozen=True)
class Counters:
    """Cumulative counters of the current step; `started` counts requests sent to the version."""

    requests: int = 0
    errors: int = 0
    first_token_ms_sum: int = 0
    token_ms_sum: int = 0
    tokens: int = 0
    started: int = 0

    def plus(self, other: "Counters") -> "Counters":
        """Return the sum of both, counter by counter."""
        return Counters(*(a + b for a, b in zip(self.values(), other.values(), strict=True)))

    def values(self) -> tuple[int, ...]:
        """Return the counters in order of declaration."""
        return (
            self.requests,
            self.errors,
            self.first_token_ms_sum,
            self.token_ms_sum,
            self.tokens,
            self.started,
        )

    def sent(self) -> int:
        """Return the requests sent; a result implies a sent request, even if it was not counted."""
        return max(self.started, self.requests)

    def first_token_ms(self) -> float:
        """Return the mean time to first token of successful requests, in ms."""
        return self.first_token_ms_sum / max(1, self.requests - self.errors)

    def token_ms(self) -> float:
        """Return the mean time per token after the first one, in ms."""
        return self.token_ms_sum / max(1, self.tokens)


@dataclass
class VersionRecord:
    """The counters and recent results of one version on one route."""

    counters: Counters = field(default_factory=Counters)
    recent: deque[RequestResult] = field(default_factory=lambda: deque(maxlen=WINDOW_REQUESTS))

    def add(self, result: RequestResult) -> None:
        """Record one result; the counters leave out the latencies of failed requests.

        A request of an earlier step is not counted, because it did not run under the load of the
        current step.
        """
        self.recent.append(result)
        if result.earlier_step:
            return
        if result.failed:
            added = Counters(1, 1)
        else:
            added = Counters(
                1, 0, result.first_token_ms, result.token_ms_sum, max(0, result.tokens)
            )
        self.counters = self.counters.plus(added)


class RouterEvidence:
    """The evidence of one router: counters of the current step and recent results.

    Counters restart from zero at each step, so that only requests sent at the share of a step
    count for it. Recent results are kept for the whole move.
    """

    def __init__(self) -> None:
        self.moves: dict[str, str] = {}
        self.steps: dict[str, int] = {}
        self.by_key: dict[EvidenceKey, VersionRecord] = {}

    def begin_step(self, move: Move) -> bool:
        """Reset the counters if the service's move or step changed; return whether it did."""
        service = move.service
        if self.moves.get(service) != move.id:
            self.by_key = {key: item for key, item in self.by_key.items() if key.service != service}
        elif self.steps.get(service) == move.step:
            return False
        self.moves[service] = move.id
        self.steps[service] = move.step
        for key, record in self.by_key.items():
            if key.service == service:
                record.counters = Counters()
        return True

    def start(self, key: EvidenceKey) -> None:
        """Count a request that is being sent to a version."""
        record = self.by_key.setdefault(key, VersionRecord())
        record.counters = record.counters.plus(Counters(started=1))

    def add(self, key: EvidenceKey, result: RequestResult) -> VersionRecord:
        """Record one result and return the record of its key."""
        record = self.by_key.setdefault(key, VersionRecord())
        record.add(result)
        return record

    def get(self, key: EvidenceKey) -> VersionRecord:
        """Return the record of `key`, or an empty one."""
        return self.by_key.get(key) or VersionRecord()

    def messages(self, config: FleetConfig) -> list[RouteEvidence]:
        """Return the counters of the active moves of `config` as messages for the controller.

        Drops the counters of an earlier move of the same service first, so that they do not count
        as evidence for the current one.
        """
        moves = {name: config.active_move(name) for name in config.services}
        active = {name: move for name, move in moves.items() if move is not None}
        for move in active.values():
            self.begin_step(move)
        return [
            to_message(key, record.counters)
            for key, record in self.by_key.items()
            if key.service in active
        ]


def to_message(key: EvidenceKey, counters: Counters) -> RouteEvidence:
    """Convert the counters of `key` to a protobuf message."""
    return RouteEvidence(
        service=key.service,
        route=key.route,
        version=key.version,
        requests=counters.requests,
        errors=counters.errors,
        first_token_ms_sum=counters.first_token_ms_sum,
        token_ms_sum=counters.token_ms_sum,
        tokens=counters.tokens,
        started=counters.started,
    )


def from_message(message: RouteEvidence) -> tuple[EvidenceKey, Counters]:
    """Convert a protobuf message to its key and counters."""
    key = EvidenceKey(message.service, message.route, message.version)
    counters = Counters(
        message.requests,
        message.errors,
        message.first_token_ms_sum,
        message.token_ms_sum,
        message.tokens,
        message.started,
    )
    return key, counters


@dataclass(frozen=True)
class Reporter:
    """Identifies one incarnation of a router."""

    member_id: str
    incarnation: int


class FleetEvidence:
    """Evidence of one step, merged from the reports of all routers.

    Counters are cumulative, so keeping the maximum per reporter tolerates lost, reordered and
    duplicate reports. A restarted router is a new reporter, whose counters add to those of its
    earlier incarnation. Routers count from the start of the step, so a controller that takes over
    uses the first report in full. `began_at` is when the collection began, in monotonic ms.
    """

    def __init__(self, began_at: int = 0) -> None:
        self.began_at = began_at
        self.latest: dict[Reporter, dict[EvidenceKey, Counters]] = {}

    def merge(self, reporter: Reporter, messages: Iterable[RouteEvidence]) -> None:
        """Merge one report of a router."""
        report = dict(from_message(message) for message in messages)
        known = self.latest.setdefault(reporter, {})
        for key, counters in report.items():
            before = known.get(key, Counters())
            if (counters.requests, counters.started) >= (before.requests, before.started):
                known[key] = counters

    def total(self, key: EvidenceKey) -> Counters:
        """Return the counters of `key`, summed over all reporters."""
        total = Counters()
        for known in self.latest.values():
            total = total.plus(known.get(key, Counters()))
        return total
