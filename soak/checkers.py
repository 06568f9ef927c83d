"""The promises of the router, checked on the history of a run.

Each checker returns the violations that it found as text.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable

from soak.history import Arrival, Call, History

NOT_RUN_STATUSES = (408, 421, 429, 503)
IDEMPOTENT_ROUTES = ("status", "ask", "extra")
# Bounds of the deployment that the soak plays.
REVOKE_S = 5.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
EVACUATE_S = 5.0
CONTACT_S = 3.0
GRACE_S = 8.0
COLD_OVER, COLD_SLACK = 1.5, 5
# A stopped process needs this long to be collected.
EXIT_SLACK_S = 1.0
RECOVER_S = 5.0
RECOVERED_PART = 0.25
MIN_CALLS = 12


def _runs(history: History) -> dict[str, list[Arrival]]:
    runs = defaultdict(list)
    for arrival in history.arrivals:
        if arrival.ran:
            runs[arrival.id].append(arrival)
    return runs


def whole_answers(history: History) -> list[str]:
    """Every success is the whole answer that a target gave to this request."""
    runs = _runs(history)
    found = []
    for call in history.calls:
        if not 200 <= call.status < 300 or call.body is None:
            continue
        bodies = [arrival.body for arrival in runs[call.id]]
        if call.body not in bodies:
            found.append(f"{call.id}: the answer of {len(call.body)} bytes is no target's")
    return found


def at_most_once(history: History) -> list[str]:
    """A request that is not idempotent runs once at most."""
    return [
        f"{id}: ran {len(runs)} times on {runs[0].route}"
        for id, runs in _runs(history).items()
        if runs[0].route not in IDEMPOTENT_ROUTES and len(runs) > 1
    ]


def not_run_is_true(history: History) -> list[str]:
    """A request that was refused as not run has not run and does not run later."""
    runs = _runs(history)
    return [
        f"{call.id}: answered {call.status} but ran at {runs[call.id][0].target}"
        for call in history.calls
        if call.status in NOT_RUN_STATUSES
        and runs.get(call.id)
        and (call.route not in IDEMPOTENT_ROUTES)
    ]


def known_keys_and_routes(history: History) -> list[str]:
    """Requests run for the holder of their key, on routes and with keys that are in force."""
    calls = {call.id: call for call in history.calls}
    found = []
    for arrival in history.arrivals:
        call = calls.get(arrival.id)
        if not arrival.ran:
            continue
        if call is None:
            found.append(f"{arrival.id}: nobody sent it")
            continue
        if history.workspaces.get(call.key) != arrival.workspace:
            found.append(f"{call.id}: ran for {arrival.workspace!r} with key {call.key!r}")
        found += _removed(history, call)
    return found


def _removed(history: History, call: Call) -> list[str]:
    for span in history.removed_keys:
        if span.subject == call.key and span.start + REVOKE_S < call.sent_at < span.end:
            return [f"{call.id}: its key was taken away {call.sent_at - span.start:.1f} s before"]
    for span in history.removed_routes:
        if span.subject != call.route or not span.start + CONFIG_APPLY_S < call.sent_at < span.end:
            continue
        if history.calm(span.start, call.sent_at, CONTACT_S):
            return [f"{call.id}: its route was gone {call.sent_at - span.start:.1f} s before"]
    return []


def _is_in_force(history: History, call: Call) -> bool:
    """Return whether the key and the route of a call were in force until its end."""
    spans = (*history.removed_keys, *history.removed_routes)
    subjects = (call.key, call.route)
    return not any(
        span.subject in subjects and span.start < call.ended_at and call.sent_at < span.end
        for span in spans
    )


def drained_targets_get_nothing(history: History) -> list[str]:
    """No request reaches a target or failure domain that is drained for longer than allowed."""
    found = []
    rules = ((history.drained_targets, DRAIN_S), (history.drained_domains, EVACUATE_S))
    for spans, allowed_s in rules:
        for span in spans:
            for arrival in history.arrivals:
                if span.subject not in (arrival.target, arrival.failure_domain):
                    continue
                if not span.start + allowed_s < arrival.at < span.end:
                    continue
                if history.calm(span.start, arrival.at, CONTACT_S):
                    late_s = arrival.at - span.start
                    found.append(f"{arrival.id}: reached {span.subject} {late_s:.1f} s after")
    return found


def cold_targets_are_spared(history: History) -> list[str]:
    """No second holds more requests at a cold target than it bears."""
    found = []
    limit = history.cold_per_s * COLD_OVER + COLD_SLACK
    for span in history.cold:
        times = sorted(
            a.at
            for a in history.arrivals
            if a.target == span.subject
            and span.born in (0, a.born)
            and span.start <= a.at < span.end
        )
        most = max((bisect_right(times, at + 1.0) - i for i, at in enumerate(times)), default=0)
        if most > limit:
            found.append(f"{span.subject}: {most} requests in a second while cold")
    return found


def stops_are_graceful(history: History) -> list[str]:
    """A router that is told to stop answers what it has read, and ends within its grace."""
    runs = _runs(history)
    found = []
    for span in history.terminated:
        if span.end - span.start > GRACE_S + EXIT_SLACK_S:
            found.append(f"{span.subject}: ended after {span.end - span.start:.1f} s")
        others = [s for s in history.disturbances if s.start <= span.end and s.end >= span.start]
        if any(s.kind != "router_term" for s in others):
            continue
        for call in history.calls:
            cut = call.status == 0 and not call.gave_up and call.router == span.subject
            inside = span.start - CONTACT_S < call.sent_at < span.end
            spoiled = any(arrival.spoiled for arrival in runs[call.id])
            if cut and inside and call.ended_at >= span.start and runs[call.id] and not spoiled:
                found.append(f"{call.id}: cut by the stop of {span.subject}")
    return found


def serves_again(history: History) -> list[str]:
    """Requests that may be served are served again soon after the last fault."""
    since = history.faults_over_at + RECOVER_S
    after = [
        call
        for call in history.calls
        if call.sent_at > since and not call.gave_up and _is_in_force(history, call)
    ]
    served = sum(200 <= call.status < 300 and call.body is not None for call in after)
    if len(after) >= MIN_CALLS and served < RECOVERED_PART * len(after):
        statuses = Counter(call.status for call in after)
        return [f"only {served} of {len(after)} served after the last fault: {dict(statuses)}"]
    return []


def processes_live(history: History) -> list[str]:
    """No router ends by itself."""
    return [f"{id} ended with code {code}" for id, code in history.exit_codes.items() if code]


CHECKERS: tuple[Callable[[History], list[str]], ...] = (
    whole_answers,
    at_most_once,
    not_run_is_true,
    known_keys_and_routes,
    drained_targets_get_nothing,
    cold_targets_are_spared,
    stops_are_graceful,
    serves_again,
    processes_live,
)


def check(history: History) -> dict[str, list[str]]:
    """Return the violations by checker, those without any left out."""
    results = {checker.__name__: checker(history) for checker in CHECKERS}
    return {name: found for name, found in results.items() if found}
