"""Runs callers against a fleet, with timed actions, samples and progress lines."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import gevent

from jacinthcove.codes import ResultClass
from jacinthcove.load.driver import LoadDriver, LoadResult
from jacinthcove.load.profiles import Profile, Session

PROGRESS_PERIOD_MS = 5_000
UTILISATION_PERIOD_S = 0.5


class RouterInfo(Protocol):
    """Name, failure domain and caller address of a router."""

    id: str
    failure_domain: str
    caller: str


class Fleet(Protocol):
    """A running fleet with the operations that experiments need."""

    profile: Profile

    def list_routers(self) -> Sequence[RouterInfo]:
        """Return the routers of the fleet."""

    def close(self) -> None:
        """Stop every process of the fleet."""

    def callers(self) -> list[str]:
        """Return the caller addresses of the routers."""

    def engine_utilisation(self) -> float:
        """Return the fraction (0 to 1) of all engine slots that is in use now."""

    def set_drained(self, domain: str, drained: bool) -> None:
        """Drain a failure domain or return it to service."""

    def last_grant_s(self, domain: str, from_s: float, to_s: float) -> float | None:
        """Return when a target of `domain` was last granted in a period, or None.

        All times are in epoch seconds.
        """

    def kill_router(self, router_id: str) -> None:
        """Kill a router process without a graceful shutdown."""

    def start_router(self, router_id: str) -> None:
        """Start a killed router again."""

    def pause_router(self, router_id: str) -> None:
        """Suspend a router process."""

    def continue_router(self, router_id: str) -> None:
        """Resume a suspended router process."""

    def set_store_outage(self, outage: bool) -> None:
        """Make the object API fail every call, or serve calls again."""

    def order_runs(self) -> Counter[str]:
        """Return how often each order, named `route/order`, was run by the services."""


@dataclass(frozen=True)
class Measure:
    """One figure of an experiment; `met` is None when it has no target."""

    name: str
    value: float
    unit: str = ""
    target: str = ""
    met: bool | None = None


@dataclass(frozen=True)
class TimedAction:
    """Action on the fleet, `at_s` seconds after the start of a run."""

    at_s: float
    text: str
    action: Callable[[], None]


@dataclass
class Run:
    """The result of one run.

    `utilisation_samples` holds (ms since the start, fraction of engine slots in use), `marks` holds
    (ms since the start, text of an action). After `load_ms` no caller sends a new request.
    """

    label: str
    result: LoadResult
    load_ms: int
    utilisation_samples: list[tuple[int, float]] = field(default_factory=list)
    marks: list[tuple[int, str]] = field(default_factory=list)

    def utilisation(self, from_s: float, to_s: float) -> float:
        """Return the mean fraction of engine slots in use in a period, 0 without samples."""
        in_period = [
            value
            for at_ms, value in self.utilisation_samples
            if from_s * 1000 <= at_ms <= to_s * 1000
        ]
        return sum(in_period) / len(in_period) if in_period else 0.0


@dataclass
class Report:
    """Results of one experiment; `with_baselines` tells whether it also ran the baselines."""

    experiment: str
    profile: str
    seed: int
    seconds: int
    with_baselines: bool = True
    measures: list[Measure] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    def add(
        self, name: str, value: float, unit: str = "", target: str = "", met: bool | None = None
    ) -> None:
        """Add a figure; `target` is the text of its target and `met` whether it was reached."""
        self.measures.append(Measure(name, value, unit, target, met))


def order_problems(orders: Mapping[str, ResultClass], runs: Mapping[str, int]) -> list[str]:
    """Return a text for each order that ran twice or whose result contradicts its runs."""
    problems = [f"{order} ran {count} times" for order, count in runs.items() if count > 1]
    for order, result in orders.items():
        if result is ResultClass.NOT_RUN and runs.get(order):
            problems.append(f"{order} ran, but was reported as not run")
        if result is ResultClass.DONE and not runs.get(order):
            problems.append(f"{order} did not run, but was reported as done")
    return problems


def drive(
    profile: Profile,
    addresses: Sequence[str],
    label: str,
    sessions: Sequence[Session],
    seconds: int,
    *,
    read_utilisation: Callable[[], float] | None = None,
    timed_actions: Sequence[TimedAction] = (),
    prefer_few_routers: bool = False,
    resend_lost: bool = False,
) -> Run:
    """Run the sessions against routers and print progress.

    `read_utilisation` returns the fraction of engine slots in use.
    If a timed action fails, its exception is raised after the run.
    """
    driver = LoadDriver(
        profile, addresses, prefer_few_routers=prefer_few_routers, resend_lost=resend_lost
    )
    run = Run(label, driver.result, seconds * 1000)
    next_line_at_ms = 0

    def elapsed_ms() -> int:
        return driver.clock.now() - driver.started_at

    def sample_utilisation(read_utilisation: Callable[[], float]) -> None:
        while True:
            gevent.sleep(UTILISATION_PERIOD_S)
            fraction = read_utilisation()
            run.utilisation_samples.append((elapsed_ms(), fraction))

    def run_timed_actions() -> None:
        for timed_action in timed_actions:
            gevent.sleep(max(0.0, timed_action.at_s - elapsed_ms() / 1000))
            print(f"{label}: {elapsed_ms() / 1000:.1f} s: {timed_action.text}", flush=True)
            run.marks.append((elapsed_ms(), timed_action.text))
            timed_action.action()

    def print_progress(at_ms: int) -> None:
        nonlocal next_line_at_ms
        if at_ms < next_line_at_ms:
            return
        next_line_at_ms = at_ms + PROGRESS_PERIOD_MS
        tallies = driver.result.tallies.values()
        utilisation_before = run.utilisation((at_ms - PROGRESS_PERIOD_MS) / 1000, at_ms / 1000)
        print(
            f"{label}: {at_ms / 1000:.0f}/{seconds} s, {len(sessions)} callers, "
            f"{sum(t.completed for t in tallies)} answers, {sum(t.not_run for t in tallies)} not "
            f"run, {len(driver.result.problems)} problems"
            + (f", slots in use {utilisation_before:.1%}" if read_utilisation is not None else ""),
            flush=True,
        )

    driver.started_at = driver.clock.now()
    background = [gevent.spawn(run_timed_actions)]
    if read_utilisation is not None:
        background.append(gevent.spawn(sample_utilisation, read_utilisation))
    try:
        driver.run(sessions, seconds * 1000, print_progress)
    finally:
        gevent.killall(background)
    for greenlet in background:
        if not greenlet.successful():
            raise greenlet.exception
    return run


def run_load(
    fleet: Fleet,
    label: str,
    sessions: Sequence[Session],
    seconds: int,
    *,
    timed_actions: Sequence[TimedAction] = (),
    prefer_few_routers: bool = False,
    resend_lost: bool = False,
) -> Run:
    """Run the sessions against a fleet and sample the utilisation of its engines."""
    return drive(
        fleet.profile,
        fleet.callers(),
        label,
        sessions,
        seconds,
        read_utilisation=fleet.engine_utilisation,
        timed_actions=timed_actions,
        prefer_few_routers=prefer_few_routers,
        resend_lost=resend_lost,
    )
