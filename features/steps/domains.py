"""Steps about failure domains and targets that leave, restart and return."""

import time

import gevent
from behave import then, when

from features.support.site import ENGINE, wait_until
from jacinthcove.codes import ResultCode
from testbed.fleet import http

# Stream faults that the guarded event itself explains: the engine lost the stream.
BROKEN = (ResultCode.STREAM_BROKEN, ResultCode.STREAM_GONE)


def runs(site, targets):
    """Return how many requests the targets have admitted."""
    return sum(site.executions("requests", [target.address for target in targets]).values())


def grants(site, targets, after, until=float("inf")):
    """Return the grants of targets between two wall times in s."""
    ids = {target.id for target in targets}
    return [
        line for line in site.router_log("grant")
        if line["target"] in ids and after <= line["at"] < until
    ]  # fmt: skip


def load(target):
    """Return the running and waiting requests of an engine."""
    report = http(target.address, "GET", "/load")
    return report["running"] + report["waiting"]


def watch_admissions(context, targets, accepted_at, seconds):
    """Note what the targets admitted at the bound and at the end of the scenario."""

    def count():
        gevent.sleep(max(0.0, accepted_at + seconds - time.time()))
        context.admitted_at_bound = runs(context.site, targets)

    context.admissions = gevent.spawn(count)


@when('an operator drains "{domain}" and waits until that is in force')
def step_drain(context, domain):
    result = context.site.operate("domain", "drain", domain, "--wait")
    assert result.code == 0, result
    changes = [
        line
        for index in range(context.site.fleet.options.controllers)
        for line in context.site.log(f"controller-{index + 1}", "admin_change")
        if line["action"].endswith(f"/{domain}/drain") and line["status"] == 200
    ]
    context.accepted_at = changes[-1]["at"]
    context.drained = context.site.targets(domain=domain)
    watch_admissions(context, context.drained, context.accepted_at, 3)


@then(
    'the targets of "{domain}" received no new request from {seconds:d} seconds after the '
    "acceptance on"
)
def step_drained(context, domain, seconds):
    bound = context.accepted_at + seconds
    assert time.time() > bound + 2, "too little time has passed for the check"
    late = grants(context.site, context.drained, bound)
    assert not late, f"{len(late)} late grants, the first {late[0]}"
    context.admissions.get()
    admitted = runs(context.site, context.drained) - context.admitted_at_bound
    assert admitted == 0, f"the targets admitted {admitted} requests after the bound"


@then("they were busy before that")
def step_busy_before(context):
    assert grants(context.site, context.drained, 0, context.accepted_at)


@when('an operator returns "{domain}" and waits until that is in force')
def step_return(context, domain):
    context.returned_at = time.time()
    result = context.site.operate("domain", "return", domain, "--wait")
    assert result.code == 0, result


@then('the targets of "{domain}" serve requests again within {seconds:d} seconds')
def step_serves_again(context, domain, seconds):
    for target in context.drained:
        wait_until(
            f"{target.id} to serve",
            lambda target=target: grants(context.site, [target], context.returned_at),
            seconds,
        )


@when("the busiest engine starts to leave")
def step_leave(context):
    context.target = max(context.site.targets(ENGINE), key=load)
    assert load(context.target) > 0
    context.running_ids = set(context.site.executions("requests", [context.target.address]))
    context.left_at = time.time()
    context.site.fleet.set_faults(context.target.address, leaving=True)
    watch_admissions(context, [context.target], context.left_at, 3)


@then("it received no new request from {seconds:d} seconds after that on")
def step_left(context, seconds):
    bound = context.left_at + seconds
    assert time.time() > bound + 1, "too little time has passed for the check"
    late = grants(context.site, [context.target], bound)
    assert not late, f"{len(late)} late grants, the first {late[0]}"
    context.admissions.get()
    assert runs(context.site, [context.target]) == context.admitted_at_bound


@then("its streams have ended")
def step_streams_ended(context):
    assert load(context.target) == 0


@when("the busiest engine restarts")
def step_restart(context):
    context.target = max(context.site.targets(ENGINE), key=load)
    assert load(context.target) > 0
    context.restarted_at = time.time()
    context.site.fleet.set_faults(context.target.address, restart=True)


def attempts(context):
    """Return the attempts at the chosen engine since its restart."""
    return [
        line for line in context.site.router_log("request_attempted")
        if line["target"] == context.target.id and line["at"] > context.restarted_at
    ]  # fmt: skip


@then("the engine serves again and never collapsed")
def step_no_collapse(context):
    done = [line for line in attempts(context) if line["code"] == ResultCode.OK]
    assert done, "the engine served nothing after its restart"
    # Streams that broke at the restart end at once; a collapse comes after 2 s of overload.
    failed = [
        line for line in attempts(context)
        if line["code"] >= ResultCode.TARGET_FAILED and line["at"] > context.restarted_at + 1.5
    ]  # fmt: skip
    assert not failed, f"{len(failed)} requests failed, the first {failed[0]}"


@then("only streams of the restarted engine broke off")
def step_only_broken(context):
    broken_ids = {
        line["request_id"] for line in attempts(context) if line["code"] >= ResultCode.TARGET_FAILED
    }
    assert broken_ids, "the restart broke no stream"
    bad = [
        record
        for record in context.records
        if not record.last.complete
        and not (record.last.code in BROKEN and record.last.request_id in broken_ids)
    ]
    assert not bad, [record.describe() for record in bad[:10]]
