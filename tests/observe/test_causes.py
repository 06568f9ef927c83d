"""Each late, refused or failed request is attributed to one cause."""

import pytest

from jacinthcove.observe.causes import Cause, find_losses, format_losses, loss_cause

LATE = {
    "event": "request_attempted",
    "request_id": "q1",
    "outcome": "done",
    "end": "complete",
    "attempt": 1,
    "goal_ms": 500,
    "sent_ms": 1,
    "expected_wait_ms": 0,
    "unread_tokens": 0,
    "reread_tokens": 0,
    "tokens_per_ms": 50.0,
    "first_event_ms": 600,
}


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"first_event_ms": 500}, None),
        ({"sent_ms": 550}, Cause.WAITED_AT_ROUTER),
        ({"expected_wait_ms": 400}, Cause.QUEUE_AT_TARGET),
        ({"unread_tokens": 20_000}, Cause.PREFILL),
        ({"unread_tokens": 20_000, "reread_tokens": 15_000}, Cause.PREFILL_AGAIN),
        ({}, Cause.TARGET_SLOWER),
        ({"attempt": 2}, Cause.EARLIER_ATTEMPT),
        ({"outcome": "retry", "end": "broken_before"}, None),
        ({"outcome": "fail", "end": "broken_before"}, Cause.CONNECTION_LOST),
        ({"outcome": "deliver_failure", "end": "answered_failure"}, Cause.TARGET_FAILED),
        ({"outcome": "refuse", "end": "unreachable"}, Cause.UNREACHABLE),
    ],
)
def test_attempt_is_attributed_to_one_cause(fields, cause):
    assert loss_cause(LATE | fields) is cause


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        ({"event": "request_not_placed", "outcome": "full"}, Cause.NO_CAPACITY),
        ({"event": "request_not_placed", "outcome": "too_slow"}, Cause.TOO_SLOW),
        ({"event": "request_not_placed", "outcome": "no_target"}, Cause.NO_TARGET),
        ({"event": "request_refused", "held_ms": 0}, Cause.ROUTER_REFUSED),
        ({"event": "request_refused", "held_ms": 70}, None),
        ({"event": "store_lost"}, None),
    ],
)
def test_refusal_is_attributed_to_one_cause(line, cause):
    assert loss_cause(line) is cause


def test_last_line_about_a_request_decides():
    not_placed = {"event": "request_not_placed", "request_id": "q1", "outcome": "full"}
    served = LATE | {"first_event_ms": 100}
    assert find_losses([(0.0, not_placed), (1.0, served)]) == []
    found = find_losses([(0.0, served), (7.0, not_placed), (8.0, {"event": "router_stopped"})])
    assert [(loss.cause, loss.second) for loss in found] == [(Cause.NO_CAPACITY, 7)]


def test_table_has_a_row_per_cause_and_a_column_per_period():
    lines = [(float(n), LATE | {"request_id": f"q{n}"}) for n in range(12)]
    lines.append((3.0, {"event": "request_not_placed", "request_id": "x", "outcome": "full"}))
    rows = format_losses(find_losses(lines)).splitlines()
    assert rows[0].split()[-4:] == ["all", "0", "5", "10"]
    assert rows[1].split()[-4:] == ["12", "5", "5", "2"]
    assert rows[2].startswith(Cause.NO_CAPACITY.value)
