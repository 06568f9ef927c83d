"""How many requests come at once to a target at which all routers see room.

Answers the load of many routers that learn of each other's requests some time later: where one
place becomes free, each of them takes it. A router lets a part of its requests through, so that
those of all routers together are about as many as there are places.
"""

from collections import deque
from zlib import crc32

from jacinthcove.clock import Clock

# Requests that come within this time of each other are one surge; reports are about half as old.
SURGE_MS = 500
# Time in which the memory of a surge halves.
HALF_LIFE_MS = 1_500
# The least part of the requests that is let through.
LEAST_PART = 0.05
# A request is decided anew after this time.
EPOCH_MS = 250


class Surges:
    """The requests that routers would send to one target at once, from what its load showed."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.demand = 0.0
        self.known_at = clock.now()
        # Requests at the target over the time of a surge, with the part that was let through.
        self.recent: deque[tuple[int, int, float]] = deque()

    def note(self, running: int, places: int) -> None:
        """Take the requests at the target as they are known now, and its places."""
        now = self.clock.now()
        while self.recent and self.recent[0][0] < now - SURGE_MS:
            self.recent.popleft()
        if self.recent:
            _, least, part = min(self.recent, key=lambda item: item[1])
            self.demand = max(self._decayed(now), (running - least) / part)
        self.known_at = now
        self.recent.append((now, running, self.part(places - running)))

    def part(self, free: int) -> float:
        """Return the part of the requests that may take one of `free` places."""
        demand = self._decayed(self.clock.now())
        if demand <= max(1, free):
            return 1.0
        return max(LEAST_PART, free / demand)

    def lets(self, request_id: str, target: str, free: int) -> bool:
        """Return whether a request may take one of `free` places; the same for some time."""
        part = self.part(free)
        if part >= 1.0:
            return True
        epoch = self.clock.now() // EPOCH_MS
        return crc32(f"{request_id} {target} {epoch}".encode()) < part * 2**32

    def _decayed(self, now: int) -> float:
        return self.demand * 0.5 ** ((now - self.known_at) / HALF_LIFE_MS)
