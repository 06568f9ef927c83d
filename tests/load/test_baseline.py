"""Guards against a baseline scheduler that does less or more than its description says."""

from random import Random

import gevent
import pytest
from scheduling.fakes import Fleet, fleet_config

from jacinthcove.clock import SystemClock
from jacinthcove.config.model import Limits
from jacinthcove.errors import RequestRefused
from jacinthcove.load.baseline import LocalQueues
from jacinthcove.scheduling.ticket import TicketRequest, Usage
from jacinthcove.targets.table import TargetTable

MAX_LIMIT = 12


def local_queues(routers: int, targets: int) -> LocalQueues:
    config = fleet_config({"w": 1.0, "x": 1.0}, Limits(cold=1, max=MAX_LIMIT))
    fleet = Fleet(routers, 0, config)
    table = TargetTable()
    table.update_vms(Fleet(routers, targets, config).vms)
    members = fleet.members["r0"]
    return LocalQueues(SystemClock(), members, None, lambda: config, table, Random(1))


def request(name: str, workspace: str = "w", wait_ms: int = 5_000) -> TicketRequest:
    deadline = SystemClock().now() + wait_ms
    return TicketRequest(name, workspace, "draft", "write", "v1", 10.0, deadline)


@pytest.mark.parametrize(("routers", "limit"), [(1, MAX_LIMIT), (5, 2), (8, 1), (20, 1)])
def test_target_limit_is_divided_by_number_of_routers(routers, limit):
    queues = local_queues(routers, 3)
    jobs = [gevent.spawn(queues.acquire, request(f"q{i}")) for i in range(3 * MAX_LIMIT + 1)]
    gevent.sleep(0.01)
    assert sum(job.ready() for job in jobs) == 3 * limit
    assert set(queues.in_flight.values()) == {limit}
    gevent.killall(jobs)


def test_requests_of_all_workspaces_are_served_in_arrival_order():
    queues = local_queues(8, 1)
    first = queues.acquire(request("q0"))
    waiting = [gevent.spawn(queues.acquire, request(f"q{i}", "wx"[i % 2])) for i in (1, 2, 3)]
    gevent.sleep(0)
    served = []
    grant = first
    for job in waiting:
        queues.report(grant, Usage(1.0, ended=True))
        grant = job.get(timeout=1)
        served.append(grant.ticket_id)
    assert served == ["q1", "q2", "q3"]


def test_request_that_misses_its_deadline_is_rejected_and_leaves_queue():
    queues = local_queues(8, 1)
    grant = queues.acquire(request("q0"))
    with pytest.raises(RequestRefused):
        queues.acquire(request("q1", wait_ms=20))
    queues.report(grant, Usage(1.0, ended=True))
    assert queues.acquire(request("q2")).ticket_id == "q2"
