"""Guards against a second run of a key, and against a wrong "not run" or stored outcome.

Three routers share a store whose writes fail, take effect without a response, arrive late or twice,
crash the router or race with another router, while the hour changes.
"""

from contextlib import suppress
from dataclasses import dataclass, replace

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
from jacinthcove.codes import ResultCode
from jacinthcove.delivery import claimformat
from jacinthcove.delivery.claimqueue import Claim, ShardQueue
from jacinthcove.delivery.claims import ClaimKind, Claims, ClaimUsage
from jacinthcove.delivery.claimsegments import SegmentChain
from jacinthcove.errors import RequestRefused, StoreUnavailable
from tests.fakes.store import Crash, FakeStore, Fault

KEYS = ("k1", "k2", "k3")
ROUTERS = st.integers(0, 2)
# Leaves time for about three writes, so a few faults in a row exceed the deadline.
WAIT_MS = 60
FAULTS = st.one_of(
    st.lists(st.sampled_from([*Fault, Fault.LATE, Fault.RACE, Fault.RACE]), max_size=7),
    st.lists(st.sampled_from([Fault.LATE, Fault.LOST]), min_size=5, max_size=5),
    st.lists(st.just(Fault.LATE), min_size=5, max_size=5),
    st.lists(st.just(Fault.RACE), max_size=4),
)
# Wall clocks of routers differ by more than the hour of a segment.
SKEW_MS = (0, -claimformat.HOUR_MS, claimformat.HOUR_MS // 2)
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=settings.default.max_examples * 4,
    stateful_step_count=30,
    report_multiple_bugs=False,
)


@dataclass
class Run:
    claim: Claim
    router: int
    sent: bool = False


class ClaimsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store = FakeStore()
        self.clocks = [ManualClock(wall_ms=ManualClock().wall() + skew) for skew in SKEW_MS]
        self.routers = [Claims(self.store, self.clocks[n], f"r{n}") for n in range(3)]
        self.open: list[Run] = []
        self.sent: dict[str, int] = {}
        self.blocked: set[str] = set()  # keys that a crash may have left claimed
        self.outcomes: dict[str, bytes] = {}

    def attempt(self, router, key, send):
        """Claim a key as a request does and check the result."""
        claims = self.routers[router]
        try:
            result = claims.claim("w", key, "c", "req", claims.clock.now() + WAIT_MS)
        except RequestRefused:
            return
        except Crash:
            self.restart(router)
            self.blocked.add(key)
            return
        if result.kind is ClaimKind.GRANTED:
            assert not self.sent.get(key), "granted although a request with the key was sent"
            self.sent[key] = self.sent.get(key, 0) + send
            self.open.append(Run(result.claim, router, send))
        elif result.kind is ClaimKind.REPLAY:
            assert result.outcome.output == self.outcomes[key]
        else:
            assert result.kind in (ClaimKind.IN_PROGRESS, ClaimKind.UNKNOWN)

    def restart(self, router):
        left = {op.digest for queue in self.routers[router].queues.values() for op in queue.waiting}
        self.blocked |= {key for key in KEYS if claimformat.key_digest("w", key) in left}
        self.blocked |= {run.claim.key for run in self.open if run.router == router}
        self.routers[router] = Claims(self.store, self.clocks[router], f"r{router}")
        self.open = [run for run in self.open if run.router != router]

    @rule(
        router=ROUTERS, key=st.sampled_from(KEYS), send=st.booleans(), faults=FAULTS, other=ROUTERS
    )
    def claim(self, router, key, send, faults, other):
        def race():
            if other != router:
                self.store.faults.clear()
                self.attempt(other, key, True)

        self.store.race = race
        self.store.faults.extend(faults)
        self.attempt(router, key, send)
        self.store.faults.clear()

    @rule(faults=FAULTS, code=st.sampled_from([ResultCode.OK, ResultCode.NOT_ADMITTED]))
    def end(self, faults, code):
        if not self.open:
            return
        run = self.open.pop(0)
        output = run.claim.id.encode()
        self.store.race = self.store.deliver
        self.store.faults.extend(faults)
        key = run.claim.key
        if run.sent and code is ResultCode.OK:
            self.outcomes[key] = output
        else:
            self.sent[key] -= run.sent
        try:
            if run.sent:
                self.routers[run.router].finish(run.claim, code, output, ClaimUsage())
            else:
                self.routers[run.router].release(run.claim)
        except Crash:
            self.restart(run.router)
            self.blocked.add(key)
        self.store.faults.clear()

    @rule(router=ROUTERS)
    def crash(self, router):
        self.restart(router)

    @rule(router=ROUTERS, faults=FAULTS)
    def drain(self, router, faults):
        self.store.race = self.store.deliver
        self.store.faults.extend(faults)
        try:
            self.routers[router].flush_edits(self.clocks[router].now() + 100)
        except Crash:
            self.restart(router)
        self.store.faults.clear()

    @rule()
    def deliver_late_writes(self):
        self.store.deliver()

    @rule(down=st.booleans())
    def outage(self, down):
        self.store.down = down

    @rule(duration=st.sampled_from([20, 5_000, claimformat.HOUR_MS, 5 * claimformat.HOUR_MS]))
    def advance(self, duration):
        for clock in self.clocks:
            clock.advance(duration)

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.sent.values())

    def teardown(self):
        """After all faults, unused keys can be claimed and outcomes are replayed."""
        # A failed rule leaves its faults behind; a refusal here would then hide its error.
        self.store.faults.clear()
        self.store.down = False
        for claims in self.routers * 2:
            for _ in range(5):
                claims.flush_edits(claims.clock.now() + 1_000)
        self.store.deliver()
        for claims in self.routers:
            assert claims.pending_edits() == 0
        held = {run.claim.key for run in self.open} | self.blocked
        for key in set(KEYS) - held:
            reader = Claims(self.store, self.clocks[0], "reader")
            kind = reader.claim("w", key, "c", "req", self.clocks[0].now() + WAIT_MS).kind
            expected = ClaimKind.REPLAY if self.sent.get(key) else ClaimKind.GRANTED
            assert kind is expected, "a released key is blocked or an outcome is lost"


