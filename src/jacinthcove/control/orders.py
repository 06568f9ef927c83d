"""Orders to targets, given only by the holder of the controller's lease."""

import secrets
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import orjson
from geventhttpclient import HTTPClient

from jacinthcove.clock import Clock
from jacinthcove.control.lease import Lease
from jacinthcove.errors import TargetFailed

# An order ends this long before the lease does, to cover the differences between clocks.
LEASE_MARGIN_MS = 500
# No order may take longer; a new holder waits this long for the orders of the old one.
LONGEST_ORDER_MS = 5_000
STATE_TIMEOUT_MS = 2_000
HTTP_OK = 200
HTTP_CONFLICT = 409


class OrderKind(Enum):
    """What a target is told to do."""

    LOAD_VERSION = "load_version"


class OrderOutcome(Enum):
    """How an order ended."""

    MATCHES = "matches"  # the target's state is already as ordered
    ACCEPTED = "accepted"
    WAITING = "waiting"  # orders of the previous holder may still be under way
    NOT_HELD = "not_held"  # nothing was sent, because the lease is not held for long enough
    STALE = "stale"  # the target knows a higher fencing number
    FAILED = "failed"  # no or another answer; the order may have taken effect


@dataclass(frozen=True)
class Order:
    """One order to one target; `address` is `ip:port`."""

    target_id: str
    address: str
    kind: OrderKind
    version: str
    time_limit_ms: int = LONGEST_ORDER_MS
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
    """What a target reports about itself."""

    version: str


@dataclass(frozen=True)
class OrderResult:
    """The end of an order; `retry_after_ms` is set while waiting."""

    outcome: OrderOutcome
    retry_after_ms: int = 0


class OrderSender(Protocol):
    """The connection to targets; both calls raise `TargetFailed` without an answer."""

    def send(self, address: str, order: SentOrder) -> int:
        """Post the order within its time limit and return the HTTP status."""

    def state(self, address: str) -> TargetState:
        """Read the target's load report."""


class Orders:
    """Gives orders with the fencing number of the lease."""

    def __init__(
        self,
        lease: Lease,
        clock: Clock,
        send: OrderSender,
        longest_order_ms: int = LONGEST_ORDER_MS,
        margin_ms: int = LEASE_MARGIN_MS,
    ):
        self.lease = lease
        self.clock = clock
        self.sender = send
        self.longest_order_ms = longest_order_ms
        self.margin_ms = margin_ms

    def reconcile(self, order: Order) -> OrderResult:
        """Read the target's state and give the order if the state differs.

        Call it until it matches: a late order of an earlier holder can change a target that
        ignores fencing numbers.
        """
        wait = self.wait_ms(order)
        if wait > 0:
            return OrderResult(OrderOutcome.WAITING, wait)
        try:
            state = self.sender.state(order.address)
        except TargetFailed:
            return OrderResult(OrderOutcome.FAILED)
        if state.version == order.version:
            return OrderResult(OrderOutcome.MATCHES)
        return self.give(order)

    def give(self, order: Order) -> OrderResult:
        """Send the order if the lease is held right now; its time limit ends within the lease."""
        wait = self.wait_ms(order)
        if wait > 0:
            return OrderResult(OrderOutcome.WAITING, wait)
        order_id = secrets.token_hex(8)
        remaining = self.lease.remaining_ms() - self.margin_ms
        limit = min(order.time_limit_ms, self.longest_order_ms, remaining)
        if limit <= 0:
            return OrderResult(OrderOutcome.NOT_HELD)
        sent = SentOrder(self.lease.fencing, order_id, order.kind.value, order.version, limit)
        try:
            status = self.sender.send(order.address, sent)
        except TargetFailed:
            return OrderResult(OrderOutcome.FAILED)
        return OrderResult(_OUTCOMES.get(status, OrderOutcome.FAILED))

    def wait_ms(self, order: Order) -> int:
        """Return how long orders of an earlier holder may still reach a target.

        The earlier lease has ended when this one begins, which leaves its longest order.
        """
        if order.checks_fencing or not self.lease.held():
            return 0
        return max(0, self.lease.acquired_at + self.longest_order_ms - self.clock.now())


_OUTCOMES = {HTTP_OK: OrderOutcome.ACCEPTED, HTTP_CONFLICT: OrderOutcome.STALE}


class HttpOrderSender:
    """Sends orders to targets over HTTP, one connection per order."""

    def send(self, address: str, order: SentOrder) -> int:
        """Post the order; raises `TargetFailed`."""
        body = orjson.dumps(order)
        return self._request(address, "POST", "/orders", body, order.time_limit_ms)[0]

    def state(self, address: str) -> TargetState:
        """Read `GET /load`; raises `TargetFailed`."""
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
            # The library raises socket, gevent, TLS and parser errors without a common base.
            raise TargetFailed(f"{method} {address}{path} failed: {error}") from error
        finally:
            client.close()
