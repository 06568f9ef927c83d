"""Slopes of what flows between routers: tickets, grants, accounts, load reports and status."""

import itertools
import random
import time

import gevent
from gevent.server import StreamServer

from benchmarks import designsize as size
from benchmarks.designsize import Samples, Slope
from benchmarks.inmemory import (
    SERVICE,
    VERSION,
    MemoryNetwork,
    MemoryPeers,
    StaticMembers,
    TwoRouters,
    one_service,
)
from jacinthcove.clock import ManualClock, SystemClock
from jacinthcove.config.model import Limits
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.status import StatusService
from jacinthcove.scheduling.accountholder import AccountHolder
from jacinthcove.scheduling.accounts import Accounts
from jacinthcove.scheduling.fairqueue import FairQueue, QueuedTicket
from jacinthcove.scheduling.placement import Shard
from jacinthcove.scheduling.shard import ShardScheduler, Slot
from jacinthcove.scheduling.ticket import TicketRequest, Usage
from jacinthcove.targets.reports import LoadPoller
from jacinthcove.targets.state import LoadReport, TargetState
from jacinthcove.targets.table import Pool, Target

DEADLINE_MS = 600_000
REQUESTS = (200, 500, 1_000)
PROGRESS = (0, 10, 30)
PER_RUN = 200
QUEUED = (10, 100, 1_000, 10_000)
BACKLOGGED = (16, 64, 260, 520)
ACCOUNTS = (12, 48, 96, 192)
REPORTERS = (4, 40, 286)
POLLED = (4, 16, 64)
ASKED = (16, 64, 273)
POLL_SECONDS = 4.0


def _request(number: int, clock: SystemClock) -> TicketRequest:
    return TicketRequest(
        id=f"{number:032x}",
        workspace=f"workspace-{number % 4:05}",
        service=SERVICE,
        route="draft",
        version=VERSION,
        estimate=300.0,
        deadline=clock.now() + DEADLINE_MS,
    )


def _serve(routers: TwoRouters, entry: str, count: int, progress: int) -> None:
    dispatch = routers.dispatches[entry]
    for number in range(count):
        grant = dispatch.acquire(_request(number, routers.clock))
        for step in range(progress):
            dispatch.report(grant, Usage(float(step), tokens=step, token_ms_sum=31 * step))
        dispatch.report(grant, Usage(300.0, ended=True, tokens=220, token_ms_sum=6_800))
        gevent.sleep(0)


def tickets() -> list[Slope]:
    """Measure requests that the entry router or another one owns, without the transport."""
    return [*_ticket_costs("owner", "local"), *_ticket_costs("entry", "remote")]


def _ticket_costs(entry: str, name: str) -> list[Slope]:
    ticket = Samples(f"ticket: {name}, offer to end", "requests", "ms")
    report = Samples(f"ticket: {name}, one request with reports", "reports", "ms")
    traffic = Samples(f"ticket: {name}, one request with reports", "reports", "bytes")
    routers = TwoRouters()

    def run(count: int, progress: int) -> float:
        routers.refresh_reports()
        return size.processor_ms(lambda: _serve(routers, entry, count, progress), 1)[0]

    for count in REQUESTS:
        ticket.add(count, *(run(count, 0) for _ in range(size.REPEATS)))
    for progress in PROGRESS:
        for _ in range(size.REPEATS):
            before = sum(routers.network.bytes.values())
            report.add(progress, run(PER_RUN, progress) / PER_RUN)
            traffic.add(progress, (sum(routers.network.bytes.values()) - before) / PER_RUN)
    routers.close()
    return [ticket.fit(), report.fit(), traffic.fit()]


def _ticket(number: int, workspaces: int) -> QueuedTicket:
    workspace = f"workspace-{number % workspaces:05}"
    return QueuedTicket(
        f"{number:032x}", "owner", workspace, SERVICE, VERSION, "draft", 300.0, DEADLINE_MS
    )


