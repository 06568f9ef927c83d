"""The usage report: which windows are reported, with which counts.

Load: one report per window of a few seconds, from a fleet whose routers are killed, cut off and
replaced meanwhile. A report is written to the store before it is sent, and only what the store has
confirmed is sent, so each later holder repeats it exactly. Where an older copy of the store may
lack a report that was sent, the windows concerned are left out: a wrong report costs as much as a
missing one, and two different ones break a rule.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import structlog

from jacinthcove.clock import Clock
from jacinthcove.duties.agreedtime import SETTLE_MS as FOUNDING_MS
from jacinthcove.duties.calls import Backoff, CallBudget, DutyCallFailed, DutyCalls
from jacinthcove.duties.countexchange import CountExchange
from jacinthcove.duties.lease import DutyStore, Grants, StoredValue
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.observe.metrics import Metrics

log = structlog.get_logger()

USAGE_DUTY = "usage_report"
# Late counts arrive within this time after the end of a window.
SETTLE_MS = 2_000
# After this part of the time until a report is due, routers that are silent are not waited for.
PATIENCE_FRACTION = 0.6
# Reports kept in the store; older ones are past their due time.
KEPT_REPORTS = 4
# Confirmed reports that a process remembers, to write them again after an older copy of the store.
REMEMBERED_REPORTS = 24


@dataclass(frozen=True)
class ReportSettings:
    """Length of a window, and the time after its end at which its report is due, in ms."""

    window_ms: int
    late_ms: int


@dataclass(frozen=True)
class StoredReports:
    """The content of the reports object; windows below `floor` get no new report."""

    era: int
    floor: int
    reports: Mapping[int, Mapping[str, int]] = field(default_factory=dict)


def encode_reports(stored: StoredReports) -> Any:
    """Encode the reports as JSON values."""
    reports = [
        {"window": window, "counts": dict(counts)} for window, counts in stored.reports.items()
    ]
    return {"era": stored.era, "floor": stored.floor, "reports": reports}


def decode_reports(value: Any) -> StoredReports | None:
    """Return the stored reports, or None if there are none or they are malformed."""
    try:
        reports = {
            int(item["window"]): {str(key): int(count) for key, count in item["counts"].items()}
            for item in value["reports"]
        }
        return StoredReports(int(value["era"]), int(value["floor"]), reports)
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


class UsageReporter:
    """Writes and sends the reports while this router holds the duties; `step` often."""

    def __init__(
        self,
        clock: Clock,
        grants: Grants,
        store: DutyStore,
        calls: DutyCalls,
        budget: CallBudget,
        exchange: CountExchange,
        settings: ReportSettings,
        lease_ms: int,
        metrics: Metrics,
    ):
        self.clock = clock
        self.grants = grants
        self.store = store
        self.calls = calls
        self.budget = budget
        self.exchange = exchange
        self.settings = settings
        self.lease_ms = lease_ms
        self.metrics = metrics
        self.backoff = Backoff(clock)
        self.first_era = store.era()
        # The token under which the object was read, and its version; None to read it again.
        self.token: int | None = None
        self.seen: StoredValue | None = None
        self.stored = StoredReports(0, 0)
        # What the store has confirmed to this process, by window.
        self.remembered: dict[int, Mapping[str, int]] = {}
        self.answered: set[int] = set()

    def step(self) -> None:
        """Store the reports that are due and send what the store has."""
        grant = self.grants.grant()
        now = self.exchange.time.now()
        if grant is None or now is None:
            self.token = None
            self.backoff.record_success()
            return
        try:
            if grant.token != self.token:
                self.stored = StoredReports(0, 0)
                self.seen = None
            if self.seen is None:
                self._load(now)
                self.token = grant.token
            self._store_due(now)
        except (Conflict, StoreUnavailable) as error:
            # What was written is known when the object has been read again.
            self.seen = None
            log.info("usage_report_unconfirmed", reason=str(error))
        self._send()

    def _load(self, now: int) -> None:
        seen = self.store.read()
        stored = decode_reports(seen.value)
        if stored is None or stored.era != seen.era:
            never_stored = seen.revision == 0 and self._knows_all_eras()
            floor = 0 if never_stored else now // self.settings.window_ms + 1
            kept = self._newest(self.remembered)
            log.info("usage_reports_begun", era=seen.era, floor=floor, kept=sorted(kept))
            # Written with the next report; until then another holder comes to a later floor.
            stored = StoredReports(seen.era, floor, kept)
        else:
            self._remember(stored.reports)
        self.stored, self.seen = stored, seen

    def _knows_all_eras(self) -> bool:
        """Return whether this process would have seen the loss of any report of this fleet.

        The first holder waits a whole lease after the fleet has been founded.
        """
        time = self.exchange.time
        started_at, founded_at = time.at(time.started_at), time.founded_at
        if started_at is None or founded_at is None:
            return False
        return started_at < founded_at + self.lease_ms and self.store.era() == self.first_era

    def _store_due(self, now: int) -> None:
        due = {
            window: dict(self.exchange.fleet.counts(window))
            for window in self._open_windows(now)
            if self._is_ready(window, now)
        }
        if not due or self.seen is None:
            return
        reports = self._newest({**self.stored.reports, **due})
        floor = max(self.stored.floor, max(reports) - KEPT_REPORTS + 1)
        stored = StoredReports(self.stored.era, floor, reports)
        value = encode_reports(stored)
        revision = self.store.write(value, self.seen)
        if not revision:
            self.seen = None
            return
        self.stored = stored
        self.seen = StoredValue(stored.era, revision, value)
        self._remember(reports)
        for window, counts in due.items():
            log.info("usage_report_stored", window=window, requests=sum(counts.values()))

    def _open_windows(self, now: int) -> list[int]:
        """Return the windows whose report is due soon and not stored, oldest first."""
        window_ms = self.settings.window_ms
        founded_at = self.exchange.time.founded_at or now
        first = max(
            self.stored.floor,
            (now - self.settings.late_ms) // window_ms,
            (founded_at - FOUNDING_MS) // window_ms,
        )
        last = (now - SETTLE_MS) // window_ms - 1
        return [item for item in range(first, last + 1) if item not in self.stored.reports]

    def _is_ready(self, window: int, now: int) -> bool:
        """Return whether this router's counts of a window are as good as they will be."""
        missing = self.exchange.missing_routers(window)
        if not missing:
            return True
        end = (window + 1) * self.settings.window_ms
        since = self.exchange.receiving_since
        if since is None or since >= end:
            return False
        waited = now >= end + self.settings.late_ms * PATIENCE_FRACTION
        if waited:
            log.warning("usage_report_incomplete", window=window, missing=missing[:10])
        return waited

    def _newest(self, reports: Mapping[int, Mapping[str, int]]) -> dict[int, Mapping[str, int]]:
        return {window: reports[window] for window in sorted(reports)[-KEPT_REPORTS:]}

    def _remember(self, reports: Mapping[int, Mapping[str, int]]) -> None:
        self.remembered.update(reports)
        for window in sorted(self.remembered)[:-REMEMBERED_REPORTS]:
            del self.remembered[window]
            self.answered.discard(window)

    def _send(self) -> None:
        """Send the reports that the store has and the platform has not answered with success."""
        for window in sorted(self.remembered.keys() & self.stored.reports.keys() - self.answered):
            if not self.backoff.is_over() or not self.budget.try_take():
                return
            try:
                self.calls.report_usage(self.grants.grant, window, self.remembered[window])
            except DutyCallFailed as error:
                self.backoff.record_failure(error.answered)
                outcome = "not_sent" if error.not_sent else "failed"
                log.info("usage_report_not_answered", window=window, reason=str(error))
            else:
                self.backoff.record_success()
                self.answered.add(window)
                outcome = "done"
                log.info("usage_report_sent", window=window)
            self.metrics.counter("duty_calls_total", duty=USAGE_DUTY, outcome=outcome).add()
