"""Orders under the grant of the duties, and what a router observes for them."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.duties.calls import CallBudget, DutyCallFailed
from jacinthcove.duties.lease import Grant
from jacinthcove.gateway.load import PeerLoad
from jacinthcove.gateway.model import EngineCapacity, GatewayService, ScalingBounds
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.observe.metrics import Metrics
from jacinthcove.scaling.observations import Observer
from jacinthcove.scaling.orders import EngineOrders
from tests.gateway.samples import record

SLOTS = 10
PER_DOMAIN = 4
MODELS = GatewayService(
    "models", engine=EngineCapacity(SLOTS, 1_000), scaling=ScalingBounds(2, 9, 8_000)
)


class Fleet:
    """A router with the duties over 12 engines in three failure domains."""

    def __init__(self):
        self.clock = ManualClock()
        self.registry = TargetRegistry(self.clock)
        self.ledger = ShareLedger(self.clock, 4_000)
        self.routers = 8
        for domain in "abc":
            for number in range(PER_DOMAIN):
                self.put(domain, number)
        self.put("a", 0, service="plain")
        sizes = (lambda: [MODELS, GatewayService("plain")]), lambda: self.routers
        self.observer = Observer(self.clock, self.registry, self.ledger, *sizes)
        self.token = 7
        self.calls = []
        self.fails = False
        self.orders = EngineOrders(
            self.clock, self, self.observer, self, CallBudget(self.clock, 50.0), Metrics()
        )

    def put(self, domain, number, service="models", **fields):
        name = f"{service}-{domain}{number}"
        fields |= {"service": service, "failure_domain": domain, "slots": SLOTS}
        self.registry.put(record(name, address=f"{name}:80", **fields), 1)

    def grant(self):
        return None if self.token is None else Grant("r0", self.token, self.clock.boot() + 2_000)

    def order_engines(self, guard, service, domain, desired):
        self.calls.append((guard().token, service, domain, desired))
        if self.fails:
            raise DutyCallFailed("no answer")

    def work(self, running):
        """Let each engine have requests of another router."""
        report = PeerLoad(running, 0, 0, self.clock.now())
        for state in self.registry.by_service["models"]:
            state.load.on_report("r1", report)

    def run(self, duration_ms, running=5):
        for _ in range(duration_ms // 250):
            self.clock.advance(250)
            self.work(running)
            self.orders.step()


@pytest.fixture
def fleet():
    return Fleet()


@pytest.mark.parametrize(("token", "running"), [(7, 5), (None, 10)])
def test_calm_service_or_router_without_the_duties_orders_nothing(fleet, token, running):
    """Guards against orders that repeat what there is, or of a router that is not the holder."""
    fleet.token = token
    fleet.run(20_000, running)
    assert not fleet.calls


def test_order_is_sent_once_to_each_domain(fleet):
    """Guards against orders that repeat, or that name a service without scaling."""
    fleet.run(6_000, running=10)
    assert sorted(fleet.calls) == [(7, "models", domain, 7) for domain in "abc"]


def test_unanswered_order_is_repeated_with_growing_pauses(fleet):
    """Guards against an order that is lost with its answer, and against a flood of calls."""
    fleet.fails = True
    fleet.run(10_000, running=10)
    assert 6 <= len(fleet.calls) <= 24


def test_new_holder_starts_from_the_engines_before_a_crash(fleet):
    """Guards against a number that is lower because engines are away when the holder changes."""
    fleet.token = None
    fleet.run(2_000)
    for number in range(3):
        fleet.registry.delete(f"models-a{number}", False)
    fleet.token = 9
    fleet.run(3_000, running=10)
    assert min(desired for *_, desired in fleet.calls) >= PER_DOMAIN


def test_engines_are_observed_by_state(fleet):
    """Guards against capacity that cannot serve."""
    fleet.put("a", 0, cold_for_ms=3_000)
    fleet.put("a", 1, leaving=True)
    state = fleet.registry.states["models-a2"]
    state.record_connect_failure(fleet.clock.now())
    fleet.registry.drained.add("b")
    fleet.work(4)
    domains = fleet.observer.observe(MODELS).domains
    a, b, c = (domains[name] for name in "abc")
    assert (a.ready, a.cold, a.leaving, a.lost) == (1, 1, 1, 1)
    assert (b.drained, b.capacity) == (True, 0.0)
    assert (c.ready, c.running, c.slots) == (4, 16, 40)


def test_demand_of_all_workspaces_is_observed(fleet):
    """Guards against rates over the wrong time."""
    for _ in range(16):
        fleet.ledger.record_demand("w1", 500)
        fleet.ledger.record_demand("w2", 500)
        fleet.ledger.begin("w1", 400, late=True)
        fleet.clock.advance(250)
        fleet.ledger.tick()
    demand = fleet.observer.observe(MODELS).demand
    assert demand.asked == pytest.approx(4_000, rel=0.1)
    assert demand.begun == pytest.approx(1_600, rel=0.15)
    assert demand.late_fraction == 1.0


def test_demand_is_incomplete_without_most_routers(fleet):
    """Guards against giving engines back because reports are missing."""
    fleet.run(1_000)
    fleet.routers = 2
    assert not fleet.observer.observe(MODELS).demand.complete
