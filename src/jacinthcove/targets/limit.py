"""The adaptive concurrency limit of one target, with detection of cold starts."""

import math

from jacinthcove.clock import Clock
from jacinthcove.config.model import Limits

# The limit rises by one per window under load, so a healthy target gets from 1 to 12 in under 6 s.
WINDOW_MS = 500
# After a decrease the limit rises more slowly, so that it stays near the capacity of the target.
SLOW_RISE_WINDOW_MS = 2_000
SLOW_RISE_PERIOD_MS = 20_000
# With continuous batching the time per token grows with the batch size. Twice the best time means
# overload.
LATENCY_RATIO = 2.0
# The best time rises by this factor per window, so that the limit adapts to a lasting change.
BASELINE_GROWTH = 1.002
# The best time falls at most by this factor per window. After a process pause, a router reads the
# buffered tokens in one burst. A best time of 1 ms from a burst kept limits at 1 permanently.
BASELINE_MIN_RATIO = 0.8
LATENCY_DECREASE_FACTOR = 0.7
ERROR_DECREASE_FACTOR = 0.5
# The durations of plain requests vary widely even on a healthy target. The geometric mean of this
# many durations, each relative to the mean of its route, rarely exceeds PLAIN_RATIO by chance. An
# arithmetic mean over ten did with costs of 1 to 38 units.
PLAIN_SAMPLES = 20
PLAIN_RATIO = 3.0
# Small enough that an overload is detected several times before it becomes the usual duration.
DURATION_BASELINE_WEIGHT = 0.002
MAX_ROUTES = 1_000
# Errors of one burst cause only one decrease.
DECREASE_COOLDOWN_MS = 1_000
# A time to first token this many times the usual one, twice in a row, means a cold target.
FIRST_TOKEN_RATIO = 5.0
FIRST_TOKEN_MIN_MS = 1_000
FIRST_TOKEN_SAMPLES = 5
# A load report shows more requests than `Limits.max` with up to this delay: the poll period of
# 500 ms, the lag of the report and the usage period of 250 ms.
OVER_MAX_REPORT_LAG_MS = 1_500
# Load reports lag, so the reported load is compared with the peak of this owner's own requests in
# this period.
OWN_PEAK_PERIOD_MS = 1_500


