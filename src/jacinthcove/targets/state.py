"""What the owner of a target knows about it."""

from dataclasses import dataclass

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.config.model import Limits
from jacinthcove.scheduling.estimate import MS_PER_UNIT
from jacinthcove.scheduling.ticket import Usage
from jacinthcove.targets.affinity import PrefixAffinity
from jacinthcove.targets.limit import AdaptiveLimit
from jacinthcove.targets.table import Target

# Six missed polls; a target that long silent gets no new work.
REPORT_STALE_MS = 3_000


@dataclass(frozen=True)
class LoadReport:
    """The answer of a target to `GET /load`."""

    boot_id: str
    running: int
    waiting: int
    version: str
    leaving: bool = False
    cold: bool = False


class TargetState:
    """Limit, in-flight count and last load report of an owned target."""

    def __init__(self, target: Target, limits: Limits, clock: Clock):
        self.target = target
        self.clock = clock
        self.limit = AdaptiveLimit(limits, clock)
        self.affinity = PrefixAffinity()
        self.in_flight = 0
        self.short_in_flight = 0
        self.report: LoadReport | None = None
        self.reported_at: int | None = None

    @property
    def usable(self) -> bool:
        """Return whether new work may be sent: fresh report, right version, not leaving."""
        report = self.report
        return (
            report is not None
            and self.target.takes_work
            and not report.leaving
            and report.version == self.target.pool.version
            and self.reported_at is not None
            and self.clock.now() - self.reported_at <= REPORT_STALE_MS
        )

    def on_report(self, report: LoadReport) -> None:
        """Take a load report; a changed boot id means that the target is cold."""
        if self.report is not None and self.report.boot_id != report.boot_id:
            self.on_cold()
        self.report = report
        self.reported_at = self.clock.now()
        self.limit.on_load(report.running, report.waiting, self.in_flight, report.cold)

    def on_unreachable(self) -> None:
        """Take a refused connection: the target is cold and unusable until it reports again."""
        self.reported_at = None
        self.on_cold()

    def on_cold(self) -> None:
        """Take a cold start of the target."""
        self.limit.cold()
        self.affinity.clear()

    def occupy(self, short: bool, allowed: int) -> None:
        """Count a granted slot."""
        self.in_flight += 1
        self.short_in_flight += short
        self.limit.on_in_flight(self.in_flight, allowed)

    def release(self, short: bool) -> None:
        """Count a freed slot."""
        self.in_flight -= 1
        self.short_in_flight -= short
        self.limit.on_in_flight(self.in_flight, self.in_flight + 1)

    def on_usage(self, before: Usage, usage: Usage, route: str = "") -> None:
        """Learn from the progress of a request on `route` since its usage `before`."""
        if usage.unreachable:
            self.on_unreachable()
            return
        # Without tokens the time is that of a whole request, which differs by route.
        if usage.tokens and usage.first_token_ms and not before.tokens:
            self.limit.on_first_token(usage.first_token_ms)
        tokens = usage.tokens - before.tokens
        if tokens > 0:
            self.limit.on_progress(tokens, max(0, usage.token_ms_sum - before.token_ms_sum))
        if usage.ended:
            self._on_end(usage, route)

    def _on_end(self, usage: Usage, route: str) -> None:
        code = usage.code
        failed = code in (ResultCode.TARGET_FAILED, ResultCode.STREAM_BROKEN)
        if failed or code is ResultCode.NOT_ADMITTED:
            self.limit.on_error()
        elif result_class(code) is ResultClass.DONE:
            if usage.tokens:
                self.limit.on_end()
            else:
                self.limit.on_plain(route, usage.used * MS_PER_UNIT)
