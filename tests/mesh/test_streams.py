"""Guards against the loss of streams in use, and against streams that grow with the fleet."""

import pytest

from jacinthcove.mesh import streams
from jacinthcove.mesh.streams import Peer, Stream, StreamTable
from jacinthcove.mesh.transport import FleetKey


class Loop:
    def __init__(self):
        self.now = 1_000.0

    def time(self):
        return self.now


@pytest.fixture
def table(monkeypatch):
    monkeypatch.setattr(streams, "MAX_CONNECTIONS", 4)
    monkeypatch.setattr(streams, "MAX_BUSY_CONNECTIONS", 8)
    table = StreamTable("r0", "127.0.0.1:1", FleetKey(b"key"), None, lambda item: None)
    table.loop = Loop()
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
    # Probes reach every member in turn; their streams must not add up to the size of the fleet.
    for number in range(12):
        open_streams(table, f"r{number}")
        table.loop.now += streams.RECENT_USE_S + 1
    assert len([s for s in table._streams() if s.usable]) == 4
    assert table.retired == [f"r{number}" for number in range(8)]


def test_streams_in_use_are_kept_beyond_the_limit(table):
    # Calls under way on a retired stream get no reply.
    open_streams(table, "a", "b", "c", "d", "e", "f")
    assert table.retired == []
    table.loop.now += streams.RECENT_USE_S + 1
    for peer in list(table.peers.values())[1:]:
        peer.streams[0].last_used = table.loop.now
    open_streams(table, "g")
    assert table.retired == ["a"]


def test_even_streams_in_use_have_a_limit(table):
    open_streams(table, *"abcdefghij")
    assert len([s for s in table._streams() if s.usable]) == 8
