"""The account of bodies: one holder must not take all of it, and slow ones must give way."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.ingress.account import BodyAccount

MIB = 1024 * 1024
SLOW_MS = 1_000


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def account(clock):
    return BodyAccount(clock, 16 * MIB, MIB, 0.5, 0.75, SLOW_MS)


def hold(account, size, workspace="w", address="a"):
    holder = account.open(address)
    holder.workspace = workspace
    return holder, holder.reserve(size)


def test_a_workspace_takes_its_part_at_most(account):
    """One workspace could take the whole budget."""
    held = [hold(account, 4 * MIB)[1] for _ in range(4)]
    assert held == [True, True, False, False]
    assert hold(account, 4 * MIB, "other", "b")[1]


def test_an_address_takes_its_part_at_most(account):
    held = [hold(account, 4 * MIB, f"w{number}")[1] for number in range(4)]
    assert held == [True, True, True, False]
    assert hold(account, 4 * MIB, "w9", "b")[1]


def test_one_body_within_the_limit_is_always_taken(account):
    assert hold(account, 15 * MIB)[1]


def test_small_bodies_have_room_beside_large_ones(account):
    """Large bodies must not take the place of small requests."""
    for number in range(8):
        hold(account, 4 * MIB, f"w{number}", f"a{number}")
    assert account.large_bytes == 16 * MIB
    assert hold(account, 30_000)[1]


def test_small_bodies_are_counted_too(account):
    """1,200 bodies of 32 KB each were counted as nothing."""
    held = [hold(account, 30_000, f"w{n}", f"a{n}")[1] for n in range(1_000)]
    assert not all(held)
    assert account.used_bytes <= account.limit_bytes + account.small_limit_bytes


def test_the_slowest_body_gives_way(account, clock):
    """Bodies that stopped short of their end kept the others out until their time limit."""
    dropped = []
    holders = []
    for number in range(4):
        holder, held = hold(account, 4 * MIB, f"w{number}", f"a{number}")
        holder.on_evicted = lambda number=number: dropped.append(number)
        holders.append(holder)
    clock.advance(SLOW_MS)
    holders[0].record_progress(MIB)
    assert hold(account, 4 * MIB, "new", "new")[1]
    assert dropped == [1]
    assert not holders[1].reserve(4 * MIB)


def test_a_complete_body_does_not_give_way(account, clock):
    """Its request may run, so no answer could be true that says that it did not."""
    for number in range(4):
        hold(account, 4 * MIB, f"w{number}", f"a{number}")[0].finish()
    clock.advance(10 * SLOW_MS)
    assert not hold(account, 4 * MIB, "new", "new")[1]


def test_nothing_is_counted_after_the_end(account):
    for size in (10_000, 4 * MIB):
        holder, _ = hold(account, 10_000)
        holder.reserve(size)
        holder.close()
    assert (account.used_bytes, account.by_workspace, account.by_address) == (0, {}, {})
