"""Guards against lost batching, outcomes or limits in the claims of idempotency keys."""

import gevent
import pytest

from jacinthcove.clock import ManualClock, SystemClock
from jacinthcove.codes import ResultCode
from jacinthcove.delivery import claimformat
from jacinthcove.delivery.claimqueue import (
    ClaimOp,
    EditKind,
    EditOp,
    ShardQueue,
    UnconfirmedWrite,
)
from jacinthcove.delivery.claims import ClaimKind, Claims, ClaimUsage
from jacinthcove.errors import RequestRefused
from tests.fakes.store import FakeStore, Fault

USAGE = ClaimUsage(3, 4)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def claims(store, clock):
    return Claims(store, clock, "r1")


def take(claims, key="k", content="c", wait_ms=300):
    return claims.claim("w", key, content, "req", claims.clock.now() + wait_ms)


def test_outcome_is_replayed_by_another_router(claims, store, clock):
    """Guards against a second run of a request that has ended."""
    claims.finish(take(claims).claim, ResultCode.OK, b"answer", USAGE)
    again = take(Claims(store, clock, "r2"))
    assert again.kind is ClaimKind.REPLAY
    assert (again.outcome.output, again.outcome.usage) == (b"answer", USAGE)


@pytest.mark.parametrize("content, kind", [("c", "IN_PROGRESS"), ("other", "KEY_REUSED")])
def test_running_key_is_not_granted(claims, store, clock, content, kind):
    """Guards against a second run, or a wrong result, while the first request runs."""
    take(claims)
    assert take(Claims(store, clock, "r2"), content=content).kind is ClaimKind[kind]


def test_claim_of_a_failed_router_becomes_unknown(claims, store, clock):
    """Guards against reporting a request of a failed router as running forever."""
    take(claims)
    clock.advance(60_000)
    assert take(Claims(store, clock, "r2")).kind is ClaimKind.UNKNOWN


def test_oversized_output_keeps_only_its_digest(claims):
    """Guards against segments growing without bound."""
    claims.finish(take(claims).claim, ResultCode.OK, b"x" * 4097, USAGE)
    outcome = claims.lookup("w", "k").outcome
    assert outcome.output is None and len(outcome.digest) == 64


def test_claim_and_lookup_fail_during_an_outage(claims, store):
    """Guards against granting a claim without the store."""
    store.down = True
    for call in (lambda: take(claims), lambda: claims.lookup("w", "k")):
        with pytest.raises(RequestRefused) as refused:
            call()
        assert refused.value.code is ResultCode.STORE_UNAVAILABLE


def test_late_write_of_refused_claim_is_released(claims, store, clock):
    """Guards against a key blocked by a claim whose request was never sent."""
    claims.release(take(claims).claim)
    store.faults.extend([Fault.LATE] * 20)
    with pytest.raises(RequestRefused):
        take(claims)
    store.faults.clear()
    store.deliver()
    assert take(Claims(store, clock, "r2")).kind is ClaimKind.IN_PROGRESS
    assert claims.flush_edits(clock.now() + 1_000) == 0
    assert take(Claims(store, clock, "r2")).kind is ClaimKind.GRANTED


def test_full_segment_is_followed_by_the_next(claims, store, clock, monkeypatch):
    """Guards against stored objects above 1 MB."""
    monkeypatch.setattr(claimformat, "SOFT_SEGMENT_BYTES", 20_000)
    monkeypatch.setattr("jacinthcove.delivery.claimformat.key_shard", lambda digest: 0)
    for number in range(30):
        assert take(claims, f"k{number}").kind is ClaimKind.GRANTED
    assert len(store.objects) > 5
    assert take(Claims(store, clock, "r2"), "k0").kind is ClaimKind.IN_PROGRESS


def test_waiting_claims_share_one_write(store):
    """Guards against one write per request."""

    class SlowStore(FakeStore):
        def put(self, key, value, if_version):
            gevent.sleep(0.001)
            return super().put(key, value, if_version)

    slow = SlowStore()
    claims = Claims(slow, SystemClock(), "r1")
    tasks = [gevent.spawn(take, claims, f"k{n % 40}", "c", 60_000) for n in range(80)]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("jacinthcove.delivery.claimformat.key_shard", lambda digest: 0)
        gevent.joinall(tasks, raise_error=True)
    kinds = [task.value.kind for task in tasks]
    assert kinds.count(ClaimKind.GRANTED) == 40
    assert slow.puts < 10


def test_write_interval_limits_the_write_rate(store, clock):
    """Guards against a router that exceeds its share of the store's write rate."""
    claims = Claims(store, clock, "r1", write_interval_ms=50)
    started = clock.now()
    for number in range(10):
        take(claims, f"k{number}", wait_ms=10_000)
    assert clock.now() - started >= 50 * (store.puts - 1)


@pytest.mark.parametrize("broken", [False, True])
def test_claim_is_decided_again_on_the_copy_that_is_written(store, clock, monkeypatch, broken):
    """Guards against overwriting a claim that appeared between the decision and the write."""
    if broken:
        monkeypatch.setattr(
            ShardQueue, "_select_writable", lambda self, segment, entries, new_claims: new_claims
        )
    monkeypatch.setattr(claimformat, "key_shard", lambda digest: 0)
    first, second = Claims(store, clock, "r1"), Claims(store, clock, "r2")
    take(second, "k2")
    take(first, "k2")
    take(second, "k1")
    entry = claimformat.Entry("id", "r1", "req", "c", clock.wall() + 1_000)
    digest = claimformat.key_digest("w", "k1")
    waiting = ClaimOp("id", digest, clock.now() + 1_000, entry, "w", "k1")
    first.queues[0].waiting.append(waiting)
    # The claim of k2 without outcome makes the router read the segment again, which now has the
    # other router's claim of k1.
    assert take(first, "k2").kind is ClaimKind.IN_PROGRESS
    granted = waiting.result is not None and waiting.result.kind is ClaimKind.GRANTED
    assert granted == broken


def test_trimmed_segments_are_read_again(claims, clock, monkeypatch):
    """Guards against a cache that grows without bound, and against losing claims with it."""
    take(claims)
    clock.advance(claimformat.HOUR_MS)
    take(claims, "k")
    monkeypatch.setattr("jacinthcove.delivery.claims.MAX_CACHE_BYTES", 0)
    claims.trim_cache()
    assert all(queue.chain.closed_bytes() == 0 for queue in claims.queues.values())
    assert take(claims).kind is ClaimKind.UNKNOWN


def test_settled_claim_is_not_granted_again_after_a_failed_write(claims, store, clock):
    """Guards against a key blocked by a claim that was settled before its round failed."""
    held = take(claims).claim
    store.faults.extend([Fault.LATE] * 10)
    claims.queues[claimformat.key_shard(held.digest)].add_edit(
        EditOp(
            "gone",
            held.digest,
            EditKind.RELEASE,
            held.segment,
            unconfirmed_write=UnconfirmedWrite(held.segment, 99),
        )
    )
    assert take(claims).kind is ClaimKind.IN_PROGRESS
    store.faults.clear()
    assert claims.release(held)
    assert take(Claims(store, clock, "r2")).kind is ClaimKind.GRANTED
