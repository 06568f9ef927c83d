"""One run of callers against a fleet, with samples, timed steps and progress lines."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import gevent

from jacinthcove.codes import ResultClass
from jacinthcove.load.driver import LoadDriver, LoadResult
from jacinthcove.load.profiles import Profile, Session

PROGRESS_PERIOD_MS = 5_000
USE_PERIOD_S = 0.5


class RouterPlace(Protocol):
    """A router of a fleet."""

    id: str
    failure_domain: str
    caller: str


class Fleet(Protocol):
    """A running fleet as experiments see it; `close` stops all of it."""

    profile: Profile

    def places(self) -> Sequence[RouterPlace]:
        """Return the routers."""

    def close(self) -> None:
        """Stop every process."""

    def callers(self) -> list[str]:
        """Return the caller addresses of the routers."""

    def engine_use(self) -> float:
        """Return the share of all engine slots that is in use now, from 0 to 1."""

    def set_drained(self, domain: str, drained: bool) -> None:
        """Drain a failure domain or return it."""

    def last_grant_s(self, domain: str, from_s: float, to_s: float) -> float | None:
        """Return when, in epoch seconds, a target of `domain` was last granted in a period."""

    def kill_router(self, router_id: str) -> None:
        """Kill a router without notice."""

    def start_router(self, router_id: str) -> None:
        """Start a killed router again."""

    def pause_router(self, router_id: str) -> None:
        """Stop a router's process from running."""

    def continue_router(self, router_id: str) -> None:
        """Let a paused router run again."""

    def set_store_outage(self, outage: bool) -> None:
        """Let the object API fail every call, or serve again."""

    def order_runs(self) -> Counter[str]:
        """Return the number of runs of each order, named `route/order`."""


@dataclass(frozen=True)
class Measure:
    """One figure of an experiment; `met` is None when there is no target."""

    name: str
    value: float
    unit: str = ""
    target: str = ""
    met: bool | None = None


@dataclass(frozen=True)
class Step:
    """Something that happens to the fleet `at_s` seconds after the start of a run."""

    at_s: float
    text: str
    action: Callable[[], None]


@dataclass
class Run:
    """The result of one run; `use` holds (ms since the start, share of engine slots in use).

    After `load_ms` no caller sends a new request.
    """

    label: str
    result: LoadResult
    load_ms: int
    use: list[tuple[int, float]] = field(default_factory=list)
    marks: list[tuple[int, str]] = field(default_factory=list)

    def utilisation(self, from_s: float, to_s: float) -> float:
        """Return the mean share of engine slots in use in a period of seconds."""
        inside = [use for at, use in self.use if from_s * 1000 <= at <= to_s * 1000]
        return sum(inside) / len(inside) if inside else 0.0


@dataclass
class Report:
    """What one experiment found; `baselines` says whether they were to run as well."""

    experiment: str
    profile: str
    seed: int
    seconds: int
    baselines: bool = True
    measures: list[Measure] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    def add(
        self, name: str, value: float, unit: str = "", target: str = "", met: bool | None = None
    ) -> None:
        """Add a figure."""
        self.measures.append(Measure(name, value, unit, target, met))


def order_problems(orders: Mapping[str, ResultClass], runs: Mapping[str, int]) -> list[str]:
    """Return where the results of orders contradict how often the services ran them."""
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
    use: Callable[[], float] | None = None,
    steps: Sequence[Step] = (),
    prefer_few_routers: bool = False,
    repeat_lost: bool = False,
) -> Run:
    """Run the sessions against routers and show progress; `use` returns the slots in use.

    A failed step ends in its own exception after the run.
    """
    driver = LoadDriver(
        profile, addresses, prefer_few_routers=prefer_few_routers, repeat_lost=repeat_lost
    )
    run = Run(label, driver.result, seconds * 1000)
    next_line = 0

    def elapsed() -> int:
        return driver.clock.now() - driver.started_at

    def sample_use(use: Callable[[], float]) -> None:
        while True:
            gevent.sleep(USE_PERIOD_S)
            share = use()
            run.use.append((elapsed(), share))

    def carry_out() -> None:
        for step in steps:
            gevent.sleep(max(0.0, step.at_s - elapsed() / 1000))
            print(f"{label}: {elapsed() / 1000:.1f} s: {step.text}", flush=True)
            run.marks.append((elapsed(), step.text))
            step.action()

    def progress(at: int) -> None:
        nonlocal next_line
        if at < next_line:
            return
        next_line = at + PROGRESS_PERIOD_MS
        tallies = driver.result.tallies.values()
        used = run.utilisation((at - PROGRESS_PERIOD_MS) / 1000, at / 1000)
        print(
            f"{label}: {at / 1000:.0f}/{seconds} s, {len(sessions)} callers, "
            f"{sum(t.completed for t in tallies)} answers, {sum(t.not_run for t in tallies)} not "
            f"run, {len(driver.result.problems)} problems"
            + (f", slots in use {used:.1%}" if use is not None else ""),
            flush=True,
        )

    driver.started_at = driver.clock.now()
    helpers = [gevent.spawn(carry_out)]
    if use is not None:
        helpers.append(gevent.spawn(sample_use, use))
    try:
        driver.run(sessions, seconds * 1000, progress)
    finally:
        gevent.killall(helpers)
    for helper in helpers:
        if not helper.successful():
            raise helper.exception
    return run


def run_load(
    fleet: Fleet,
    label: str,
    sessions: Sequence[Session],
    seconds: int,
    *,
    steps: Sequence[Step] = (),
    prefer_few_routers: bool = False,
    repeat_lost: bool = False,
) -> Run:
    """Drive the sessions against a fleet and sample the use of its engines."""
    return drive(
        fleet.profile,
        fleet.callers(),
        label,
        sessions,
        seconds,
        use=fleet.engine_use,
        steps=steps,
        prefer_few_routers=prefer_few_routers,
        repeat_lost=repeat_lost,
    )
