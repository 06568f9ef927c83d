"""Runs the sessions of many callers at once and counts their results."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent

from jacinthcove.clock import Clock, SystemClock
from jacinthcove.codes import ResultClass
from jacinthcove.load.callers import Caller, Connections, duration_histogram
from jacinthcove.load.profiles import Profile, Session, WorkspaceProfile
from jacinthcove.load.requests import Outcome, RequestSpec
from jacinthcove.scheduling.estimate import engine_units

SAMPLE_PERIOD_MS = 1_000
# Delay of a caller that reached no router, or was rejected without a retry time.
PAUSE_AFTER_FAILURE_MS = 200
# A buffered response has no keep-alive lines, so it may be silent until the longest deadline.
BUFFERED_READ_TIMEOUT_MS = 130_000


@dataclass
class WorkspaceTally:
    """Results of the callers of one workspace; `units` is the engine service that they received."""

    name: str
    share: float
    outcomes: Counter[str] = field(default_factory=Counter)
    units: float = 0.0
    not_run: int = 0
    incomplete: int = 0
    resends: int = 0
    resumed: int = 0
    # For each response: when it ended, and the time from first attempt to first token, in ms.
    first_token_times: list[tuple[int, int]] = field(default_factory=list)

    @property
    def completed(self) -> int:
        """Return how many requests ended with OK or REPLAYED."""
        return self.outcomes["ok"] + self.outcomes["replayed"]


@dataclass(frozen=True)
class ServiceSample:
    """Engine service by workspace from the start of the run until `at_ms`."""

    at_ms: int
    units: dict[str, float]


@dataclass
class LoadResult:
    """Counts, samples and histograms of one run; the histograms are in microseconds."""

    tallies: dict[str, WorkspaceTally]
    samples: list[ServiceSample] = field(default_factory=list)
    token_gaps: object = field(default_factory=duration_histogram)
    first_tokens: object = field(default_factory=duration_histogram)
    request_durations: object = field(default_factory=duration_histogram)
    problems: list[str] = field(default_factory=list)
    completed_ids: list[str] = field(default_factory=list)
    # Results of orders, which must not run twice; the keys `route/order` are those of the services.
    orders: dict[str, ResultClass] = field(default_factory=dict)

    def gap_series(self, from_ms: int, to_ms: int) -> list[tuple[int, float]]:
        """Return (sample time, gap) in a period; the gap is in service/share since `from_ms`."""
        in_period = [s for s in self.samples if from_ms <= s.at_ms <= to_ms]
        if len(in_period) < 2:
            return []
        first = in_period[0].units
        series = []
        for sample in in_period[1:]:
            levels = [
                (sample.units[name] - first[name]) / tally.share
                for name, tally in self.tallies.items()
            ]
            series.append((sample.at_ms, max(levels) - min(levels)))
        return series

    def fairness_gap(self, from_ms: int, to_ms: int) -> float:
        """Return the largest difference of service/share between two workspaces in the period."""
        return max((gap for _, gap in self.gap_series(from_ms, to_ms)), default=0.0)

    def rate(self, from_ms: int, to_ms: int, names: Sequence[str] = ()) -> float:
        """Return the service units per second of the named workspaces, or of all without names."""
        in_period = [s for s in self.samples if from_ms <= s.at_ms <= to_ms]
        if len(in_period) < 2:
            return 0.0
        chosen = names or list(self.tallies)
        units = sum(in_period[-1].units[name] - in_period[0].units[name] for name in chosen)
        return units * 1000 / (in_period[-1].at_ms - in_period[0].at_ms)


class LoadDriver:
    """Runs sessions for a given time, then waits for their open requests."""

    def __init__(
        self,
        profile: Profile,
        addresses: Sequence[str],
        *,
        clock: Clock | None = None,
        prefer_few_routers: bool = False,
        resend_lost: bool = False,
    ):
        self.profile = profile
        self.addresses = list(addresses)
        self.clock = clock or SystemClock()
        self.prefer_few_routers = prefer_few_routers
        self.resend_lost = resend_lost
        self.connections = Connections(buffered_read_timeout_ms=BUFFERED_READ_TIMEOUT_MS)
        self.result = LoadResult(
            {w.name: WorkspaceTally(w.name, w.share) for w in profile.workspaces}
        )
        self.started_at = 0
        self.ends_at = 0

    def run(
        self,
        sessions: Sequence[Session],
        duration_ms: int,
        on_sample: Callable[[int], None] | None = None,
    ) -> LoadResult:
        """Run the sessions and return the result once every request has ended.

        `on_sample` is called with the ms since the start after each sample.
        """
        self.started_at = self.clock.now()
        self.ends_at = self.started_at + duration_ms
        workers = [
            gevent.spawn(self._run_session, number, session)
            for number, session in enumerate(sessions)
        ]
        sampler = gevent.spawn(self._record_samples, on_sample)
        gevent.joinall(workers, raise_error=True)
        sampler.kill()
        self.connections.close()
        return self.result

    def _run_session(self, number: int, session: Session) -> None:
        self.clock.sleep(session.start_ms)
        caller = self._make_caller(number, session.workspace)
        tally = self.result.tallies[session.workspace.name]
        while self.clock.now() < self.ends_at:
            spec = next(session.requests)
            before = caller.received_tokens
            outcome = caller.call(spec)
            self._record_outcome(tally, spec, outcome, caller.received_tokens - before)
            if outcome.code is None or outcome.result_class is ResultClass.NOT_RUN:
                self.clock.sleep(outcome.retry_after_ms or PAUSE_AFTER_FAILURE_MS)

    def _make_caller(self, number: int, workspace: WorkspaceProfile) -> Caller:
        seeds = self.addresses
        if self.prefer_few_routers:
            seeds = self.profile.preferred_addresses(workspace, self.addresses)
        tally = self.result.tallies[workspace.name]

        def add_service_units(tokens: int, input_tokens: int) -> None:
            tally.units += engine_units(input_tokens, tokens)

        return Caller(
            workspace.name,
            workspace.key,
            seeds,
            clock=self.clock,
            connections=self.connections,
            gaps=self.result.token_gaps,
            seeds_only=self.prefer_few_routers,
            delay_ms=self.profile.client_delay_ms,
            seed=number,
            on_tokens=add_service_units,
            resend_lost=self.resend_lost,
        )

    def _record_outcome(
        self, tally: WorkspaceTally, spec: RequestSpec, outcome: Outcome, tokens: int
    ) -> None:
        name = outcome.code.name.lower() if outcome.code is not None else "unreachable"
        tally.outcomes[name] += 1
        tally.resends += outcome.resends
        tally.resumed += outcome.resumed
        self.result.request_durations.record_value(max(1, outcome.total_ms * 1000))  # type: ignore[attr-defined]
        if outcome.first_token_ms is not None:
            self.result.first_tokens.record_value(  # type: ignore[attr-defined]
                max(1, outcome.first_token_ms * 1000)
            )
            at_ms = self.clock.now() - self.started_at
            tally.first_token_times.append((at_ms, outcome.first_token_ms))
        if outcome.request_id:
            self.result.completed_ids.append(outcome.request_id)
        if spec.order_id:
            self.result.orders[f"{spec.route}/{spec.order_id}"] = outcome.result_class
        if outcome.result_class is ResultClass.NOT_RUN:
            tally.not_run += 1
        if outcome.lost or outcome.truncated or outcome.corrupt:
            tally.incomplete += 1
            kind = "lost" if outcome.lost else "truncated" if outcome.truncated else "corrupt"
            at_s = (self.clock.now() - self.started_at) / 1000
            self.result.problems.append(
                f"{at_s:.1f} s: {tally.name}: {spec.service}/{spec.route} {spec.nonce} {kind} "
                f"after {tokens} tokens and {outcome.total_ms} ms, {outcome.resends} times sent "
                f"again, {outcome.retries} times retried: {outcome.message or name}"
            )

    def _record_samples(self, on_sample: Callable[[int], None] | None) -> None:
        while True:
            at_ms = self.clock.now() - self.started_at
            units = {name: tally.units for name, tally in self.result.tallies.items()}
            self.result.samples.append(ServiceSample(at_ms, units))
            if on_sample is not None:
                on_sample(at_ms)
            self.clock.sleep(SAMPLE_PERIOD_MS)
