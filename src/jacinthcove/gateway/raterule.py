"""The kinds of limits on the requests to a target, as one router keeps to its quota of them."""

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from jacinthcove.clock import Clock
from jacinthcove.coldstart.domainreturns import DomainReturns
from jacinthcove.coldstart.lastword import LastWord
from jacinthcove.coldstart.turnedcold import COLD_WINDOW_MS
from jacinthcove.gateway.fleetquota import FleetQuota
from jacinthcove.gateway.model import GatewayService
from jacinthcove.gateway.ratelimiter import TargetRateLimiter
from jacinthcove.gateway.statedlimits import StatedLimits
from jacinthcove.gateway.targets import TargetState

# Longer, so that in a fleet larger than a limit more routers have a quota of it.
STATED_WINDOW_MS = 4_000
# A smaller limit allows this many requests in a window: their responses show when it is lifted.
MIN_STATED_REQUESTS = 1
# A permit of another router is valid for this time after it arrives.
PERMIT_TTL_MS = 500
# The longest time for which its lender is asked for it.
PERMIT_CALL_TIMEOUT_MS = 300
# Its lender counts it as used at this age.
MAX_PERMIT_AGE_MS = PERMIT_CALL_TIMEOUT_MS + PERMIT_TTL_MS


@dataclass(frozen=True)
class ColdRateLimit:
    """Allowed rate of a cold target: `factor` times its configured rate plus `slack` per second."""

    factor: float
    slack: float


class RateRule(Protocol):
    """One kind of limit; `over_share` is whether the workspace of a request is over its share."""

    limiter: TargetRateLimiter

    def allows(self, target: TargetState, over_share: bool) -> bool:
        """Return whether another request may select a target."""

    def allows_send(self, target: TargetState, start_confirmed: bool) -> bool:
        """Return whether a request that selected a target may be sent.

        `start_confirmed`: its connection leads to the start of the target that this router knows.
        """

    def record_sent(self, target: TargetState, start_confirmed: bool) -> None:
        """Count a request that is sent now."""


class ColdRule:
    """Keeps to the rate of cold targets; a target may restart, so requests to warm ones count too.

    When a failure domain returns with cold targets, all routers send to them at once, and a target
    that has just started fails well above its cold rate.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: FleetQuota,
        rate_limit: ColdRateLimit,
        returns: DomainReturns,
        last_word: LastWord,
    ):
        self.clock = clock
        self.fleet = fleet
        self.rate_limit = rate_limit
        self.returns = returns
        self.last_word = last_word
        self.services: dict[str, GatewayService] = {}
        self.limiter = TargetRateLimiter(clock, COLD_WINDOW_MS)
        # Counts only what may reach a cold start: on unconfirmed connections, or to a cold target.
        self.unconfirmed = TargetRateLimiter(clock, COLD_WINDOW_MS)

    def quota(self, target: TargetState) -> int | None:
        """Return this router's quota of requests per second to a target, None if it is not cold."""
        service = self.services.get(target.record.service)
        if service is None or service.cold_requests_per_s <= 0:
            return None
        if not self._may_be_cold(target):
            return None
        if target.quiet_until > self.clock.now():
            return 0
        return self._quota_if_cold(target, service)

    def _may_be_cold(self, target: TargetState) -> bool:
        is_cold = target.cold_until > self.clock.now()
        returns = self.returns.is_pending(target.record.failure_domain)
        return is_cold or returns or (self.fleet.routers > 1 and self.last_word.is_lost())

    def _quota_if_cold(self, target: TargetState, service: GatewayService) -> int:
        rate = service.cold_requests_per_s * self.rate_limit.factor + self.rate_limit.slack
        return self.fleet.quota(target.record.id, rate)

    def allows(self, target: TargetState, over_share: bool) -> bool:
        """Return whether another request may select a target, whatever its workspace's share."""
        del over_share
        quota = self.quota(target)
        return quota is None or self.limiter.allows(target.record.id, quota)

    def allows_send(self, target: TargetState, start_confirmed: bool) -> bool:
        """Return whether a request that selected a target may be sent.

        What listens at the other end of an unconfirmed connection may have started since, cold.
        """
        quota = self.quota(target)
        if quota is not None:
            return self.limiter.allows_send(target.record.id, quota)
        return start_confirmed or self._allows_unconfirmed(target)

    def _allows_unconfirmed(self, target: TargetState) -> bool:
        service = self.services.get(target.record.service)
        if service is None or service.cold_requests_per_s <= 0:
            return True
        quota = self._quota_if_cold(target, service)
        return self.unconfirmed.allows_send(target.record.id, quota)

    def record_sent(self, target: TargetState, start_confirmed: bool) -> None:
        """Count a request that is sent now."""
        self.limiter.record_sent(target.record.id)
        if not start_confirmed or self._may_be_cold(target):
            self.unconfirmed.record_sent(target.record.id)