def queues() -> list[Slope]:
    """Measure one add, pick and removal by queued tickets of 15 workspaces."""
    cost = Samples("queue: add, pick and remove one ticket", "tickets queued", "us")
    memory = Samples("queue: memory", "tickets queued", "MB", 10_000)
    rng = random.Random(1)
    levels = {f"workspace-{index:05}": rng.random() for index in range(15)}
    for count in QUEUED:
        queue = FairQueue(levels.__getitem__)
        for number in range(count):
            queue.add(_ticket(number, 15), None)
        numbers = itertools.count(count)

        def cycle(queue: FairQueue = queue, numbers: itertools.count = numbers) -> None:
            for _ in range(200):
                queue.add(_ticket(next(numbers), 15), None)
                picked = queue.first_fitting(lambda ticket: True)
                assert picked is not None
                queue.remove(picked.id)

        cost.add(count, *(run * 5 for run in size.processor_ms(cycle)))
        memory.add(count, size.megabytes(lambda c=count: [_ticket(n, 15) for n in range(c)]))
    return [cost.fit(), memory.fit()]


def grants() -> list[Slope]:
    """Measure one end, grant and new ticket of a shard by its backlogged workspaces."""
    cost = Samples("grant: one end, grant and offer", "workspaces backlogged", "us")
    for count in BACKLOGGED:
        cost.add(count, *_grant_costs(count))
    return [cost.fit()]


def _grant_costs(count: int) -> list[float]:
    clock, network = ManualClock(), MemoryNetwork()
    config = one_service(count)
    everyone = size.members(1)
    members = StaticMembers(everyone, everyone[0])
    made = Accounts(clock, members, MemoryPeers(network, members.me.id), lambda: config)
    pool = Pool(SERVICE, VERSION, "a")
    state = TargetState(Target("engine", pool, "1:1"), Limits(cold=12, max=12), clock)
    state.on_report(LoadReport("boot", 0, 0, VERSION))
    granted: list[Slot] = []
    scheduler = ShardScheduler(
        Shard("shard", pool, ("engine",), members.me.id),
        {"engine": state},
        made,
        clock,
        lambda: config,
        lambda: 1.0,
        lambda shard, slot: granted.append(slot),
        itertools.count(1),
    )
    numbers = itertools.count()
    for _ in range(2 * count + 12):
        scheduler.offer(_ticket(next(numbers), count))

    def cycle() -> None:
        for _ in range(100):
            slot = granted.pop(0)
            scheduler.on_usage(slot.id, Usage(300.0, ended=True, tokens=220))
            scheduler.grant_free_slots()
            scheduler.offer(_ticket(next(numbers), count))

    return [run * 10 for run in size.processor_ms(cycle)]


def accounts() -> list[Slope]:
    """Measure one exchange of a router by its accounts, with 3,000 possible holders."""
    calls = Samples("accounts: calls per exchange", "accounts", "calls", 48)
    traffic = Samples("accounts: bytes sent and received per exchange", "accounts", "KB", 48)
    cost = Samples("accounts: exchange, both sides, without transport", "accounts", "ms", 48)
    refresh = Samples("accounts: holders after a new router", "accounts", "ms", 48)
    config = one_service(max(ACCOUNTS))
    everyone = size.members(size.DAEMONS)
    for count in ACCOUNTS:
        clock, network = ManualClock(), MemoryNetwork()
        members = StaticMembers(everyone, everyone[0])
        made = Accounts(clock, members, MemoryPeers(network, members.me.id), lambda: config)
        network.any_member["account_report"] = made._on_report
        services = [f"model-{index}" for index in range(size.MODELS)]
        for index in range(count):
            made.charge(services[index % size.MODELS], f"workspace-{index:05}", 100.0)
        for service in services:
            made.advance_virtual_time(service, "workspace-00000")
        made.exchange()
        for _ in range(size.REPEATS):
            clock.advance(1_000)
            for service, workspace in list(made.accounts):
                made.charge(service, workspace, 100.0)
            messages = network.messages["account_report"]
            sent = network.bytes["account_report"]
            cost.add(count, *size.processor_ms(made.exchange, 1))
            calls.add(count, (network.messages["account_report"] - messages) / 2)
            traffic.add(count, (network.bytes["account_report"] - sent) / 1000)
        for extra in range(3):
            members.everyone = tuple(everyone[: len(everyone) - 1 - extra])
            refresh.add(count, *size.processor_ms(made._build_reports, 1))
    return [calls.fit(), traffic.fit(), cost.fit(), refresh.fit()]


