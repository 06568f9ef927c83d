"""What requests of a move's service showed, per route and version."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from jacinthcove.codes import ResultCode
from jacinthcove.config.model import FleetConfig, Move
from jacinthcove.mesh.mesh_pb2 import RouteEvidence

# Old results give way to recent ones, so the comparison follows the load of the hour.
WINDOW_REQUESTS = 400

# Results that a version may be to blame for; rejections count because the rate is compared.
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
    """One version on one route of a service."""

    service: str
    route: str
    version: str


@dataclass(frozen=True)
class RequestResult:
    """How one request ended; `token_ms_sum` covers the `tokens` after the first one.

    `earlier_step` says that the request was sent before the move's step in force.
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
        """The mean time per token after the first one, in ms."""
        return self.token_ms_sum / self.tokens if self.tokens > 0 else None


@dataclass(frozen=True)
class Counters:
    """Cumulative counters of the step in force; `started` counts requests sent to the version."""

    requests: int = 0
    errors: int = 0
    first_token_ms_sum: int = 0
    token_ms_sum: int = 0
    tokens: int = 0
    started: int = 0

    def plus(self, other: "Counters") -> "Counters":
        """Return the sum."""
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
        """Return the requests sent; a result counts as sent, even if its start was not seen."""
        return max(self.started, self.requests)

    def first_token_ms(self) -> float:
        """Return the mean first-token time of successful requests, in ms."""
        return self.first_token_ms_sum / max(1, self.requests - self.errors)

    def token_ms(self) -> float:
        """Return the mean time per token, in ms."""
        return self.token_ms_sum / max(1, self.tokens)


@dataclass
class Record:
    """The counters of one key with its recent results."""

    counters: Counters = field(default_factory=Counters)
    recent: deque[RequestResult] = field(default_factory=lambda: deque(maxlen=WINDOW_REQUESTS))

    def add(self, result: RequestResult) -> None:
        """Count one result; latencies of failed requests say nothing and are left out.

        A request of an earlier step says nothing about the load of the step in force.
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


class Evidence:
    """The evidence of one router: counters of each move's step, and recent results.

    Counters begin anew with each step, so that a step ends on requests that ran at its share.
    Recent results are kept over the whole move.
    """

    def __init__(self) -> None:
        self.moves: dict[str, str] = {}
        self.steps: dict[str, int] = {}
        self.by_key: dict[EvidenceKey, Record] = {}

    def begin(self, move: Move) -> bool:
        """Start from zero when a service has another move or step than before; return whether."""
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
        """Count a request that is sent to a version."""
        record = self.by_key.setdefault(key, Record())
        record.counters = record.counters.plus(Counters(started=1))

    def add(self, key: EvidenceKey, result: RequestResult) -> Record:
        """Count one result and return the record of its key."""
        record = self.by_key.setdefault(key, Record())
        record.add(result)
        return record

    def get(self, key: EvidenceKey) -> Record:
        """Return the record of `key`, an empty one if nothing was counted."""
        return self.by_key.get(key) or Record()

    def messages(self, config: FleetConfig) -> list[RouteEvidence]:
        """Return the counters of the active moves of `config` as messages for the controller.

        Counters of an earlier move of the same service are dropped first, because their sum with
        this move's would pass for evidence.
        """
        moves = {name: config.active_move(name) for name in config.services}
        active = {name: move for name, move in moves.items() if move is not None}
        for move in active.values():
            self.begin(move)
        return [
            to_message(key, record.counters)
            for key, record in self.by_key.items()
            if key.service in active
        ]


def to_message(key: EvidenceKey, counters: Counters) -> RouteEvidence:
    """Convert counters to a message."""
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
    """Convert a message to its key and counters."""
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
    """One life of a router."""

    member_id: str
    incarnation: int


class FleetEvidence:
    """Evidence of one step merged from the reports of routers.

    Counters are cumulative, so the maximum per reporter tolerates loss, reordering and duplicates,
    and a restarted router adds to what its earlier life reported. Routers count from the start of
    the step, so the first report counts in full, also for a controller that takes over. `began_at`
    is the monotonic ms at which the collection began.
    """

    def __init__(self, began_at: int = 0) -> None:
        self.began_at = began_at
        self.latest: dict[Reporter, dict[EvidenceKey, Counters]] = {}

    def merge(self, reporter: Reporter, messages: Iterable[RouteEvidence]) -> None:
        """Take one report."""
        report = dict(from_message(message) for message in messages)
        known = self.latest.setdefault(reporter, {})
        for key, counters in report.items():
            before = known.get(key, Counters())
            if (counters.requests, counters.started) >= (before.requests, before.started):
                known[key] = counters

    def total(self, key: EvidenceKey) -> Counters:
        """Return the sum over all reporters."""
        total = Counters()
        for known in self.latest.values():
            total = total.plus(known.get(key, Counters()))
        return total
