"""Load experiments on a fleet of real processes, by name."""

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
    backlogged_sessions,
    power_cut_sessions,
    proportional_sessions,
    requests,
)
from jacinthcove.load.trial import Fleet, Report, Run, TimedAction, order_problems, run_load
from jacinthcove.scheduling.estimate import engine_units, plain_units

# With warm engines, the adaptive limits reach their maximum within this time.
WARM_UP_S = 15
FAIRNESS_WINDOW_S = 60
# Callers for each slot that a share is worth; 2 keeps as many requests waiting as running.
CALLERS_PER_SLOT = 2.0
WARM_ENGINE_FLAGS = ("--cold-ms", "0")
ROUTER_PAUSE_S = 10
MAX_DRAIN_S = 3.0
MIN_UTILISATION = 0.97
MIN_BASELINE_RATIO = 5.0
KEYED_DEADLINE_MS = 8_000

# Starts a fleet with additional engine flags; the mode None starts normal routers.
FleetFactory = Callable[[BaselineMode | None, tuple[str, ...]], Fleet]
Experiment = Callable[[FleetFactory, Report, Profile], None]


def engine_service(profile: Profile) -> str:
    """Return the name of the first engine service of a site."""
    return next(s.name for s in profile.services if s.kind is ServiceKind.ENGINE)


def max_fairness_gap(
    profile: Profile, exchange_ms: int = 1_000, pull_threshold_ms: int = 15_000
) -> float:
    """Return the largest fairness gap that the design allows on the engine service, in units/share.

    It assumes that a workspace is served at most at the rate of its fraction of all slots, without
    slowdown.
    """
    engine = next(s for s in profile.services if s.kind is ServiceKind.ENGINE)
    slots = engine.targets * engine.limits.max
    largest = max(engine_units(r.input_tokens[1], r.output_tokens[1]) for r in profile.routes)
    smallest = min(w.share for w in profile.workspaces)
    rate = slots * plain_units(exchange_ms) / sum(w.share for w in profile.workspaces)
    return largest / smallest + rate + plain_units(pull_threshold_ms)


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile without interpolation, or 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))] if ordered else 0.0


def fairness(start_fleet: FleetFactory, report: Report, profile: Profile) -> None:
    """Keep every workspace backlogged through one to four routers; compare with the baselines."""
    seconds = report.seconds
    gaps: dict[str, float] = {}
    modes = (None, *BaselineMode) if report.with_baselines else (None,)
    for mode in modes:
        label = mode.value if mode is not None else "normal"
        with closing(start_fleet(mode, WARM_ENGINE_FLAGS)) as fleet:
            sessions = proportional_sessions(
                profile, report.seed, CALLERS_PER_SLOT, (engine_service(profile),)
            )
            run = run_load(fleet, label, sessions, seconds + WARM_UP_S, prefer_few_routers=True)
        report.runs.append(run)
        report.problems += run.result.problems
        end_s = seconds + WARM_UP_S
        windows = range(WARM_UP_S, end_s - min(FAIRNESS_WINDOW_S, seconds) + 1, FAIRNESS_WINDOW_S)
        gaps_in_windows = [
            run.result.fairness_gap(at * 1000, min(end_s, at + FAIRNESS_WINDOW_S) * 1000)
            for at in windows
        ]
        gaps[label] = run.result.fairness_gap(WARM_UP_S * 1000, end_s * 1000)
        bound = max_fairness_gap(profile)
        normal = mode is None
        for name, gap in (
            (
                f"{label}: largest gap in windows of {min(FAIRNESS_WINDOW_S, seconds)} s",
                max(gaps_in_windows),
            ),
            (f"{label}: gap over {seconds} s", gaps[label]),
        ):
            target = f"<= {bound:.0f}" if normal else ""
            report.add(name, gap, "units/share", target, gap <= bound if normal else None)
        used = run.utilisation(WARM_UP_S, end_s)
        report.add(
            f"{label}: engine slots in use", used * 100, "%",
            f">= {MIN_UTILISATION:.0%}" if normal else "",
            used >= MIN_UTILISATION if normal else None,
        )  # fmt: skip
        _add_small_workspace_latency(report, run)
    if report.with_baselines:
        ratio = gaps[BaselineMode.LOCAL_QUEUES.value] / max(1.0, gaps["normal"])
        report.add(
            "gap of local queues / normal", ratio, "", f">= {MIN_BASELINE_RATIO:.0f}",
            ratio >= MIN_BASELINE_RATIO,
        )  # fmt: skip


