"""The `/orders` endpoint of a simulated target, with optional fencing checks."""

from dataclasses import dataclass
from typing import Any

from jacinthcove.standins.server import Request, Response, error_response, json_response

LOAD_VERSION = "load_version"
CHANGE_ROLE = "change_role"


@dataclass(frozen=True)
class Order:
    """A received order; `accepted` is False if its fencing number was outdated."""

    order_id: str
    fencing: int
    kind: str
    version: str
    role: str
    time_limit_ms: int
    accepted: bool


class OrderReceiver:
    """Receives orders, rejects outdated fencing numbers and runs each order id only once."""

    def __init__(self, checks_fencing: bool):
        self.checks_fencing = checks_fencing
        self.highest_fencing = 0
        self.orders: list[Order] = []

    def receive(self, data: dict[str, Any]) -> tuple[Order, bool]:
        """Record an order; return it and whether to execute it."""
        kind = str(data.get("kind", ""))
        if kind not in (LOAD_VERSION, CHANGE_ROLE):
            raise ValueError(f"unknown order kind {kind!r}")
        fencing = int(data.get("fencing", 0))
        accepted = not (self.checks_fencing and fencing < self.highest_fencing)
        order = Order(
            order_id=str(data.get("order_id", "")),
            fencing=fencing,
            kind=kind,
            version=str(data.get("version", "")),
            role=str(data.get("role", "")),
            time_limit_ms=int(data.get("time_limit_ms", 0)),
            accepted=accepted,
        )
        repeated = any(o.order_id == order.order_id and o.accepted for o in self.orders)
        self.highest_fencing = max(self.highest_fencing, fencing)
        self.orders.append(order)
        return order, accepted and not repeated

    def handle_request(self, request: Request) -> tuple[Response, Order | None]:
        """Serve `GET` and `POST /orders`; also return the order to execute, or None."""
        if request.method == "GET":
            return json_response({"orders": self.orders}), None
        order, is_new = self.receive(request.json())
        if not order.accepted:
            message = f"fencing number {order.fencing} is below {self.highest_fencing}"
            return error_response(409, message), None
        return json_response({"order_id": order.order_id, "accepted": True}), (
            order if is_new else None
        )
