"""Connections to the mesh's port that do not authenticate must end, and those of routers stay."""

import asyncio

import pytest

from jacinthcove.ingress.meshport import UnauthenticatedConnections
from jacinthcove.mesh.streams import StreamTable
from jacinthcove.mesh.transport import FleetKey, listener_address, open_listener

TIMEOUT_S = 0.1
SILENT = 6


class FakeTransport:
    aborted = False

    def abort(self):
        self.aborted = True


def test_the_oldest_connection_without_a_key_gives_way():
    async def run():
        connections = UnauthenticatedConnections(limit=2, timeout_s=60)
        transports = [FakeTransport() for _ in range(3)]
        for transport in transports:
            connections.add(transport)
        for transport in transports:
            connections.remove(transport)
        return [transport.aborted for transport in transports]

    assert asyncio.run(run()) == [True, False, False]


@pytest.mark.parametrize("authenticates", [True, False])
def test_only_connections_without_a_key_end(authenticates):
    async def run():
        connections = UnauthenticatedConnections(limit=2, timeout_s=TIMEOUT_S)
        transport = FakeTransport()
        connections.add(transport)
        if authenticates:
            connections.remove(transport)
        await asyncio.sleep(3 * TIMEOUT_S)
        return transport.aborted

    assert asyncio.run(run()) is not authenticates


def test_silent_connections_to_the_port_are_closed():
    """They stayed open without end, each with a descriptor."""

    async def run():
        listener = open_listener("127.0.0.1:0")
        address = listener_address(listener)
        table = StreamTable("r1", address, FleetKey(b"key"), None, lambda item: None)
        await table.start(listener)
        table.server.unauthenticated.timeout_s = TIMEOUT_S
        host, _, port = address.rpartition(":")
        opened = [await asyncio.open_connection(host, int(port)) for _ in range(SILENT)]
        ends = [await asyncio.wait_for(read_to_end(reader), 5) for reader, _ in opened]
        for _, writer in opened:
            writer.close()
        await table.close()
        return ends

    assert asyncio.run(run()) == [True] * SILENT


async def read_to_end(reader):
    """Return whether the connection ended, after the greeting of the server."""
    try:
        await reader.read()
    except ConnectionResetError:
        pass
    return True
