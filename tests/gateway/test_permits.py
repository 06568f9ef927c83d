"""Routers lend each other unused quotas of the limits that targets state."""

from random import Random

import gevent
import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import PeerUnavailable
from jacinthcove.gateway.fleetquota import FleetQuota
from jacinthcove.gateway.permits import CLAIM_MS, MAX_PERMITS, SHORT_MS, PermitExchange
from jacinthcove.gateway.raterule import (
    MAX_PERMIT_AGE_MS,
    PERMIT_TTL_MS,
    STATED_WINDOW_MS,
    ColdRateLimit,
)
from jacinthcove.gateway.targetrates import TargetRates
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member
from tests.gateway.samples import record

ROUTERS = ("r0", "r1", "r2", "r3")
TARGETS = 3
PER_S = 2.0


class Mesh:
    """The routers of a fleet, and calls between those that are not cut off."""

    def __init__(self, fleet, id):
        self.fleet = fleet
        self.me = Member(id, "", "", "a")

    def alive(self):
        return tuple(Member(id, "", "", "a") for id in ROUTERS)

    def register(self, kind, handler):
        self.fleet.handlers[self.me.id] = handler

    def call(self, member_id, kind, message, timeout_ms):
        if {member_id, self.me.id} & self.fleet.cut_off:
            raise PeerUnavailable("cut off")
        return self.fleet.handlers[member_id](self.me.id, message)


class Fleet:
    """Four routers with the quotas of three targets, each of which states a limit."""

    def __init__(self):
        self.clock = ManualClock(now_ms=1_000_000)
        self.handlers = {}
        self.cut_off = set()
        self.rates = {}
        self.exchanges = {}
        for id in ROUTERS:
            registry = TargetRegistry(self.clock)
            for number in range(TARGETS):
                registry.put(record(f"t{number}", address=f"10.0.0.{number}:80"), 1)
                registry.stated_limits.record_response(f"t{number}", 0, PER_S, 0)
            quota = FleetQuota(self.clock, id)
            quota.set_routers(ROUTERS)
            rates = TargetRates(self.clock, quota, ColdRateLimit(1, 0), registry.stated_limits)
            mesh = Mesh(self, id)
            self.rates[id] = rates
            self.exchanges[id] = PermitExchange(
                self.clock, mesh, mesh, registry, rates.stated, Random(1)
            )

    def targets(self, router):
        return self.exchanges[router].registry.usable("models")

    def send_all(self, router, over_share=False):
        """Send as many requests as the limits allow; return their number."""
        sent = 0
        for target in self.targets(router):
            while self.rates[router].allows(target, over_share):
                assert self.rates[router].try_send(f"q{sent}", target)
                sent += 1
        return sent

    def borrow(self, router, requests):
        for number in range(requests):
            self.exchanges[router].record_shortage("models", f"short{number}")
        self.exchanges[router].borrow()


@pytest.fixture
def fleet():
    return Fleet()


TOTAL = int(TARGETS * PER_S * STATED_WINDOW_MS / 1_000)


def test_a_router_with_all_callers_gets_the_quotas_of_the_others(fleet):
    sent = fleet.send_all("r0")
    assert sent == TOTAL / len(ROUTERS)
    for _ in range(4):
        fleet.borrow("r0", 20)
        sent += fleet.send_all("r0")
    assert sent >= 0.9 * TOTAL
    assert sent + sum(fleet.send_all(router) for router in ROUTERS) == TOTAL


def test_a_permit_that_was_lent_counts_as_used_although_its_borrower_sends_nothing(fleet):
    fleet.borrow("r0", MAX_PERMITS)
    fleet.clock.advance(PERMIT_TTL_MS)
    assert sum(fleet.send_all(router) for router in ROUTERS) < TOTAL
    fleet.clock.advance(MAX_PERMIT_AGE_MS - PERMIT_TTL_MS + STATED_WINDOW_MS)
    assert sum(fleet.send_all(router) for router in ROUTERS) == TOTAL


def test_a_permit_ends_before_its_lender_forgets_it(fleet):
    own = fleet.send_all("r0")
    fleet.borrow("r0", MAX_PERMITS)
    target = next(t for t in fleet.targets("r0") if fleet.rates["r0"].allows(t))
    fleet.rates["r0"].reserve("q1", target)
    fleet.clock.advance(PERMIT_TTL_MS)
    assert not fleet.rates["r0"].try_send("q1", target)
    assert own and not fleet.send_all("r0")


def test_a_router_that_is_short_itself_lends_nothing(fleet):
    fleet.exchanges["r1"].record_shortage("models", "q1")
    assert not fleet.handlers["r1"]("r0", pb.PermitPull(service="models", count=4)).target_ids
    fleet.clock.advance(SHORT_MS)
    assert fleet.handlers["r1"]("r0", pb.PermitPull(service="models", count=4)).target_ids


def test_a_workspace_over_its_share_uses_no_borrowed_permits(fleet):
    fleet.send_all("r0")
    fleet.borrow("r0", 4)
    assert not fleet.send_all("r0", over_share=True)
    assert fleet.send_all("r0")


def test_a_workspace_over_its_share_uses_no_quota_that_another_router_claims(fleet):
    fleet.send_all("r1")
    fleet.handlers["r1"]("r0", pb.PermitPull(service="models", count=1))
    fleet.clock.advance(STATED_WINDOW_MS)
    fleet.rates["r1"].stated.claimed_until["models"] = fleet.clock.now() + CLAIM_MS
    fleet.clock.advance(CLAIM_MS - 1)
    assert not fleet.send_all("r1", over_share=True)
    fleet.clock.advance(1)
    assert fleet.send_all("r1", over_share=True)


def test_a_claim_is_met_as_soon_as_the_quota_allows_it(fleet):
    fleet.send_all("r1")
    fleet.clock.advance(STATED_WINDOW_MS - CLAIM_MS // 2)
    reply = fleet.handlers["r1"]("r0", pb.PermitPull(service="models", count=2))
    assert len(reply.target_ids) == 2


def test_routers_that_cannot_be_reached_cost_nothing(fleet):
    fleet.cut_off = {"r1", "r2", "r3"}
    own = fleet.send_all("r0")
    fleet.borrow("r0", 4)
    assert own and not fleet.send_all("r0")


def test_nothing_is_asked_for_where_no_target_states_a_limit(fleet):
    fleet.exchanges["r0"].registry.stated_limits.by_target.clear()
    fleet.exchanges["r0"].record_shortage("models", "q1")
    assert not fleet.exchanges["r0"].short


def test_a_shortage_starts_a_round_at_once(fleet):
    fleet.send_all("r0")
    fleet.exchanges["r0"].start()
    fleet.exchanges["r0"].record_shortage("models", "q1")
    gevent.sleep(0.01)
    assert fleet.send_all("r0") >= 1
    fleet.exchanges["r0"].close()


def test_a_permit_that_is_used_late_and_the_next_quota_of_its_lender_stay_within_the_limit(fleet):
    fleet.borrow("r0", MAX_PERMITS)
    fleet.clock.advance(PERMIT_TTL_MS - 1)
    used = fleet.send_all("r0")
    assert used > TOTAL // len(ROUTERS)
    fleet.clock.advance(STATED_WINDOW_MS - PERMIT_TTL_MS + 1)
    sent = sum(fleet.send_all(router) for router in ROUTERS if router != "r0")
    assert used + sent <= TOTAL
