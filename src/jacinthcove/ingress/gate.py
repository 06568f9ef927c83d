"""What the connections of one listener share: their limits, counts and log lines."""

from collections.abc import Callable, Mapping

import structlog

from jacinthcove.clock import Clock, SystemClock
from jacinthcove.ingress.connections import CallerConnection, ConnectionTable
from jacinthcove.ingress.limits import (
    DEFAULT_ADDRESS_FRACTION,
    DEFAULT_RECEIVE_BUFFER_BYTES,
    DEFAULT_SLOW_BODY_MS,
)
from jacinthcove.ingress.pacing import DecodingTurns
from jacinthcove.observe.metrics import Metrics

log = structlog.get_logger()

DEFAULT_CONNECTIONS = 256

# At most one log line about connections that give way or are refused in this time.
LOG_PERIOD_MS = 1_000


class Gate:
    """Limits the connections of one listener and counts what it refused, by cause."""

    def __init__(
        self,
        name: str,
        max_connections: int = DEFAULT_CONNECTIONS,
        address_fraction: float = DEFAULT_ADDRESS_FRACTION,
        receive_buffer_bytes: int = DEFAULT_RECEIVE_BUFFER_BYTES,
        clock: Clock | None = None,
        slow_body_ms: int = DEFAULT_SLOW_BODY_MS,
    ):
        self.name = name
        self.clock = clock or SystemClock()
        self.receive_buffer_bytes = receive_buffer_bytes
        self.connections = ConnectionTable(
            self.clock, max_connections, address_fraction, slow_body_ms
        )
        self.decoding_turns = DecodingTurns()
        self.malformed: dict[int, int] = {}
        self.logged_at: int | None = None

    def count_refusal(self, cause: str, status: int) -> None:
        """Count a request that was refused while it was read."""
        self.malformed[status] = self.malformed.get(status, 0) + 1
        log.debug("client_refused", listener=self.name, cause=cause, status=status)

    def add_gauges(self, metrics: Metrics) -> None:
        """Show the connections of this listener, and what it refused, in the metrics."""
        connections = self.connections
        gauges: dict[str, Callable[[], float]] = {
            "ingress_connections": lambda: len(connections),
            "ingress_connections_largest_address": lambda: largest(connections.by_address),
            "ingress_connections_highest": lambda: connections.highest,
            "ingress_connections_evicted": lambda: connections.evictions,
            "ingress_connections_refused": lambda: connections.refusals,
            "ingress_requests_malformed": lambda: sum(self.malformed.values()),
        }
        for name, read in gauges.items():
            metrics.gauge(name, listener=self.name).read = read

    def admit(self, connection: CallerConnection) -> bool:
        """Add a new connection, which may close another, and return whether there is room."""
        evictions = self.connections.evictions
        admitted = self.connections.admit(connection)
        if not admitted or self.connections.evictions > evictions:
            self._log_pressure(connection.address)
        return admitted

    def _log_pressure(self, address: str) -> None:
        """Log that connections have to give way, at most once in `LOG_PERIOD_MS`."""
        now = self.clock.now()
        if self.logged_at is not None and now - self.logged_at < LOG_PERIOD_MS:
            return
        self.logged_at = now
        log.warning(
            "connections_pressed",
            listener=self.name,
            address=address,
            of_address=self.connections.by_address[address],
            open=len(self.connections),
            evicted=self.connections.evictions,
            refused=self.connections.refusals,
        )


def largest(counts: Mapping[str, int]) -> int:
    """Return the largest count, 0 if there is none."""
    return max(counts.values(), default=0)
