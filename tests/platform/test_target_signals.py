"""Targets that announce they are leaving, or ask for no requests for a while (Retry-After)."""

import gevent
import pytest
from wire_bed import chunk, event, header, not_run, responds_with, response, stream_head

from jacinthcove.platform import names
from jacinthcove.platform.codec import MAX_RETRY_AFTER_MS

LEAVING_HEADER = f"{names.LEAVING}: 1\r\n"


def refusing_script(value, status="503 Service Unavailable"):
    """Return a script of a full target that sends Retry-After."""
    return responds_with(lambda head: not_run(head, status, f"{names.RETRY_AFTER}: {value}\r\n"))


def stream_script(extra=""):
    """Return a script of a target that sends a stream of one event."""
    return responds_with(lambda head: stream_head(head, extra) + chunk(event(1)) + b"0\r\n\r\n")


def test_leaving_target_gets_no_more_requests(bed):
    leaving = bed.add(
        "t1", "ledger", responds_with(lambda head: response(head, extra=LEAVING_HEADER))
    )
    statuses = [bed.call("/publish/7", id=f"q{number}")[0] for number in range(3)]
    assert statuses == [200, 503, 503]
    assert len(leaving.seen) == 1


def test_leaving_header_counts_before_the_stream_ends(bed):
    def script(target, sock, head):
        sock.sendall(stream_head(head, LEAVING_HEADER) + chunk(event(1)))
        gevent.sleep(0.2)
        sock.sendall(chunk(event(2)) + b"0\r\n\r\n")

    leaving = bed.add("t1", "models", script)
    sock = bed.send("/draft/7")
    gevent.sleep(0.1)
    assert bed.call("/draft/7", id="q2")[0] == 503
    assert len(leaving.seen) == 1
    gevent.sleep(0.2)
    assert event(2) in sock.recv(65_536)


def test_leaving_target_stays_excluded_until_store_shows_a_restart(bed):
    leaving = bed.add(
        "t1", "ledger", responds_with(lambda head: response(head, extra=LEAVING_HEADER))
    )
    bed.call("/publish/7")
    bed.registry.put(leaving.record(cold_for_ms=10), 2)
    bed.registry.delete("t1", False)
    bed.registry.put(leaving.record(), 3)
    assert bed.call("/publish/7", id="q2")[0] == 503
    bed.registry.put(leaving.record(started_at=77), 4)
    assert bed.call("/publish/7", id="q3")[0] == 200


def test_leaving_header_of_an_ended_start_does_not_exclude_the_next_one(bed):
    def restarted_meanwhile(target, sock, head):
        bed.registry.put(target.record(started_at=99), 2)
        sock.sendall(response(head, extra=LEAVING_HEADER))

    target = bed.add("t1", "ledger", restarted_meanwhile, started_at=77)
    bed.call("/publish/7")
    target.script = responds_with(response)
    assert bed.call("/publish/7", id="q2")[0] == 200


def test_leaving_header_of_another_target_is_ignored(bed):
    moved = responds_with(lambda head: not_run(head, "421 Misdirected Request", LEAVING_HEADER))
    target = bed.add("t1", "ledger", moved)
    bed.call("/publish/7")
    target.script = responds_with(response)
    assert bed.call("/publish/7", id="q2")[0] == 200


def test_target_is_paused_for_its_retry_after(bed):
    full = bed.add("t1", "ledger", refusing_script(0.4))
    bed.add("t2", "ledger", responds_with(response))
    for number in range(20):
        assert bed.call("/publish2/7", id=f"q{number}")[0] == 200
    assert len(full.seen) == 1
    gevent.sleep(0.45)
    for number in range(20, 30):
        bed.call("/publish2/7", id=f"q{number}")
    assert len(full.seen) == 2


def test_full_target_without_retry_after_is_paused_briefly(bed):
    full = bed.add("t1", "ledger", responds_with(not_run))
    bed.add("t2", "ledger", responds_with(response))
    for number in range(15):
        assert bed.call("/publish2/7", id=f"q{number}")[0] == 200
    assert len(full.seen) <= 2
    gevent.sleep(0.5)
    full.script = responds_with(response)
    for number in range(15, 30):
        bed.call("/publish2/7", id=f"q{number}")
    assert len(full.seen) >= 5


def test_retry_after_of_the_only_target_reaches_callers(bed):
    full = bed.add("t1", "ledger", refusing_script(3))
    status, headers, _ = bed.call("/publish/7")
    assert (status, float(headers["retry-after"]) >= 2.9) == (503, True)
    started = gevent.get_hub().loop.now()
    status, headers, _ = bed.call("/publish/7", id="q2")
    assert (status, float(headers["retry-after"]) >= 2.9) == (503, True)
    assert gevent.get_hub().loop.now() - started < 0.04
    assert len(full.seen) == 1


@pytest.mark.parametrize("value", ["-3", "Fri, 04 Dec 2026 10:00:00 GMT", "", "1e9", "nan", "1,5"])
def test_unusable_retry_after_is_ignored(bed, no_pause, value):
    full = bed.add("t1", "ledger", refusing_script(value))
    for number in range(3):
        assert bed.call("/publish/7", id=f"q{number}")[0] == 503
    assert len(full.seen) == 3