@pytest.fixture(autouse=True)
def single_shard(monkeypatch):
    monkeypatch.setattr(claimformat, "key_shard", lambda digest: 0)


def test_claims_keep_their_rules_under_faults():
    run_state_machine_as_test(ClaimsMachine, settings=SETTINGS)


def abandon_without_release(self, op):
    self.waiting.remove(op)


def settle_without_reading(self, segment, entries, op, original=ShardQueue._apply_edit):
    op.unconfirmed_write = None
    return original(self, segment, entries, op)


def check_only_the_head(self, head):
    yield head


def open_without_closing(self, head, next_number):
    self.head_number = next_number
    self.predecessors[next_number] = head.number


def grant_in_doubt(self, number, new_claims, edits, original=ShardQueue._write_segment):
    try:
        original(self, number, new_claims, edits)
    except StoreUnavailable:
        for op in new_claims:
            op.grant(number)
        raise


def ignore_content_of_closed(self, number, original=SegmentChain.refresh):
    segment = original(self, number)
    return replace(segment, next=None) if segment.closed and number else segment


def release_any(self, entry):
    return bool(self.released_claims)


def ignore_conflict(self, segment, original=SegmentChain.write):
    with suppress(StoreUnavailable):
        current = self.store.get(claimformat.segment_key(self.shard, segment.number))
        segment = replace(segment, version=current.version if current else 0)
    return original(self, segment)


@pytest.mark.parametrize(
    "owner, name, mutant",
    [
        (ShardQueue, "withdraw", abandon_without_release),
        (ShardQueue, "_apply_edit", settle_without_reading),
        (SegmentChain, "segments_to_check", check_only_the_head),
        (SegmentChain, "close", open_without_closing),
        (ShardQueue, "_write_segment", grant_in_doubt),
        (SegmentChain, "refresh", ignore_content_of_closed),
        (ShardQueue, "_is_released", release_any),
        (SegmentChain, "write", ignore_conflict),
    ],
)
def test_fuzz_catches_mutant(monkeypatch, owner, name, mutant):
    """Guards against a state machine that does not detect a known bug."""
    monkeypatch.setattr(owner, name, mutant)
    thorough = settings(SETTINGS, phases=[Phase.generate], max_examples=4_000)
    with pytest.raises((AssertionError, KeyError)):
        run_state_machine_as_test(ClaimsMachine, settings=thorough)
