"""A common limit for the bytes that a process keeps for many holders at once."""

from collections.abc import Callable

from jacinthcove.errors import JacinthcoveError

# A holder that keeps no more than this is not counted.
FREE_BYTES = 32 * 1024
# Larger holders are counted in steps, so that most of the received pieces cost one comparison.
STEP_BYTES = 64 * 1024


class BudgetExceeded(JacinthcoveError):  # noqa: N818 - names an outcome
    """A holder had to give its bytes up, because all holders together exceeded the limit."""


def ignore_eviction() -> None:
    """Eviction callback that does nothing."""


class KeptBytes:
    """What one holder keeps; `evicted` if it had to give its bytes up.

    `on_evicted` drops the bytes at once, as their holder may not run for a while.
    """

    def __init__(self, budget: "ByteBudget"):
        self.budget = budget
        self.counted_bytes = 0
        self.evicted = False
        self.on_evicted: Callable[[], None] = ignore_eviction

    def resize(self, size_bytes: int) -> None:
        """Count `size_bytes`; raises `BudgetExceeded` if this holder has to give them up."""
        self._check_evicted()
        if size_bytes > FREE_BYTES and self.counted_bytes < size_bytes:
            self.budget.grow(self, size_bytes)
            self._check_evicted()

    def reserve(self, size_bytes: int) -> bool:
        """Count `size_bytes` that will not be given up, if they fit; return whether they do."""
        if size_bytes <= FREE_BYTES or size_bytes <= self.counted_bytes:
            return True
        return self.budget.reserve(self, size_bytes)

    def empty(self) -> None:
        """Count nothing for now."""
        if self.counted_bytes:
            self.budget.forget(self)

    def keep(self, size_bytes: int) -> None:
        """Count `size_bytes`, which are complete and will not be given up.

        Raises `BudgetExceeded` if this holder has given them up before.
        """
        self._check_evicted()
        if size_bytes > FREE_BYTES:
            self.budget.keep(self, size_bytes)

    def _check_evicted(self) -> None:
        if self.evicted:
            raise BudgetExceeded("all answers together are too long")

    def close(self) -> None:
        """Count nothing any more."""
        self.on_evicted = ignore_eviction
        self.budget.forget(self)


class ByteBudget:
    """Limits what all holders keep; beyond the limit the largest has to give its bytes up.

    So one that goes on without end gives way to many of usual size.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.highest_bytes = 0
        self.evictions = 0
        self.refusals = 0
        self.evictable: set[KeptBytes] = set()

    def open(self) -> KeptBytes:
        """Return a holder that keeps nothing yet."""
        return KeptBytes(self)

    def grow(self, holder: KeptBytes, size_bytes: int) -> None:
        """Count `size_bytes` for a holder, which may have to give them up at once."""
        self._count(holder, _in_steps(size_bytes))
        self.evictable.add(holder)
        self._evict_largest()

    def keep(self, holder: KeptBytes, size_bytes: int) -> None:
        """Count `size_bytes` for a holder; if they don't fit, others give their bytes up."""
        self._count(holder, _in_steps(size_bytes))
        self.evictable.discard(holder)
        self._evict_largest()

    def reserve(self, holder: KeptBytes, size_bytes: int) -> bool:
        """Count `size_bytes` for a holder, if they fit; return whether they do."""
        counted_bytes = _in_steps(size_bytes)
        if self.used_bytes + counted_bytes - holder.counted_bytes > self.limit_bytes:
            self.refusals += 1
            return False
        self._count(holder, counted_bytes)
        return True

    def forget(self, holder: KeptBytes) -> None:
        """Count nothing more for a holder."""
        self.used_bytes -= holder.counted_bytes
        holder.counted_bytes = 0
        self.evictable.discard(holder)

    def _count(self, holder: KeptBytes, counted_bytes: int) -> None:
        self.used_bytes += counted_bytes - holder.counted_bytes
        holder.counted_bytes = counted_bytes
        self.highest_bytes = max(self.highest_bytes, self.used_bytes)

    def _evict_largest(self) -> None:
        while self.used_bytes > self.limit_bytes and self.evictable:
            self._evict(max(self.evictable, key=lambda item: item.counted_bytes))

    def _evict(self, holder: KeptBytes) -> None:
        holder.evicted = True
        self.evictions += 1
        self.forget(holder)
        holder.on_evicted()


def _in_steps(size_bytes: int) -> int:
    return -(-size_bytes // STEP_BYTES) * STEP_BYTES
