"""Detection of faulty versions; a detected fault cuts the new version off from a route.

Each router runs CUSUM tests (cumulative sums of log likelihood ratios, floored at zero) on its own
results. A sum grows when an event is as frequent as in a faulty version rather than as in the old
version, so faults are found whether they exist from the start or appear later. If the event is only
as frequent as in the old version, a sum reaches the threshold h with a probability of at most
exp(-h) per request. The controller runs further tests on the counters merged over all routers.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Move
from jacinthcove.mesh.mesh_pb2 import MoveCut
from jacinthcove.moves.evidence import (
    Counters,
    EvidenceKey,
    RequestResult,
    RouterEvidence,
    VersionRecord,
)

# ln(100,000 / 0.01): each test cuts at most 1 of 100 good moves of 100,000 requests by chance.
CUT_THRESHOLD = 16.1
# Consecutive failures cut the version when the old one would show them with at most this
# probability.
STREAK_PROBABILITY = 1e-7
MIN_STREAK = 3
MIN_OLD_RESULTS = 15
# Rate assumed for the old version until it has MIN_OLD_RESULTS results.
UNKNOWN_RATE = 0.2
SLOW_RATIO = 1.5
# Smaller differences are within the resolution of the measurement.
FIRST_TOKEN_SLACK_MS = 5.0
TOKEN_SLACK_MS = 2.0
# Engines generate one token per step, so a first token that is one or two steps late may only have
# missed the start of a step.
FIRST_TOKEN_SLACK_STEPS = 2
FLEET_SLOW_RATIO = 2.0
# A new version starts with empty prefix caches: its mean time to first token was more than twice
# that of equal engines with warm caches.
FLEET_SLOW_FIRST_RATIO = 4.0
# A first token is slow when it takes SLOW_RATIO times this quantile of the old version's times. The
# quantile includes the old version's cache misses, because a new version has no cached prefixes.
SLOW_FIRST_QUANTILE = 0.97
# With fewer results, that quantile may not include cache misses.
MIN_OLD_FIRST_TOKENS = 100
# Times to first token vary more than times per token, mostly while prefix caches are empty, so
# they need more results.
FLEET_MIN_RESULTS = 40
FLEET_MIN_TOKEN_RESULTS = 10
# A step does not end while the new version has more errors than would occur with this probability
# at equal error rates. A difference by chance disappears with more results.
ERROR_SUSPICION_PROBABILITY = 0.01
# The baseline is computed again after this many results of the new version.
REFRESH_REQUESTS = 20


def upper_rate(events: int, count: int) -> float:
    """Return an upper estimate of the rate of an event seen `events` times in `count` results."""
    if count < MIN_OLD_RESULTS:
        return UNKNOWN_RATE
    return min(0.9, (events + 1 + 2 * math.sqrt(events + 1)) / (count + 3))


@dataclass
class Cusum:
    """The cumulative sum of one CUSUM test."""

    score: float = 0.0

    def add(self, event: bool, old_rate: float, faulty_rate: float) -> bool:
        """Add one result; return whether the sum reached the threshold."""
        if event:
            step = math.log(faulty_rate / old_rate)
        else:
            step = math.log((1 - faulty_rate) / (1 - old_rate))
        self.score = max(0.0, self.score + step)
        return self.score >= CUT_THRESHOLD


@dataclass(frozen=True)
class Baseline:
    """Error and slowness rates of the old version on a route, as upper estimates.

    A result is slow when it exceeds `slow_first_ms` or `slow_token_ms`.
    """

    error_rate: float
    slow_first_ms: float
    slow_first_rate: float
    slow_token_ms: float
    slow_token_rate: float


def baseline_of(old: VersionRecord) -> Baseline:
    """Derive the baseline from the recent results of the old version."""
    recent = list(old.recent)
    good = [item for item in recent if not item.failed]
    token_times = [item.token_ms for item in good if item.token_ms is not None]
    first_slack = first_token_slack_ms(median(token_times) if token_times else 0.0)
    first_times = [float(item.first_token_ms) for item in good]
    if token_times and len(first_times) < MIN_OLD_FIRST_TOKENS:
        first_times = []
    first, first_rate = _slow_limit_and_rate(first_times, first_slack, SLOW_FIRST_QUANTILE)
    token, token_rate = _slow_limit_and_rate(token_times, TOKEN_SLACK_MS)
    error_rate = upper_rate(len(recent) - len(good), len(recent))
    return Baseline(error_rate, first, first_rate, token, token_rate)


def first_token_slack_ms(token_ms: float) -> float:
    """Return the difference in time to first token that is ignored, from the time per token."""
    return max(FIRST_TOKEN_SLACK_MS, FIRST_TOKEN_SLACK_STEPS * token_ms)


def _slow_limit_and_rate(
    times: list[float], slack_ms: float, quantile: float = 0.0
) -> tuple[float, float]:
    """Return the time above which a result is slow, and the rate of slow old results."""
    if len(times) < MIN_OLD_RESULTS:
        return math.inf, UNKNOWN_RATE
    median_ms = median(times)
    usual_ms = max(median_ms, sorted(times)[int(quantile * (len(times) - 1))])
    limit = max(usual_ms * SLOW_RATIO, median_ms + slack_ms)
    return limit, upper_rate(sum(1 for time in times if time > limit), len(times))


@dataclass
class RouteMonitor:
    """Runs the tests of one move on one route."""

    errors: Cusum = field(default_factory=Cusum)
    many_errors: Cusum = field(default_factory=Cusum)
    first_token: Cusum = field(default_factory=Cusum)
    token: Cusum = field(default_factory=Cusum)
    consecutive_failures: int = 0
    baseline: Baseline | None = None
    results: int = 0

    def check(self, result: RequestResult, old: VersionRecord) -> str:
        """Add a result of the new version; return the fault that it reveals, or ''."""
        if self.baseline is None or self.results % REFRESH_REQUESTS == 0 or result.failed:
            self.baseline = baseline_of(old)
        self.results += 1
        return self._check_errors(result.failed, self.baseline) or (
            "" if result.failed else self._check_times(result, self.baseline)
        )

    def _check_errors(self, failed: bool, baseline: Baseline) -> str:
        rate = baseline.error_rate
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        if (
            self.consecutive_failures >= MIN_STREAK
            and rate**self.consecutive_failures <= STREAK_PROBABILITY
        ):
            return f"{self.consecutive_failures} failures in a row"
        found = self.errors.add(failed, rate, min(0.97, rate * 3))
        if found | self.many_errors.add(failed, rate, min(0.98, max(0.3, rate * 2))):
            return "more errors than the old version"
        return ""

    def _check_times(self, result: RequestResult, baseline: Baseline) -> str:
        slow = result.first_token_ms > baseline.slow_first_ms
        if self.first_token.add(
            slow, baseline.slow_first_rate, _faulty_rate(baseline.slow_first_rate)
        ):
            return "slower first token than the old version"
        if result.token_ms is None:
            return ""
        slow = result.token_ms > baseline.slow_token_ms
        if self.token.add(slow, baseline.slow_token_rate, _faulty_rate(baseline.slow_token_rate)):
            return "slower tokens than the old version"
        return ""


def _faulty_rate(rate: float) -> float:
    """Return the rate to test for: half-way between `rate` and 1, and at least 0.6."""
    return max(0.6, (1 + rate) / 2)


def fleet_fault(new: Counters, old: Counters) -> str:
    """Compare merged counters, for faults too rare to show on one router; '' if there is none."""
    return fleet_error_fault(new, old) or _fleet_slowness(
        new, old, FLEET_MIN_RESULTS, FLEET_MIN_TOKEN_RESULTS
    )


def fleet_slowness_suspicion(new: Counters, old: Counters) -> str:
    """Return the slowness that would be a fault if more results confirmed it, or ''."""
    return _fleet_slowness(new, old, 1, 1)


def has_suspicious_errors(new: Counters, old: Counters) -> bool:
    """Return whether the new version has more errors than equal error rates would explain.

    Errors that appear only under load stay rare, because each one lowers the concurrency limit of
    its target: for example 9 of 340 requests where the old version had none, too few for
    `fleet_error_fault`. At equal rates, the probability that an error belongs to the new version
    is its fraction of the requests.
    """
    errors = new.errors + old.errors
    if not new.errors or not old.requests:
        return False
    fraction = new.requests / (new.requests + old.requests)
    return _binomial_tail(new.errors, errors, fraction) < ERROR_SUSPICION_PROBABILITY


def _binomial_tail(least: int, trials: int, probability: float) -> float:
    """Return the probability of `least` or more successes; 0 < `probability` < 1."""
    return sum(
        math.exp(
            math.lgamma(trials + 1)
            - math.lgamma(k + 1)
            - math.lgamma(trials - k + 1)
            + k * math.log(probability)
            + (trials - k) * math.log1p(-probability)
        )
        for k in range(least, trials + 1)
    )


def fleet_error_fault(new: Counters, old: Counters) -> str:
    """Compare the error rates of merged counters; return the fault or ''."""
    rate = upper_rate(old.errors, old.requests)
    if new.requests and new.errors / new.requests > rate:
        new_rate = min(new.errors / new.requests, 1 - 1e-9)
        divergence = new_rate * math.log(new_rate / rate) + (1 - new_rate) * math.log(
            (1 - new_rate) / (1 - rate)
        )
        if new.requests * divergence > CUT_THRESHOLD:
            return "more errors than the old version over the fleet"
    return ""


def _fleet_slowness(new: Counters, old: Counters, first_results: int, token_results: int) -> str:
    results = min(new.requests - new.errors, old.requests - old.errors)
    slack = first_token_slack_ms(old.token_ms())
    limit = max(old.first_token_ms() * FLEET_SLOW_FIRST_RATIO, old.first_token_ms() + slack)
    if results >= first_results and new.first_token_ms() > limit:
        return "slower first token than the old version over the fleet"
    limit = max(old.token_ms() * FLEET_SLOW_RATIO, old.token_ms() + TOKEN_SLACK_MS)
    if results >= token_results and old.tokens and new.tokens and new.token_ms() > limit:
        return "slower tokens than the old version over the fleet"
    return ""


@dataclass(frozen=True)
class CutKey:
    """Identifies one route of one move."""

    move_id: str
    route: str


class FaultDetector:
    """Detects faults on one router and keeps all cuts it knows, its own and those of others.

    A cut is never taken back during its move. `on_cut` is called for each cut made here.
    """

    def __init__(
        self,
        config: Callable[[], FleetConfig],
        clock: Clock,
        origin: str,
        evidence: RouterEvidence,
        on_cut: Callable[[MoveCut], None],
    ):
        self.config = config
        self.clock = clock
        self.origin = origin
        self.evidence = evidence
        self.on_cut = on_cut
        self.monitors: dict[CutKey, RouteMonitor] = {}
        self.known_cuts: dict[CutKey, MoveCut] = {}

    def record(self, service: str, route: str, version: str, result: RequestResult) -> None:
        """Record a result; if it reveals a fault, cut the new version off from the route."""
        move = self.config().active_move(service)
        if move is None:
            return
        self.evidence.begin_step(move)
        self.evidence.add(EvidenceKey(service, route, version), result)
        key = CutKey(move.id, route)
        if version != move.to_version or key in self.known_cuts:
            return
        self._forget_ended_moves()
        old = self.evidence.get(EvidenceKey(service, route, move.from_version))
        fault = self.monitors.setdefault(key, RouteMonitor()).check(result, old)
        if fault:
            self._cut(move, route, fault)

    def is_cut(self, move_id: str, route: str) -> bool:
        """Return whether the new version of a move receives no requests on `route`."""
        return CutKey(move_id, route) in self.known_cuts

    def add_remote_cut(self, cut: MoveCut) -> bool:
        """Add a cut made by another router; return whether it is new here."""
        key = CutKey(cut.move_id, cut.route)
        if key in self.known_cuts:
            return False
        self.known_cuts[key] = cut
        return True

    def cuts(self) -> list[MoveCut]:
        """Return all known cuts, for reports and for repeating them to other routers."""
        return list(self.known_cuts.values())

    def _cut(self, move: Move, route: str, fault: str) -> None:
        cut = MoveCut(
            move_id=move.id,
            route=route,
            reason=fault,
            origin=self.origin,
            wall_ms=self.clock.wall(),
        )
        self.known_cuts[CutKey(move.id, route)] = cut
        self.on_cut(cut)

    def _forget_ended_moves(self) -> None:
        """Drop the monitors of moves that are no longer active."""
        if len(self.monitors) <= len(self.config().services):
            return
        active = {
            move.id for move in map(self.config().active_move, self.config().services) if move
        }
        self.monitors = {key: item for key, item in self.monitors.items() if key.move_id in active}
