"""Counts of begun requests by workspace and window of agreed true time.

Load: up to 150,000 requests/s over the fleet, so one request costs one addition. Counts are totals
of a process, which may be sent again at any time; a restarted process counts beside its former one.
"""

import secrets
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from jacinthcove.duties.agreedtime import AgreedTime

# Windows for which counts are kept; a report is due two windows after its own.
KEPT_WINDOWS = 6
# While the time is not agreed, begun requests are kept by this step of the boot clock, for as many.
PENDING_STEP_MS = 50
MAX_PENDING = 2_400


@dataclass
class RouterTotals:
    """The totals of one process of a router.

    `through_ms` is the true time up to which they are complete, 0 if unknown. `sequence` rises.
    """

    router: str
    incarnation: int
    sequence: int = 0
    through_ms: int = 0
    windows: dict[int, dict[str, int]] = field(default_factory=dict)


class WindowCounts:
    """Counts this router's requests."""

    def __init__(self, time: AgreedTime, router: str, window_ms: int):
        self.time = time
        self.window_ms = window_ms
        self.totals = RouterTotals(router, secrets.randbits(53))
        # Windows changed since the sequence number that they were last changed at.
        self.changed_at: dict[int, int] = {}
        self.pending: dict[int, Counter[str]] = {}

    def record_begun(self, workspace: str) -> None:
        """Count a request that begins to run at a target now; none without a workspace."""
        if not workspace:
            return
        now = self.time.now()
        if now is None:
            self._keep_pending(workspace)
        else:
            self._add(now // self.window_ms, workspace, 1)

    def snapshot(self) -> RouterTotals:
        """Return the totals, marked as complete up to now."""
        self._assign_pending()
        now = self.time.now()
        if now is not None:
            self.totals.through_ms = now
            oldest = now // self.window_ms - KEPT_WINDOWS
            for window in [item for item in self.totals.windows if item < oldest]:
                del self.totals.windows[window], self.changed_at[window]
        self.totals.sequence += 1
        return self.totals

    def changed_since(self, sequence: int) -> dict[int, dict[str, int]]:
        """Return the windows that changed after a snapshot."""
        windows = self.totals.windows
        return {key: windows[key] for key, at in self.changed_at.items() if at > sequence}

    def has_changes(self, sequence: int) -> bool:
        """Return whether any window changed after a snapshot."""
        return bool(self.pending) or any(at > sequence for at in self.changed_at.values())

    def _add(self, window: int, workspace: str, count: int) -> None:
        counts = self.totals.windows.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + count
        self.changed_at[window] = self.totals.sequence + 1

    def _keep_pending(self, workspace: str) -> None:
        step = self.time.clock.boot() // PENDING_STEP_MS
        self.pending.setdefault(step, Counter())[workspace] += 1
        if len(self.pending) > MAX_PENDING:
            del self.pending[next(iter(self.pending))]

    def _assign_pending(self) -> None:
        if not self.time.settled:
            return
        pending, self.pending = self.pending, {}
        for step, counts in pending.items():
            at = self.time.at(step * PENDING_STEP_MS)
            assert at is not None
            for workspace, count in counts.items():
                self._add(at // self.window_ms, workspace, count)


class FleetCounts:
    """The totals of all routers, as a candidate knows them."""

    def __init__(self) -> None:
        self.by_process: dict[tuple[str, int], RouterTotals] = {}

    def merge(self, update: RouterTotals) -> None:
        """Take over the windows of an update unless a newer one of the process is known."""
        key = (update.router, update.incarnation)
        known = self.by_process.setdefault(key, RouterTotals(*key))
        if update.sequence <= known.sequence:
            return
        known.sequence = update.sequence
        known.through_ms = max(known.through_ms, update.through_ms)
        known.windows.update(update.windows)

    def prune(self, oldest_window: int) -> None:
        """Drop the counts of older windows, and processes without any."""
        for totals in self.by_process.values():
            for window in [item for item in totals.windows if item < oldest_window]:
                del totals.windows[window]

    def forget_idle(self, before_ms: int) -> None:
        """Drop processes without counts that were last heard of before a true time."""
        idle = [
            key
            for key, totals in self.by_process.items()
            if not totals.windows and totals.through_ms < before_ms
        ]
        for key in idle:
            del self.by_process[key]

    def missing(self, routers: Iterable[str], until_ms: int) -> list[str]:
        """Return the routers whose counts until a true time are not known."""
        known = {key[0] for key, item in self.by_process.items() if item.through_ms >= until_ms}
        return [router for router in routers if router not in known]

    def counts(self, window: int) -> Mapping[str, int]:
        """Return the requests of a window by workspace."""
        sums: defaultdict[str, int] = defaultdict(int)
        for totals in self.by_process.values():
            for workspace, count in totals.windows.get(window, {}).items():
                sums[workspace] += count
        return dict(sums)
