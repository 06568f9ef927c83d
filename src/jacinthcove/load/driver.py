"""Runs the sessions of many callers at once and tallies what they received."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent

from jacinthcove.clock import Clock, SystemClock
from jacinthcove.codes import ResultClass
from jacinthcove.load.callers import Caller, Connections, gap_histogram
from jacinthcove.load.profiles import Profile, Session, WorkspaceProfile
from jacinthcove.load.requests import Outcome, RequestSpec
from jacinthcove.scheduling.estimate import engine_units

SAMPLE_PERIOD_MS = 1_000
# A caller without an answer from any router waits this long before its next request.
PAUSE_AFTER_FAILURE_MS = 200
# A whole answer has no keep-alive, so silence is a failure only after the longest deadline.
WHOLE_SILENCE_MS = 130_000


@dataclass
class WorkspaceTally:
    """What the callers of one workspace received; `units` counts engine service."""

    name: str
    share: float
    outcomes: Counter[str] = field(default_factory=Counter)
    units: float = 0.0
    not_run: int = 0
    incomplete: int = 0
    repeated: int = 0
    resumed: int = 0
    # When answers ended and the time from their first attempt to their first token, in ms.
    first_tokens: list[tuple[int, int]] = field(default_factory=list)

    @property
    def completed(self) -> int:
        """Return the number of whole answers."""
        return self.outcomes["ok"] + self.outcomes["replayed"]


@dataclass(frozen=True)
class ServiceSample:
    """Cumulative engine service by workspace, `at` ms after the start."""

    at: int
    units: dict[str, float]


@dataclass
class LoadResult:
    """The tallies, samples and histograms of one run; histograms are in microseconds."""

    tallies: dict[str, WorkspaceTally]
    samples: list[ServiceSample] = field(default_factory=list)
    token_gaps: object = field(default_factory=gap_histogram)
    first_tokens: object = field(default_factory=gap_histogram)
    totals: object = field(default_factory=gap_histogram)
    problems: list[str] = field(default_factory=list)
    completed_ids: list[str] = field(default_factory=list)
    # Results of non-repeatable orders, named `route/order` as the plain services count them.
    orders: dict[str, ResultClass] = field(default_factory=dict)

    def gap_series(self, from_ms: int, to_ms: int) -> list[tuple[int, float]]:
        """Return the gap of service/share since `from_ms` at each sample of the period."""
        inside = [s for s in self.samples if from_ms <= s.at <= to_ms]
        if len(inside) < 2:
            return []
        first = inside[0].units
        series = []
        for sample in inside[1:]:
            levels = [
                (sample.units[name] - first[name]) / tally.share
                for name, tally in self.tallies.items()
            ]
            series.append((sample.at, max(levels) - min(levels)))
        return series

    def fairness_gap(self, from_ms: int, to_ms: int) -> float:
        """Return the largest gap of service/share between two workspaces in the period."""
        return max((gap for _, gap in self.gap_series(from_ms, to_ms)), default=0.0)

    def rate(self, from_ms: int, to_ms: int, names: Sequence[str] = ()) -> float:
        """Return the service units per second that the named or all workspaces received."""
        inside = [s for s in self.samples if from_ms <= s.at <= to_ms]
        if len(inside) < 2:
            return 0.0
        chosen = names or list(self.tallies)
        units = sum(inside[-1].units[name] - inside[0].units[name] for name in chosen)
        return units * 1000 / (inside[-1].at - inside[0].at)


class LoadDriver:
    """Runs sessions until the duration is over and lets open requests finish."""

    def __init__(
        self,
        profile: Profile,
        addresses: Sequence[str],
        *,
        clock: Clock | None = None,
        prefer_few_routers: bool = False,
        repeat_lost: bool = False,
    ):
        self.profile = profile
        self.addresses = list(addresses)
        self.clock = clock or SystemClock()
        self.prefer_few_routers = prefer_few_routers
        self.repeat_lost = repeat_lost
        self.connections = Connections(whole_silence_ms=WHOLE_SILENCE_MS)
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
        """Run the sessions and return the result once every request has ended."""
        self.started_at = self.clock.now()
        self.ends_at = self.started_at + duration_ms
        workers = [
            gevent.spawn(self._run_session, number, session)
            for number, session in enumerate(sessions)
        ]
        sampler = gevent.spawn(self._sample, on_sample)
        gevent.joinall(workers, raise_error=True)
        sampler.kill()
        self.connections.close()
        return self.result

    def _run_session(self, number: int, session: Session) -> None:
        self.clock.sleep(session.start_ms)
        caller = self._caller(number, session.workspace)
        tally = self.result.tallies[session.workspace.name]
        while self.clock.now() < self.ends_at:
            spec = next(session.requests)
            before = caller.received_tokens
            outcome = caller.call(spec)
            self._take(tally, spec, outcome, caller.received_tokens - before)
            if outcome.code is None or outcome.result_class is ResultClass.NOT_RUN:
                self.clock.sleep(outcome.retry_after_ms or PAUSE_AFTER_FAILURE_MS)

    def _caller(self, number: int, workspace: WorkspaceProfile) -> Caller:
        seeds = self.addresses
        if self.prefer_few_routers:
            seeds = self.profile.preferred(workspace, self.addresses)
        tally = self.result.tallies[workspace.name]

        def count(tokens: int, input_tokens: int) -> None:
            tally.units += engine_units(input_tokens, tokens)

        return Caller(
            workspace.name,
            workspace.key,
            seeds,
            clock=self.clock,
            connections=self.connections,
            gaps=self.result.token_gaps,
            pinned=self.prefer_few_routers,
            delay_ms=self.profile.client_delay_ms,
            seed=number,
            on_tokens=count,
            repeat_lost=self.repeat_lost,
        )

    def _take(
        self, tally: WorkspaceTally, spec: RequestSpec, outcome: Outcome, tokens: int
    ) -> None:
        name = outcome.code.name.lower() if outcome.code is not None else "unreachable"
        tally.outcomes[name] += 1
        tally.repeated += outcome.repeated
        tally.resumed += outcome.resumed
        self.result.totals.record_value(max(1, outcome.total_ms * 1000))  # type: ignore[attr-defined]
        if outcome.first_token_ms is not None:
            self.result.first_tokens.record_value(  # type: ignore[attr-defined]
                max(1, outcome.first_token_ms * 1000)
            )
            at = self.clock.now() - self.started_at
            tally.first_tokens.append((at, outcome.first_token_ms))
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
                f"after {tokens} tokens and {outcome.total_ms} ms, {outcome.repeated} times sent "
                f"again, {outcome.retries} times retried: {outcome.message or name}"
            )

    def _sample(self, on_sample: Callable[[int], None] | None) -> None:
        while True:
            at = self.clock.now() - self.started_at
            units = {name: tally.units for name, tally in self.result.tallies.items()}
            self.result.samples.append(ServiceSample(at, units))
            if on_sample is not None:
                on_sample(at)
            self.clock.sleep(SAMPLE_PERIOD_MS)
