"""What the simulated targets have in common: faults, orders, and the counts of their runs."""

from collections import Counter
from typing import Any
from uuid import uuid4

from jacinthcove.clock import Clock
from jacinthcove.standins.faults import FaultControl
from jacinthcove.standins.orders import Order, OrderReceiver
from jacinthcove.standins.server import (
    Request,
    Response,
    Standin,
    error_response,
    json_response,
)


class TargetStandin(Standin):
    """Base class of a simulated target; `GET /executions` returns how often each request ran."""

    faults: FaultControl

    def __init__(self, address: str, clock: Clock | None, version: str, checks_fencing: bool):
        super().__init__(address, clock)
        self.version = version
        self.boot_id = uuid4().hex
        self.request_runs: Counter[str] = Counter()
        self.order_receiver = OrderReceiver(checks_fencing)

    def handle_request(self, request: Request) -> Response:
        """Dispatch one request by its path."""
        path = request.path
        if path == "/faults":
            return self.faults.handle_request(request)
        if path == "/executions":
            return json_response({"requests": self.request_runs, **self.other_runs()})
        if self.faults.delay_and_check_outage():
            return error_response(503, "outage")
        if path == "/load":
            return json_response(self.load_report())
        if path == "/orders":
            response, order = self.order_receiver.handle_request(request)
            if order is not None:
                self.on_order(order)
            return response
        answer = self.handle_call(request)
        if answer is None:
            return error_response(404, f"no such call: {request.method} {path}")
        return answer

    def other_runs(self) -> dict[str, Counter[str]]:
        """Return counts of runs beside those by request id."""
        raise NotImplementedError

    def load_report(self) -> dict[str, Any]:
        """Return the load in the format of an engine's report."""
        raise NotImplementedError

    def on_order(self, order: Order) -> None:
        """Execute an order that was accepted for the first time, without waiting."""
        raise NotImplementedError

    def handle_call(self, request: Request) -> Response | None:
        """Handle a call that only this kind of target has, or return None."""
        raise NotImplementedError
