"""The adaptive concurrency limit of one target."""

import math

from jacinthcove.clock import Clock
from jacinthcove.config.model import Limits

# One step up per window under load takes a good target from 1 to 12 in under 6 s.
WINDOW_MS = 500
# After a decrease the limit rises more slowly, so that it stays near what the target can carry.
CAREFUL_WINDOW_MS = 2_000
CAREFUL_MS = 20_000
# Continuous batching raises the time per token with the batch; twice the best time is overload.
LATENCY_RATIO = 2.0
# The best time is forgotten by this part per window, so that a lasting change is accepted.
BASELINE_GROWTH = 1.002
# A paused router reads the tokens that came meanwhile in one burst, which is not a better time:
# a best time of 1 ms from a burst kept limits at 1 for the rest of a run.
BASELINE_DROP = 0.8
LATENCY_DECREASE = 0.7
ERROR_DECREASE = 0.5
# The durations of plain requests vary widely even on a healthy target. Their geometric mean over
# this many, relative to that of their route, rarely strays by this factor; an arithmetic mean over
# ten did with costs of 1 to 38 units.
PLAIN_SAMPLES = 20
PLAIN_RATIO = 3.0
# An overload must not become the usual duration before it is noticed several times.
BASELINE_WEIGHT = 0.002
MAX_ROUTES = 1_000
# Errors of one burst count as one.
DECREASE_PAUSE_MS = 1_000
# A first token this much later than usual, twice in a row, is that of a cold target.
FIRST_TOKEN_RATIO = 5.0
FIRST_TOKEN_MIN_MS = 1_000
FIRST_TOKEN_SAMPLES = 5
# More requests than the limit show in a load report up to this late: the poll
# period of 500 ms, the lag of the report and the usage period of 250 ms.
OVERFULL_REPORT_MS = 1_500
# Load reports lag, so own requests of this period still explain the load that a target reports.
OWN_PEAK_MS = 1_500


