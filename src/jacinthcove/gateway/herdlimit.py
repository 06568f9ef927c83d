"""Limits the thundering herd that many routers cause at one target.

Each router learns of the other routers' requests with a delay. When a slot becomes free, every
router sees it and sends a request to it. To prevent that, each router admits only a fraction of its
requests, so that all routers together send about as many requests as there are free slots.
"""

from collections import deque
from zlib import crc32

from jacinthcove.clock import Clock

# Requests that arrive within this time of each other belong to one herd. Load reports are about
# half as old.
HERD_WINDOW_MS = 500
# The estimated demand halves in this time.
HALF_LIFE_MS = 1_500
# At least this fraction of the requests is admitted.
MIN_FRACTION = 0.05
# The decision about a request stays the same for this time.
EPOCH_MS = 250


class HerdLimiter:
    """Estimates how many requests all routers send to one target at once, and thins them out."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.demand = 0.0
        self.demand_at = clock.now()
        # Time, running requests and admitted fraction of each sample in the window.
        self.recent: deque[tuple[int, int, float]] = deque()

    def record_running(self, running: int, slots: int) -> None:
        """Update the demand with the number of requests that now run at the target."""
        now = self.clock.now()
        while self.recent and self.recent[0][0] < now - HERD_WINDOW_MS:
            self.recent.popleft()
        if self.recent:
            _, least, fraction = min(self.recent, key=lambda item: item[1])
            self.demand = max(self._decayed(now), (running - least) / fraction)
        self.demand_at = now
        self.recent.append((now, running, self.fraction(slots - running)))

    def fraction(self, free: int) -> float:
        """Return the fraction of requests to admit while `free` slots are free."""
        demand = self._decayed(self.clock.now())
        if demand <= max(1, free):
            return 1.0
        return max(MIN_FRACTION, free / demand)

    def admits(self, request_id: str, target: str, free: int) -> bool:
        """Return whether a request may use one of `free` slots.

        A retry within `EPOCH_MS` gets the same answer, so that repeated attempts gain nothing.
        """
        fraction = self.fraction(free)
        if fraction >= 1.0:
            return True
        epoch = self.clock.now() // EPOCH_MS
        return crc32(f"{request_id} {target} {epoch}".encode()) < fraction * 2**32

    def _decayed(self, now: int) -> float:
        return self.demand * 0.5 ** ((now - self.demand_at) / HALF_LIFE_MS)
