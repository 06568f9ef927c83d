"""Named experiments on a fleet of real processes."""

import time
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import closing
from dataclasses import replace

from jacinthcove.config.model import ServiceKind
from jacinthcove.load.baseline import BaselineMode
from jacinthcove.load.profiles import (
    Profile,
    Session,
    backlogged,
    power_cut,
    proportional,
    requests,
)
from jacinthcove.load.trial import Fleet, Report, Run, Step, order_problems, run_load
from jacinthcove.scheduling.estimate import engine_units, plain_units

# With warm engines the adaptive limits reach their maximum within this time.
WARM_UP_S = 15
WINDOW_S = 60
# Callers per slot that a share is worth; 2 keeps as many requests waiting as running.
DEPTH = 2.0
WARM_ENGINES = ("--cold-ms", "0")
PAUSE_S = 10
DRAIN_LIMIT_S = 3.0
UTILISATION_TARGET = 0.97
BASELINE_RATIO = 5.0
KEYED_DEADLINE_MS = 8_000

# Starts a fleet with extra engine flags; None as the mode means the product's own routers.
FleetFactory = Callable[[BaselineMode | None, tuple[str, ...]], Fleet]
Experiment = Callable[[FleetFactory, Report, Profile], None]


def engine_service(profile: Profile) -> str:
    """Return the name of the engine service of a site."""
    return next(s.name for s in profile.services if s.kind is ServiceKind.ENGINE)


def gap_bound(profile: Profile, exchange_ms: int = 1_000, pull_threshold_ms: int = 15_000) -> float:
    """Return the design's bound of the gap on the engine service, in units/share.

    The fastest service rate of a workspace is that of its part of all slots without slowdown.
    """
    engine = next(s for s in profile.services if s.kind is ServiceKind.ENGINE)
    slots = engine.targets * engine.limits.max
    largest = max(engine_units(r.input_tokens[1], r.output_tokens[1]) for r in profile.routes)
    smallest = min(w.share for w in profile.workspaces)
    rate = slots * plain_units(exchange_ms) / sum(w.share for w in profile.workspaces)
    return largest / smallest + rate + plain_units(pull_threshold_ms)


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by the nearest rank, or 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))] if ordered else 0.0


def fairness(start: FleetFactory, report: Report, profile: Profile) -> None:
    """Backlog every workspace, its callers on one to four routers; compare with the baselines."""
    seconds = report.seconds
    gaps: dict[str, float] = {}
    modes = (None, *BaselineMode) if report.baselines else (None,)
    for mode in modes:
        label = mode.value if mode is not None else "normal"
        with closing(start(mode, WARM_ENGINES)) as fleet:
            sessions = proportional(profile, report.seed, DEPTH, (engine_service(profile),))
            run = run_load(fleet, label, sessions, seconds + WARM_UP_S, prefer_few_routers=True)
        report.runs.append(run)
        report.problems += run.result.problems
        ends = seconds + WARM_UP_S
        windows = range(WARM_UP_S, ends - min(WINDOW_S, seconds) + 1, WINDOW_S)
        in_windows = [
            run.result.fairness_gap(at * 1000, min(ends, at + WINDOW_S) * 1000) for at in windows
        ]
        gaps[label] = run.result.fairness_gap(WARM_UP_S * 1000, ends * 1000)
        bound = gap_bound(profile)
        normal = mode is None
        for name, gap in (
            (f"{label}: largest gap in windows of {min(WINDOW_S, seconds)} s", max(in_windows)),
            (f"{label}: gap over {seconds} s", gaps[label]),
        ):
            target = f"<= {bound:.0f}" if normal else ""
            report.add(name, gap, "units/share", target, gap <= bound if normal else None)
        used = run.utilisation(WARM_UP_S, ends)
        report.add(
            f"{label}: engine slots in use", used * 100, "%",
            f">= {UTILISATION_TARGET:.0%}" if normal else "",
            used >= UTILISATION_TARGET if normal else None,
        )  # fmt: skip
        _add_waits(report, run)
    if report.baselines:
        ratio = gaps[BaselineMode.LOCAL_QUEUES.value] / max(1.0, gaps["normal"])
        report.add(
            "gap of local queues / normal", ratio, "", f">= {BASELINE_RATIO:.0f}",
            ratio >= BASELINE_RATIO,
        )  # fmt: skip


