"""Guards against wrong evidence of a step.

A route with little traffic must not block a move or go unevaluated, and the failure of one VM must
not count against the version.
"""

import random
from dataclasses import replace

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import (
    FleetConfig,
    Move,
    MoveState,
    MoveStep,
    Route,
    Service,
    ServiceKind,
)
from jacinthcove.control.orders import OrderOutcome, OrderResult
from jacinthcove.mesh.members import Membership
from jacinthcove.mesh.peers import Member
from jacinthcove.moves.detector import fleet_error_fault, fleet_fault, has_suspicious_errors
from jacinthcove.moves.driver import MoveDriver, RouteCounters, StepKey
from jacinthcove.moves.evidence import (
    Counters,
    EvidenceKey,
    FleetEvidence,
    Reporter,
    RequestResult,
    RouterEvidence,
    to_message,
)
from jacinthcove.router.results import VersionResult
from jacinthcove.router.versions import VersionManager
from jacinthcove.store.vms import Vm, VmList, VmRole

WALL = ManualClock().wall()
SERVICE = Service("s", ServiceKind.ENGINE, "v1", (Route("a"), Route("b")))
STEPS = (MoveStep(0.05, 10), MoveStep(1.0, 10))
MOVE = Move("m", "s", "v1", "v2", WALL, WALL + 60_000, STEPS, 0, 0.05, MoveState.SHIFTING)
SENT_AT = 10**12
CONFIG = FleetConfig(revision=1, services={"s": SERVICE}, moves={"m": MOVE})


class Updates:
    def __init__(self):
        self.config = CONFIG

    def current(self):
        return self.config

    def update(self, change):
        self.config = change(self.config)


class FailingTargets:
    def reconcile(self, order):
        return OrderResult(OrderOutcome.FAILED)


class Peers:
    def register(self, kind, handler):
        """Ignore the handler."""


def make_driver(updates=None):
    vms = VmList(1, (Vm("t", VmRole.TARGET, "t", "d", "s", "v2"),))
    return MoveDriver(
        updates or Updates(), FailingTargets(), lambda: [], lambda: vms, lambda: True, ManualClock()
    )


def counters(requests, started=None):
    return Counters(requests=requests, started=requests if started is None else started)


@pytest.mark.parametrize(
    "routes, enough",
    [
        ([(10, 10, 200), (0, 0, 3)], True),  # a route with little traffic does not block
        ([(10, 10, 200), (0, 1, 3)], False),  # but its in-flight request is waited for
        ([(10, 10, 100), (0, 4, 100)], False),  # results of one route do not count for the other
        ([(7, 7, 100), (3, 3, 100)], False),  # half of the requests requires half of the results
        ([(6, 6, 100), (5, 5, 100)], True),
        ([(4, 4, 100), (5, 5, 100)], False),
        (
            [(10, 10, 2_000), (0, 0, 0)],
            False,
        ),  # the new version received less than half of its share
        ([(0, 0, 0), (0, 0, 0)], False),
    ],
)
def test_required_results_of_a_route_are_proportional_to_its_requests(routes, enough):
    found = [RouteCounters(counters(new, sent), counters(old)) for new, sent, old in routes]
    assert make_driver()._has_enough_evidence(MOVE, 10, found) is enough


def test_version_without_any_answering_target_is_reverted():
    """Guards against a wait for the deadline: refused connections do not count as evidence."""
    updates = Updates()
    driver = make_driver(updates)
    for _ in range(5):
        driver.tick()
    assert updates.config.moves["m"].reason == "no target of the new version answers"


def test_results_of_an_earlier_step_do_not_count_for_the_next():
    evidence = RouterEvidence()
    key = EvidenceKey("s", "a", "v2")
    evidence.begin_step(MOVE)
    evidence.add(key, RequestResult(ResultCode.OK, 10))
    evidence.begin_step(replace(MOVE, step=1))
    evidence.add(key, RequestResult(ResultCode.OK, 10, earlier_step=True))
    assert evidence.get(key).counters.requests == 0
    assert len(evidence.get(key).recent) == 2


def lose(control, target):
    control.record(
        VersionResult(
            "s", "a", "v2", ResultCode.STREAM_BROKEN, 0, 0, 0, SENT_AT, target, target_lost=True
        )
    )


