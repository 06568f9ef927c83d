"""What a router that was told to stop still takes, and when it may end."""

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.model import GatewayRequest, RetrySafety

# A stopping router still accepts streams for this long while callers switch to another router.
STREAM_DRAIN_MS = 700
# Callers may use a cached address for this long after the directory dropped it.
LOOKUP_CACHE_MS = 3_000
# The router stops accepting connections this long before the grace period ends.
EXIT_MARGIN_MS = 900


class PlannedStop:
    """The time since the order to stop, against the grace period (ms).

    Times are boot times, because the grace period continues while the VM is suspended.
    """

    def __init__(self, clock: Clock, grace_ms: int):
        self.clock = clock
        self.grace_ms = grace_ms
        # Boot ms of the order to stop, None before.
        self.ordered_at: int | None = None

    @property
    def is_ordered(self) -> bool:
        """Return whether this router was told to stop."""
        return self.ordered_at is not None

    def begin(self) -> None:
        """Record that this router is told to stop now."""
        self.ordered_at = self.clock.boot()

    def elapsed_ms(self) -> int:
        """Return the time since the order, 0 before."""
        return 0 if self.ordered_at is None else self.clock.boot() - self.ordered_at

    def left_ms(self) -> int:
        """Return the time until this router closes its listener."""
        return self.grace_ms - EXIT_MARGIN_MS - self.elapsed_ms()

    def callers_left(self) -> bool:
        """Return whether callers no longer use addresses from before the order."""
        return self.elapsed_ms() >= LOOKUP_CACHE_MS

    def refusal_for(self, request: GatewayRequest) -> RequestRefused | None:
        """Return a refusal for a request that might not end in time, None before the order."""
        if not self.is_ordered:
            return None
        if request.route.retry_safety is RetrySafety.STREAM:
            taken = self.elapsed_ms() < STREAM_DRAIN_MS
        else:
            taken = self.left_ms() > request.route.timeout_ms
        if taken:
            return None
        return RequestRefused(ResultCode.ROUTER_STOPPING, "the router is shutting down", 0)
