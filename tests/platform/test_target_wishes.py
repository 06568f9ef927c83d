"""What targets say about further requests: that they leave, or want nothing for a while."""

import gevent
import pytest
from wire_bed import answer, answering, chunk, event, header, not_run, stream_head

from jacinthcove.platform import names
from jacinthcove.platform.codec import MAX_RETRY_AFTER_MS

LEAVES = f"{names.LEAVING}: 1\r\n"


def refusing(value, status="503 Service Unavailable"):
    """Return a script of a full target that names a time to come back."""
    return answering(lambda head: not_run(head, status, f"{names.RETRY_AFTER}: {value}\r\n"))


def test_a_target_that_says_it_leaves_gets_nothing_more(bed):
    leaving = bed.add("t1", "ledger", answering(lambda head: answer(head, extra=LEAVES)))
    statuses = [bed.call("/publish/7", id=f"q{number}")[0] for number in range(3)]
    assert statuses == [200, 503, 503]
    assert len(leaving.seen) == 1


def test_the_head_of_a_stream_says_it_before_the_end(bed):
    def script(target, sock, head):
        sock.sendall(stream_head(head, LEAVES) + chunk(event(1)))
        gevent.sleep(0.2)
        sock.sendall(chunk(event(2)) + b"0\r\n\r\n")

    leaving = bed.add("t1", "models", script)
    sock = bed.send("/draft/7")
    gevent.sleep(0.1)
    assert bed.call("/draft/7", id="q2")[0] == 503
    assert len(leaving.seen) == 1
    gevent.sleep(0.2)
    assert event(2) in sock.recv(65_536)


def test_an_old_word_of_the_store_does_not_bring_a_leaving_target_back(bed):
    leaving = bed.add("t1", "ledger", answering(lambda head: answer(head, extra=LEAVES)))
    bed.call("/publish/7")
    bed.registry.put(leaving.record(cold_for_ms=10), 2)
    bed.registry.delete("t1", False)
    bed.registry.put(leaving.record(), 3)
    assert bed.call("/publish/7", id="q2")[0] == 503
    bed.registry.put(leaving.record(started_at=77), 4)
    assert bed.call("/publish/7", id="q3")[0] == 200


def test_the_answer_of_another_target_at_the_address_says_nothing(bed):
    moved = answering(lambda head: not_run(head, "421 Misdirected Request", LEAVES))
    target = bed.add("t1", "ledger", moved)
    bed.call("/publish/7")
    target.script = answering(answer)
    assert bed.call("/publish/7", id="q2")[0] == 200


def test_a_target_that_refuses_for_a_while_is_left_alone_so_long(bed):
    full = bed.add("t1", "ledger", refusing(0.4))
    bed.add("t2", "ledger", answering(answer))
    for number in range(20):
        assert bed.call("/publish2/7", id=f"q{number}")[0] == 200
    assert len(full.seen) == 1
    gevent.sleep(0.45)
    for number in range(20, 30):
        bed.call("/publish2/7", id=f"q{number}")
    assert len(full.seen) == 2


def test_a_target_that_is_full_is_left_alone_for_a_moment(bed):
    full = bed.add("t1", "ledger", answering(not_run))
    bed.add("t2", "ledger", answering(answer))
    for number in range(15):
        assert bed.call("/publish2/7", id=f"q{number}")[0] == 200
    assert len(full.seen) <= 2
    gevent.sleep(0.5)
    full.script = answering(answer)
    for number in range(15, 30):
        bed.call("/publish2/7", id=f"q{number}")
    assert len(full.seen) >= 5


def test_callers_hear_when_the_only_target_takes_work_again(bed):
    full = bed.add("t1", "ledger", refusing(3))
    status, headers, _ = bed.call("/publish/7")
    assert (status, float(headers["retry-after"]) >= 2.9) == (503, True)
    started = gevent.get_hub().loop.now()
    status, headers, _ = bed.call("/publish/7", id="q2")
    assert (status, float(headers["retry-after"]) >= 2.9) == (503, True)
    assert gevent.get_hub().loop.now() - started < 0.04
    assert len(full.seen) == 1


@pytest.mark.parametrize("value", ["-3", "Fri, 04 Dec 2026 10:00:00 GMT", "", "1e9", "nan", "1,5"])
def test_a_time_that_cannot_be_read_counts_as_none(bed, no_pause, value):
    full = bed.add("t1", "ledger", refusing(value))
    for number in range(3):
        assert bed.call("/publish/7", id=f"q{number}")[0] == 503
    assert len(full.seen) == 3


def test_a_huge_time_is_cut(bed):
    bed.add("t1", "ledger", refusing("999999999999"))
    bed.call("/publish/7")
    assert MAX_RETRY_AFTER_MS - 1_000 < bed.registry.paused_for_ms("ledger") <= MAX_RETRY_AFTER_MS


def test_other_refusals_name_no_time(bed, no_pause):
    full = bed.add("t1", "ledger", refusing(3, "429 Too Many Requests"))
    for number in range(2):
        bed.call("/publish/7", id=f"q{number}")
    assert len(full.seen) == 2


def test_a_restarted_target_refuses_no_longer(bed):
    full = bed.add("t1", "ledger", refusing(3))
    bed.call("/publish/7")
    full.script = answering(answer)
    bed.registry.put(full.record(started_at=77), 2)
    assert bed.call("/publish/7", id="q2")[0] == 200
    assert header(full.seen[1], names.EXPECTED_TARGET) == "t1"


def test_an_address_that_answers_for_another_target_is_left_alone(bed):
    moved = bed.add(
        "t1", "ledger", answering(lambda head: not_run(head, "421 Misdirected Request"))
    )
    bed.add("t2", "ledger", answering(answer))
    for number in range(20):
        assert bed.call("/publish2/7", id=f"q{number}")[0] == 200
    assert len(moved.seen) <= 1
    bed.registry.put(moved.record(started_at=77), 2)
    for number in range(20, 30):
        bed.call("/publish2/7", id=f"q{number}")
    assert len(moved.seen) == 2


def test_what_a_target_turns_away_does_not_count_as_given(bed):
    bed.add("t1", "models", answering(not_run))
    assert bed.call("/draft/7", extra=f"{names.TOKEN_COUNTS}: 100,10\r\n")[0] == 503
    (known,) = bed.admission.ledger.sum_with(frozenset()).values()
    assert (known.asked, known.given) == (120, 0)
