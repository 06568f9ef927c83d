"""What a router that starts or was cut off learns about shared prompt parts."""

import gevent
import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import PeerUnavailable
from jacinthcove.gateway.partexchange import MAX_AGE_MS, MAX_ASKED, SILENCE_MS, PartsExchange
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
    """Routers of one process by id; unknown ones do not answer."""

    def __init__(self):
        self.routers = {}
        self.asked = []

    def register(self, kind, handler):
        pass

    def call(self, member_id, kind, message, timeout_ms):
        self.asked.append(member_id)
        if member_id not in self.routers:
            raise PeerUnavailable(f"{member_id} is silent")
        return self.routers[member_id].answer("me", message)


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
    """A router that knows a part at a target that is not its home."""
    peers.routers["r1"] = router = exchange(clock, peers)
    home = place(clock, router.registry).target.record.id
    router.holder = next(id for id in router.registry.states if id != home)
    router.registry.states[router.holder].record_parts(["doc"])
    return router


def place(clock, registry):
    return Placement("a").choose_engine(
        request(clock), registry.usable("models"), SHAPE, GOAL_MS, Standing.WITHIN, clock.now()
    )


def test_a_router_that_starts_sends_prompts_where_their_parts_are(clock, peers, known):
    clock.advance(700)
    fresh = exchange(clock, peers, Member("r1", "", "", "a"))
    assert place(clock, fresh.registry).target.record.id != known.holder
    fresh.note_heard()
    fresh.pulling.greenlet.join(1)
    found = place(clock, fresh.registry)
    assert (found.target.record.id, found.fetched_tokens) == (known.holder, 0)
    assert fresh.registry.states[known.holder].recent_parts["doc"] == clock.now() - 700


def test_a_router_asks_only_after_a_silence(clock, peers, known):
    fresh = exchange(clock, peers, Member("r1", "", "", "a"))
    for _ in range(5):
        fresh.note_heard()
        gevent.sleep(0)
        clock.advance(SILENCE_MS - 1)
    assert peers.asked == ["r1"]
    clock.advance(1)
    fresh.note_heard()
    gevent.sleep(0)
    assert peers.asked == ["r1", "r1"]


def test_routers_of_the_own_failure_domain_are_asked_first(clock, peers, known):
    others = [Member(f"r{n}", "", "", "b" if n == 1 else "a") for n in range(1, 10)]
    fresh = exchange(clock, peers, *others)
    assert fresh.pull() == 0
    assert len(peers.asked) == MAX_ASKED
    assert "r1" not in peers.asked
    assert exchange(clock, peers, *others[:2]).pull() == 1


def test_parts_of_an_earlier_start_of_a_target_are_not_taken(clock, peers, known):
    assert exchange(clock, peers, Member("r1", "", "", "a"), started_at=77).pull() == 0


def test_old_parts_are_not_told(clock, peers, known):
    clock.advance(MAX_AGE_MS)
    assert exchange(clock, peers, Member("r1", "", "", "a")).pull() == 0


def test_what_is_known_here_stays_if_it_is_newer(clock, peers, known):
    fresh = exchange(clock, peers, Member("r1", "", "", "a"))
    clock.advance(700)
    state = fresh.registry.states[known.holder]
    state.record_parts(["doc"])
    fresh.pull()
    assert state.recent_parts["doc"] == clock.now()
    assert list(state.recent_parts.values()) == sorted(state.recent_parts.values())
