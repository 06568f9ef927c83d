"""Simulates a plain application service that counts the runs of its operations."""

from collections import Counter
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore

from jacinthcove.clock import Clock
from jacinthcove.standins.faults import FaultControl
from jacinthcove.standins.orders import LOAD_VERSION, Order
from jacinthcove.standins.server import (
    Request,
    Response,
    dropped_connection_error,
    error_response,
    json_response,
)
from jacinthcove.standins.target import TargetStandin


@dataclass(frozen=True)
class ServiceSettings:
    """Settings of one plain service; `work_ms` is the default duration of an operation."""

    id: str = "service"
    failure_domain: str = ""
    version: str = "v1"
    work_ms: int = 40
    max_running: int = 12
    max_waiting: int = 48
    checks_fencing: bool = True
    seed: int = 0


class Service(TargetStandin):
    """A simulated plain service that serves its API on one address.

    `GET /executions` returns how often each request id ran, and each order per route, so that a
    test can verify that a non-idempotent operation ran at most once.
    """

    def __init__(self, address: str, settings: ServiceSettings, clock: Clock | None = None):
        super().__init__(address, clock, settings.version, settings.checks_fencing)
        self.settings = settings
        self.faults = FaultControl(self.clock, settings.seed)
        self.admitted = 0
        self.running_slots = BoundedSemaphore(settings.max_running)
        self.order_runs: Counter[str] = Counter()

    def handle_call(self, request: Request) -> Response | None:
        """Handle operations."""
        operation = request.path.removeprefix("/v1/operations/")
        if operation == request.path or request.method != "POST":
            return None
        return self._handle_operation(operation, request.json())

    def other_runs(self) -> dict[str, Counter[str]]:
        """Return how often each order ran, by route and order id."""
        return {"orders": self.order_runs}

    def on_order(self, order: Order) -> None:
        """Load a version at once; a service has no roles."""
        if order.kind == LOAD_VERSION:
            self.version = order.version

    def load_report(self) -> dict[str, Any]:
        """Return the current load in the format of an engine's report."""
        running = min(self.admitted, self.settings.max_running)
        return {
            "boot_id": self.boot_id,
            "running": running,
            "waiting": self.admitted - running,
            "version": self.version,
            "leaving": self.faults.faults.leaving,
            "cold": False,
            "age_ms": 0,
        }

    def _handle_operation(self, route: str, body: dict[str, Any]) -> Response:
        faults = self.faults.faults
        full = self.admitted >= self.settings.max_running + self.settings.max_waiting
        if faults.leaving or faults.not_admitted or full:
            return error_response(503, "not admitted", X_Not_Admitted="1")
        if "request_id" not in body:
            raise ValueError("request_id is missing")
        self.admitted += 1
        try:
            with self.running_slots:
                return self._run(route, str(body["request_id"]), body.get("payload") or {})
        finally:
            self.admitted -= 1

    def _run(self, route: str, request_id: str, payload: dict[str, Any]) -> Response:
        self.request_runs[request_id] += 1
        order_id = payload.get("order_id")
        if order_id is not None:
            self.order_runs[f"{route}/{order_id}"] += 1
        work_ms = float(payload.get("work_ms", self.settings.work_ms))
        gevent.sleep(work_ms * self.faults.slow_factor(route, self.admitted) / 1000)
        if self.faults.fails(route, self.admitted):
            return error_response(500, "the operation failed")
        if self.faults.loses_response():
            raise dropped_connection_error()
        return json_response(
            {
                "request_id": request_id,
                "route": route,
                "order_id": order_id,
                "nonce": payload.get("nonce"),
                "work_ms": work_ms,
            }
        )
