"""Finds out why requests were late, refused or failed, from the decision lines of routers."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from jacinthcove.observe.loglines import LogLine

ATTEMPTED = "request_attempted"
NOT_PLACED = "request_not_placed"
REFUSED = "request_refused"
DONE = "done"


class Cause(Enum):
    """Why a request got no response, or got it after its latency goal."""

    WAITED_AT_ROUTER = "late: waited at the router"
    QUEUE_AT_TARGET = "late: queue at the target, as expected"
    PREFILL = "late: reading its own prompt"
    PREFILL_AGAIN = "late: shared parts read again"
    TARGET_SLOWER = "late: the target was slower than expected"
    EARLIER_ATTEMPT = "late: an earlier attempt failed"
    NO_CAPACITY = "refused: no target could start it in time"
    TOO_SLOW = "refused: it would not have ended in time"
    NO_TARGET = "refused: no target takes work"
    ROUTER_REFUSED = "refused: the router takes no requests"
    TARGET_FAILED = "failed: the target answered a failure"
    CONNECTION_LOST = "failed: the target broke off"
    UNREACHABLE = "failed: no target could be reached"
    OTHER = "other"


_CAUSE_BY_OUTCOME = {
    "full": Cause.NO_CAPACITY,
    "too_slow": Cause.TOO_SLOW,
    "no_target": Cause.NO_TARGET,
}
_CAUSE_BY_END = {
    "answered_failure": Cause.TARGET_FAILED,
    "broken_before": Cause.CONNECTION_LOST,
    "broken_midway": Cause.CONNECTION_LOST,
    "unreachable": Cause.UNREACHABLE,
    "rejected": Cause.NO_CAPACITY,
}


@dataclass(frozen=True)
class Loss:
    """A request that got no response within its goal; `second` counts from the first line."""

    request_id: str
    cause: Cause
    second: int


def loss_cause(line: Mapping[str, Any]) -> Cause | None:
    """Return the cause of the loss that a decision line reports, or None if it reports none."""
    event = line.get("event")
    if event == NOT_PLACED:
        return _CAUSE_BY_OUTCOME.get(str(line.get("outcome")), Cause.OTHER)
    if event == REFUSED:
        # A request that no target could take has a NOT_PLACED line with more detail.
        return Cause.ROUTER_REFUSED if line.get("held_ms") == 0 else None
    if event != ATTEMPTED:
        return None
    if line.get("outcome") == DONE:
        return _cause_of_delay(line)
    if line.get("outcome") in ("retry", "resume"):
        return None
    return _CAUSE_BY_END.get(str(line.get("end")), Cause.OTHER)


def _cause_of_delay(line: Mapping[str, Any]) -> Cause | None:
    first_event_ms, goal_ms = line.get("first_event_ms", 0), line.get("goal_ms", 0)
    if first_event_ms <= goal_ms:
        return None
    if line.get("attempt", 1) > 1:
        return Cause.EARLIER_ATTEMPT
    speed = line.get("tokens_per_ms") or 1.0
    sent_ms, wait_ms = line.get("sent_ms", 0), line.get("expected_wait_ms", 0)
    prefill_again_ms = line.get("reread_tokens", 0) / speed
    prefill_ms = line.get("unread_tokens", 0) / speed - prefill_again_ms
    delays = {
        Cause.WAITED_AT_ROUTER: sent_ms,
        Cause.QUEUE_AT_TARGET: wait_ms,
        Cause.PREFILL: prefill_ms,
        Cause.PREFILL_AGAIN: prefill_again_ms,
        Cause.TARGET_SLOWER: first_event_ms - sent_ms - wait_ms - prefill_ms - prefill_again_ms,
    }
    return max(delays, key=lambda cause: delays[cause])


def find_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Return the lost requests; the last line about a request decides."""
    found: dict[str, Loss] = {}
    for at, line in lines:
        request_id = str(line.get("request_id", ""))
        if not request_id:
            continue
        cause = loss_cause(line)
        if cause is not None:
            found[request_id] = Loss(request_id, cause, int(at))
        elif line.get("event") == ATTEMPTED and line.get("outcome") == DONE:
            found.pop(request_id, None)
    return list(found.values())


def format_losses(found: Iterable[Loss], period_s: int = 5) -> str:
    """Format the number of losses by cause and by period of `period_s` seconds."""
    totals = Counter(loss.cause for loss in found)
    by_period = Counter((loss.cause, loss.second // period_s) for loss in found)
    periods = sorted({period for _, period in by_period})
    head = "".join(f"{period * period_s:>6}" for period in periods)
    rows = [f"{'cause, from second':<44}{'all':>6}{head}"]
    for cause, total in totals.most_common():
        cells = "".join(f"{by_period[cause, period] or '':>6}" for period in periods)
        rows.append(f"{cause.value:<44}{total:>6}{cells}")
    return "\n".join(rows)
