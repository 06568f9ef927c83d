"""Steps about failures of the object API."""

import time
from dataclasses import replace

import gevent
import orjson
from behave import given, then, when

from features.support.site import ENGINE, PLAIN, PROFILE, wait_until
from features.support.traffic import Traffic
from jacinthcove.codes import ResultCode
from jacinthcove.load.profiles import TargetProfile
from testbed.fleet import http

REPLAYED_REQUESTS = 20
MOVE = f"{ENGINE}-v2"
MOVE_TIMEOUT_S = 8.0
# The evidence for the next step is never reached, so that only the deadline ends the move.
STEPS = ("--step", "0.3:100000", "--step", "1:100000")


def counters(context):
    """Return the call counters of the object API."""
    return http(context.site.fleet.store_address, "GET", "/counters")


@given("a store that loses {percent:d}% of its answers after their effect")
def step_lossy(context, percent):
    context.lost_before = counters(context).get("answers_lost", 0)
    context.site.fleet.set_faults(context.site.fleet.store_address, lose_answers_rate=percent / 100)


@when("the store goes down")
def step_down(context):
    site = context.site
    context.revisions = {r.id: site.fleet.status(r.id)["revision"] for r in site.fleet.routers}
    site.fleet.set_faults(site.fleet.store_address, outage=True)
    context.down_at = context.traffic.clock.now()
    context.answered_before = len(answered_without_key(context))


@when("the store is up again")
def step_up(context):
    context.site.fleet.set_faults(context.site.fleet.store_address)


@when(
    '{callers:d} callers each send one more request of "{route}" with a deadline of '
    "{seconds:d} seconds"
)
def step_deadline(context, callers, route, seconds):
    first = len(context.traffic.workers)
    for number in range(first, first + callers):
        workspace = PROFILE.workspaces[number % len(PROFILE.workspaces)]
        specs = context.traffic.specs(workspace, number, [route])
        limited = (replace(spec, deadline_ms=seconds * 1000) for spec in specs)
        context.traffic.add(workspace, limited, once=True, delay_ms=1)


def answered_without_key(context):
    """Return the whole answers to requests without a key."""
    return [
        r for r in context.traffic.records if not r.spec.key and r.outcomes and r.last.complete
    ]  # fmt: skip


def sent_during_outage(context):
    """Return the keyed requests that began after the store went down."""
    return [
        r for r in context.traffic.records if r.spec.key and r.started_at > context.down_at
    ]  # fmt: skip


def with_deadline(context, seconds):
    """Return the requests with a deadline."""
    found = [r for r in context.records if r.spec.deadline_ms == seconds * 1000]
    assert found
    return found


@then("the configuration is still in force on every router")
def step_in_force(context):
    site = context.site
    revisions = {r.id: site.fleet.status(r.id)["revision"] for r in site.fleet.routers}
    assert revisions == context.revisions, f"{revisions}, before: {context.revisions}"


@then("at least {number:d} requests without a key were answered since the outage began")
def step_unkeyed_go_on(context, number):
    answered = len(answered_without_key(context)) - context.answered_before
    assert answered >= number, f"{answered} requests were answered"


@then("no keyed request of the outage has run")
def step_none_ran(context):
    orders = context.site.executions("orders", context.site.addresses(PLAIN))
    sent = sent_during_outage(context)
    assert sent, "no keyed request was sent during the outage"
    ran = [r for r in sent if orders[f"{r.spec.route}/{r.spec.order_id}"]]
    assert not ran, [r.describe() for r in ran[:10]]


@then("the requests with a deadline of {seconds:d} seconds were refused with a time to try again")
def step_refused(context, seconds):
    bad = [
        r
        for r in with_deadline(context, seconds)
        if not (r.refused and r.last.code is ResultCode.STORE_UNAVAILABLE and r.last.retry_after_ms)
    ]
    assert not bad, [r.describe() for r in bad[:10]]


@then("the requests with a deadline of {seconds:d} seconds are done")
def step_done(context, seconds):
    bad = [r for r in with_deadline(context, seconds) if not r.last.complete]
    assert not bad, [r.describe() for r in bad[:10]]


@then("the store has lost answers")
def step_lost(context):
    lost = counters(context).get("answers_lost", 0) - context.lost_before
    assert lost > 0


@when("the callers send their finished keyed requests again")
def step_again(context):
    context.traffic = Traffic(context.site, context.traffic.seed)
    workspaces = {w.name: w for w in PROFILE.workspaces}
    done = [r for r in context.records if r.spec.key and r.last.complete][:REPLAYED_REQUESTS]
    assert done, "no keyed request has ended"
    for record in done:
        context.traffic.add(workspaces[record.workspace], iter([record.spec]), once=True)
    context.repeated = context.traffic.finish()
    assert len(context.repeated) == len(done)


@then("each of them is answered from the stored outcome")
def step_replayed(context):
    bad = [
        r for r in context.repeated if not (r.last.complete and r.last.code is ResultCode.REPLAYED)
    ]
    assert not bad, [r.describe() for r in bad[:10]]


@given("a move of the engines to new targets within {seconds:d} seconds")
def step_move(context, seconds):
    site = context.site
    context.new = [TargetProfile(f"{ENGINE}-v2-{n}", ENGINE, f"fd-{n}", "v2") for n in "abc"]
    site.fleet.add_targets(context.new)
    site.fleet.publish_vms()
    result = site.operate("move", "start", ENGINE, "v2", "--within", f"{seconds}s", *STEPS)
    assert result.code == 0, result
    shown = site.operate("config", "show")
    assert shown.code == 0, shown
    context.deadline = orjson.loads(shown.output)["moves"][MOVE]["deadline_ms"] / 1000


def new_grants(context, after):
    """Return the grants of the new targets since a wall time in s."""
    ids = {target.id for target in context.new}
    return [
        g for g in context.site.router_log("grant") if g["target"] in ids and g["at"] >= after
    ]  # fmt: skip


@given("the new targets serve requests")
def step_new_serve(context):
    wait_until("grants of the new targets", lambda: new_grants(context, 0), MOVE_TIMEOUT_S)
    assert time.time() < context.deadline, "the move has ended before the outage"


@when("the deadline of the move and {seconds:d} more seconds have passed")
def step_deadline_passed(context, seconds):
    gevent.sleep(max(0.0, context.deadline + seconds - time.time()))


@then("the new targets received no new request from {seconds:d} seconds after the deadline on")
def step_back(context, seconds):
    late = new_grants(context, context.deadline + seconds)
    assert not late, f"{len(late)} late grants, the first {late[0]}"


@then("the move is recorded as reverted within {seconds:d} seconds")
def step_reverted(context, seconds):
    def reverted():
        result = context.site.operate("move", "list")
        return result.code == 0 and "reverted" in result.output and MOVE in result.output

    wait_until("the move to be reverted", reverted, seconds)