def test_failure_of_one_target_is_not_blamed_on_the_version():
    """Guards against a cut because one VM failed with 12 streams.

    A version whose targets mostly fail is faulty.
    """
    clock = ManualClock()
    members = Membership(Member("r", "", "", "d"), clock)
    control = VersionManager(clock, lambda: CONFIG, members, Peers(), lambda *names: 3)
    for _ in range(12):
        lose(control, "t1")
    key = EvidenceKey("s", "a", "v2")
    assert control.evidence.get(key).counters.errors == 0
    for _ in range(12):
        lose(control, "t2")
    assert control.evidence.get(key).counters.errors > 5
    assert control.fault_detector.is_cut("m", "a")


SLOW_TOKENS = Counters(9, 0, 900, 9 * 2_000, 9 * 20, 9)
SLOW_FIRST = Counters(30, 0, 30 * 900, 30 * 600, 30 * 20, 30)
LIKE_OLD = Counters(30, 0, 30 * 100, 30 * 600, 30 * 20, 30)
OLD = Counters(200, 0, 200 * 100, 200 * 600, 200 * 20, 200)


@pytest.mark.parametrize(
    "new, fault, enough",
    [(SLOW_TOKENS, "", False), (SLOW_FIRST, "", False), (LIKE_OLD, "", True)],
)
def test_step_does_not_end_while_few_results_look_slow(new, fault, enough):
    """Guards against a second step for a slow version with too few results to prove it."""
    evidence = FleetEvidence()
    messages = [
        to_message(EvidenceKey("s", "a", "v2"), new),
        to_message(EvidenceKey("s", "a", "v1"), OLD),
    ]
    evidence.merge(Reporter("r", 1), messages)
    move = replace(MOVE, steps=(MoveStep(0.05, 5), MoveStep(1.0, 5)))
    assert make_driver()._evaluate(move, SERVICE, evidence) == (fault, enough)


def test_ten_slow_streams_are_a_fault_over_the_fleet():
    """Guards against waiting for 40 results when 10 suffice for the time per token."""
    more = SLOW_TOKENS.plus(Counters(1, 0, 100, 2_000, 20, 1))
    assert "slower tokens" in fleet_fault(more, OLD)
    assert fleet_fault(SLOW_TOKENS, OLD) == ""


def test_rare_errors_add_up_over_steps():
    """Guards against 10% errors that no single step proves; the last has no old requests."""
    driver = make_driver()
    for step, (new, old) in enumerate(
        [((20, 2), (400, 0)), ((60, 6), (400, 0)), ((60, 6), (0, 0))]
    ):
        evidence = FleetEvidence()
        counters_of = {"v2": Counters(*new), "v1": Counters(*old)}
        messages = [to_message(EvidenceKey("s", "a", v), c) for v, c in counters_of.items()]
        evidence.merge(Reporter("r", 1), messages)
        driver.evidence[StepKey("m", step)] = evidence
    last = replace(MOVE, steps=(*STEPS, MoveStep(1.0, 10)), step=2)
    fault, _ = driver._evaluate(last, SERVICE, evidence)
    assert "more errors" in fault


@pytest.mark.parametrize(
    "new_errors, old_errors, enough",
    [(6, 0, False), (1, 0, True), (0, 0, True), (10, 35, True)],
)
def test_last_step_does_not_end_while_errors_look_more_frequent(new_errors, old_errors, enough):
    """Guards against a fault under load that is rare because errors lower target limits."""
    driver = make_driver()
    before, evidence = FleetEvidence(), FleetEvidence()
    for step, version, found in (
        (before, "v1", Counters(690, old_errors)),
        (evidence, "v2", Counters(195, new_errors)),
    ):
        step.merge(Reporter("r", 1), [to_message(EvidenceKey("s", "a", version), found)])
    driver.evidence = {StepKey("m", 0): before, StepKey("m", 1): evidence}
    move = replace(MOVE, steps=(MoveStep(0.05, 5), MoveStep(1.0, 60)), step=1)
    assert driver._evaluate(move, SERVICE, evidence) == ("", enough)


@pytest.mark.parametrize("rate", [0.01, 0.05, 0.3])
def test_equal_error_rates_rarely_delay_a_step(rate):
    """Guards against good moves that miss their deadline; at most 1% of evaluations may wait."""
    rng = random.Random(1)
    delayed = 0
    for _ in range(1_000):
        new, old = (
            Counters(count, sum(rng.random() < rate for _ in range(count))) for count in (200, 700)
        )
        assert fleet_error_fault(new, old) == ""
        delayed += has_suspicious_errors(new, old)
    # 1% plus three standard deviations.
    assert delayed <= 20