class AdaptiveLimit:
    """Additive increase, multiplicative decrease, and back to the cold limit on a cold start."""

    def __init__(self, limits: Limits, clock: Clock):
        self.limits = limits
        self.clock = clock
        self.value = float(limits.cold)
        self.baseline_ms = 0.0
        self.foreign: int | None = None
        self._window_start = clock.now()
        self._tokens = 0
        self._token_ms = 0
        self._healthy = 0
        self._saturated = False
        self._decreased_at: int | None = None
        self._first_token_ms = 0.0
        self._first_tokens = 0
        self._late_first_tokens = 0
        self._overfull_at: int | None = None
        self._routes: dict[str, tuple[float, int]] = {}
        self._ratio_sum = 0.0
        self._ratios = 0
        self._own: list[tuple[int, int]] = []

    def allowed(self, visible_fraction: float) -> int:
        """Return the concurrency for an owner that sees this fraction of the routers alive.

        The sides of a partition are disjoint, so rounding down keeps their sum within the limit.
        """
        value = min(int(self.value), self.limits.max - max(0, self.foreign or 0))
        scaled = math.floor(max(0, value) * visible_fraction)
        if scaled < 1 and value >= 1 and visible_fraction > 0.5:
            return 1
        return scaled

    def cold(self) -> None:
        """Fall to the cold limit and learn the target's latencies again."""
        self.value = float(min(self.limits.cold, self.limits.max))
        self.baseline_ms = 0.0
        self._first_tokens = self._late_first_tokens = 0
        self._routes.clear()
        self._ratio_sum, self._ratios = 0.0, 0
        self._restart_window()

    def configure(self, limits: Limits) -> None:
        """Take changed bounds."""
        self.limits = limits
        self.value = min(self.value, float(limits.max))

    def on_in_flight(self, in_flight: int, allowed: int) -> None:
        """Note the own requests in flight after every grant and end."""
        now = self.clock.now()
        self._own.append((now, in_flight))
        while self._own[0][0] < now - OWN_PEAK_MS and len(self._own) > 1:
            self._own.pop(0)
        if in_flight >= allowed:
            self._saturated = True

    def on_load(self, running: int, waiting: int, in_flight: int, cold: bool) -> None:
        """Take a load report: other senders or a cold target stop the rise."""
        now = self.clock.now()
        own = [count for at, count in self._own[1:] if at >= now - OWN_PEAK_MS]
        # The entry before the period gives the count with which the period began.
        peak = max([in_flight, *own, *[count for _, count in self._own[:1]]])
        self.foreign = max(0, running + waiting - peak)
        if running + waiting > self.limits.max:
            self._overfull_at = now
        if cold:
            self.value = min(self.value, float(self.limits.cold))

    def on_progress(self, tokens: int, token_ms: int) -> None:
        """Take the tokens that arrived and the time they took."""
        self._tokens += tokens
        self._token_ms += token_ms
        self._healthy += 1
        self._close_window()

    def on_plain(self, route: str, elapsed_ms: float) -> None:
        """Take the duration of a request without tokens that ended well."""
        duration = math.log(max(1.0, elapsed_ms))
        mean, count = self._routes.get(route, (duration, 0))
        if count >= PLAIN_SAMPLES:
            self._ratio_sum += duration - mean
            self._ratios += 1
        if len(self._routes) < MAX_ROUTES or route in self._routes:
            weight = max(BASELINE_WEIGHT, 1 / (count + 1))
            self._routes[route] = (mean + weight * (duration - mean), count + 1)
        if self._ratios >= PLAIN_SAMPLES:
            slow = self._ratio_sum / self._ratios > math.log(PLAIN_RATIO)
            self._ratio_sum, self._ratios = 0.0, 0
            if slow:
                self._decrease(LATENCY_DECREASE)
                self._restart_window()
                return
        self.on_end()

    def on_end(self) -> None:
        """Take a request that ended well."""
        self._healthy += 1
        self._close_window()

    def on_first_token(self, first_token_ms: int) -> None:
        """Take the time to the first token of a request."""
        usual = self._first_token_ms
        late = first_token_ms > max(FIRST_TOKEN_MIN_MS, FIRST_TOKEN_RATIO * usual)
        if self._first_tokens >= FIRST_TOKEN_SAMPLES and late:
            # Requests of a lost router still run when its slots are granted again. What waits
            # behind them is late because the target is full, not because it is cold.
            since = self.clock.now() - first_token_ms - OVERFULL_REPORT_MS
            if self._overfull_at is not None and self._overfull_at >= since:
                return
            self._late_first_tokens += 1
            if self._late_first_tokens >= 2:
                self.cold()
            return
        self._late_first_tokens = 0
        weight = 0.1 if self._first_tokens >= FIRST_TOKEN_SAMPLES else 0.5
        self._first_token_ms = (
            usual + weight * (first_token_ms - usual) if self._first_tokens else first_token_ms
        )
        self._first_tokens += 1

    def on_error(self) -> None:
        """Take a request that the target failed or did not admit."""
        self._decrease(ERROR_DECREASE)

    def _close_window(self) -> None:
        now = self.clock.now()
        careful = self._decreased_at is not None and now - self._decreased_at < CAREFUL_MS
        if now - self._window_start < (CAREFUL_WINDOW_MS if careful else WINDOW_MS):
            return
        if self._tokens:
            mean = self._token_ms / self._tokens
            if self.value <= self.limits.cold:
                # With the least load the time per token is the best one that there is.
                self.baseline_ms = mean
            elif self.baseline_ms and mean > LATENCY_RATIO * self.baseline_ms:
                self.baseline_ms *= BASELINE_GROWTH
                self._decrease(LATENCY_DECREASE)
                self._restart_window()
                return
            if self.baseline_ms:
                grown = self.baseline_ms * BASELINE_GROWTH
                least = self.baseline_ms * BASELINE_DROP
                self.baseline_ms = max(least, min(mean, grown))
            else:
                self.baseline_ms = mean
        if self._healthy and self._saturated and self.foreign == 0:
            self.value = min(float(self.limits.max), self.value + 1)
        self._restart_window()

    def _decrease(self, factor: float) -> None:
        now = self.clock.now()
        if self._decreased_at is not None and now - self._decreased_at < DECREASE_PAUSE_MS:
            return
        self._decreased_at = now
        self.value = max(1.0, self.value * factor)
        self._saturated = False

    def _restart_window(self) -> None:
        self._window_start = self.clock.now()
        self._tokens = self._token_ms = self._healthy = 0
        self._saturated = False
