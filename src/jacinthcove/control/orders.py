"""Orders to targets, sent only while this controller holds the lease."""

import secrets
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import orjson
from geventhttpclient import HTTPClient

from jacinthcove.clock import Clock
from jacinthcove.control.lease import Lease
from jacinthcove.errors import TargetFailed

# Orders end this long before the lease does, to allow for differences between clocks.
LEASE_MARGIN_MS = 500
# Limit of an order's duration. A new lease holder waits this long for the orders of the old one.
MAX_ORDER_MS = 5_000
STATE_TIMEOUT_MS = 2_000
HTTP_OK = 200
HTTP_CONFLICT = 409


class OrderKind(Enum):
    """What an order makes a target do."""

    LOAD_VERSION = "load_version"


class OrderOutcome(Enum):
    """The outcome of an order, or why none was sent."""

    MATCHES = "matches"  # the target is already in the ordered state
    ACCEPTED = "accepted"
    WAITING = "waiting"  # orders of the previous lease holder may still be in flight
    NOT_HELD = "not_held"  # not sent: the lease is not held, or ends too soon
    STALE = "stale"  # the target has seen a higher fencing token
    FAILED = "failed"  # no reply or another status; the order may have taken effect


@dataclass(frozen=True)
class Order:
    """One order to one target; `address` is `ip:port`."""

    target_id: str
    address: str
    kind: OrderKind
    version: str
    time_limit_ms: int = MAX_ORDER_MS
    checks_fencing: bool = True


@dataclass(frozen=True)
class SentOrder:
    """The body of `POST /orders`."""

    fencing: int
    order_id: str
    kind: str
    version: str
    time_limit_ms: int


@dataclass(frozen=True)
class TargetState:
    """The model version that a target reports in its load report."""

    version: str


@dataclass(frozen=True)
class OrderResult:
    """The outcome of an order; `retry_after_ms` is set with `WAITING`."""

    outcome: OrderOutcome
    retry_after_ms: int = 0


class OrderSender(Protocol):
    """Sends requests to targets; both methods raise `TargetFailed` without a reply."""

    def send(self, address: str, order: SentOrder) -> int:
        """Post an order within its time limit and return the HTTP status."""

    def state(self, address: str) -> TargetState:
        """Return the state in the target's load report."""


class Orders:
    """Sends orders with the fencing token of the lease."""

    def __init__(
        self,
        lease: Lease,
        clock: Clock,
        send: OrderSender,
        max_order_ms: int = MAX_ORDER_MS,
        margin_ms: int = LEASE_MARGIN_MS,
    ):
        self.lease = lease
        self.clock = clock
        self.sender = send
        self.max_order_ms = max_order_ms
        self.margin_ms = margin_ms

    def reconcile(self, order: Order) -> OrderResult:
        """Read the target's state and send the order if the state differs.

        Repeat until the result is `MATCHES`: a target that ignores fencing tokens may still execute
        a late order of an earlier lease holder.
        """
        delay_ms = self.wait_ms(order)
        if delay_ms > 0:
            return OrderResult(OrderOutcome.WAITING, delay_ms)
        try:
            state = self.sender.state(order.address)
        except TargetFailed:
            return OrderResult(OrderOutcome.FAILED)
        if state.version == order.version:
            return OrderResult(OrderOutcome.MATCHES)
        return self.send_order(order)

    def send_order(self, order: Order) -> OrderResult:
        """Send the order if the lease is held; its time limit ends before the lease does."""
        delay_ms = self.wait_ms(order)
        if delay_ms > 0:
            return OrderResult(OrderOutcome.WAITING, delay_ms)
        order_id = secrets.token_hex(8)
        remaining = self.lease.remaining_ms() - self.margin_ms
        limit = min(order.time_limit_ms, self.max_order_ms, remaining)
        if limit <= 0:
            return OrderResult(OrderOutcome.NOT_HELD)
        sent = SentOrder(self.lease.fencing, order_id, order.kind.value, order.version, limit)
        try:
            status = self.sender.send(order.address, sent)
        except TargetFailed:
            return OrderResult(OrderOutcome.FAILED)
        return OrderResult(_OUTCOME_BY_STATUS.get(status, OrderOutcome.FAILED))

    def wait_ms(self, order: Order) -> int:
        """Return how long orders of an earlier holder may still reach the target, in ms.

        The earlier lease ended before this one was acquired, so its last order ends within the
        maximum duration after that. A target that checks fencing tokens needs no wait.
        """
        if order.checks_fencing or not self.lease.held():
            return 0
        return max(0, self.lease.acquired_at + self.max_order_ms - self.clock.now())


_OUTCOME_BY_STATUS = {HTTP_OK: OrderOutcome.ACCEPTED, HTTP_CONFLICT: OrderOutcome.STALE}


class HttpOrderSender:
    """Sends orders to targets over HTTP, on a new connection each."""

    def send(self, address: str, order: SentOrder) -> int:
        """Send `POST /orders`; raises `TargetFailed`."""
        body = orjson.dumps(order)
        return self._request(address, "POST", "/orders", body, order.time_limit_ms)[0]

    def state(self, address: str) -> TargetState:
        """Send `GET /load`; raises `TargetFailed`."""
        status, body = self._request(address, "GET", "/load", b"", STATE_TIMEOUT_MS)
        try:
            version = orjson.loads(body)["version"]
        except (ValueError, KeyError, TypeError):
            raise TargetFailed(f"{address} answers /load with status {status}") from None
        return TargetState(str(version))

    def _request(
        self, address: str, method: str, path: str, body: bytes, timeout_ms: int
    ) -> tuple[int, bytes]:
        host, port = address.rsplit(":", 1)
        timeout = timeout_ms / 1000
        client = HTTPClient(host, int(port), connection_timeout=timeout, network_timeout=timeout)
        try:
            response = client.request(method, path, body, {"Content-Type": "application/json"})
            return response.status_code, bytes(response.read())
        except Exception as error:
            # geventhttpclient raises socket, gevent, TLS and parser errors without a common base.
            raise TargetFailed(f"{method} {address}{path} failed: {error}") from error
        finally:
            client.close()