class StatedRule:
    """Keeps to the limits that targets state, with this router's quota and with borrowed permits.

    What was sent before a target stated its limit does not count: it is beyond recall.
    """

    def __init__(self, clock: Clock, fleet: FleetQuota, limits: StatedLimits):
        self.clock = clock
        self.fleet = fleet
        self.limits = limits
        self.limiter = TargetRateLimiter(clock, STATED_WINDOW_MS)
        # Ends of the permits that other routers lent, oldest first, in monotonic ms by target.
        self.borrowed: dict[str, deque[int]] = {}
        # Until then requests of other routers come before those of workspaces over their share, by
        # service.
        self.claimed_until: dict[str, int] = {}

    def quota(self, target: TargetState) -> int | None:
        """Return this router's quota of requests in `STATED_WINDOW_MS`, None without a limit."""
        record = target.record
        per_s = self.limits.per_s(record.id, record.started_at)
        if per_s is None:
            return None
        allowed = max(MIN_STATED_REQUESTS, per_s * STATED_WINDOW_MS / 1_000)
        return self.fleet.quota(record.id, allowed)

    def allows(self, target: TargetState, over_share: bool) -> bool:
        """Return whether another request may select a target."""
        quota = self.quota(target)
        if quota is None:
            return True
        if over_share:
            claimed_until = self.claimed_until.get(target.record.service, 0)
            if claimed_until > self.clock.now():
                return False
        else:
            quota += self._count_borrowed(target.record.id)
        return self.limiter.allows(target.record.id, quota)

    def allows_send(self, target: TargetState, start_confirmed: bool) -> bool:
        """Return whether a request that selected a target may be sent, on any connection."""
        del start_confirmed
        return self._allows_own(target) or self._count_borrowed(target.record.id) > 0

    def record_sent(self, target: TargetState, start_confirmed: bool) -> None:
        """Count a request that is sent now, against a permit of another router if need be."""
        del start_confirmed
        if not self._allows_own(target):
            self.borrowed[target.record.id].popleft()
        elif self.quota(target) is not None:
            self.limiter.record_sent(target.record.id)

    def blocked_ms(self, target: TargetState) -> int:
        """Return the time until this router's quota of a limit allows another request."""
        quota = self.quota(target)
        if quota is None or self._count_borrowed(target.record.id):
            return 0
        return self.limiter.blocked_ms(target.record.id, quota)

    def try_lend(self, target: TargetState) -> bool:
        """Count a request that another router will send, if this router's quota allows it."""
        quota = self.quota(target)
        if quota is None or not self.limiter.allows(target.record.id, quota):
            return False
        self.limiter.record_sent(target.record.id, MAX_PERMIT_AGE_MS)
        return True

    def add_borrowed(self, target_id: str) -> None:
        """Add a permit that another router has just lent."""
        ends = self.borrowed.setdefault(target_id, deque())
        ends.append(self.clock.now() + PERMIT_TTL_MS)

    def _allows_own(self, target: TargetState) -> bool:
        quota = self.quota(target)
        return quota is None or self.limiter.allows_send(target.record.id, quota)

    def _count_borrowed(self, target_id: str) -> int:
        ends = self.borrowed.get(target_id)
        if ends is None:
            return 0
        while ends and ends[0] <= self.clock.now():
            ends.popleft()
        if not ends:
            del self.borrowed[target_id]
        return len(ends)
