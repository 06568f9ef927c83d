"""The marks by which requests are recognised after a crash, and how long crashes count."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.codes import ResultCode
from jacinthcove.gateway.crashevidence import (
    EVIDENCE_TTL_MS,
    SUSPECT_CRASHES,
    CrashEvidence,
    EngineStart,
    WaitingRequest,
)
from jacinthcove.gateway.crashmarks import crash_marks, request_digest
from jacinthcove.gateway.quarantine import QUARANTINE_MS, Quarantine
from tests.gateway.samples import prompt, request, route

DEADLY = "dead"
POPULAR = "popular"


@pytest.fixture
def clock():
    return ManualClock()


def test_old_crashes_do_not_count(clock):
    evidence = CrashEvidence(clock)
    for number in range(SUSPECT_CRASHES):
        evidence.record(
            EngineStart(f"e{number}", 1), [WaitingRequest(frozenset([DEADLY]))], clock.now()
        )
        clock.advance(EVIDENCE_TTL_MS // 2 + 1)
    assert evidence.suspects() == []


@pytest.mark.parametrize(
    "change",
    [
        {"target": "/draft/2"},
        {"method": "PUT"},
        {"body": b"{1}"},
        {"workspace": "large"},
        {"route": route(host="other.example")},
        {"target": "/draft/1s", "workspace": "mall"},
    ],
)
def test_requests_that_differ_are_not_refused_for_each_other(clock, change):
    assert request_digest(request(clock, **change)) != request_digest(request(clock))


def test_the_same_request_at_another_time_has_the_same_marks(clock):
    first = crash_marks(request(clock, id="q1"))
    clock.advance(5_000)
    assert crash_marks(request(clock, id="q2", headers=(("Host", "desk.example"),))) == first


def test_only_requests_with_the_part_are_refused_and_told_not_run(clock):
    quarantine = Quarantine(clock)
    quarantine.add_stored(frozenset([DEADLY]))
    refusal = quarantine.refusal_for(request(clock, prompt=prompt(key=DEADLY)))
    assert refusal.code is ResultCode.PART_QUARANTINED
    assert 0 < refusal.retry_after_ms <= QUARANTINE_MS
    assert quarantine.refusal_for(request(clock, prompt=prompt(key=POPULAR))) is None
    quarantine.add_stored(frozenset(["own"]))
    assert quarantine.refusal_for(request(clock, prompt=prompt(key=POPULAR))) is None
