"""Steps about operators' changes and controllers."""

import signal
import time
from dataclasses import replace

import gevent
import orjson
import yaml
from behave import given, then, when

from features.support.site import ENGINE, wait_until
from jacinthcove.load.profiles import TargetProfile
from jacinthcove.store.connections import Connections, NoReply
from testbed.fleet import OPERATOR_KEY, http

CALL_TIMEOUT_MS = 2_000
FIRST, SECOND = "lavallee-09", "lavallee-10"
FIRST_SHARE, SECOND_SHARE = 3.5, 4.5
ACTIVE_TIMEOUT_S = 20.0
# Longer than an order may last, so that an engine gives up on the version.
LOAD_VERSION_MS = 60_000
# A lost lease shows within this time: a candidate looks at it once per ttl of 3 s.
WATCH_S = 5.0


def admin(address, path):
    """Call a controller as operator; return the HTTP status and the body."""
    connections = Connections(address, CALL_TIMEOUT_MS)
    try:
        reply = connections.request(
            "GET", path, headers={"Authorization": f"Bearer {OPERATOR_KEY}"}
        )
    finally:
        connections.close()
    return reply.status, orjson.loads(reply.body)


def active(context, besides=-1):
    """Return the index and the status of the active controller, or None."""
    for index, address in enumerate(context.site.fleet.admin_addresses):
        if index == besides:
            continue
        try:
            status, body = admin(address, "/admin/status")
        except NoReply:
            continue
        if status == 200:
            return index, body
    return None


def wait_active(context, besides=-1, timeout_s=ACTIVE_TIMEOUT_S):
    """Wait for an active controller and return its index and status."""
    wait_until("an active controller", lambda: active(context, besides), timeout_s)
    return active(context, besides)


def shown(context, *arguments):
    """Return a configuration as the operators' command line shows it."""
    result = context.site.operate("config", "show", *arguments)
    assert result.code == 0, result
    return orjson.loads(result.output)


def write_files(context, **shares):
    """Write files that match the fleet with changed shares; return both paths."""
    config = context.site.fleet.initial_config()
    base = {
        "lookup_lifetime": f"{config.lookup_lifetime_ms}ms",
        "failure_domains": {name: {} for name in config.failure_domains},
        "operators": {o.name: {"key_hash": o.key_hash} for o in config.operators.values()},
    }
    overlay = {
        "site": config.site,
        "services": {
            s.name: {
                "kind": s.kind.value,
                "version": s.version,
                "routes": {r.name: {"idempotent": r.idempotent} for r in s.routes},
                "limits": {
                    "cold": s.limits.cold, "max": s.limits.max, "stall": f"{s.limits.stall_ms}ms",
                },
            }
            for s in config.services.values()
        },
        "workspaces": {
            w.name: {"share": shares.get(w.name, w.share), "key_hash": w.key_hash}
            for w in config.workspaces.values()
        },
    }  # fmt: skip
    context.files = getattr(context, "files", 0) + 1
    paths = [context.site.path / f"{name}-{context.files}.yml" for name in ("base", "overlay")]
    for path, data in zip(paths, (base, overlay), strict=True):
        path.write_text(yaml.safe_dump(data))
    return [str(path) for path in paths]


@given("configuration files that match the configuration in force")
def step_files(context):
    wait_active(context)
    result = context.site.operate("config", "diff", *write_files(context))
    assert result.code == 0, result
    assert "no difference" in result.output, result.output


@when("two operators apply different shares on top of the same revision at the same time")
def step_race(context):
    context.before = shown(context)
    revision = str(context.before["revision"])
    context.changes = ({FIRST: FIRST_SHARE}, {SECOND: SECOND_SHARE})
    commands = [
        gevent.spawn(
            context.site.operate, "config", "apply", *write_files(context, **{k: v}),
            "--if-revision", revision,
        )
        for change in context.changes
        for k, v in change.items()
    ]  # fmt: skip
    gevent.joinall(commands, raise_error=True)
    context.results = [command.value for command in commands]


@then("one change is accepted and the other one ends with exit code {code:d}")
def step_one_conflict(context, code):
    assert sorted(result.code for result in context.results) == [0, code], context.results
    context.winner = next(i for i, result in enumerate(context.results) if result.code == 0)


def shares(config):
    """Return the shares of the two changed workspaces."""
    return {name: config["workspaces"][name]["share"] for name in (FIRST, SECOND)}


@then("the configuration shows the accepted change only")
def step_shows_winner(context):
    now = shown(context)
    assert now["revision"] == context.before["revision"] + 1
    assert shares(now) == {**shares(context.before), **context.changes[context.winner]}


@when("the refused operator applies both changes on top of the newer revision")
def step_again(context):
    files = write_files(context, **{FIRST: FIRST_SHARE, SECOND: SECOND_SHARE})
    revision = str(context.before["revision"] + 1)
    result = context.site.operate("config", "apply", *files, "--if-revision", revision, "--wait")
    assert result.code == 0, result


@then("the configuration shows both changes")
def step_shows_both(context):
    assert shares(shown(context)) == {FIRST: FIRST_SHARE, SECOND: SECOND_SHARE}


