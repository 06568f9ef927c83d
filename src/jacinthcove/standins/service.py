"""Simulates a plain application service that counts the runs of its operations."""

from collections import Counter
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

import gevent
from gevent.lock import BoundedSemaphore

from jacinthcove.clock import Clock
from jacinthcove.standins.faults import FaultControl
from jacinthcove.standins.orders import LOAD_VERSION, OrderReceiver
from jacinthcove.standins.server import (
    Request,
    Response,
    Standin,
    dropped_connection_error,
    error_response,
    json_response,
)


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


class Service(Standin):
    """A simulated plain service that serves its API on one address.

    `GET /executions` returns how often each request id ran, and each order per route, so that a
    test can verify that a non-idempotent operation ran at most once.
    """

    def __init__(self, address: str, settings: ServiceSettings, clock: Clock | None = None):
        super().__init__(address, clock)
        self.settings = settings
        self.faults = FaultControl(self.clock, settings.seed)
        self.version = settings.version
        self.boot_id = uuid4().hex
        self.admitted = 0
        self.running_slots = BoundedSemaphore(settings.max_running)
        self.request_runs: Counter[str] = Counter()
        self.order_runs: Counter[str] = Counter()
        self.order_receiver = OrderReceiver(settings.checks_fencing)

    def handle_request(self, request: Request) -> Response:
        """Dispatch one request by its path."""
        path = request.path
        if path == "/faults":
            return self.faults.handle_request(request)
        if path == "/executions":
            return json_response({"requests": self.request_runs, "orders": self.order_runs})
        if self.faults.delay_and_check_outage():
            return error_response(503, "outage")
        if path.startswith("/v1/operations/") and request.method == "POST":
            return self._handle_operation(path.removeprefix("/v1/operations/"), request.json())
        if path == "/load":
            return json_response(self.load_report())
        if path == "/orders":
            response, order = self.order_receiver.handle_request(request)
            if order is not None and order.kind == LOAD_VERSION:
                self.version = order.version
            return response
        return error_response(404, f"no such call: {request.method} {path}")

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
