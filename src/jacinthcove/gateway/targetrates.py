"""Limits on the requests to a target that hold for all routers together.

When a failure domain returns with cold targets, all routers send to them at once, and a target that
has just started fails well above its cold rate. A target in need states a limit itself. Each router
keeps to its own quota of a limit.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jacinthcove.clock import Clock
from jacinthcove.gateway.fleetquota import FleetQuota
from jacinthcove.gateway.model import GatewayService
from jacinthcove.gateway.ratelimiter import TargetRateLimiter
from jacinthcove.gateway.statedlimits import StatedLimits
from jacinthcove.gateway.targets import TargetState

# A little over a second, because requests may take different times to arrive.
COLD_WINDOW_MS = 1_150
# Longer, so that in a fleet larger than a limit more routers have a quota of it.
STATED_WINDOW_MS = 4_000
# A smaller limit allows this many requests in a window: their responses show when it is lifted.
MIN_STATED_REQUESTS = 1


@dataclass(frozen=True)
class ColdRateLimit:
    """Allowed rate of a cold target: `factor` times its configured rate plus `slack` per second."""

    factor: float
    slack: float


@dataclass(frozen=True)
class RateRule:
    """One kind of limit; `quota` returns this router's part of it, None without a limit.

    `counts_always`: requests count before there is a limit too.
    """

    limiter: TargetRateLimiter
    quota: Callable[[TargetState], int | None]
    counts_always: bool

    def allows(self, target: TargetState) -> bool:
        """Return whether another request may select a target."""
        quota = self.quota(target)
        return quota is None or self.limiter.allows(target.record.id, quota)

    def allows_send(self, target: TargetState) -> bool:
        """Return whether a request that selected a target may be sent."""
        quota = self.quota(target)
        return quota is None or self.limiter.allows_send(target.record.id, quota)

    def record_sent(self, target: TargetState) -> None:
        """Count a request that is sent now."""
        if self.counts_always or self.quota(target) is not None:
            self.limiter.record_sent(target.record.id)


class TargetRates:
    """Decides which requests of this router may go to a target with a limit."""

    def __init__(
        self,
        clock: Clock,
        fleet: FleetQuota,
        cold_rate_limit: ColdRateLimit,
        stated_limits: StatedLimits,
    ):
        self.clock = clock
        self.fleet = fleet
        self.stated_limits = stated_limits
        self.cold_rate_limit = cold_rate_limit
        self.services: dict[str, GatewayService] = {}
        # A target may restart and be cold again, so requests to warm targets count too.
        cold = RateRule(TargetRateLimiter(clock, COLD_WINDOW_MS), self.cold_quota, True)
        # What was sent before the target stated its limit is beyond recall.
        self.stated = TargetRateLimiter(clock, STATED_WINDOW_MS)
        self.rules = (cold, RateRule(self.stated, self.stated_quota, False))

    def allows(self, target: TargetState) -> bool:
        """Return whether another request may select a target."""
        return all(rule.allows(target) for rule in self.rules)

    def blocked_ms(self, targets: Iterable[TargetState]) -> int:
        """Return the time until the stated limit of one of `targets` allows another request."""
        return min((self._blocked_ms(target) for target in targets), default=0)

    def _blocked_ms(self, target: TargetState) -> int:
        quota = self.stated_quota(target)
        return self.stated.blocked_ms(target.record.id, quota) if quota is not None else 0

    def reserve(self, request_id: str, target: TargetState) -> None:
        """Count a request that selected a target and is not sent yet."""
        for rule in self.rules:
            rule.limiter.reserve(target.record.id, request_id)

    def cancel(self, request_id: str, target: TargetState) -> None:
        """Remove the reservation of a request; does nothing if it was sent."""
        for rule in self.rules:
            rule.limiter.cancel(target.record.id, request_id)

    def try_send(self, request_id: str, target: TargetState) -> bool:
        """Turn a reservation into a send.

        Returns False if the request would exceed a limit and must not be sent.
        """
        self.cancel(request_id, target)
        if not all(rule.allows_send(target) for rule in self.rules):
            return False
        for rule in self.rules:
            rule.record_sent(target)
        return True

    def cold_quota(self, target: TargetState) -> int | None:
        """Return this router's quota of requests per second to a target, None if it is not cold."""
        service = self.services.get(target.record.service)
        if service is None or service.cold_requests_per_s <= 0:
            return None
        if target.cold_until <= self.clock.now():
            return None
        rate = (
            service.cold_requests_per_s * self.cold_rate_limit.factor + self.cold_rate_limit.slack
        )
        return self.fleet.quota(target.record.id, rate)

    def stated_quota(self, target: TargetState) -> int | None:
        """Return this router's quota of requests in `STATED_WINDOW_MS`, None without a limit."""
        record = target.record
        per_s = self.stated_limits.per_s(record.id, record.started_at)
        if per_s is None:
            return None
        allowed = max(MIN_STATED_REQUESTS, per_s * STATED_WINDOW_MS / 1_000)
        return self.fleet.quota(record.id, allowed)
