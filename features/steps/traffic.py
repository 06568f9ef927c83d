"""Steps about callers and what they receive."""

import gevent
from behave import given, then, when

from features.support.site import ENGINE, PLAIN, wait_until
from features.support.traffic import Traffic
from jacinthcove.codes import ResultClass, ResultCode

WARM_UP_TIMEOUT_S = 25.0
SHOWN = 10
UNKNOWN_CODES = (ResultCode.IN_PROGRESS, ResultCode.OUTCOME_UNKNOWN)


def show(records):
    """Return the first of some records for an assertion message."""
    lines = [record.describe() for record in records[:SHOWN]]
    return f"{len(records)} requests:\n" + "\n".join(lines)


@given("{sessions:d} callers with seed {seed:d} that send all kinds of requests")
def step_all_kinds(context, sessions, seed):
    context.traffic = Traffic(context.site, seed)
    context.traffic.start(sessions)


@given('{sessions:d} callers with seed {seed:d} that send requests of "{routes}"')
def step_routes(context, sessions, seed, routes):
    context.traffic = Traffic(context.site, seed)
    context.traffic.start(sessions, routes.split(", "))


@given('{sessions:d} more callers that send requests of "{routes}"')
def step_more(context, sessions, routes):
    context.traffic.start(sessions, routes.split(", "))


@given("{count:d} answers have arrived")
@when("{count:d} more answers have arrived")
def step_arrived(context, count):
    wanted = context.traffic.completed() + count
    wait_until(f"{count} answers", lambda: context.traffic.completed() >= wanted, WARM_UP_TIMEOUT_S)


@when("{seconds:g} seconds pass")
@when("{seconds:g} second passes")
def step_pass(context, seconds):
    gevent.sleep(seconds)


@when("the callers have received their last answers")
def step_finish(context):
    context.records = context.traffic.finish()


def unfinished(records):
    """Return the requests that are neither whole nor refused with a time to try again."""
    return [
        record
        for record in records
        if not record.last.complete
        and not (record.refused and record.last.retry_after_ms is not None)
    ]


@then("every answer is whole or was refused with a time to try again")
def step_whole(context):
    bad = unfinished(context.records)
    assert not bad, show(bad)
    step_uncorrupted(context)


@then("only operations that the killed router had begun have an unknown outcome")
def step_whole_after_kill(context):
    # The connection of a whole answer ends with its router. Without a key the caller learns no
    # more; with one the claim of the dead router stands until 30 s after the deadline.
    bad = [
        record
        for record in unfinished(context.records)
        if not (record.spec.order_id and record.outcomes[0].lost)
        or (record.spec.key and record.last.code not in UNKNOWN_CODES)
    ]
    assert not bad, show(bad)
    step_uncorrupted(context)


@then("every answer is whole")
def step_all_whole(context):
    bad = [record for record in context.records if not record.last.complete]
    assert not bad, show(bad)
    step_uncorrupted(context)


@then("no answer is corrupt, cut short or lost after its first token")
def step_uncorrupted(context):
    bad = [
        record
        for record in context.records
        for outcome in record.outcomes
        if outcome.corrupt or outcome.truncated or (outcome.lost and outcome.tokens)
    ]
    assert not bad, show(bad)


@then("no answer is lost")
def step_not_lost(context):
    bad = [record for record in context.records if any(o.lost for o in record.outcomes)]
    assert not bad, show(bad)


@then("at least {count:d} answers are whole")
def step_some_whole(context, count):
    whole = sum(record.last.complete for record in context.records)
    assert whole >= count, f"only {whole} whole answers; " + show(
        [record for record in context.records if not record.last.complete]
    )


@then("at least {count:d} answers were resumed on another router")
def step_resumed(context, count):
    resumed = sum(r.last.complete and r.last.resumed > 0 for r in context.records)
    assert resumed >= count, f"{resumed} answers were resumed"


@then("no operation that may not be repeated ran twice")
def step_at_most_once(context):
    orders = context.site.executions("orders", context.site.addresses(PLAIN))
    twice = {name: runs for name, runs in orders.items() if runs > 1}
    assert not twice, f"ran more than once: {twice}"
    done = [r for r in context.records if r.spec.order_id and r.last.complete]
    assert done, "no operation that may not be repeated has ended"
    missing = [r for r in done if orders[f"{r.spec.route}/{r.spec.order_id}"] != 1]
    assert not missing, "reported as done but not run: " + show(missing)


@then("nothing that was refused as not run has run")
def step_not_run(context):
    orders = context.site.executions("orders", context.site.addresses(PLAIN))
    prompts = context.site.executions("prompts", context.site.addresses(ENGINE))
    ran = [
        record
        for record in context.records
        if record.refused
        and (orders[f"{record.spec.route}/{record.spec.order_id}"] or prompts[record.spec.nonce])
    ]
    assert not ran, show(ran)


@then('every keyed request is done once or refused as "{code}"')
def step_keyed(context, code):
    keyed = [record for record in context.records if record.spec.key]
    assert keyed, "no keyed request was sent"
    bad = [
        record
        for record in keyed
        if not record.last.complete
        and not (record.refused and record.last.code is ResultCode[code])
    ]
    assert not bad, show(bad)


@then('every request without a key of "{routes}" is whole')
def step_unkeyed(context, routes):
    names = routes.split(", ")
    unkeyed = [r for r in context.records if r.spec.route in names]
    assert unkeyed, "no request without a key was sent"
    bad = [record for record in unkeyed if not record.last.complete]
    assert not bad, show(bad)


@then("no caller was told that a request may have run")
def step_clear(context):
    bad = [r for r in context.records if r.last.result_class is ResultClass.MAY_HAVE_RUN]
    assert not bad, show(bad)
