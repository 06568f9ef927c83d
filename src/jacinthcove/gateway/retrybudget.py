"""The budget of repeated sends of a service, as this router's part of the fleet's budget."""

from collections import deque
from collections.abc import Callable

from jacinthcove.clock import Clock


class WindowedRetryBudget:
    """Allows repeats up to a ratio of the service's requests in a sliding window plus a slack.

    `slack` is this router's part; the ratio needs no division because each router counts its own
    requests. The window counts suspended time, in which other routers may have used it up.
    """

    def __init__(self, clock: Clock, window_ms: int, ratio: float, slack: Callable[[], int]):
        self.clock = clock
        self.window_ms = window_ms
        self.ratio = ratio
        self.slack = slack
        self.requests: dict[str, deque[int]] = {}
        self.repeats: dict[str, deque[int]] = {}

    def request(self, service: str) -> None:
        """Count the first send of a request."""
        self._recent(self.requests, service).append(self.clock.boot())

    def take(self, service: str) -> bool:
        """Take one repeat from the budget; False when none is left."""
        requests = self._recent(self.requests, service)
        repeats = self._recent(self.repeats, service)
        if len(repeats) >= int(self.ratio * len(requests)) + self.slack():
            return False
        repeats.append(self.clock.boot())
        return True

    def _recent(self, table: dict[str, deque[int]], service: str) -> deque[int]:
        times = table.setdefault(service, deque())
        start = self.clock.boot() - self.window_ms
        while times and times[0] <= start:
            times.popleft()
        return times
