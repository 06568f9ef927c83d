"""The state that the owner of a target keeps about it."""

from dataclasses import dataclass

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.config.model import Limits
from jacinthcove.scheduling.estimate import MS_PER_UNIT
from jacinthcove.scheduling.ticket import Usage
from jacinthcove.targets.affinity import PrefixAffinity
from jacinthcove.targets.limit import AdaptiveLimit
from jacinthcove.targets.table import Target

# Six missed polls; a target without a report for that long gets no new requests.
REPORT_STALE_MS = 3_000


@dataclass(frozen=True)
class LoadReport:
    """The response of a target to `GET /load`."""

    boot_id: str
    running: int
    waiting: int
    version: str
    leaving: bool = False
    cold: bool = False


class TargetState:
    """Concurrency limit, in-flight count and latest load report of one target."""

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
        """Return whether the target can get new requests.

        It needs a fresh report of the right version, and must not be leaving or drained.
        """
        report = self.report
        return (
            report is not None
            and self.target.accepts_requests
            and not report.leaving
            and report.version == self.target.pool.version
            and self.reported_at is not None
            and self.clock.now() - self.reported_at <= REPORT_STALE_MS
        )

    def on_report(self, report: LoadReport) -> None:
        """Apply a load report; a changed boot id means that the target restarted and is cold."""
        if self.report is not None and self.report.boot_id != report.boot_id:
            self.on_cold_start()
        self.report = report
        self.reported_at = self.clock.now()
        self.limit.on_load(report.running, report.waiting, self.in_flight, report.cold)

    def on_unreachable(self) -> None:
        """Record a refused connection: the target is cold, and unusable until its next report."""
        self.reported_at = None
        self.on_cold_start()

    def on_cold_start(self) -> None:
        """Reset the limit and the prefix affinity after a cold start of the target."""
        self.limit.reset_to_cold()
        self.affinity.clear()

    def occupy(self, short: bool, allowed: int) -> None:
        """Count a request in flight for a granted slot."""
        self.in_flight += 1
        self.short_in_flight += short
        self.limit.on_in_flight(self.in_flight, allowed)

    def release(self, short: bool) -> None:
        """Uncount a request in flight whose slot is free again."""
        self.in_flight -= 1
        self.short_in_flight -= short
        self.limit.on_in_flight(self.in_flight, self.in_flight + 1)

    def on_usage(self, previous: Usage, usage: Usage, route: str = "") -> None:
        """Update the limit with the progress of a request on `route` since usage `previous`."""
        if usage.unreachable:
            self.on_unreachable()
            return
        # Without tokens `first_token_ms` is the duration of the request, which differs by route.
        if usage.tokens and usage.first_token_ms and not previous.tokens:
            self.limit.on_first_token(usage.first_token_ms)
        tokens = usage.tokens - previous.tokens
        if tokens > 0:
            self.limit.on_progress(tokens, max(0, usage.token_ms_sum - previous.token_ms_sum))
        if usage.ended:
            self._on_request_end(usage, route)

    def _on_request_end(self, usage: Usage, route: str) -> None:
        code = usage.code
        if code is ResultCode.STREAM_BROKEN:
            # A target that lost a stream has probably restarted. Its next load report would show
            # that only after the freed slots have been granted again.
            self.on_cold_start()
        elif code in (ResultCode.TARGET_FAILED, ResultCode.NOT_ADMITTED):
            self.limit.on_error()
        elif result_class(code) is ResultClass.DONE:
            if usage.tokens:
                self.limit.on_success()
            else:
                self.limit.on_plain_request(route, usage.used * MS_PER_UNIT)
