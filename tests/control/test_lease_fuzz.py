"""The lease must never have two holders or reuse a fencing token, and old orders must not win.

Three controllers share a store with faults and slow replies and may pause at any point. Orders
arrive late, within their time limit, at targets that check or ignore fencing tokens.
"""

from dataclasses import dataclass

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from jacinthcove.clock import ManualClock
from jacinthcove.control.lease import Lease
from jacinthcove.control.orders import (
    Order,
    OrderKind,
    OrderOutcome,
    Orders,
    SentOrder,
    TargetState,
)
from jacinthcove.errors import TargetFailed
from tests.fakes.store import Crash, FakeStore, Fault

TTL_MS = 3_000
MAX_ORDER_MS = 1_000
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=settings.default.max_examples * 4,
    stateful_step_count=40,
    report_multiple_bugs=False,
)
FAULTS = st.lists(st.sampled_from([*Fault, Fault.NONE, Fault.LATE, Fault.LOST]), max_size=3)


class SlowStore(FakeStore):
    """A store whose replies to writes take `reply_ms`, while other controllers go on."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.reply_ms = 0
        self.meanwhile = lambda: None

    def put(self, key, value, if_version):
        version = super().put(key, value, if_version)
        reply_ms, self.reply_ms = self.reply_ms, 0
        if reply_ms:
            self.meanwhile()
        self.clock.advance(reply_ms)
        return version


@dataclass
class Target:
    checks: bool
    version: str = ""
    fencing: int = 0
    settled: int = 0  # fencing token of the last holder that saw its order in force


class Network:
    """Delivers orders to targets at once, or later within their time limit."""

    def __init__(self, clock):
        self.clock = clock
        self.targets = {"check": Target(True), "ignore": Target(False)}
        self.in_flight: list[tuple[int, str, SentOrder]] = []
        self.delayed = False

    def send(self, address: str, order: SentOrder) -> int:
        if self.delayed:
            self.in_flight.append((self.clock.now() + order.time_limit_ms, address, order))
            raise TargetFailed("no reply")
        return self.arrive(address, order)

    def state(self, address: str) -> TargetState:
        return TargetState(self.targets[address].version)

    def arrive(self, address, order):
        target = self.targets[address]
        if target.checks and order.fencing < target.fencing:
            return 409
        assert order.fencing >= target.settled, "an order of an earlier holder came into force"
        target.fencing = max(target.fencing, order.fencing)
        target.version = order.version
        return 200

    def deliver(self):
        in_flight, self.in_flight = self.in_flight, []
        for expiry, address, order in in_flight:
            if self.clock.now() <= expiry:
                self.arrive(address, order)


class LeaseMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = SlowStore(self.clock)
        self.network = Network(self.clock)
        self.terms: dict[int, str] = {}
        self.leases = [self.make(n) for n in range(3)]

    def make(self, number):
        return Lease(self.store, self.clock, f"c{number}", TTL_MS, f"10.0.0.{number}:1")

    @rule(
        number=st.integers(0, 2),
        faults=FAULTS,
        reply_ms=st.sampled_from([0, 0, 900, 2_500]),
        race=st.integers(0, 2),
    )
    def step(self, number, faults, reply_ms, race):
        def other():
            if race != number:
                self.store.faults.clear()
                self.leases[race].step()
            else:
                self.clock.advance(TTL_MS)

        self.store.race = self.store.meanwhile = other
        self.store.reply_ms = reply_ms
        self.store.faults.extend(faults)
        try:
            self.leases[number].step()
        except Crash:
            self.leases[number] = self.make(number)
        self.store.faults.clear()

    @rule(number=st.integers(0, 2), other=st.integers(0, 2), later=st.sampled_from([400, 1_000]))
    def pause_during_write(self, number, other, later):
        """The reply to a write comes late in the lease, while another controller reads it."""
        self.step(number, [], TTL_MS - 500, other)
        self.advance(later)
        self.step(other, [], 0, number)

    @rule(number=st.integers(0, 2))
    def all_step(self, number):
        self.store.reply_ms = 0
        for lease in self.leases[number:] + self.leases[:number]:
            lease.step()

    @rule(number=st.integers(0, 2), crash=st.booleans())
    def stop(self, number, crash):
        if not crash:
            self.leases[number].release()
        self.leases[number] = self.make(number)

    @rule(duration=st.sampled_from([100, 450, 1_000, TTL_MS]))
    def advance(self, duration):
        self.clock.advance(duration)

    @rule(down=st.booleans())
    def outage(self, down):
        self.store.down = down

    @rule()
    def deliver(self):
        self.store.deliver()
        self.network.deliver()

    @rule(number=st.integers(0, 2), late=st.booleans())
    def hand_over(self, number, late):
        """The holder releases the lease right after an order, and another controller takes over."""
        for lease in [lease for lease in self.leases if lease.held()]:
            self.order(self.leases.index(lease), "ignore", late)
            lease.release()
        self.leases[number].step()
        for _ in range(2):
            self.order(number, "ignore", False)

    @rule(
        number=st.integers(0, 2), address=st.sampled_from(["check", "ignore"]), late=st.booleans()
    )
    def order(self, number, address, late):
        lease = self.leases[number]
        orders = Orders(lease, self.clock, self.network, MAX_ORDER_MS, margin_ms=100)
        target = self.network.targets[address]
        version = f"v{lease.fencing}"
        order = Order(address, address, OrderKind.LOAD_VERSION, version, 60_000, target.checks)
        self.network.delayed = late
        held = lease.held()
        sent = len(self.network.in_flight)
        result = orders.reconcile(order)
        for expiry, _, _ in self.network.in_flight[sent:]:
            assert expiry < lease.expires_at, "an order outlives the lease"
        assert held or result.outcome in (OrderOutcome.NOT_HELD, OrderOutcome.MATCHES)
        if held and result.outcome is OrderOutcome.MATCHES:
            target.settled = max(target.settled, lease.fencing)

    @invariant()
    def one_holder_with_its_own_fencing_token(self):
        holders = [lease for lease in self.leases if lease.held()]
        assert len(holders) <= 1
        for lease in holders:
            assert self.terms.setdefault(lease.fencing, lease.term) == lease.term
            assert lease.fencing == max(self.terms)

    def teardown(self):
        """With a healthy store, one controller holds the lease again and its orders take effect."""
        self.store.down = False
        self.store.reply_ms = 0
        self.deliver()
        for _ in range(10):
            self.all_step(0)
            self.clock.advance(TTL_MS // 3)
        self.all_step(0)
        holders = [number for number, lease in enumerate(self.leases) if lease.held()]
        assert len(holders) == 1
        assert {lease.active_address() for lease in self.leases} == {f"10.0.0.{holders[0]}:1"}
        self.clock.advance(MAX_ORDER_MS - 1)
        self.all_step(0)
        for address in ("check", "ignore"):
            self.order(holders[0], address, False)
            self.clock.advance(1)
            self.order(holders[0], address, False)
            assert self.network.targets[address].version == f"v{self.leases[holders[0]].fencing}"


def test_lease_and_orders_are_safe_under_faults():
    run_state_machine_as_test(LeaseMachine, settings=SETTINGS)


def count_ttl_from_the_reply(self, record, sent_at, original=Lease._apply_write):
    original(self, record, self.clock.now())


def reuse_the_fencing_token(self, fencing, original=Lease._write):
    original(self, max(1, fencing - 1) if self.record else fencing)


def trust_unconfirmed_writes(self):
    if self.unconfirmed:
        self.expires_at = max(self.unconfirmed.values()) + TTL_MS


@pytest.mark.parametrize(
    "owner, name, mutant",
    [
        (Lease, "_is_free", lambda self: True),
        (Lease, "_apply_write", count_ttl_from_the_reply),
        (Lease, "_write", reuse_the_fencing_token),
        (Lease, "_resolve_unconfirmed", trust_unconfirmed_writes),
        (Lease, "remaining_ms", lambda self: TTL_MS if self.expires_at else 0),
        (Orders, "wait_ms", lambda self, order: 0),
    ],
)
def test_state_machine_detects_mutant(monkeypatch, owner, name, mutant):
    """The state machine must fail for each implementation with one broken rule."""
    monkeypatch.setattr(owner, name, mutant)
    thorough = settings(SETTINGS, phases=[Phase.generate], max_examples=4_000)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(LeaseMachine, settings=thorough)
