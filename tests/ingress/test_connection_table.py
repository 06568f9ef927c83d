"""The table of connections: descriptors must last, and callers with requests stay."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.ingress.connections import NEW_GRACE_MS, ConnectionTable, Stage

LIMIT = 10
SLOW_MS = 1_000


class FakeConnection:
    def __init__(self, address="a"):
        self.address = address
        self.closed = False

    def give_up(self):
        self.closed = True

    def stop_reading(self):
        self.closed = True


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    return ConnectionTable(clock, LIMIT, 0.8, SLOW_MS)


def admit(table, count, stage, address="a"):
    connections = [FakeConnection(address) for _ in range(count)]
    for connection in connections:
        assert table.admit(connection)
        table.move(connection, stage)
    return connections


def test_the_oldest_connection_without_a_request_gives_way(table, clock):
    """Idle connections took all descriptors, so no caller could connect."""
    kept = admit(table, 2, Stage.KEPT)
    new = admit(table, 6, Stage.NEW)
    clock.advance(NEW_GRACE_MS)
    assert table.admit(FakeConnection())
    assert [item.closed for item in kept + new] == [False, False, True] + [False] * 5
    assert len(table) == 9


def test_a_kept_connection_gives_way_when_none_is_new(table):
    busy, kept = admit(table, 7, Stage.BUSY), admit(table, 1, Stage.KEPT)
    assert table.admit(FakeConnection())
    assert kept[0].closed and not any(item.closed for item in busy)


def test_a_connection_with_a_request_is_never_closed(table):
    busy = admit(table, 8, Stage.BUSY)
    assert not table.admit(FakeConnection())
    assert table.refusals == 1 and not any(item.closed for item in busy)


def test_a_slow_body_gives_way(table, clock):
    """Bodies of one byte at a time held every connection, and no caller could connect."""
    reading = admit(table, 8, Stage.READING)
    assert not table.admit(FakeConnection())
    clock.advance(SLOW_MS)
    assert table.admit(FakeConnection())
    assert reading[0].closed and not reading[1].closed


def test_connections_that_do_not_end_are_not_replaced_without_end(table, clock):
    """Descriptors are used until a connection has ended."""
    admit(table, 8, Stage.KEPT)
    assert [table.admit(FakeConnection()) for _ in range(4)] == [True, True, False, False]


def test_one_address_leaves_room_for_others(table):
    admit(table, 8, Stage.BUSY)
    admit(table, 2, Stage.BUSY, "b")
    assert not table.admit(FakeConnection("c"))


def test_a_released_connection_is_not_counted(table):
    for connection in admit(table, 8, Stage.BUSY):
        table.release(connection)
        table.release(connection)
    assert len(table) == 0 and not table.by_address
