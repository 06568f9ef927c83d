"""Rate limit of one router for requests to a cold target.

When a failure domain returns with cold targets, all routers send to them at once, and a target that
has just started fails well above its cold rate. A late router may send long after it selected the
target, so a request counts from its selection until a full window after it was sent.
"""

from collections import deque

from jacinthcove.clock import Clock

# A little over a second, because requests may take different times to arrive.
WINDOW_MS = 1_150
# Above this number of targets, those without a request in the window are removed.
MAX_TARGETS = 1_024


class ColdRateLimiter:
    """A sliding-window rate limit for each target.

    Requests to warm targets count too, because a target may restart and be cold again.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.sent: dict[str, deque[int]] = {}
        # Ids of the requests that selected a target and are not sent yet.
        self.reserved: dict[str, set[str]] = {}

    def allows(self, target: str, limit: int) -> bool:
        """Return whether another request may select `target`."""
        return self._recent(target) + len(self.reserved.get(target, ())) < limit

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

    def try_send(self, target: str, request_id: str, limit: int | None) -> bool:
        """Turn a reservation into a send.

        Returns False if the request would exceed `limit` and must not be sent.
        """
        self.cancel(target, request_id)
        if limit is not None and self._recent(target) >= limit:
            return False
        self.sent.setdefault(target, deque()).append(self.clock.now())
        if len(self.sent) > MAX_TARGETS:
            self._remove_idle()
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

    def _remove_idle(self) -> None:
        start = self.clock.now() - WINDOW_MS
        self.sent = {name: times for name, times in self.sent.items() if times[-1] > start}
