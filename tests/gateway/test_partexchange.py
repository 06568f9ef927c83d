"""Copying of the cached prompt parts to a router after a start or a partition."""

import gevent
import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import PeerUnavailable
from jacinthcove.gateway.partexchange import (
    MAX_ASKED,
    MAX_PART_AGE_MS,
    MAX_REPORT_GAP_MS,
    PartsExchange,
)
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.shares import Standing
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.mesh.peers import Member
from tests.gateway.samples import GOAL_MS, SHAPE, record, request


class Members:
    def __init__(self, *others):
        self.me = Member("me", "", "", "a")
        self.others = others

    def alive(self):
        return (self.me, *self.others)


class Peers:
    """Calls routers of this process by id; calls to unknown ids raise `PeerUnavailable`."""

    def __init__(self):
        self.routers = {}
        self.asked = []

    def register(self, kind, handler):
        pass

    def call(self, member_id, kind, message, timeout_ms):
        self.asked.append(member_id)
        if member_id not in self.routers:
            raise PeerUnavailable(f"{member_id} is silent")
        return self.routers[member_id].serve_table("me", message)


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.advance(100_000)
    return clock


@pytest.fixture
def peers():
    return Peers()


def registry(clock, started_at=0):
    registry = TargetRegistry(clock)
    for number in range(4):
        registry.put(record(f"t{number}", started_at=started_at), 1)
    return registry


def exchange(clock, peers, *others, started_at=0):
    return PartsExchange(clock, Members(*others), peers, registry(clock, started_at))


@pytest.fixture
def known(clock, peers):
    """Return a router that knows a part at another target than the part's default one."""
    peers.routers["r1"] = router = exchange(clock, peers)
    default = place(clock, router.registry).target.record.id
    router.holder = next(id for id in router.registry.states if id != default)
    router.registry.states[router.holder].record_parts(["doc"])
    return router


def place(clock, registry):
    return Placement("a").choose_engine(
        request(clock), registry.usable("models"), SHAPE, GOAL_MS, Standing.WITHIN, clock.now()
    )


def test_a_started_router_sends_prompts_to_the_targets_that_cache_their_parts(clock, peers, known):
    clock.advance(700)
    started = exchange(clock, peers, Member("r1", "", "", "a"))
    assert place(clock, started.registry).target.record.id != known.holder
    started.record_report_received()
    started.pull_task.greenlet.join(1)
    found = place(clock, started.registry)
    assert (found.target.record.id, found.fetched_tokens) == (known.holder, 0)
    assert started.registry.states[known.holder].recent_parts["doc"] == clock.now() - 700


def test_a_router_pulls_only_after_a_gap_in_the_reports(clock, peers, known):
    started = exchange(clock, peers, Member("r1", "", "", "a"))
    for _ in range(5):
        started.record_report_received()
        gevent.sleep(0)
        clock.advance(MAX_REPORT_GAP_MS - 1)
    assert peers.asked == ["r1"]
    clock.advance(1)
    started.record_report_received()
    gevent.sleep(0)
    assert peers.asked == ["r1", "r1"]


def test_routers_of_the_same_failure_domain_are_asked_first(clock, peers, known):
    others = [Member(f"r{n}", "", "", "b" if n == 1 else "a") for n in range(1, 10)]
    started = exchange(clock, peers, *others)
    assert started.pull() == 0
    assert len(peers.asked) == MAX_ASKED
    assert "r1" not in peers.asked
    assert exchange(clock, peers, *others[:2]).pull() == 1


def test_parts_from_before_a_restart_of_the_target_are_not_merged(clock, peers, known):
    assert exchange(clock, peers, Member("r1", "", "", "a"), started_at=77).pull() == 0


def test_parts_unused_for_long_are_not_sent(clock, peers, known):
    clock.advance(MAX_PART_AGE_MS)
    assert exchange(clock, peers, Member("r1", "", "", "a")).pull() == 0


def test_a_newer_local_time_of_use_is_kept(clock, peers, known):
    started = exchange(clock, peers, Member("r1", "", "", "a"))
    clock.advance(700)
    state = started.registry.states[known.holder]
    state.record_parts(["doc"])
    started.pull()
    assert state.recent_parts["doc"] == clock.now()
    assert list(state.recent_parts.values()) == sorted(state.recent_parts.values())
