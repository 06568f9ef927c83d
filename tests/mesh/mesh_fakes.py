"""Fakes of the mesh interfaces: an in-memory network without sockets."""

import random
from collections.abc import Callable

import gevent

from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh.kinds import KINDS


class FakeNetwork:
    """Delivers messages at once, except across a partition or to and from a stopped node."""

    def __init__(self):
        self.nodes = {}
        self.group = {}
        # Delivered requests, so that tests can deliver them again in another order.
        self.history = []
        self.alter: Callable = lambda kind, body: body

    def reaches(self, sender_address, address):
        same_group = self.group.get(sender_address) == self.group.get(address)
        return address in self.nodes and sender_address in self.nodes and same_group

    def deliver(self, sender, address, kind, body):
        handler = self.nodes[address].handlers[kind]
        reply = handler(sender, KINDS[kind].request.FromString(body))
        return b"" if reply is None else self.alter(kind, reply.SerializeToString())

    def replay(self, index):
        """Deliver an old request again and discard its reply."""
        if self.history:
            sender, address, kind, body = self.history[index % len(self.history)]
            if address in self.nodes:
                self.deliver(sender, address, kind, body)


class FakePeers:
    """`Peers` of one node of a `FakeNetwork`."""

    def __init__(self, network, members):
        self.network = network
        self.members = members
        self.handlers = {}
        network.nodes[members.me.mesh_address] = self

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def on_peer_lost(self, callback):
        pass

    def call(self, member_id, kind, message, timeout_ms):
        member = self.members.get(member_id)
        if member is None:
            raise PeerUnavailable(member_id)
        return self.call_address(member.mesh_address, kind, message, timeout_ms)

    def call_address(self, address, kind, message, timeout_ms):
        me = self.members.me
        if self.network.nodes.get(me.mesh_address) is not self:
            raise PeerUnavailable("stopped")
        if not self.network.reaches(me.mesh_address, address):
            raise PeerUnavailable(address)
        body = self.network.alter(kind, message.SerializeToString())
        self.network.history.append((me.id, address, kind, body))
        reply = self.network.deliver(me.id, address, kind, body)
        return KINDS[kind].reply.FromString(reply)

    def send(self, member_id, kind, message):
        try:
            self.call(member_id, kind, message, 0)
        except PeerUnavailable:
            pass


def run_spawned():
    """Let the greenlets that the code under test spawned run to completion."""
    for _ in range(5):
        gevent.sleep(0)


def seeded():
    return random.Random(7)
