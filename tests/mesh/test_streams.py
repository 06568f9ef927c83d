"""Guards against closing streams in use, and against streams that accumulate with the fleet."""

import asyncio

import pytest

from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh import streams
from jacinthcove.mesh.events import Outgoing
from jacinthcove.mesh.streams import Peer, Stream, StreamTable
from jacinthcove.mesh.transport import FleetKey


class FakeLoop:
    def __init__(self):
        self.now = 1_000.0

    def time(self):
        return self.now


@pytest.fixture
def table(monkeypatch):
    monkeypatch.setattr(streams, "MAX_CONNECTIONS", 4)
    monkeypatch.setattr(streams, "MAX_BUSY_CONNECTIONS", 8)
    table = StreamTable("r0", "127.0.0.1:1", FleetKey(b"key"), None, lambda item: None)
    table.loop = FakeLoop()
    table.retired = []

    def retire(stream):
        stream.usable = False
        table.retired.append(stream.member_id)

    monkeypatch.setattr(table, "_retire", retire)
    return table


def open_streams(table, *names):
    for name in names:
        peer = table.peers[name] = Peer(name)
        table._add_stream(peer, Stream(None, name, True, table.loop.now))


def test_idle_streams_stay_within_the_limit(table):
    # Probes contact every member in turn; their streams must not accumulate to the fleet size.
    for number in range(12):
        open_streams(table, f"r{number}")
        table.loop.now += streams.RECENT_USE_S + 1
    assert len([s for s in table._streams() if s.usable]) == 4
    assert table.retired == [f"r{number}" for number in range(8)]


def test_streams_in_use_are_kept_beyond_the_limit(table):
    # Calls in flight on a retired stream get no reply.
    open_streams(table, "a", "b", "c", "d", "e", "f")
    assert table.retired == []
    table.loop.now += streams.RECENT_USE_S + 1
    for peer in list(table.peers.values())[1:]:
        peer.streams[0].last_used = table.loop.now
    open_streams(table, "g")
    assert table.retired == ["a"]


def test_streams_in_use_have_a_limit_too(table):
    open_streams(table, *"abcdefghij")
    assert len([s for s in table._streams() if s.usable]) == 8


@pytest.fixture
def heartbeat_table(table, monkeypatch):
    """A table with heartbeats on recently used streams only; records heartbeats and aborts."""
    table.heartbeat_window_s = 3.0
    table.heartbeats = []
    table.aborted = []

    def spawn(coroutine):
        coroutine.close()
        table.heartbeats.append(table.loop.now)

    monkeypatch.setattr(table, "_spawn", spawn)
    monkeypatch.setattr(Stream, "abort", lambda stream: table.aborted.append(stream.member_id))
    open_streams(table, "a")
    return table


def advance(table, seconds, peer_alive=True):
    """Advance the clock; `peer_alive` says whether the peer sends its heartbeats."""
    stream = table.peers["a"].streams[0]
    for _ in range(round(seconds / streams.CHECK_INTERVAL_S)):
        table.loop.now += streams.CHECK_INTERVAL_S
        if peer_alive and table.loop.now - stream.last_received > streams.HEARTBEAT_INTERVAL_S:
            stream.last_received = table.loop.now
        before = len(table.heartbeats)
        table._check_streams()
        if len(table.heartbeats) > before:
            stream.last_sent = table.loop.now


def test_a_silent_stream_in_use_is_replaced(heartbeat_table):
    advance(
        heartbeat_table, streams.SILENCE_TIMEOUT_S + 2 * streams.CHECK_INTERVAL_S, peer_alive=False
    )
    assert heartbeat_table.aborted


def test_an_idle_stream_stays_open_without_heartbeats(heartbeat_table):
    advance(heartbeat_table, 4.0)
    before = len(heartbeat_table.heartbeats)
    assert before >= 2
    advance(heartbeat_table, 20.0, peer_alive=False)
    assert len(heartbeat_table.heartbeats) == before
    assert not heartbeat_table.aborted


class FakeRawStream:
    async def send_message(self, frame):
        pass


def test_silence_of_an_idle_stream_counts_from_its_next_use(heartbeat_table):
    advance(heartbeat_table, 4.0)
    advance(heartbeat_table, 20.0, peer_alive=False)
    stream = heartbeat_table.peers["a"].streams[0]
    stream.raw = FakeRawStream()
    message = Outgoing("a", "a", pb.Envelope(kind="probe"))
    asyncio.run(heartbeat_table._send_batch(stream, [message]))
    stream.last_sent = heartbeat_table.loop.now
    advance(heartbeat_table, streams.LATE_AFTER_S, peer_alive=False)
    assert not heartbeat_table.aborted
    advance(heartbeat_table, streams.SILENCE_TIMEOUT_S, peer_alive=False)
    assert heartbeat_table.aborted


def queue_large(table, *addresses):
    """Queue a message of 10 MB for each address; return how many were refused."""
    failed = []
    table.emit = failed.append
    for number, address in enumerate(addresses, 1):
        table.peers[address] = Peer(address)
        envelope = pb.Envelope(call_id=number, kind="x", body=b"x" * 10_000_000)
        table.enqueue(Outgoing(address, "", envelope))
    return len(failed)


def test_queues_of_all_peers_together_are_bounded(table):
    """Peers that all stop reading at once must not fill the memory."""
    assert queue_large(table, "a", "b", "c", "d", "e", "f") == 3
    kept = sum(peer.queued_bytes for peer in table.peers.values())
    assert kept <= streams.MAX_ALL_QUEUED_BYTES


def test_short_messages_are_sent_beside_full_queues(table):
    queue_large(table, "a", "b", "c")
    failed = []
    table.emit = failed.append
    table.peers["z"] = Peer("z")
    table.enqueue(Outgoing("z", "", pb.Envelope(call_id=9, kind="x", body=b"x" * 1_000)))
    assert (failed, len(table.peers["z"].queue)) == ([], 1)
