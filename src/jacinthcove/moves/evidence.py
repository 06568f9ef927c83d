"""What requests of a move's service showed, per route and version."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from jacinthcove.codes import ResultCode
from jacinthcove.config.model import FleetConfig
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
    """How one request ended; `token_ms_sum` covers the `tokens` after the first one."""

    code: ResultCode
    first_token_ms: int = 0
    token_ms_sum: int = 0
    tokens: int = 0

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
    """Cumulative counters since the move began."""

    requests: int = 0
    errors: int = 0
    first_token_ms_sum: int = 0
    token_ms_sum: int = 0
    tokens: int = 0

    def plus(self, other: "Counters") -> "Counters":
        """Return the sum."""
        return Counters(*(a + b for a, b in zip(self.values(), other.values(), strict=True)))

    def since(self, earlier: "Counters") -> "Counters":
        """Return what was added after `earlier`; all zero if the counters began anew."""
        if earlier.requests > self.requests:
            return Counters()
        pairs = zip(self.values(), earlier.values(), strict=True)
        return Counters(*(max(0, a - b) for a, b in pairs))

    def values(self) -> tuple[int, ...]:
        """Return the counters in order of declaration."""
        return (
            self.requests,
            self.errors,
            self.first_token_ms_sum,
            self.token_ms_sum,
            self.tokens,
        )

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
        """Count one result; latencies of failed requests say nothing and are left out."""
        self.recent.append(result)
        if result.failed:
            added = Counters(1, 1)
        else:
            added = Counters(
                1, 0, result.first_token_ms, result.token_ms_sum, max(0, result.tokens)
            )
        self.counters = self.counters.plus(added)


class Evidence:
    """The evidence of one router, kept from the start of each service's move."""

    def __init__(self) -> None:
        self.moves: dict[str, str] = {}
        self.by_key: dict[EvidenceKey, Record] = {}

    def begin(self, service: str, move_id: str) -> None:
        """Start from zero when `service` has another move than before."""
        if self.moves.get(service) == move_id:
            return
        self.moves[service] = move_id
        self.by_key = {key: item for key, item in self.by_key.items() if key.service != service}

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
        active = {name: move.id for name, move in moves.items() if move is not None}
        for service, move_id in active.items():
            self.begin(service, move_id)
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
    )
    return key, counters


@dataclass(frozen=True)
class Reporter:
    """One life of a router."""

    member_id: str
    incarnation: int


class FleetEvidence:
    """Evidence merged from the reports of routers.

    Counters are cumulative, so the maximum per reporter tolerates loss, reordering and duplicates,
    and a restarted router adds to what its earlier life reported. What a reporter had counted when
    it was first seen lies before this evidence and is left out.
    """

    def __init__(self) -> None:
        self.first: dict[Reporter, dict[EvidenceKey, Counters]] = {}
        self.latest: dict[Reporter, dict[EvidenceKey, Counters]] = {}

    def merge(self, reporter: Reporter, messages: Iterable[RouteEvidence]) -> None:
        """Take one report."""
        report = dict(from_message(message) for message in messages)
        known = self.latest.setdefault(reporter, {})
        self.first.setdefault(reporter, dict(report))
        for key, counters in report.items():
            if counters.requests >= known.get(key, Counters()).requests:
                known[key] = counters

    def total(self, key: EvidenceKey) -> Counters:
        """Return the sum over all reporters."""
        total = Counters()
        for reporter, known in self.latest.items():
            earlier = self.first[reporter].get(key, Counters())
            total = total.plus(known.get(key, Counters()).since(earlier))
        return total