def power_cut_morning(start: FleetFactory, report: Report, profile: Profile) -> None:
    """Let all callers reconnect within one second, to cold engines."""
    slots = sum(s.targets * s.limits.max for s in profile.services)
    with closing(start(None, ())) as fleet:
        sessions = power_cut(profile, report.seed, 3 * slots)
        run = run_load(fleet, "power-cut", sessions, report.seconds)
        _check_orders(report, fleet, run)
    _add_run(report, run)
    first = run.result.first_tokens
    for percent in (50, 95, 99):
        value = first.get_value_at_percentile(percent) / 1000  # type: ignore[attr-defined]
        report.add(f"first token p{percent}", value, "ms")
    report.add("engine slots in use, last third", _late_use(run, report.seconds) * 100, "%")


def domain(start: FleetFactory, report: Report, profile: Profile) -> None:
    """Drain a failure domain under load and return it after a while."""
    name = profile.failure_domains[-1]
    third = report.seconds / 3
    drained_at = [0.0, 0.0]
    with closing(start(None, WARM_ENGINES)) as fleet:

        def change(drained: bool) -> None:
            fleet.set_drained(name, drained)
            drained_at[0 if drained else 1] = time.time()

        steps = [
            Step(WARM_UP_S + third, f"drain {name}", lambda: change(True)),
            Step(WARM_UP_S + 2 * third, f"return {name}", lambda: change(False)),
        ]
        sessions = proportional(profile, report.seed, DEPTH, (engine_service(profile),))
        run = run_load(fleet, "domain", sessions, report.seconds + WARM_UP_S, steps=steps)
        last = fleet.last_grant_s(name, drained_at[0], drained_at[1])
    _add_run(report, run)
    after = 0.0 if last is None else last - drained_at[0]
    report.add("last new request after the drain", after, "s", "<= 3", after <= DRAIN_LIMIT_S)
    drained_ms = [round((WARM_UP_S + third * n) * 1000) for n in range(4)]
    for text, begin, end in zip(
        ("before the drain", "while drained", "after the return"),
        drained_ms,
        drained_ms[1:],
        strict=False,
    ):
        report.add(f"service {text}", run.result.rate(begin, end), "units/s")
    gap = run.result.fairness_gap(drained_ms[0], drained_ms[3])
    bound = gap_bound(profile)
    report.add("gap over the whole run", gap, "units/share", f"<= {bound:.0f}", gap <= bound)


def router_loss(start: FleetFactory, report: Report, profile: Profile) -> None:
    """Kill two routers in mid-stream and restart them, then pause one for 10 s."""
    seconds = report.seconds
    with closing(start(None, WARM_ENGINES)) as fleet:
        ids = [place.id for place in fleet.places()]
        lost, paused = ids[:2], ids[2]
        back_at, pause_at = WARM_UP_S + seconds * 0.3, WARM_UP_S + seconds * 0.6

        def step(at_s: float, text: str, action: Callable[[str], None], router: str) -> Step:
            return Step(at_s, f"{text} {router}", lambda: action(router))

        steps = [
            *(step(WARM_UP_S, "kill", fleet.kill_router, router) for router in lost),
            *(step(back_at, "start", fleet.start_router, router) for router in lost),
            step(pause_at, "pause", fleet.pause_router, paused),
            step(pause_at + PAUSE_S, "continue", fleet.continue_router, paused),
        ]
        sessions = [
            *proportional(profile, report.seed, DEPTH, (engine_service(profile),)),
            *backlogged(profile, report.seed, 1, (_plain(profile),)),
        ]
        run = run_load(
            fleet, "router-loss", sessions, seconds + WARM_UP_S, steps=steps, repeat_lost=True
        )
        _check_orders(report, fleet, run)
    _add_run(report, run)
    tallies = run.result.tallies.values()
    report.add("streams resumed", sum(t.resumed for t in tallies))
    report.add("requests sent again after a broken connection", sum(t.repeated for t in tallies))
    for text, begin, end in (
        ("after the kill", 0.05, 0.3), ("after the restart", 0.35, 0.6), ("at the end", 0.85, 1.0)
    ):  # fmt: skip
        used = run.utilisation(WARM_UP_S + seconds * begin, WARM_UP_S + seconds * end)
        report.add(f"engine slots in use {text}", used * 100, "%")


