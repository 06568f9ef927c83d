"""Steps about version moves on one fleet of real processes, shared by the scenarios."""

import signal
import sys
import tempfile
import time
from pathlib import Path

import gevent
from behave import given, then, when

sys.path[:0] = [str(Path(__file__).resolve().parents[2])]

from jacinthcove.load.profiles import SERENO  # noqa: E402
from testbed.decisions import read_attempts  # noqa: E402
from testbed.moves import CaseRun, MoveBed, MoveCase  # noqa: E402

BEDS = []
MAX_SHARE = 0.05
MAX_LATE_S = 3.0


def close_bed():
    while BEDS:
        BEDS.pop().close()


@given("a move bed of sereno with fast engines and two controllers")
def step_bed(context):
    if not BEDS:
        directory = tempfile.TemporaryDirectory()
        context.add_cleanup(directory.cleanup, layer="feature")
        context.add_cleanup(close_bed, layer="feature")
        bed = MoveBed(SERENO, Path(directory.name), seed=1)
        BEDS.append(bed)
        bed.start()
    context.bed = BEDS[0]


def run(context, case, within_s=30):
    case_run = CaseRun(context.bed, case, within_s=within_s, settle_s=1.5)
    context.result = case_run.run()
    context.version = case_run.new_version


@when("a move to a good version runs")
def step_good(context):
    run(context, MoveCase("good", True, targets=6))


@when('a move to a version that fails on route "{route}" runs')
def step_bad_route(context, route):
    run(context, MoveCase("bad route", False, {"fail_rate": 1.0, "route": route}))


@when("a move loses the store until its deadline has passed")
def step_outage(context):
    run(context, MoveCase("outage", True, outage=True), within_s=8)


@when("a move loses its active controller")
def step_controller(context):
    run(context, MoveCase("controller", True, targets=6, kill_controller=True))


@then('a move ended as "{state}"')
def step_ended(context, state):
    result = context.result
    assert result.state == state, f"{result.state} after {result.seconds:.1f} s: {result.reason}"


@then("a move's version serves requests of a restarted router")
def step_restarted(context):
    bed = context.bed
    router = bed.fleet.routers[0].id
    bed.fleet.signal_router(router, signal.SIGTERM)
    bed.fleet.router_programs[router].stop()
    restarted = time.time()
    bed.fleet.start_router(router)
    bed.fleet.wait_until_serving([router])
    deadline = time.time() + 10
    found = []
    while not found and time.time() < deadline:
        gevent.sleep(0.5)
        attempts = read_attempts(bed.directory, bed.service, f"{router}.log")
        found = [item.version for item in attempts if item.started > restarted]
    assert found and set(found) == {context.version}, found


@then("a move's version received at most 5% of the requests before its cut")
def step_share(context):
    result = context.result
    counts = f"{result.new_requests} of {result.requests}"
    assert result.new_requests <= MAX_SHARE * result.requests, counts


@then("a move's version received no request later than 3 s after its cut")
def step_late(context):
    assert context.result.last_after_cut <= MAX_LATE_S, context.result.last_after_cut


@then("a move's version received no request after the deadline")
def step_deadline(context):
    assert context.result.past_deadline == 0, context.result.past_deadline