class AdaptiveLimit:
    """Additive increase, multiplicative decrease, and a reset to the cold limit on a cold start."""

    def __init__(self, limits: Limits, clock: Clock):
        self.limits = limits
        self.clock = clock
        self.value = float(limits.cold)
        self.baseline_ms = 0.0
        self.external_in_flight: int | None = None
        self._window_start = clock.now()
        self._tokens = 0
        self._token_ms = 0
        self._successes = 0
        self._saturated = False
        self._decreased_at: int | None = None
        self._first_token_baseline_ms = 0.0
        self._first_token_count = 0
        self._late_first_token_count = 0
        self._duration_baselines: dict[str, tuple[float, int]] = {}
        self._log_ratio_sum = 0.0
        self._log_ratio_count = 0
        self._over_max_at: int | None = None
        self._own_in_flight: list[tuple[int, int]] = []

    def allowed(self, visible_fraction: float) -> int:
        """Return the allowed concurrency for an owner that sees this fraction of the routers alive.

        The sides of a network partition are disjoint, so rounding down keeps the sum of their
        fractions within the limit.
        """
        value = min(int(self.value), self.limits.max - max(0, self.external_in_flight or 0))
        scaled = math.floor(max(0, value) * visible_fraction)
        if scaled < 1 and value >= 1 and visible_fraction > 0.5:
            return 1
        return scaled

    def reset_to_cold(self) -> None:
        """Reset to the cold limit and discard the latency baselines."""
        self.value = float(min(self.limits.cold, self.limits.max))
        self.baseline_ms = 0.0
        self._first_token_count = self._late_first_token_count = 0
        self._duration_baselines.clear()
        self._log_ratio_sum, self._log_ratio_count = 0.0, 0
        self._restart_window()

    def configure(self, limits: Limits) -> None:
        """Apply changed bounds from the configuration."""
        self.limits = limits
        self.value = min(self.value, float(limits.max))

    def on_in_flight(self, in_flight: int, allowed: int) -> None:
        """Record this owner's requests in flight, after each grant and each request end."""
        now = self.clock.now()
        self._own_in_flight.append((now, in_flight))
        while self._own_in_flight[0][0] < now - OWN_PEAK_PERIOD_MS and len(self._own_in_flight) > 1:
            self._own_in_flight.pop(0)
        if in_flight >= allowed:
            self._saturated = True

    def on_load(self, running: int, waiting: int, in_flight: int, cold: bool) -> None:
        """Apply a load report; requests of other senders or a cold target stop the increase."""
        now = self.clock.now()
        own = [count for at, count in self._own_in_flight[1:] if at >= now - OWN_PEAK_PERIOD_MS]
        # The oldest entry may precede the period; it is the count at the start of the period.
        peak = max([in_flight, *own, *[count for _, count in self._own_in_flight[:1]]])
        self.external_in_flight = max(0, running + waiting - peak)
        if running + waiting > self.limits.max:
            self._over_max_at = now
        if cold:
            self.value = min(self.value, float(self.limits.cold))

    def on_progress(self, tokens: int, token_ms: int) -> None:
        """Record `tokens` that arrived and the `token_ms` that they took in total."""
        self._tokens += tokens
        self._token_ms += token_ms
        self._successes += 1
        self._close_window()

    def on_plain_request(self, route: str, elapsed_ms: float) -> None:
        """Record the duration of a successful request to a plain service, which has no tokens."""
        log_duration = math.log(max(1.0, elapsed_ms))
        mean, count = self._duration_baselines.get(route, (log_duration, 0))
        if count >= PLAIN_SAMPLES:
            self._log_ratio_sum += log_duration - mean
            self._log_ratio_count += 1
        if len(self._duration_baselines) < MAX_ROUTES or route in self._duration_baselines:
            weight = max(DURATION_BASELINE_WEIGHT, 1 / (count + 1))
            self._duration_baselines[route] = (mean + weight * (log_duration - mean), count + 1)
        if self._log_ratio_count >= PLAIN_SAMPLES:
            is_slow = self._log_ratio_sum / self._log_ratio_count > math.log(PLAIN_RATIO)
            self._log_ratio_sum, self._log_ratio_count = 0.0, 0
            if is_slow:
                self._decrease(LATENCY_DECREASE_FACTOR)
                self._restart_window()
                return
        self.on_success()

    def on_success(self) -> None:
        """Record a successful request."""
        self._successes += 1
        self._close_window()

    def on_first_token(self, first_token_ms: int) -> None:
        """Record a time to first token; two late ones in a row mean that the target is cold."""
        usual = self._first_token_baseline_ms
        late = first_token_ms > max(FIRST_TOKEN_MIN_MS, FIRST_TOKEN_RATIO * usual)
        if self._first_token_count >= FIRST_TOKEN_SAMPLES and late:
            # After a router is lost, its slots are granted again while its requests still run. The
            # requests behind them are late because the target is full, not because it is cold.
            since = self.clock.now() - first_token_ms - OVER_MAX_REPORT_LAG_MS
            if self._over_max_at is not None and self._over_max_at >= since:
                return
            self._late_first_token_count += 1
            if self._late_first_token_count >= 2:
                self.reset_to_cold()
            return
        self._late_first_token_count = 0
        weight = 0.1 if self._first_token_count >= FIRST_TOKEN_SAMPLES else 0.5
        self._first_token_baseline_ms = (
            usual + weight * (first_token_ms - usual) if self._first_token_count else first_token_ms
        )
        self._first_token_count += 1

    def on_error(self) -> None:
        """Record a request that failed or was not admitted; decreases the limit."""
        self._decrease(ERROR_DECREASE_FACTOR)

    def _close_window(self) -> None:
        now = self.clock.now()
        recently_decreased = (
            self._decreased_at is not None and now - self._decreased_at < SLOW_RISE_PERIOD_MS
        )
        if now - self._window_start < (SLOW_RISE_WINDOW_MS if recently_decreased else WINDOW_MS):
            return
        if self._tokens:
            mean = self._token_ms / self._tokens
            if self.value <= self.limits.cold:
                # At the cold limit the load is lowest, so this is the best time per token.
                self.baseline_ms = mean
            elif self.baseline_ms and mean > LATENCY_RATIO * self.baseline_ms:
                self.baseline_ms *= BASELINE_GROWTH
                self._decrease(LATENCY_DECREASE_FACTOR)
                self._restart_window()
                return
            if self.baseline_ms:
                ceiling_ms = self.baseline_ms * BASELINE_GROWTH
                floor_ms = self.baseline_ms * BASELINE_MIN_RATIO
                self.baseline_ms = max(floor_ms, min(mean, ceiling_ms))
            else:
                self.baseline_ms = mean
        if self._successes and self._saturated and self.external_in_flight == 0:
            self.value = min(float(self.limits.max), self.value + 1)
        self._restart_window()

    def _decrease(self, factor: float) -> None:
        now = self.clock.now()
        if self._decreased_at is not None and now - self._decreased_at < DECREASE_COOLDOWN_MS:
            return
        self._decreased_at = now
        self.value = max(1.0, self.value * factor)
        self._saturated = False

    def _restart_window(self) -> None:
        self._window_start = self.clock.now()
        self._tokens = self._token_ms = self._successes = 0
        self._saturated = False
