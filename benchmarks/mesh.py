"""Round trips between routers, and control bytes and processor time per member."""

import logging
import random
import time
from dataclasses import dataclass

import gevent
import structlog
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram

from jacinthcove.clock import SystemClock
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.gossip import GossipedDocuments
from jacinthcove.mesh.kinds import GRANT
from jacinthcove.mesh.links import PeerLinks
from jacinthcove.mesh.members import Membership
from jacinthcove.mesh.peers import Member
from jacinthcove.mesh.prober import Prober
from jacinthcove.mesh.transport import LoopThread, listener_address, open_listener

SIZES = (2, 8, 16, 32, 64)
SETTLE_S = 14.0
MEASURE_S = 15.0
CALLS = 4_000
WARM_UP_CALLS = 200
CALL_TIMEOUT_MS = 5_000
HIGHEST_US = 10_000_000


@dataclass
class LightMember:
    """The mesh of a router without its other parts."""

    members: Membership
    links: PeerLinks
    documents: GossipedDocuments
    prober: Prober

    def close(self) -> None:
        """Stop probing and the links."""
        self.prober.close()
        self.links.close()


def open_member(index: int, seeds: list[str], loop: LoopThread | None = None) -> LightMember:
    """Start one member on loopback."""
    listener = open_listener("127.0.0.1:0")
    address = listener_address(listener)
    members = Membership(
        Member(f"router-{index:04}", address, address, f"domain-{index % 3}"), SystemClock()
    )
    links = PeerLinks(members, listener, b"benchmark", loop=loop)
    documents = GossipedDocuments(members, links, random.Random(index))
    prober = Prober(members, links, seeds, documents, random.Random(index))
    links.start()
    if seeds:
        prober.join(CALL_TIMEOUT_MS / 1000)
    prober.start()
    return LightMember(members, links, documents, prober)


def measure_round_trips(concurrency: int) -> str:
    """Measure `call` between two members with an asyncio thread each, in one process."""
    first = open_member(0, [])
    second = open_member(1, [first.members.me.mesh_address])
    second.links.register(GRANT, lambda sender, grant: pb.GrantReply(accepted=True))
    histogram = HdrHistogram(1, HIGHEST_US, 3)

    def one_call(number: int) -> None:
        started = time.perf_counter_ns()
        grant = pb.Grant(ticket_id=str(number), shard="shard", target_id="target")
        first.links.call(second.members.me.id, GRANT, grant, CALL_TIMEOUT_MS)
        if number >= WARM_UP_CALLS:
            histogram.record_value((time.perf_counter_ns() - started) // 1000)

    pool = Pool(concurrency)
    started = time.perf_counter()
    for number in range(CALLS):
        pool.spawn(one_call, number)
    pool.join()
    rate = CALLS / (time.perf_counter() - started)
    second.close()
    first.close()
    times = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]
    cells = " ".join(f"{value:8.2f}" for value in times)
    return f"{concurrency:11} {cells} {rate:9.0f}"


def total_bytes(member: LightMember) -> tuple[int, int]:
    """Return the bytes that a member sent and received."""
    traffic = member.links.traffic()
    return sum(traffic.sent.values()), sum(traffic.received.values())


def measure_control(size: int) -> str:
    """Measure `size` light members that share one asyncio thread in this process."""
    loop = LoopThread()
    loop.start()
    fleet: list[LightMember] = []
    for index in range(size):
        seeds = [fleet[0].members.me.mesh_address] if fleet else []
        fleet.append(open_member(index, seeds, loop))
    gevent.sleep(SETTLE_S)
    before = [total_bytes(m) for m in fleet]
    processor, started = time.process_time(), time.perf_counter()
    gevent.sleep(MEASURE_S)
    elapsed = time.perf_counter() - started
    core = (time.process_time() - processor) / elapsed / size
    sent, received = zip(
        *((b[0] - a[0], b[1] - a[1]) for a, b in zip(before, map(total_bytes, fleet), strict=True)),
        strict=True,
    )
    streams = sum(m.links.connections() for m in fleet) / size
    known = min(len(m.members.alive()) for m in fleet)
    for member in fleet:
        member.close()
    loop.close()
    scale = 1000 * size * elapsed
    return (
        f"{size:7} {known:6} {streams:8.1f} {sum(sent) / scale:10.2f} "
        f"{sum(received) / scale:14.2f} {max(sent) / 1000 / elapsed:14.2f} {100 * core:9.2f}"
    )


def main() -> None:
    """Print both tables."""
    level = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=level)
    print("Round trip of a call between two members, ms")
    print(f"{'concurrency':>11} {'p50':>8} {'p95':>8} {'p99':>8} {'calls/s':>9}")
    for concurrency in (1, 16, 64):
        print(measure_round_trips(concurrency), flush=True)
    print("Control traffic per member in a steady fleet, KB/s without TCP and IP headers")
    print(
        f"{'members':>7} {'alive':>6} {'streams':>8} {'sent':>10} {'received':>14} "
        f"{'most sent':>14} {'core, %':>9}"
    )
    for size in SIZES:
        print(measure_control(size), flush=True)


if __name__ == "__main__":
    main()