def power_cut_recovery(start_fleet: FleetFactory, report: Report, profile: Profile) -> None:
    """Reconnect all callers to cold engines within one second, as after a power cut."""
    slots = sum(s.targets * s.limits.max for s in profile.services)
    with closing(start_fleet(None, ())) as fleet:
        sessions = power_cut_sessions(profile, report.seed, 3 * slots)
        run = run_load(fleet, "power-cut", sessions, report.seconds)
        _check_orders(report, fleet, run)
    _add_run(report, run)
    first = run.result.first_tokens
    for percent in (50, 95, 99):
        value = first.get_value_at_percentile(percent) / 1000  # type: ignore[attr-defined]
        report.add(f"first token p{percent}", value, "ms")
    report.add(
        "engine slots in use, last third", _final_utilisation(run, report.seconds) * 100, "%"
    )


def domain_drain(start_fleet: FleetFactory, report: Report, profile: Profile) -> None:
    """Drain a failure domain under load for a third of the time, then return it to service."""
    name = profile.failure_domains[-1]
    third = report.seconds / 3
    changed_at = [0.0, 0.0]
    with closing(start_fleet(None, WARM_ENGINE_FLAGS)) as fleet:

        def change(drained: bool) -> None:
            fleet.set_drained(name, drained)
            changed_at[0 if drained else 1] = time.time()

        timed_actions = [
            TimedAction(WARM_UP_S + third, f"drain {name}", lambda: change(True)),
            TimedAction(WARM_UP_S + 2 * third, f"return {name}", lambda: change(False)),
        ]
        sessions = proportional_sessions(
            profile, report.seed, CALLERS_PER_SLOT, (engine_service(profile),)
        )
        run = run_load(
            fleet, "domain", sessions, report.seconds + WARM_UP_S, timed_actions=timed_actions
        )
        last = fleet.last_grant_s(name, changed_at[0], changed_at[1])
    _add_run(report, run)
    after = 0.0 if last is None else last - changed_at[0]
    report.add("last new request after the drain", after, "s", "<= 3", after <= MAX_DRAIN_S)
    phase_bounds_ms = [round((WARM_UP_S + third * n) * 1000) for n in range(4)]
    for text, begin, end in zip(
        ("before the drain", "while drained", "after the return"),
        phase_bounds_ms,
        phase_bounds_ms[1:],
        strict=False,
    ):
        report.add(f"service {text}", run.result.rate(begin, end), "units/s")
    gap = run.result.fairness_gap(phase_bounds_ms[0], phase_bounds_ms[3])
    bound = max_fairness_gap(profile)
    report.add("gap over the whole run", gap, "units/share", f"<= {bound:.0f}", gap <= bound)


def router_loss(start_fleet: FleetFactory, report: Report, profile: Profile) -> None:
    """Kill two routers during streams and restart them, then suspend a third one for 10 s."""
    seconds = report.seconds
    with closing(start_fleet(None, WARM_ENGINE_FLAGS)) as fleet:
        ids = [place.id for place in fleet.list_routers()]
        lost, paused = ids[:2], ids[2]
        back_at, pause_at = WARM_UP_S + seconds * 0.3, WARM_UP_S + seconds * 0.6

        def router_action(
            at_s: float, text: str, action: Callable[[str], None], router: str
        ) -> TimedAction:
            return TimedAction(at_s, f"{text} {router}", lambda: action(router))

        timed_actions = [
            *(router_action(WARM_UP_S, "kill", fleet.kill_router, router) for router in lost),
            *(router_action(back_at, "start", fleet.start_router, router) for router in lost),
            router_action(pause_at, "pause", fleet.pause_router, paused),
            router_action(pause_at + ROUTER_PAUSE_S, "continue", fleet.continue_router, paused),
        ]
        sessions = [
            *proportional_sessions(
                profile, report.seed, CALLERS_PER_SLOT, (engine_service(profile),)
            ),
            *backlogged_sessions(profile, report.seed, 1, (_plain_service(profile),)),
        ]
        run = run_load(
            fleet,
            "router-loss",
            sessions,
            seconds + WARM_UP_S,
            timed_actions=timed_actions,
            resend_lost=True,
        )
        _check_orders(report, fleet, run)
    _add_run(report, run)
    tallies = run.result.tallies.values()
    report.add("streams resumed", sum(t.resumed for t in tallies))
    report.add("requests sent again after a broken connection", sum(t.resends for t in tallies))
    for text, begin, end in (
        ("after the kill", 0.05, 0.3), ("after the restart", 0.35, 0.6), ("at the end", 0.85, 1.0)
    ):  # fmt: skip
        used = run.utilisation(WARM_UP_S + seconds * begin, WARM_UP_S + seconds * end)
        report.add(f"engine slots in use {text}", used * 100, "%")


