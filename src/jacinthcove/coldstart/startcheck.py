"""Checks that a connection leads to the start of a target that this router knows.

A target may start again, cold, under its id and address, and routers learn of that late. A request
that reaches a later start is therefore sent in one of three ways only: on a connection that was
shown to lead to that start, after its cold time; on such a connection within the quota of a cold
target; or on another connection, also within that quota.
"""

from typing import Any, Protocol

from jacinthcove.gateway.raterule import ColdRule
from jacinthcove.gateway.targets import TargetRegistry, TargetState
from jacinthcove.observe.metrics import Metrics


class StartReader(Protocol):
    """Asks a target about itself."""

    def read_start(self, sock: Any, address: str) -> int | None:
        """Return when the target at the other end of an idle connection started, in wall ms.

        None if it does not say; raises `OSError`, `ValueError` or `HTTPParseError` if the
        connection is of no more use.
        """


class StartCheck:
    """Decides when a connection has to be shown to lead to the known start of its target."""

    def __init__(
        self, registry: TargetRegistry, cold: ColdRule, reader: StartReader, metrics: Metrics
    ):
        self.registry = registry
        self.cold = cold
        self.reader = reader
        self.confirmed = metrics.counter("target_starts_read_total", found="known")
        self.changed = metrics.counter("target_starts_read_total", found="later")
        self.unnamed = metrics.counter("target_starts_read_total", found="none")

    def is_needed(self, target: TargetState) -> bool:
        """Return whether a request may be sent only on a confirmed connection."""
        return self.cold.quota(target) is None and not self.cold.allows_send(target, False)

    def record_read(self, target: TargetState, opened_for: int, started_at: int | None) -> bool:
        """Record the start that a connection leads to; returns whether it is the known one.

        `opened_for` is the start that was known when the connection was opened. A target of which
        neither the entry nor the report names a start cannot be checked, and is trusted.
        """
        if started_at is None:
            self.unnamed.add()
            return not target.record.started_at
        if started_at == target.record.started_at:
            self.confirmed.add()
            return True
        self.changed.add()
        is_former = self.registry.states.get(target.record.id) is not target
        if started_at == opened_for or is_former:
            # The report was read late: the router has learned of a later start meanwhile.
            return False
        service = self.cold.services.get(target.record.service)
        cold_ms = service.cold_ms if service is not None else 0
        self.registry.record_start(target.record.id, started_at, cold_ms)
        return False
