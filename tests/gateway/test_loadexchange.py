"""Reports between routers."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.loadexchange import PERIOD_MS, Audience, LoadExchange
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetBook
from jacinthcove.mesh.peers import Member
from tests.gateway.samples import record


class Members:
    """This router and some in its own and in another failure domain."""

    me = Member("r1", "10.0.0.1:7400", "10.0.0.1:80", "a")

    def __init__(self, near=2, far=5):
        others = [("a", near), ("b", far)]
        self.others = [
            Member(f"{domain}{number}", "", "", domain)
            for domain, count in others
            for number in range(count)
        ]

    def alive(self):
        return (self.me, *self.others)


class Peers:
    """Takes the handler and sends nothing."""

    def register(self, kind, handler):
        self.handler = handler


def exchange(clock):
    book = TargetBook(clock)
    book.put(record("t1"), 1)
    ledger = ShareLedger(clock, 4_000)
    return LoadExchange(clock, Members(), Peers(), book, ledger, lambda: None)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def sender(clock):
    return exchange(clock)


@pytest.fixture
def receiver(clock):
    return exchange(clock)


def test_a_report_tells_what_is_under_way(sender, receiver):
    state = sender.book.states["t1"]
    state.load.begin("q1", 4_500, 700)
    state.note_parts(["doc"], own=True)
    receiver.take("r1", sender.report(sender.near))
    known = receiver.book.states["t1"]
    assert (known.load.running, known.load.memory_tokens) == (1, 700)
    assert known.load.wait_ms() == pytest.approx(100)
    assert "doc" in known.recent_parts
    state.load.end("q1")
    receiver.take("r1", sender.report(sender.near))
    assert known.load.running == 0


def test_an_older_report_changes_nothing(sender, receiver):
    state = sender.book.states["t1"]
    state.load.begin("q1", 10, 10)
    old = sender.report(sender.near)
    state.load.end("q1")
    receiver.take("r1", sender.report(sender.near))
    receiver.take("r1", old)
    assert receiver.book.states["t1"].load.running == 0


def test_a_restarted_sender_is_taken_anew(clock, sender, receiver):
    sender.book.states["t1"].load.begin("q1", 10, 10)
    sender.ledger.ask("small", 100)
    receiver.take("r1", sender.report(sender.near))
    clock.advance(1_000)
    again = exchange(clock)
    again.ledger.ask("small", 5)
    receiver.take("r1", again.report(again.near))
    assert receiver.book.states["t1"].load.running == 0
    assert receiver.ledger.seen["r1", "small"].asked == 5


def test_each_audience_is_told_everything_once(clock, sender):
    state = sender.book.states["t1"]
    state.note_parts(["doc"], own=True)
    clock.advance(10)
    assert [list(item.parts) for item in sender.report(sender.near).targets] == [["doc"]]
    clock.advance(10)
    assert not sender.report(sender.near).targets
    assert [list(item.parts) for item in sender.report(sender.far).targets] == [["doc"]]


@pytest.mark.parametrize(("near", "far"), [(2, 5), (26, 54), (270, 2_730)])
def test_messages_a_second_are_bounded_at_any_size(near, far):
    members = Members(near, far)
    for audience in (Audience(members, True, 140), Audience(members, False, 60)):
        rate = 1_000 * len(audience.peers()) / audience.period_ms()
        assert rate <= audience.messages_per_s
        assert audience.period_ms() >= PERIOD_MS


def test_only_what_changed_is_told(sender):
    sender.ledger.ask("small", 100)
    assert [use.workspace for use in sender.report(sender.near).workspaces] == ["small"]
    assert not sender.report(sender.near).workspaces
    sender.ledger.admit("small", 100)
    assert [use.admitted_tokens for use in sender.report(sender.near).workspaces] == [100]
