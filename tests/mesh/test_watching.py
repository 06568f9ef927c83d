"""Watching the platform and gathering status, over fakes of the store and the peers."""

import random

from mesh_fakes import FakeNetwork, FakePeers

from jacinthcove.clock import ManualClock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.documents import CONFIG, VMS
from jacinthcove.mesh.members import FORGET_UNLISTED_MS, Membership
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.mesh.spread import SpreadDocuments
from jacinthcove.mesh.status import StatusService
from jacinthcove.mesh.watching import MAX_BACKOFF_S, Watching, follow_vm_list
from jacinthcove.store.store import StoredObject
from jacinthcove.store.vms import Vm, VmList, VmRole


class FakeStore:
    def __init__(self):
        self.answers = []
        self.asked = []

    def watch(self, key, after_version, timeout_ms):
        self.asked.append((key, after_version))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def fleet(size, domains=2):
    network, nodes = FakeNetwork(), []
    everyone = [Member(f"r{i}", f"1.0.0.{i}:1", "", f"d{i % domains}", 1) for i in range(size)]
    for me in everyone:
        members = Membership(me, ManualClock())
        for other in everyone:
            members.merge(other)
        nodes.append((members, FakePeers(network, members)))
    return network, nodes


def make_watching(members, peers, vm_list=None):
    documents = SpreadDocuments(members, peers, random.Random(1))
    return Watching(members, documents, FakeStore(), lambda: vm_list, random.Random(1))


def test_two_members_per_domain_watch():
    # More watchers would exceed the store's call rate, and none would leave changes unseen.
    _, nodes = fleet(12, domains=3)
    selected = [m.me.failure_domain for m, p in nodes if make_watching(m, p).selected()]
    assert sorted(selected) == ["d0", "d0", "d1", "d1", "d2", "d2"]


def test_watch_survives_outages_and_malformed_bodies():
    # An outage or a bad object must neither end the watch nor replace the configuration.
    _, nodes = fleet(1)
    watching = make_watching(*nodes[0])
    watching.store.answers = [
        StoredObject("config/current", b'{"revision": 4}', 9),
        StoreUnavailable("down"),
        None,
        StoredObject("config/current", b"{}", 10),
        StoredObject("config/current", b"not json", 11),
    ]
    results = [watching._succeeds(watching.watch_config, 0) for _ in range(5)]
    assert results == [True, False, True, True, True]
    assert [version for _, version in watching.store.asked] == [0, 9, 9, 9, 10]
    assert watching.documents.get(CONFIG).revision == 4
    assert all(0 < watching.backoff_s(n) <= MAX_BACKOFF_S for n in range(1, 2000, 7))


def test_vm_list_adds_addresses_and_makes_no_member_dead():
    # The list lags: a router missing on it may well live, and a listed one may be dead.
    _, nodes = fleet(2)
    members, peers = nodes[0]
    vm = Vm("r9", VmRole.ROUTER, "9:9", "d0", mesh_address="9:1")
    watching = make_watching(members, peers, VmList(3, (vm,)))
    follow_vm_list(watching.documents, members)
    watching.poll_vms()
    assert watching.documents.get(VMS).revision == 3
    assert members.unknown_addresses() == ["9:1"]
    members.clock.advance(FORGET_UNLISTED_MS)
    members.expire()
    assert members.get("r1").state is MemberState.ALIVE
    members.merge(Member("r1", "1.0.0.1:1", "", "d1", 1, MemberState.DEAD))
    members.clock.advance(FORGET_UNLISTED_MS)
    members.expire()
    assert members.get("r1") is None


def test_gather_falls_back_and_names_silent_members():
    # An operator must see who has not confirmed, even when a delegate is the one that died.
    network, nodes = fleet(8)
    services = []
    for members, peers in nodes:
        status = pb.MemberStatus(member_id=members.me.id, config_revision=7)
        services.append(StatusService(members, peers, lambda s=status: s, random.Random(1)))
    gathering = services[0]
    assert gathering.gather().missing == ()
    del network.nodes["1.0.0.3:1"], network.nodes["1.0.0.5:1"]
    gathered = gathering.gather()
    assert gathered.missing == ("r3", "r5")
    assert [s.member_id for s in gathered.statuses] == ["r0", "r1", "r2", "r4", "r6", "r7"]
