"""Limits on the requests to a target that hold for all routers together."""

from collections.abc import Iterable

from jacinthcove.clock import Clock
from jacinthcove.coldstart.domainreturns import DomainReturns
from jacinthcove.coldstart.lastword import LastWord
from jacinthcove.gateway.fleetquota import FleetQuota
from jacinthcove.gateway.raterule import ColdRateLimit, ColdRule, RateRule, StatedRule
from jacinthcove.gateway.statedlimits import StatedLimits
from jacinthcove.gateway.targets import TargetState


class TargetRates:
    """Decides which requests of this router may go to a target with a limit."""

    def __init__(
        self,
        clock: Clock,
        fleet: FleetQuota,
        cold_rate_limit: ColdRateLimit,
        stated_limits: StatedLimits,
        returns: DomainReturns | None = None,
        last_word: LastWord | None = None,
    ):
        self.fleet = fleet
        self.cold = ColdRule(
            clock,
            fleet,
            cold_rate_limit,
            returns or DomainReturns(clock),
            last_word or LastWord(clock),
        )
        self.stated = StatedRule(clock, fleet, stated_limits)
        self.rules: tuple[RateRule, ...] = (self.cold, self.stated)

    def allows(self, target: TargetState, over_share: bool = False) -> bool:
        """Return whether another request may select a target.

        `over_share`: the workspace of the request is over its share.
        """
        return all(rule.allows(target, over_share) for rule in self.rules)

    def blocked_ms(self, targets: Iterable[TargetState]) -> int:
        """Return the time until the stated limit of one of `targets` allows another request."""
        return min((self.stated.blocked_ms(target) for target in targets), default=0)

    def reserve(self, request_id: str, target: TargetState) -> None:
        """Count a request that selected a target and is not sent yet."""
        for rule in self.rules:
            rule.limiter.reserve(target.record.id, request_id)

    def cancel(self, request_id: str, target: TargetState) -> None:
        """Remove the reservation of a request; does nothing if it was sent."""
        for rule in self.rules:
            rule.limiter.cancel(target.record.id, request_id)

    def try_send(self, request_id: str, target: TargetState, start_confirmed: bool = False) -> bool:
        """Turn a reservation into a send.

        `start_confirmed`: its connection leads to the start of the target that this router knows.

        Returns False if the request would exceed a limit and must not be sent.
        """
        self.cancel(request_id, target)
        if not all(rule.allows_send(target, start_confirmed) for rule in self.rules):
            return False
        for rule in self.rules:
            rule.record_sent(target, start_confirmed)
        return True