def holders() -> list[Slope]:
    """Measure one report at a holder by the routers that report the account."""
    cost = Samples("holder: one report", "reporters of the account", "us", 4)
    memory = Samples("holder: one account", "reporters of the account", "KB", 4)
    for count in REPORTERS:
        clock = ManualClock()
        holder = AccountHolder(clock, lambda: 1_000)
        reports = [
            pb.AccountReport(
                reporter=f"router-{index:05}",
                incarnation=1,
                workspaces=[
                    pb.WorkspaceService(workspace="w", service="s", served=9.0, backlogged=True)
                ],
            )
            for index in range(count)
        ]

        def all_report(
            holder: AccountHolder = holder, reports: list[pb.AccountReport] = reports
        ) -> None:
            for report in reports:
                holder.on_report(report)

        for _ in range(4):
            clock.advance(1_000)
            all_report()
        cost.add(count, *(run * 1000 / count for run in size.processor_ms(all_report)))
        memory.add(count, size.megabytes(lambda c=count: _held(c)) * 1000)
    return [cost.fit(), memory.fit()]


def _held(count: int) -> AccountHolder:
    holder = AccountHolder(ManualClock(), lambda: 1_000)
    item = pb.WorkspaceService(workspace="w", service="s", served=9.0, backlogged=True)
    for index in range(count):
        holder.on_report(
            pb.AccountReport(reporter=f"router-{index:05}", incarnation=1, workspaces=[item])
        )
    return holder


LOAD_BODY = (
    b'{"boot_id":"0123456789abcdef","running":12,"waiting":0,"version":"v1",'
    b'"leaving":false,"cold":false,"age_ms":120}'
)
LOAD_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
    % (len(LOAD_BODY), LOAD_BODY)
)


def polling() -> list[Slope]:
    """Measure polls of load reports; the answering side is in the same process."""
    cost = Samples("load reports: polls of owned targets", "targets", "% of a core", 3.3)
    traffic = Samples("load reports: bytes sent and received", "targets", "KB/s", 3.3)
    counted = [0]

    def answer(sock: object, address: object) -> None:
        while True:
            data = sock.recv(4_096)  # type: ignore[attr-defined]
            if not data:
                return
            counted[0] += len(data) + len(LOAD_ANSWER)
            sock.sendall(LOAD_ANSWER)  # type: ignore[attr-defined]

    server = StreamServer(("127.0.0.1", 0), answer)
    server.start()
    pool = Pool(SERVICE, VERSION, "a")
    for count in POLLED:
        target = Target("engine", pool, f"127.0.0.1:{server.server_port}")
        pollers = [
            LoadPoller(TargetState(target, Limits(), SystemClock()), lambda: None)
            for _ in range(count)
        ]
        for poller in pollers:
            poller.start()
        gevent.sleep(1.0)
        for _ in range(3):
            bytes_before, before, started = counted[0], time.process_time(), time.perf_counter()
            gevent.sleep(POLL_SECONDS / 3)
            elapsed = time.perf_counter() - started
            cost.add(count, 100 * (time.process_time() - before) / elapsed)
            traffic.add(count, (counted[0] - bytes_before) / elapsed / 1000)
        for poller in pollers:
            poller.close()
    server.stop()
    return [cost.fit(), traffic.fit()]


def status() -> list[Slope]:
    """Measure a delegate's gathering by the routers of its failure domain, without transport."""
    cost = Samples("status: delegate, without transport", "routers asked", "ms", 273)
    traffic = Samples("status: sent and received by the delegate", "routers asked", "KB", 273)
    own = pb.MemberStatus(
        member_id="router-00000",
        config_revision=1_000_000,
        evidence=size.route_evidence(),
        incarnation=1_700_000_000_000,
    )
    for count in ASKED:
        network = MemoryNetwork()
        everyone = size.members(count)
        me = everyone[0]
        service = StatusService(
            StaticMembers(everyone, me), MemoryPeers(network, me.id), lambda: own
        )
        network.any_member["status_query"] = lambda sender, query: pb.StatusReply(members=[own])
        ids = [member.id for member in everyone]
        cost.add(count, *size.processor_ms(lambda s=service, i=ids: s._query_members(i)))
        network.bytes.clear()
        reply = pb.StatusReply(members=service._query_members(ids))
        traffic.add(count, (sum(network.bytes.values()) + reply.ByteSize()) / 1000)
    return [cost.fit(), traffic.fit()]