def store_outage(start: FleetFactory, report: Report, profile: Profile) -> None:
    """Take the store away for the whole run, keyed requests included."""
    with closing(start(None, WARM_ENGINES)) as fleet:
        steps = [Step(0, "store down", lambda: fleet.set_store_outage(True))]
        plain = [
            replace(session, requests=(replace(spec, deadline_ms=KEYED_DEADLINE_MS) for spec in s))
            for session in backlogged(profile, report.seed, 2, (_plain(profile),))
            if (s := session.requests)
        ]
        sessions = [
            *proportional(profile, report.seed, DEPTH, (engine_service(profile),)),
            *plain,
        ]
        run = run_load(fleet, "store-outage", sessions, report.seconds + WARM_UP_S, steps=steps)
        fleet.set_store_outage(False)
        _check_orders(report, fleet, run)
    _add_run(report, run)
    outcomes: Counter[str] = Counter()
    for tally in run.result.tallies.values():
        outcomes += tally.outcomes
    for outcome, count in sorted(outcomes.items()):
        report.add(f"answers: {outcome}", count)
    used = run.utilisation(WARM_UP_S, report.seconds + WARM_UP_S)
    report.add(
        "engine slots in use", used * 100, "%", f">= {UTILISATION_TARGET:.0%}",
        used >= UTILISATION_TARGET,
    )  # fmt: skip


def flood(start: FleetFactory, report: Report, profile: Profile) -> None:
    """Let one small workspace flood the fleet while another sends two requests at a time."""
    service = engine_service(profile)
    small, flooder = profile.workspaces[-1], profile.workspaces[-2]
    half = WARM_UP_S + report.seconds // 2
    others = [
        s
        for s in proportional(profile, report.seed, DEPTH, (service,))
        if s.workspace not in (small, flooder)
    ]
    quiet = [
        Session(small, 0, requests(profile, small, f"quiet-{report.seed}-{n}", (service,)))
        for n in range(2)
    ]
    slots = sum(s.targets * s.limits.max for s in profile.services if s.name == service)
    flooding = [
        Session(
            flooder,
            half * 1000,
            requests(profile, flooder, f"flood-{report.seed}-{n}", (service,)),
        )
        for n in range(5 * slots)
    ]
    with closing(start(None, WARM_ENGINES)) as fleet:
        run = run_load(fleet, "flood", [*others, *quiet, *flooding], report.seconds + WARM_UP_S)
    _add_run(report, run)
    ends = (report.seconds + WARM_UP_S) * 1000
    starts = run.result.tallies[small.name].first_tokens
    for text, begin, end in (
        ("before", WARM_UP_S * 1000, half * 1000),
        ("during", half * 1000, ends),
    ):
        waits = [ms for at, ms in starts if begin <= at < end]
        report.add(f"first token of the small workspace {text}, p50", percentile(waits, 50), "ms")
        report.add(f"first token of the small workspace {text}, p95", percentile(waits, 95), "ms")
        report.add(
            f"service of the small workspace {text}", run.result.rate(begin, end, (small.name,)),
            "units/s",
        )  # fmt: skip
    # The rate that the share is worth among the backlogged workspaces.
    backlogged_share = sum(w.share for w in profile.workspaces if w is not small)
    entitled = flooder.share / backlogged_share
    got = run.result.rate(half * 1000, ends, (flooder.name,)) / max(
        1.0, run.result.rate(half * 1000, ends)
    )
    report.add("share of service taken by the flooder", got * 100, "%", f"near {entitled:.1%}")
    report.add("refusals of the flooder", run.result.tallies[flooder.name].not_run)


EXPERIMENTS: dict[str, Experiment] = {
    "fairness": fairness,
    "power-cut": power_cut_morning,
    "domain": domain,
    "router-loss": router_loss,
    "store-outage": store_outage,
    "flood": flood,
}


def _plain(profile: Profile) -> str:
    return next(s.name for s in profile.services if s.kind is ServiceKind.PLAIN)


def _late_use(run: Run, seconds: int) -> float:
    return run.utilisation(seconds * 2 / 3, seconds)


def _add_run(report: Report, run: Run) -> None:
    report.runs.append(run)
    report.problems += run.result.problems
    tallies = run.result.tallies.values()
    report.add("whole answers", sum(t.completed for t in tallies))
    report.add("refused as not run", sum(t.not_run for t in tallies))
    count = len(run.result.problems)
    report.add("lost, truncated or corrupt answers", count, "", "0", count == 0)


def _add_waits(report: Report, run: Run) -> None:
    smallest = min(t.share for t in run.result.tallies.values())
    waits = [
        ms
        for tally in run.result.tallies.values()
        if tally.share == smallest
        for at, ms in tally.first_tokens
        if at >= WARM_UP_S * 1000
    ]
    for percent in (50, 95):
        report.add(
            f"{run.label}: first token of small workspaces p{percent}",
            percentile(waits, percent), "ms",
        )  # fmt: skip


def _check_orders(report: Report, fleet: Fleet, run: Run) -> None:
    problems = order_problems(run.result.orders, fleet.order_runs())
    report.problems += problems
    report.add("orders sent", len(run.result.orders))
    report.add("orders run twice, or against their result", len(problems), "", "0", not problems)
