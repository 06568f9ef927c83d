"""Sliding-window rate limit of one router for requests to each target.

A late router may send long after it selected the target, so a request counts from its selection
until a full window after it was sent.
"""

from collections import deque

from jacinthcove.clock import Clock

# Above this number of targets, those without a request in the window are removed.
MAX_TARGETS = 1_024


class TargetRateLimiter:
    """Counts the requests to each target over a window of `window_ms`."""

    def __init__(self, clock: Clock, window_ms: int):
        self.clock = clock
        self.window_ms = window_ms
        self.sent: dict[str, deque[int]] = {}
        # Ids of the requests that selected a target and are not sent yet.
        self.reserved: dict[str, set[str]] = {}

    def allows(self, target: str, limit: int) -> bool:
        """Return whether another request may select `target`."""
        return self._recent(target) + len(self.reserved.get(target, ())) < limit

    def allows_send(self, target: str, limit: int) -> bool:
        """Return whether a request that selected `target` may be sent."""
        return self._recent(target) < limit

    def blocked_ms(self, target: str, limit: int) -> int:
        """Return the time until another request may select `target`, as far as it is known."""
        if self.allows(target, limit):
            return 0
        times = self.sent.get(target)
        if limit <= 0 or not times:
            return self.window_ms
        return max(0, times[0] + self.window_ms - self.clock.now())

    def reserve(self, target: str, request_id: str) -> None:
        """Count a request that selected `target` and is not sent yet."""
        self.reserved.setdefault(target, set()).add(request_id)

    def cancel(self, target: str, request_id: str) -> None:
        """Remove the reservation of a request; does nothing if it was sent."""
        reserved = self.reserved.get(target)
        if reserved is not None:
            reserved.discard(request_id)
            if not reserved:
                del self.reserved[target]

    def record_sent(self, target: str, within_ms: int = 0) -> None:
        """Count a request that is sent now, or elsewhere within `within_ms`."""
        self.sent.setdefault(target, deque()).append(self.clock.now() + within_ms)
        if len(self.sent) > MAX_TARGETS:
            self._remove_idle()

    def _recent(self, target: str) -> int:
        times = self.sent.get(target)
        if times is None:
            return 0
        start = self.clock.now() - self.window_ms
        while times and times[0] <= start:
            times.popleft()
        if not times:
            del self.sent[target]
        return len(times)

    def _remove_idle(self) -> None:
        start = self.clock.now() - self.window_ms
        self.sent = {name: times for name, times in self.sent.items() if times[-1] > start}
