"""Local detection of bad versions and the cuts that follow.

Each check is a CUSUM test (cumulative sum of log likelihood ratios, floored at zero): it sums
the evidence that an event is as frequent as in a faulty version and not as in the old one. It finds
faults from the start as well as later ones. When the old rate is right, a sum reaches the threshold
h with a probability of at most exp(-h) per request.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Move
from jacinthcove.mesh.mesh_pb2 import MoveCut
from jacinthcove.moves.evidence import Counters, Evidence, EvidenceKey, Record, RequestResult

# A good move of 100,000 requests shall be cut by chance in at most 1 of 100 cases by each check:
# ln(100,000 / 0.01).
CUT_THRESHOLD = 16.1
# Failures in a row cut when the old version would show them with at most this probability.
STREAK_PROBABILITY = 1e-7
MIN_STREAK = 3
MIN_OLD_RESULTS = 15
# The old version's rate before it has shown enough results.
UNKNOWN_RATE = 0.2
SLOW_RATIO = 1.5
# Differences below these are within the resolution of the measurement.
FIRST_TOKEN_SLACK_MS = 5.0
TOKEN_SLACK_MS = 2.0
# Engines work in steps of one token, so a first token that comes a step or two later may only
# have missed the start of a step.
FIRST_TOKEN_SLACK_STEPS = 2
FLEET_SLOW_RATIO = 2.0
# A new version starts with empty prefix caches, which made the mean first token of equal engines
# more than twice as late as that of warm ones.
FLEET_SLOW_FIRST_RATIO = 4.0
# A first token is slow when it is slower by SLOW_RATIO than this part of the old version's: what
# the old version shows on its own cache misses is no fault of a version without cached prefixes.
SLOW_FIRST_QUANTILE = 0.97
# Fewer results may hold too few cache misses for that quantile.
MIN_OLD_FIRST_TOKENS = 100
# First-token times vary more than times per token, above all while prefix caches are empty.
FLEET_MIN_RESULTS = 40
FLEET_MIN_TOKEN_RESULTS = 10
# A step does not end while versions with equal error rates would show so many errors of the new one
# with less than this probability. A chance difference goes away with more results.
ERROR_SUSPICION = 0.01
REFRESH_REQUESTS = 20


def upper_rate(events: int, count: int) -> float:
    """Return a rate that the true one exceeds only rarely, from `events` in `count` results."""
    if count < MIN_OLD_RESULTS:
        return UNKNOWN_RATE
    return min(0.9, (events + 1 + 2 * math.sqrt(events + 1)) / (count + 3))


@dataclass
class Cusum:
    """The running sum of one test."""

    score: float = 0.0

    def add(self, event: bool, old_rate: float, bad_rate: float) -> bool:
        """Count one result; return whether the threshold is reached."""
        if event:
            step = math.log(bad_rate / old_rate)
        else:
            step = math.log((1 - bad_rate) / (1 - old_rate))
        self.score = max(0.0, self.score + step)
        return self.score >= CUT_THRESHOLD


@dataclass(frozen=True)
class Baseline:
    """What the old version shows on a route; rates are upper estimates, times in ms."""

    error_rate: float
    slow_first_ms: float
    slow_first_rate: float
    slow_token_ms: float
    slow_token_rate: float


def baseline_of(old: Record) -> Baseline:
    """Derive the baseline from the recent results of the old version."""
    recent = list(old.recent)
    good = [item for item in recent if not item.failed]
    token_times = [item.token_ms for item in good if item.token_ms is not None]
    first_slack = first_token_slack_ms(median(token_times) if token_times else 0.0)
    first_times = [float(item.first_token_ms) for item in good]
    if token_times and len(first_times) < MIN_OLD_FIRST_TOKENS:
        first_times = []
    first, first_rate = _slow_rate(first_times, first_slack, SLOW_FIRST_QUANTILE)
    token, token_rate = _slow_rate(token_times, TOKEN_SLACK_MS)
    error_rate = upper_rate(len(recent) - len(good), len(recent))
    return Baseline(error_rate, first, first_rate, token, token_rate)


def first_token_slack_ms(token_ms: float) -> float:
    """Return the difference of first-token times that says nothing, from the time per token."""
    return max(FIRST_TOKEN_SLACK_MS, FIRST_TOKEN_SLACK_STEPS * token_ms)


def _slow_rate(times: list[float], slack_ms: float, quantile: float = 0.0) -> tuple[float, float]:
    """Return the time above which a result counts as slow and how often old results are slow."""
    if len(times) < MIN_OLD_RESULTS:
        return math.inf, UNKNOWN_RATE
    middle = median(times)
    usual = max(middle, sorted(times)[int(quantile * (len(times) - 1))])
    limit = max(usual * SLOW_RATIO, middle + slack_ms)
    return limit, upper_rate(sum(1 for time in times if time > limit), len(times))


@dataclass
class Watch:
    """The tests of one move on one route."""

    errors: Cusum = field(default_factory=Cusum)
    many_errors: Cusum = field(default_factory=Cusum)
    first_token: Cusum = field(default_factory=Cusum)
    token: Cusum = field(default_factory=Cusum)
    streak: int = 0
    baseline: Baseline | None = None
    results: int = 0

    def check(self, result: RequestResult, old: Record) -> str:
        """Count a result of the new version; return the fault that it completes, or ''."""
        if self.baseline is None or self.results % REFRESH_REQUESTS == 0 or result.failed:
            self.baseline = baseline_of(old)
        self.results += 1
        return self._check_errors(result.failed, self.baseline) or (
            "" if result.failed else self._check_times(result, self.baseline)
        )

    def _check_errors(self, failed: bool, baseline: Baseline) -> str:
        rate = baseline.error_rate
        self.streak = self.streak + 1 if failed else 0
        if self.streak >= MIN_STREAK and rate**self.streak <= STREAK_PROBABILITY:
            return f"{self.streak} failures in a row"
        several = self.errors.add(failed, rate, min(0.97, rate * 3))
        if several | self.many_errors.add(failed, rate, min(0.98, max(0.3, rate * 2))):
            return "more errors than the old version"
        return ""

    def _check_times(self, result: RequestResult, baseline: Baseline) -> str:
        slow = result.first_token_ms > baseline.slow_first_ms
        if self.first_token.add(slow, baseline.slow_first_rate, _bad(baseline.slow_first_rate)):
            return "slower first token than the old version"
        if result.token_ms is None:
            return ""
        slow = result.token_ms > baseline.slow_token_ms
        if self.token.add(slow, baseline.slow_token_rate, _bad(baseline.slow_token_rate)):
            return "slower tokens than the old version"
        return ""


def _bad(rate: float) -> float:
    """Return how often a slow version is slow, at least half-way between `rate` and always."""
    return max(0.6, (1 + rate) / 2)


def fleet_fault(new: Counters, old: Counters) -> str:
    """Compare merged counters, for faults too thinly spread to show on one router; or ''."""
    return fleet_errors(new, old) or _fleet_slowness(
        new, old, FLEET_MIN_RESULTS, FLEET_MIN_TOKEN_RESULTS
    )


def fleet_suspicion(new: Counters, old: Counters) -> str:
    """Return what would be a fault if more results showed the same, or ''."""
    return _fleet_slowness(new, old, 1, 1)


def suspect_errors(new: Counters, old: Counters) -> bool:
    """Return whether equal versions would rarely split their errors like this.

    Errors that show only under load stay rare, because each one lowers the concurrency limit of its
    target: 9 of 340 requests where the old version had none, too few for `fleet_errors`. With equal
    rates, an error is one of the new version with the probability of its part of the requests.
    """
    errors = new.errors + old.errors
    if not new.errors or not old.requests:
        return False
    part = new.requests / (new.requests + old.requests)
    return _binomial_tail(new.errors, errors, part) < ERROR_SUSPICION


def _binomial_tail(least: int, trials: int, part: float) -> float:
    """Return the probability of `least` or more successes; `part` lies between 0 and 1."""
    return sum(
        math.exp(
            math.lgamma(trials + 1)
            - math.lgamma(k + 1)
            - math.lgamma(trials - k + 1)
            + k * math.log(part)
            + (trials - k) * math.log1p(-part)
        )
        for k in range(least, trials + 1)
    )


def fleet_errors(new: Counters, old: Counters) -> str:
    """Compare the errors of merged counters; return the fault or ''."""
    rate = upper_rate(old.errors, old.requests)
    if new.requests and new.errors / new.requests > rate:
        share = min(new.errors / new.requests, 1 - 1e-9)
        divergence = share * math.log(share / rate) + (1 - share) * math.log(
            (1 - share) / (1 - rate)
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
    """One route of one move."""

    move_id: str
    route: str


class Guard:
    """The cuts known to a router; they only grow while their move is configured."""

    def __init__(
        self,
        config: Callable[[], FleetConfig],
        clock: Clock,
        origin: str,
        evidence: Evidence,
        on_cut: Callable[[MoveCut], None],
    ):
        self.config = config
        self.clock = clock
        self.origin = origin
        self.evidence = evidence
        self.on_cut = on_cut
        self.watches: dict[CutKey, Watch] = {}
        self.known: dict[CutKey, MoveCut] = {}

    def record(self, service: str, route: str, version: str, result: RequestResult) -> None:
        """Count a result; a fault that it shows cuts the new version on the route at once."""
        move = self.config().active_move(service)
        if move is None:
            return
        self.evidence.begin(move)
        self.evidence.add(EvidenceKey(service, route, version), result)
        key = CutKey(move.id, route)
        if version != move.to_version or key in self.known:
            return
        self._forget_ended()
        old = self.evidence.get(EvidenceKey(service, route, move.from_version))
        fault = self.watches.setdefault(key, Watch()).check(result, old)
        if fault:
            self._cut(move, route, fault)

    def is_cut(self, move_id: str, route: str) -> bool:
        """Return whether the new version of a move receives nothing on `route`."""
        return CutKey(move_id, route) in self.known

    def apply_remote(self, cut: MoveCut) -> bool:
        """Take a cut made elsewhere; return whether it was unknown."""
        key = CutKey(cut.move_id, cut.route)
        if key in self.known:
            return False
        self.known[key] = cut
        return True

    def cuts(self) -> list[MoveCut]:
        """Return all known cuts."""
        return list(self.known.values())

    def _cut(self, move: Move, route: str, fault: str) -> None:
        cut = MoveCut(
            move_id=move.id,
            route=route,
            reason=fault,
            origin=self.origin,
            wall_ms=self.clock.wall(),
        )
        self.known[CutKey(move.id, route)] = cut
        self.on_cut(cut)

    def _forget_ended(self) -> None:
        """Drop the tests of moves that are no longer active."""
        if len(self.watches) <= len(self.config().services):
            return
        active = {
            move.id for move in map(self.config().active_move, self.config().services) if move
        }
        self.watches = {key: item for key, item in self.watches.items() if key.move_id in active}