@then("the history lists both revisions with operator and action")
def step_history(context):
    result = context.site.operate("config", "history")
    assert result.code == 0, result
    lines = {line.split()[0]: line for line in result.output.splitlines() if line.strip()}
    for revision in (1, 2):
        line = lines[str(context.before["revision"] + revision)]
        assert "local: apply (1 changes)" in line, line


@then("the revision before them can still be shown")
def step_old_revision(context):
    old = shown(context, "--revision", str(context.before["revision"]))
    assert old == context.before


@then("both changes are in force on every router")
def step_everywhere(context):
    fleet = context.site.fleet
    revisions = {r.id: fleet.status(r.id)["revision"] for r in fleet.routers}
    assert set(revisions.values()) == {context.before["revision"] + 2}, revisions


@given("configuration files with four errors")
def step_bad_files(context):
    context.bad_files = write_files(context)
    path = context.site.path / context.bad_files[1].rpartition("/")[2]
    data = yaml.safe_load(path.read_text())
    data["workspaces"][FIRST]["share"] = -1
    data["services"][ENGINE]["kind"] = "steam"
    data["services"][ENGINE]["limits"]["max"] = "many"
    data["lookup_lifetime"] = "3 parsecs"
    path.write_text(yaml.safe_dump(data))
    context.bad_paths = (
        f"workspaces.{FIRST}.share", f"services.{ENGINE}.kind", f"services.{ENGINE}.limits.max",
        "lookup_lifetime",
    )  # fmt: skip


@when("an operator checks them")
def step_check(context):
    context.result = context.site.operate("config", "check", *context.bad_files, remote=False)


@then("the command ends with exit code {code:d} and names every error")
def step_named(context, code):
    assert context.result.code == code, context.result
    errors = [line for line in context.result.output.splitlines() if line.startswith("error:")]
    missing = [path for path in context.bad_paths if not any(path in line for line in errors)]
    assert not missing, (missing, context.result.output)


@when("the active controller is killed")
def step_kill(context):
    context.old, status = wait_active(context)
    context.old_fencing = status["fencing"]
    context.site.fleet.controller_programs[context.old].kill()


@then("another controller is active with a higher fencing number")
def step_other_active(context):
    index, status = wait_active(context)
    assert index != context.old
    assert status["fencing"] > context.old_fencing


@then("the killed controller is started again")
def step_restart(context):
    context.site.fleet.controller_programs[context.old].start()


@given("a move of the engines to targets that do not load the version")
def step_move(context):
    fleet = context.site.fleet
    context.new = [TargetProfile(f"{ENGINE}-new-{n}", ENGINE, "fd-a", "v1") for n in (1, 2)]
    # An engine that ignores fencing numbers would obey an old controller.
    fleet.add_targets(
        context.new, "--checks-fencing", "false", "--load-version-ms", str(LOAD_VERSION_MS)
    )
    for target in context.new:
        fleet.targets[target.id] = replace(fleet.targets[target.id], version="v2")
    fleet.publish_vms()
    wait_active(context)
    result = context.site.operate("move", "start", ENGINE, "v2", "--within", "5m")
    assert result.code == 0, result


def orders(context, fencing):
    """Return how many orders the new targets received under a fencing number."""
    received = [
        order
        for target in context.new
        for order in http(context.site.fleet.targets[target.id].address, "GET", "/orders")["orders"]
    ]
    return sum(order["fencing"] == fencing for order in received)


@given("the active controller has sent orders")
def step_orders_sent(context):
    context.old, status = wait_active(context)
    context.old_fencing = status["fencing"]
    wait_until("orders", lambda: orders(context, context.old_fencing), ACTIVE_TIMEOUT_S)


@when("the active controller is paused")
def step_pause(context):
    context.site.fleet.controller_programs[context.old].signal(signal.SIGSTOP)


@then("another controller becomes active within {seconds:d} seconds and sends orders")
def step_takes_over(context, seconds):
    context.active, status = wait_active(context, context.old, seconds)
    context.fencing = status["fencing"]
    assert context.fencing > context.old_fencing
    wait_until("orders", lambda: orders(context, context.fencing), ACTIVE_TIMEOUT_S)


@when("the paused controller is continued")
def step_continue(context):
    context.orders_before = orders(context, context.old_fencing)
    context.site.fleet.controller_programs[context.old].signal(signal.SIGCONT)


@then("it never answers as active and names the active one")
def step_never_active(context):
    addresses = context.site.fleet.admin_addresses
    ends_at = time.monotonic() + WATCH_S
    seen = []
    while time.monotonic() < ends_at:
        seen.append(admin(addresses[context.old], "/admin/status"))
        gevent.sleep(0.05)
    bad = [answer for answer in seen if answer[0] not in (421, 503)]
    assert not bad, bad[0]
    status, body = seen[-1]
    assert (status, body["active"]) == (421, addresses[context.active]), seen[-1]


@then("it sends no order")
def step_no_order(context):
    assert orders(context, context.old_fencing) == context.orders_before
    wait_until("orders", lambda: orders(context, context.fencing), ACTIVE_TIMEOUT_S)
