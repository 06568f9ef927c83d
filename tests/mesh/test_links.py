"""Calls and messages over loopback sockets; time limits are generous, speed is not asserted."""

import random
from dataclasses import replace

import gevent
import pytest
from gevent import socket as gsocket
from gevent.server import StreamServer

from jacinthcove.address import split_address
from jacinthcove.clock import SystemClock
from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import GRANT, SERVICE_USED, TICKET_PULL
from jacinthcove.mesh.links import PeerLinks
from jacinthcove.mesh.members import Membership
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.mesh.prober import Prober
from jacinthcove.mesh.transport import listener_address, open_listener

LIMIT_S = 30


class Node:
    def __init__(self, name, key=b"fleet", seeds=()):
        listener = open_listener("127.0.0.1:0")
        address = listener_address(listener)
        self.members = Membership(Member(name, address, address, "fd0"), SystemClock())
        self.links = PeerLinks(self.members, listener, key)
        self.prober = Prober(self.members, self.links, seeds, rng=random.Random(1))
        self.links.start()

    @property
    def address(self):
        return self.members.me.mesh_address

    def close(self):
        self.prober.close()
        self.links.close()


@pytest.fixture
def make_node():
    nodes = []

    def make(name, **options):
        nodes.append(Node(name, **options))
        return nodes[-1]

    yield make
    for node in nodes:
        node.close()


@pytest.fixture
def pair(make_node):
    first, second = make_node("a"), make_node("b")
    first.members.merge(second.members.me)
    second.members.merge(first.members.me)
    return first, second


def wait_for(condition):
    with gevent.Timeout(LIMIT_S):
        while not condition():
            gevent.sleep(0.02)


def accept_grant(sender, grant):
    return pb.GrantReply(accepted=grant.ticket_id == f"for {sender}")


def test_calls_work_in_both_directions_and_to_itself(pair):
    # A reply must reach the call that it belongs to, and no call may stay pending.
    for node in pair:
        node.links.register(GRANT, accept_grant)
    first, second = pair
    routes = [(first, "b", "a"), (second, "a", "b"), (first, "a", "a")] * 20
    calls = [
        gevent.spawn(n.links.call, to, GRANT, pb.Grant(ticket_id=f"for {me}"), LIMIT_S * 1000)
        for n, to, me in routes
    ]
    assert all(call.get().accepted for call in calls)
    assert first.links.traffic().sent[GRANT] > 0
    assert not first.links.pending_calls


def test_failures_raise_peer_unavailable(pair):
    # A call that hangs, or raises another exception, would end the greenlet of a request.
    first, second = pair
    second.links.register(GRANT, lambda sender, grant: 1 / 0)
    second.links.register(TICKET_PULL, lambda sender, pull: gevent.sleep(LIMIT_S))
    first.members.merge(Member("gone", "127.0.0.1:1", "", "", 1))
    for member_id, kind, message in [
        ("b", GRANT, pb.Grant()),
        ("b", TICKET_PULL, pb.TicketPull()),
        ("b", SERVICE_USED, pb.ServiceUsed()),
        ("gone", GRANT, pb.Grant()),
        ("unknown", GRANT, pb.Grant()),
    ]:
        with pytest.raises(PeerUnavailable):
            first.links.call(member_id, kind, message, 500)


def test_one_way_message_arrives(pair):
    got = []
    pair[1].links.register(SERVICE_USED, lambda sender, used: got.append((sender, used.slot)))
    pair[0].links.send("b", SERVICE_USED, pb.ServiceUsed(slot=9))
    wait_for(lambda: got == [("a", 9)])


def test_call_for_another_member_at_the_address_fails(pair):
    # A replaced VM can reuse an address; its router must not get calls for the former one.
    first, second = pair
    second.links.register(GRANT, accept_grant)
    first.members.merge(replace(second.members.me, id="former"))
    with pytest.raises(PeerUnavailable, match="belongs to member b"):
        first.links.call("former", GRANT, pb.Grant(), LIMIT_S * 1000)


def test_wrong_fleet_key_is_refused(make_node):
    # Without this check, any process could join the fleet or grant targets.
    first, outsider = make_node("a"), make_node("s", key=b"other")
    first.links.register(GRANT, accept_grant)
    for caller, called in [(outsider, first), (first, outsider)]:
        with pytest.raises(PeerUnavailable, match="fleet key"):
            caller.links.call_address(called.address, GRANT, pb.Grant(), LIMIT_S * 1000)
    assert first.links.connections() == 0


class DroppingProxy:
    """TCP proxy that, after `drop_open_connections`, drops the bytes of open connections."""

    def __init__(self, target):
        self.target = split_address(target)
        self.accepted = 0
        self.dropped = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def drop_open_connections(self):
        self.dropped = self.accepted

    def serve(self, client, _):
        self.accepted += 1
        number = self.accepted
        with gsocket.create_connection(self.target) as upstream:
            directions = [(client, upstream), (upstream, client)]
            gevent.joinall(
                [gevent.spawn(self.copy, number, *direction) for direction in directions]
            )

    def copy(self, number, source, sink):
        try:
            while data := source.recv(65536):
                if number > self.dropped:
                    sink.sendall(data)
            sink.shutdown(gsocket.SHUT_WR)
        except OSError:
            pass


def test_silent_stream_is_replaced(pair):
    # An open connection that delivers nothing must not block calls while new ones would work.
    first, second = pair
    second.links.register(GRANT, accept_grant)
    proxy = DroppingProxy(second.address)
    grant = pb.Grant(ticket_id="for a")
    try:
        assert first.links.call_address(proxy.address, GRANT, grant, LIMIT_S * 1000).accepted
        proxy.drop_open_connections()
        wait_for(lambda: proxy.accepted == 2)
        assert first.links.call_address(proxy.address, GRANT, grant, LIMIT_S * 1000).accepted
        assert proxy.accepted == 2
    finally:
        proxy.server.stop()


def test_dead_member_is_detected_and_can_rejoin(make_node):
    # The shards of a dead router are not served until it is detected; after a restart it rejoins.
    first = make_node("a")
    others = [make_node(name, seeds=[first.address]) for name in ("b", "c")]
    for node in (first, *others):
        assert node.prober.join(LIMIT_S)
        node.prober.start()
    nodes = (first, *others)
    wait_for(lambda: all(len(node.members.alive()) == 3 for node in nodes))
    dead = others.pop()
    dead.close()
    wait_for(lambda: all(n.members.get("c").state is MemberState.DEAD for n in (first, *others)))
    restarted = make_node("c", seeds=[first.address])
    assert restarted.prober.join(LIMIT_S)
    restarted.prober.start()
    wait_for(lambda: all(len(n.members.alive()) == 3 for n in (first, *others, restarted)))


def test_leaving_member_is_announced_at_once(make_node):
    first = make_node("a")
    second = make_node("b", seeds=[first.address])
    assert second.prober.join(LIMIT_S)
    second.prober.leave()
    wait_for(lambda: first.members.get("b").state is MemberState.LEAVING)
    assert "b" not in {m.id for m in first.members.alive()}
