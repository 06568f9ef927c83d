"""Slopes of the mesh with real streams on loopback: members, dials and messages."""

import random
import resource
import time
from contextlib import suppress
from pathlib import Path

import gevent

from benchmarks import designsize as size
from benchmarks.designsize import Samples, Slope
from benchmarks.mesh import LightMember, open_member, total_bytes
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.documents import CONFIG, Document
from jacinthcove.mesh.kinds import PROBE, SERVICE_USED
from jacinthcove.mesh.links import CLOSE_TIMEOUT_S
from jacinthcove.mesh.members import to_record
from jacinthcove.mesh.transport import LoopThread

SIZES = (2, 8, 16, 32, 64)
# The updates of the joins circulate for about 20 s, and a member meets all others once a round.
SETTLE_S = 20.0
SETTLE_PER_MEMBER_S = 1.0
WINDOW_S = 8.0
WINDOWS = 3
DIALS = (50, 100, 200)
MESSAGES = (2_000, 5_000, 10_000)
CALL_TIMEOUT_MS = 5_000
PAGE_BYTES = resource.getpagesize()


def resident_mb() -> float:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def _close(fleet: list[LightMember], loop: LoopThread) -> None:
    for member in fleet:
        # A busy loop may take longer than a close waits; later sizes start loops of their own.
        with suppress(TimeoutError):
            member.close()
    with suppress(TimeoutError):
        loop.close()


def control(sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    """Measure light members that share one asyncio thread, by their number."""
    sent = Samples("mesh: control bytes sent per member", "members", "KB/s")
    core = Samples("mesh: processor share per member", "members", "% of a core")
    streams = Samples("mesh: streams per member", "members", "streams")
    # A busy machine delays probes, so this is printed beside the figures that depend on it.
    alive = Samples("mesh: members alive in the smallest table", "members", "members")
    memory = Samples("mesh: memory per further member", "members", "MB")
    for count in sizes:
        started_mb = resident_mb()
        loop = LoopThread()
        loop.start()
        fleet: list[LightMember] = []
        for index in range(count):
            seeds = [fleet[0].members.me.mesh_address] if fleet else []
            fleet.append(open_member(index, seeds, loop))
        gevent.sleep(SETTLE_S + SETTLE_PER_MEMBER_S * count)
        for _ in range(WINDOWS):
            before = sum(total_bytes(member)[0] for member in fleet)
            processor, started = time.process_time(), time.perf_counter()
            gevent.sleep(WINDOW_S)
            elapsed = time.perf_counter() - started
            core.add(count, 100 * (time.process_time() - processor) / elapsed / count)
            after = sum(total_bytes(member)[0] for member in fleet)
            sent.add(count, (after - before) / elapsed / count / 1000)
            alive.add(count, min(len(m.members.alive()) for m in fleet))
            streams.add(count, sum(m.links.connections() for m in fleet) / count)
        memory.add(count, (resident_mb() - started_mb) / count)
        _close(fleet, loop)
    return [item.fit() for item in (sent, core, streams, memory, alive)]


def _redial(first: LightMember, second: LightMember, count: int) -> None:
    probe = pb.Probe(sender=to_record(first.members.me))
    for _ in range(count):
        for peer in list(first.links.table.peers.values()):
            for stream in list(peer.streams):
                stream.usable = False
                first.links.loop.run(first.links.table._close_stream(stream), CLOSE_TIMEOUT_S)
        first.links.call(second.members.me.id, PROBE, probe, CALL_TIMEOUT_MS)


def _pair() -> tuple[LightMember, LightMember]:
    first = open_member(0, [])
    second = open_member(1, [first.members.me.mesh_address])
    for member in (first, second):
        member.prober.close()
    gevent.sleep(0.5)
    return first, second


def dials() -> list[Slope]:
    """Measure a dial, one probe and the end of the stream, both ends together."""
    cost = Samples("mesh: dial, probe and end of a stream, both ends", "dials", "ms")
    first, second = _pair()
    _redial(first, second, 20)
    for count in DIALS:
        cost.add(count, *size.processor_ms(lambda c=count: _redial(first, second, c), 3))
    first.close()
    second.close()
    return [cost.fit()]


def messages() -> list[Slope]:
    """Measure calls at 16 a time, calls one at a time, and one-way messages."""
    used = pb.ServiceUsed(
        shard="model-0/v1/domain-00/engine-00000",
        slot=1 << 60,
        target_id="engine-00000",
        used=120.0,
        first_token_ms=200,
        token_ms_sum=6_800,
        tokens=220,
        workspace="workspace-00000",
    )
    first, second = _pair()
    first.links.register(SERVICE_USED, lambda sender, message: pb.Empty())
    second.links.register(SERVICE_USED, lambda sender, message: pb.Empty())
    name = second.members.me.id
    single = Samples("transport: calls one at a time, both ends", "calls", "ms")
    batched = Samples("transport: calls 16 at a time, both ends", "calls", "ms")
    one_way = Samples("transport: one-way messages 16 at a time, both ends", "messages", "ms")

    def one_call() -> None:
        first.links.call(name, SERVICE_USED, used, CALL_TIMEOUT_MS)

    def call_in_turn(count: int) -> None:
        for _ in range(count):
            one_call()

    def call_in_batches(count: int) -> None:
        for _ in range(count // 16):
            gevent.joinall([gevent.spawn(one_call) for _ in range(16)])

    def send(count: int) -> None:
        for number in range(count):
            first.links.send(name, SERVICE_USED, used)
            if number % 16 == 15:
                gevent.sleep(0.001)
        one_call()

    call_in_turn(200)
    for count in MESSAGES:
        single.add(count, *size.processor_ms(lambda c=count: call_in_turn(c), 3))
        batched.add(count, *size.processor_ms(lambda c=count: call_in_batches(c), 3))
        one_way.add(count, *size.processor_ms(lambda c=count: send(c), 3))
    first.close()
    second.close()
    return [single.fit(), batched.fit(), one_way.fit()]


def spread(sizes: tuple[int, ...] = (8, 16, 32, 64)) -> list[Slope]:
    """Measure how long a changed document takes to reach all light members."""
    taken = Samples("documents: time to the last member", "log2 of members", "ms", 11.55)
    rng = random.Random(3)
    for count in sizes:
        loop = LoopThread()
        loop.start()
        fleet: list[LightMember] = []
        for index in range(count):
            seeds = [fleet[0].members.me.mesh_address] if fleet else []
            fleet.append(open_member(index, seeds, loop))
        gevent.sleep(SETTLE_S / 2)
        for revision in range(1, 8):
            body = b'{"revision":%d}' % revision
            started = time.perf_counter()
            rng.choice(fleet).documents.offer(Document(CONFIG, revision, body))
            while any(
                (d := member.documents.get(CONFIG)) is None or d.revision < revision
                for member in fleet
            ):
                gevent.sleep(0.005)
            taken.add((count - 1).bit_length(), 1000 * (time.perf_counter() - started))
        _close(fleet, loop)
    return [taken.fit()]
