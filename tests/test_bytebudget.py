"""Holders must not exceed their common limit, and small ones must not suffer from large ones."""

import pytest

from jacinthcove.bytebudget import FREE_BYTES, BudgetExceeded, ByteBudget

LIMIT = 1_000_000


def grow(holder, size, step=20_000):
    for kept in range(step, size + step, step):
        holder.resize(kept)


def test_one_holder_that_grows_without_end_is_stopped():
    budget = ByteBudget(LIMIT)
    with pytest.raises(BudgetExceeded):
        grow(budget.open(), 100 * LIMIT)
    assert budget.used_bytes == 0


def test_a_holder_that_exceeds_the_limit_is_told_at_once():
    """One call later its bytes, already dropped, could look like the whole of an answer."""
    with pytest.raises(BudgetExceeded):
        ByteBudget(LIMIT).open().resize(2 * LIMIT)


def test_all_holders_together_stay_below_the_limit():
    budget = ByteBudget(LIMIT)
    holders = [budget.open() for _ in range(100)]
    for size in range(50_000, 500_000, 50_000):
        for holder in holders:
            if not holder.evicted:
                try:
                    holder.resize(size)
                except BudgetExceeded:
                    pass
            assert budget.used_bytes <= LIMIT
    assert budget.used_bytes == sum(holder.counted_bytes for holder in holders)


def test_the_largest_gives_way_to_those_of_usual_size():
    budget = ByteBudget(LIMIT)
    dropped = []
    endless, sound = budget.open(), [budget.open() for _ in range(5)]
    endless.on_evicted = lambda: dropped.append("endless")
    grow(endless, 700_000)
    for holder in sound:
        grow(holder, 100_000)
    assert dropped == ["endless"]
    assert not any(holder.evicted for holder in sound)
    with pytest.raises(BudgetExceeded):
        endless.resize(1)


def test_complete_bytes_are_not_given_up():
    budget = ByteBudget(LIMIT)
    complete, endless = budget.open(), budget.open()
    grow(complete, 800_000)
    complete.keep(800_000)
    with pytest.raises(BudgetExceeded):
        grow(endless, LIMIT)
    assert not complete.evicted
    complete.close()
    assert budget.used_bytes == 0


def test_small_holders_are_not_refused_when_nothing_is_left():
    budget = ByteBudget(0)
    budget.open().resize(FREE_BYTES)


def test_a_complete_answer_is_not_lost_because_nothing_is_left():
    """The target has run the request, and the answer takes no more memory than it has already."""
    budget = ByteBudget(LIMIT)
    waiting = [budget.open() for _ in range(5)]
    for holder in waiting:
        holder.resize(180_000)
        holder.keep(180_000)
    last = budget.open()
    last.keep(100_000)
    assert not last.evicted
