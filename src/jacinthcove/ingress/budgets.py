"""The budgets of a router process for its callers, and their metrics."""

from collections.abc import Callable

from jacinthcove.clock import Clock
from jacinthcove.ingress.account import BodyAccount
from jacinthcove.ingress.gate import Gate, largest
from jacinthcove.ingress.limits import IngressLimits
from jacinthcove.observe.metrics import Metrics


class Ingress:
    """What the listener for callers may keep."""

    def __init__(self, clock: Clock, limits: IngressLimits, metrics: Metrics):
        self.limits = limits
        self.bodies = BodyAccount(
            clock,
            limits.body_bytes,
            limits.small_body_bytes,
            limits.workspace_fraction,
            limits.address_fraction,
            limits.slow_body_ms,
        )
        self.callers = Gate(
            "callers",
            limits.max_connections,
            limits.address_fraction,
            limits.receive_buffer_bytes,
            clock,
            limits.slow_body_ms,
        )
        self._add_gauges(metrics)

    def _add_gauges(self, metrics: Metrics) -> None:
        self.callers.add_gauges(metrics)
        bodies = self.bodies
        gauges: dict[str, Callable[[], float]] = {
            "ingress_body_bytes": lambda: bodies.used_bytes,
            "ingress_body_bytes_largest_workspace": lambda: largest(bodies.by_workspace),
            "ingress_body_bytes_largest_address": lambda: largest(bodies.by_address),
            "ingress_bodies_evicted": lambda: bodies.evictions,
        }
        for name, read in gauges.items():
            metrics.gauge(name).read = read
