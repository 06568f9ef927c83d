"""Steps about routers that die, pause or stop."""

import signal

from behave import then, when

from features.support.site import wait_until

BUSY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0


def busiest(site):
    """Return the id of the running router with the most open requests."""
    running = [r.id for r in site.fleet.routers if site.fleet.router_programs[r.id].running]
    open_requests = {
        router_id: site.fleet.status(router_id)["open_requests"] for router_id in running
    }
    return max(running, key=lambda router_id: open_requests[router_id])


@when("the router with the most open requests is killed")
def step_kill(context):
    context.router = busiest(context.site)
    context.site.fleet.signal_router(context.router, signal.SIGKILL)


@when("the router with the most open requests is paused")
def step_pause(context):
    context.router = busiest(context.site)
    context.site.fleet.signal_router(context.router, signal.SIGSTOP)


@when("the router is continued")
def step_continue(context):
    context.site.fleet.signal_router(context.router, signal.SIGCONT)


@when("the killed router is started again")
def step_restart(context):
    context.site.fleet.start_router(context.router)
    wait_until("all routers to serve", context.site.all_serve, BUSY_TIMEOUT_S)


@when("the router with the most open requests is asked to stop")
def step_stop(context):
    context.router = busiest(context.site)
    context.open_requests = context.site.fleet.status(context.router)["open_requests"]
    context.site.fleet.signal_router(context.router, signal.SIGTERM)


@when("the router has stopped")
def step_stopped(context):
    program = context.site.fleet.router_programs[context.router]
    wait_until("the router to stop", lambda: not program.running, STOP_TIMEOUT_S)


@then("it has ended with exit code {code:d}")
def step_exit_code(context, code):
    program = context.site.fleet.router_programs[context.router]
    assert program.process.returncode == code, f"exit code {program.process.returncode}"


@then("it had requests in flight and cut none off")
def step_none_cut(context):
    leaving = context.site.log(context.router, "router_leaving")
    assert leaving and leaving[-1]["open_requests"] > 0, f"nothing was in flight: {leaving}"
    assert not context.site.log(context.router, "requests_cut_off")
