"""One account for the bodies of open requests.

The load that it answers: many bodies at once, of any size, of which most stop short of their end
and stay open, from one workspace, one address or many.
"""

from collections import Counter
from collections.abc import Callable

from jacinthcove.bytebudget import FREE_BYTES, ignore_eviction
from jacinthcove.clock import Clock
from jacinthcove.ingress.limits import DEFAULT_ADDRESS_FRACTION as ADDRESS_FRACTION
from jacinthcove.ingress.limits import DEFAULT_SLOW_BODY_MS as SLOW_BODY_MS
from jacinthcove.ingress.limits import DEFAULT_WORKSPACE_FRACTION as WORKSPACE_FRACTION

# Large bodies are counted in steps, so that most received pieces cost one comparison. A body that
# grows by less than a step in `slow_body_ms` counts as slow.
STEP_BYTES = 64 * 1024
PROGRESS_BYTES = 16 * 1024
# Bodies up to this size are not counted, so an ordinary request costs nothing here.
UNCOUNTED_BYTES = 4 * 1024


class HeldBody:
    """The bytes of one body; `evicted` if it had to give way to others.

    `on_evicted` drops the bytes at once, as the greenlet of the holder may not run for a while.
    """

    def __init__(self, account: "BodyAccount", address: str):
        self.account = account
        self.address = address
        self.workspace = ""
        self.counted_bytes = 0
        self.is_large = False
        self.evicted = False
        self.on_evicted: Callable[[], None] = ignore_eviction
        self.progress_bytes = 0
        self.progress_at = 0

    def reserve(self, size_bytes: int) -> bool:
        """Count `size_bytes` in all, if they fit; return whether they do."""
        if size_bytes <= UNCOUNTED_BYTES or size_bytes <= self.counted_bytes:
            return not self.evicted
        return not self.evicted and self.account.reserve(self, size_bytes)

    def record_progress(self, received_bytes: int) -> None:
        """Record how much of the body has arrived."""
        if received_bytes - self.progress_bytes >= PROGRESS_BYTES:
            self.progress_bytes = received_bytes
            self.progress_at = self.account.clock.now()

    def finish(self) -> None:
        """Record that the body is complete, so it is not evicted any more."""
        self.account.arriving.pop(self, None)
        self.on_evicted = ignore_eviction

    def close(self) -> None:
        """Count nothing any more."""
        self.finish()
        self.account.forget(self)


class BodyAccount:
    """Counts the bodies of open requests against common limits.

    Small bodies have a part of their own. One workspace and one address may take a part of that for
    large bodies, but each may always have one body. What does not fit takes the place of bodies
    that arrive slowly, the slowest first; without one it is refused.
    """

    def __init__(
        self,
        clock: Clock,
        limit_bytes: int,
        small_limit_bytes: int,
        workspace_fraction: float = WORKSPACE_FRACTION,
        address_fraction: float = ADDRESS_FRACTION,
        slow_body_ms: int = SLOW_BODY_MS,
    ):
        self.clock = clock
        self.limit_bytes = limit_bytes
        self.small_limit_bytes = small_limit_bytes
        self.workspace_fraction = workspace_fraction
        self.address_fraction = address_fraction
        self.slow_body_ms = slow_body_ms
        self.large_bytes = 0
        self.small_bytes = 0
        self.by_workspace: Counter[str] = Counter()
        self.by_address: Counter[str] = Counter()
        # Incomplete counted bodies; a dictionary keeps the order in which they began.
        self.arriving: dict[HeldBody, None] = {}
        self.highest_bytes = 0
        self.refusals = 0
        self.evictions = 0

    @property
    def used_bytes(self) -> int:
        """Return what all bodies take."""
        return self.large_bytes + self.small_bytes

    def open(self, address: str = "") -> HeldBody:
        """Return a holder that keeps nothing yet, for a caller at `address`."""
        return HeldBody(self, address)

    def reserve(self, holder: HeldBody, size_bytes: int) -> bool:
        """Count `size_bytes` for a holder, if they fit; return whether they do."""
        if holder.progress_at == 0:
            holder.progress_at = self.clock.now()
        added_bytes = size_bytes - holder.counted_bytes
        is_small = size_bytes <= FREE_BYTES and not holder.is_large
        if is_small and self.small_bytes + added_bytes <= self.small_limit_bytes:
            self.small_bytes += added_bytes
            return self._counted(holder, size_bytes)
        # The part for large bodies takes small ones that find no room in theirs.
        counted_bytes = -(-size_bytes // STEP_BYTES) * STEP_BYTES
        while (crowd := self._crowd(holder, counted_bytes)) is not None:
            if not self._evict_slowest(holder, crowd):
                self.refusals += 1
                return False
        if not holder.is_large:
            self.small_bytes -= holder.counted_bytes
            holder.counted_bytes = 0
            holder.is_large = True
        self._add_large(holder, counted_bytes - holder.counted_bytes)
        return self._counted(holder, counted_bytes)

    def forget(self, holder: HeldBody) -> None:
        """Count nothing more for a holder."""
        if holder.is_large:
            self._add_large(holder, -holder.counted_bytes)
        else:
            self.small_bytes -= holder.counted_bytes
        holder.counted_bytes = 0

    def _counted(self, holder: HeldBody, counted_bytes: int) -> bool:
        holder.counted_bytes = counted_bytes
        self.arriving[holder] = None
        self.highest_bytes = max(self.highest_bytes, self.used_bytes)
        return True

    def _add_large(self, holder: HeldBody, added_bytes: int) -> None:
        self.large_bytes += added_bytes
        for counter, name in (
            (self.by_workspace, holder.workspace),
            (self.by_address, holder.address),
        ):
            counter[name] += added_bytes
            if not counter[name]:
                del counter[name]

    def _crowd(self, holder: HeldBody, counted_bytes: int) -> Callable[[HeldBody], bool] | None:
        """Return which bodies leave no room for those of a holder, None if there is room."""
        held = holder.counted_bytes if holder.is_large else 0
        added = counted_bytes - held
        if self.large_bytes + added > self.limit_bytes:
            return lambda other: True
        used = self.by_workspace[holder.workspace]
        if used > held and used + added > self.workspace_fraction * self.limit_bytes:
            return lambda other: other.workspace == holder.workspace
        used = self.by_address[holder.address]
        if used > held and used + added > self.address_fraction * self.limit_bytes:
            return lambda other: other.address == holder.address
        return None

    def _evict_slowest(self, holder: HeldBody, is_in_crowd: Callable[[HeldBody], bool]) -> bool:
        slow_since = self.clock.now() - self.slow_body_ms
        slow = [
            other
            for other in self.arriving
            if other is not holder
            and other.is_large
            and other.progress_at <= slow_since
            and is_in_crowd(other)
        ]
        if not slow:
            return False
        slowest = min(slow, key=lambda other: other.progress_at)
        slowest.evicted = True
        self.evictions += 1
        del self.arriving[slowest]
        self.forget(slowest)
        slowest.on_evicted()
        return True