def store_outage(start_fleet: FleetFactory, report: Report, profile: Profile) -> None:
    """Make the store fail for the whole run, under a load that includes keyed requests."""
    with closing(start_fleet(None, WARM_ENGINE_FLAGS)) as fleet:
        timed_actions = [TimedAction(0, "store down", lambda: fleet.set_store_outage(True))]
        plain = [
            replace(session, requests=(replace(spec, deadline_ms=KEYED_DEADLINE_MS) for spec in s))
            for session in backlogged_sessions(profile, report.seed, 2, (_plain_service(profile),))
            if (s := session.requests)
        ]
        sessions = [
            *proportional_sessions(
                profile, report.seed, CALLERS_PER_SLOT, (engine_service(profile),)
            ),
            *plain,
        ]
        run = run_load(
            fleet, "store-outage", sessions, report.seconds + WARM_UP_S, timed_actions=timed_actions
        )
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
        "engine slots in use", used * 100, "%", f">= {MIN_UTILISATION:.0%}",
        used >= MIN_UTILISATION,
    )  # fmt: skip


def flood(start_fleet: FleetFactory, report: Report, profile: Profile) -> None:
    """Flood the fleet from one small workspace while another keeps two requests open."""
    service = engine_service(profile)
    small, flooder = profile.workspaces[-1], profile.workspaces[-2]
    half_s = WARM_UP_S + report.seconds // 2
    others = [
        s
        for s in proportional_sessions(profile, report.seed, CALLERS_PER_SLOT, (service,))
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
            half_s * 1000,
            requests(profile, flooder, f"flood-{report.seed}-{n}", (service,)),
        )
        for n in range(5 * slots)
    ]
    with closing(start_fleet(None, WARM_ENGINE_FLAGS)) as fleet:
        run = run_load(fleet, "flood", [*others, *quiet, *flooding], report.seconds + WARM_UP_S)
    _add_run(report, run)
    end_ms = (report.seconds + WARM_UP_S) * 1000
    first_tokens = run.result.tallies[small.name].first_token_times
    for text, begin, end in (
        ("before", WARM_UP_S * 1000, half_s * 1000),
        ("during", half_s * 1000, end_ms),
    ):
        latencies_ms = [ms for at, ms in first_tokens if begin <= at < end]
        report.add(
            f"first token of the small workspace {text}, p50", percentile(latencies_ms, 50), "ms"
        )
        report.add(
            f"first token of the small workspace {text}, p95", percentile(latencies_ms, 95), "ms"
        )
        report.add(
            f"service of the small workspace {text}", run.result.rate(begin, end, (small.name,)),
            "units/s",
        )  # fmt: skip
    # The fraction of the service rate that its share entitles the flooder to.
    backlogged_share = sum(w.share for w in profile.workspaces if w is not small)
    entitled_fraction = flooder.share / backlogged_share
    received_fraction = run.result.rate(half_s * 1000, end_ms, (flooder.name,)) / max(
        1.0, run.result.rate(half_s * 1000, end_ms)
    )
    report.add(
        "share of service taken by the flooder",
        received_fraction * 100,
        "%",
        f"near {entitled_fraction:.1%}",
    )
    report.add("refusals of the flooder", run.result.tallies[flooder.name].not_run)


EXPERIMENTS: dict[str, Experiment] = {
    "fairness": fairness,
    "power-cut": power_cut_recovery,
    "domain": domain_drain,
    "router-loss": router_loss,
    "store-outage": store_outage,
    "flood": flood,
}


def _plain_service(profile: Profile) -> str:
    return next(s.name for s in profile.services if s.kind is ServiceKind.PLAIN)


def _final_utilisation(run: Run, seconds: int) -> float:
    return run.utilisation(seconds * 2 / 3, seconds)


def _add_run(report: Report, run: Run) -> None:
    report.runs.append(run)
    report.problems += run.result.problems
    tallies = run.result.tallies.values()
    report.add("whole answers", sum(t.completed for t in tallies))
    report.add("refused as not run", sum(t.not_run for t in tallies))
    count = len(run.result.problems)
    report.add("lost, truncated or corrupt answers", count, "", "0", count == 0)


def _add_small_workspace_latency(report: Report, run: Run) -> None:
    smallest = min(t.share for t in run.result.tallies.values())
    latencies_ms = [
        ms
        for tally in run.result.tallies.values()
        if tally.share == smallest
        for at, ms in tally.first_token_times
        if at >= WARM_UP_S * 1000
    ]
    for percent in (50, 95):
        report.add(
            f"{run.label}: first token of small workspaces p{percent}",
            percentile(latencies_ms, percent), "ms",
        )  # fmt: skip


def _check_orders(report: Report, fleet: Fleet, run: Run) -> None:
    problems = order_problems(run.result.orders, fleet.order_runs())
    report.problems += problems
    report.add("orders sent", len(run.result.orders))
    report.add("orders run twice, or against their result", len(problems), "", "0", not problems)
