"""Retry budget of each service: this router's quota of the fleet-wide budget."""

from collections import deque
from collections.abc import Callable

from jacinthcove.clock import Clock


class WindowedRetryBudget:
    """Allows retries up to `ratio` times the requests in a sliding window, plus `slack`.

    `slack` returns this router's quota of the fleet-wide slack. The ratio needs no division,
    because each router counts only its own requests. The window uses the boot clock, which runs
    while the VM is suspended: other routers may have used up the budget in that time.
    """

    def __init__(self, clock: Clock, window_ms: int, ratio: float, slack: Callable[[], int]):
        self.clock = clock
        self.window_ms = window_ms
        self.ratio = ratio
        self.slack = slack
        self.requests: dict[str, deque[int]] = {}
        self.retries: dict[str, deque[int]] = {}

    def request(self, service: str) -> None:
        """Count a request; call it once, at the first attempt."""
        self._recent(self.requests, service).append(self.clock.boot())

    def take(self, service: str) -> bool:
        """Take one retry from the budget; returns False if none is left."""
        requests = self._recent(self.requests, service)
        retries = self._recent(self.retries, service)
        if len(retries) >= int(self.ratio * len(requests)) + self.slack():
            return False
        retries.append(self.clock.boot())
        return True

    def _recent(self, table: dict[str, deque[int]], service: str) -> deque[int]:
        times = table.setdefault(service, deque())
        start = self.clock.boot() - self.window_ms
        while times and times[0] <= start:
            times.popleft()
        return times
