"""Requests per second that one router may send to a cold target.

Answers the load of a failure domain that returns cold: every router sends at once, and a target
that has just started falls over well above its cold rate. A late router may send much later than it
chose, so a request counts from its choice until a window after it was sent.
"""

from collections import deque

from jacinthcove.clock import Clock

# A request may arrive later than it was sent, so the window is a little longer than a second.
WINDOW_MS = 1_150
# Above this number, targets without a request in the window are dropped.
MAX_TARGETS = 1_024


class ColdLimit:
    """A sliding-window limit for each target; warm ones are counted, as they may turn cold."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.sent: dict[str, deque[int]] = {}
        # Requests that chose a target and were not sent yet.
        self.chosen: dict[str, set[str]] = {}

    def allows(self, target: str, limit: int) -> bool:
        """Return whether another request may choose `target`."""
        return self._recent(target) + len(self.chosen.get(target, ())) < limit

    def choose(self, target: str, request_id: str) -> None:
        """Count a request that is about to be sent."""
        self.chosen.setdefault(target, set()).add(request_id)

    def forget(self, target: str, request_id: str) -> None:
        """Count a request no more if it was not sent."""
        waiting = self.chosen.get(target)
        if waiting is not None:
            waiting.discard(request_id)
            if not waiting:
                del self.chosen[target]

    def send(self, target: str, request_id: str, limit: int | None) -> bool:
        """Count a request that is being sent; False if it is above `limit` and must not be."""
        self.forget(target, request_id)
        if limit is not None and self._recent(target) >= limit:
            return False
        self.sent.setdefault(target, deque()).append(self.clock.now())
        if len(self.sent) > MAX_TARGETS:
            self._drop_quiet()
        return True

    def _recent(self, target: str) -> int:
        times = self.sent.get(target)
        if times is None:
            return 0
        start = self.clock.now() - WINDOW_MS
        while times and times[0] <= start:
            times.popleft()
        if not times:
            del self.sent[target]
        return len(times)

    def _drop_quiet(self) -> None:
        start = self.clock.now() - WINDOW_MS
        self.sent = {name: times for name, times in self.sent.items() if times[-1] > start}