def test_large_retry_after_is_capped(bed):
    bed.add("t1", "ledger", refusing_script("999999999999"))
    bed.call("/publish/7")
    assert MAX_RETRY_AFTER_MS - 1_000 < bed.registry.paused_for_ms("ledger") <= MAX_RETRY_AFTER_MS


def test_retry_after_counts_only_with_status_503(bed, no_pause):
    full = bed.add("t1", "ledger", refusing_script(3, "429 Too Many Requests"))
    for number in range(2):
        bed.call("/publish/7", id=f"q{number}")
    assert len(full.seen) == 2


def test_restart_of_a_target_ends_its_pause(bed):
    full = bed.add("t1", "ledger", refusing_script(3))
    bed.call("/publish/7")
    full.script = responds_with(response)
    bed.registry.put(full.record(started_at=77), 2)
    assert bed.call("/publish/7", id="q2")[0] == 200
    assert header(full.seen[1], names.EXPECTED_TARGET) == "t1"


def test_misdirected_address_gets_no_requests_until_restart(bed):
    moved = bed.add(
        "t1", "ledger", responds_with(lambda head: not_run(head, "421 Misdirected Request"))
    )
    bed.add("t2", "ledger", responds_with(response))
    for number in range(20):
        assert bed.call("/publish2/7", id=f"q{number}")[0] == 200
    assert len(moved.seen) <= 1
    bed.registry.put(moved.record(started_at=77), 2)
    for number in range(20, 30):
        bed.call("/publish2/7", id=f"q{number}")
    assert len(moved.seen) == 2


def limit_header(value):
    return f"{names.REQUESTS_PER_S}: {value}\r\n"


def limited_script(value):
    """Return a script of a target that answers and states the requests per second it takes."""
    return responds_with(lambda head: response(head, extra=limit_header(value)))


def test_target_gets_no_more_requests_than_the_limit_that_it_states(bed):
    limited = bed.add("t1", "ledger", limited_script("0.5"))
    statuses = [bed.call("/publish/7", id=f"q{number}")[0] for number in range(6)]
    assert statuses == [200, 200, 200, 503, 503, 503]
    assert len(limited.seen) == 3


def test_request_beyond_the_limits_of_all_targets_is_refused_at_once(bed):
    bed.add("t1", "ledger", limited_script("0.25"))
    for number in range(2):
        bed.call("/publish/7", id=f"q{number}")
    started = gevent.get_hub().loop.now()
    status, headers, _ = bed.call("/publish/7", id="q2")
    assert (status, 0 < float(headers["retry-after"]) < 0.2) == (503, True)
    assert gevent.get_hub().loop.now() - started < 0.04


def test_other_targets_serve_what_a_limited_one_does_not_take(bed):
    limited = bed.add("t1", "models", stream_script(limit_header("0.25")))
    bed.add("t2", "models", stream_script())
    statuses = [bed.call("/draft/7", id=f"q{number}")[0] for number in range(30)]
    assert statuses == [200] * 30
    assert len(limited.seen) <= 2


def test_response_without_a_limit_lifts_it(bed):
    target = bed.add("t1", "ledger", limited_script("0.5"))
    bed.call("/publish/7")
    gevent.sleep(0.01)
    target.script = responds_with(response)
    statuses = [bed.call("/publish/7", id=f"q{number}")[0] for number in range(1, 6)]
    assert statuses == [200] * 5


def test_rejection_without_a_limit_does_not_lift_it(bed, no_pause):
    target = bed.add("t1", "ledger", limited_script("0.5"))
    bed.call("/publish/7")
    target.script = responds_with(not_run)
    for number in range(1, 6):
        assert bed.call("/publish/7", id=f"q{number}")[0] == 503
    assert len(target.seen) == 3


@pytest.mark.parametrize(
    "value", ["-3", "", "nan", "1,5", "inf", "0x3", "1e3", "7.3 7.3", "9" * 400]
)
def test_unreadable_limit_changes_nothing(bed, value):
    target = bed.add("t1", "ledger", limited_script("0.5"))
    bed.call("/publish/7")
    target.script = limited_script(value)
    statuses = [bed.call("/publish/7", id=f"q{number}")[0] for number in range(1, 5)]
    assert statuses == [200, 200, 503, 503]


def test_limit_of_a_target_at_a_reused_address_is_ignored(bed):
    moved = responds_with(
        lambda head: not_run(head, "421 Misdirected Request", limit_header("0.25"))
    )
    bed.add("t1", "ledger", moved)
    bed.call("/publish/7")
    assert not bed.registry.stated_limits.by_target


def test_tokens_of_a_rejected_request_do_not_count_as_given(bed):
    bed.add("t1", "models", responds_with(not_run))
    assert bed.call("/draft/7", extra=f"{names.TOKEN_COUNTS}: 100,10\r\n")[0] == 503
    (known,) = bed.admission.ledger.sum_with(frozenset()).values()
    assert (known.asked, known.given) == (120, 0)
