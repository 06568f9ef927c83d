"""Tests of the platform watcher and of status collection, with a fake store and fake peers."""

import random

from mesh_fakes import FakeNetwork, FakePeers

from jacinthcove.clock import ManualClock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.documents import CONFIG, VMS
from jacinthcove.mesh.gossip import GossipedDocuments
from jacinthcove.mesh.members import FORGET_UNLISTED_AFTER_MS, Membership
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.mesh.platformwatcher import MAX_BACKOFF_S, PlatformWatcher, follow_vm_list
from jacinthcove.mesh.status import StatusService
from jacinthcove.store.store import StoredObject
from jacinthcove.store.vms import Vm, VmList, VmRole


class FakeStore:
    def __init__(self):
        self.responses = []
        self.watch_calls = []

    def watch(self, key, after_version, timeout_ms):
        self.watch_calls.append((key, after_version))
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


def fleet(size, domains=2):
    network, nodes = FakeNetwork(), []
    everyone = [Member(f"r{i}", f"1.0.0.{i}:1", "", f"d{i % domains}", 1) for i in range(size)]
    for me in everyone:
        members = Membership(me, ManualClock())
        for other in everyone:
            members.merge(other)
        nodes.append((members, FakePeers(network, members)))
    return network, nodes


def make_watcher(members, peers, vm_list=None):
    documents = GossipedDocuments(members, peers, random.Random(1))
    return PlatformWatcher(members, documents, FakeStore(), lambda: vm_list, random.Random(1))


def test_two_members_per_failure_domain_are_selected():
    # More watchers would exceed the call rate of the store; without one, changes are missed.
    _, nodes = fleet(12, domains=3)
    watching_domains = [m.me.failure_domain for m, p in nodes if make_watcher(m, p).is_selected()]
    assert sorted(watching_domains) == ["d0", "d0", "d1", "d1", "d2", "d2"]


def test_watch_continues_after_outages_and_malformed_bodies():
    # An outage or a malformed object must neither end the watch nor replace the configuration.
    _, nodes = fleet(1)
    watcher = make_watcher(*nodes[0])
    watcher.store.responses = [
        StoredObject("config/current", b'{"revision": 4}', 9),
        StoreUnavailable("down"),
        None,
        StoredObject("config/current", b"{}", 10),
        StoredObject("config/current", b"not json", 11),
    ]
    results = [watcher._succeeds(watcher.watch_config, 0) for _ in range(5)]
    assert results == [True, False, True, True, True]
    assert [version for _, version in watcher.store.watch_calls] == [0, 9, 9, 9, 10]
    assert watcher.documents.get(CONFIG).revision == 4
    assert all(0 < watcher.backoff_s(n) <= MAX_BACKOFF_S for n in range(1, 2000, 7))


def test_vm_list_adds_addresses_and_marks_no_member_dead():
    # The list lags behind: a missing router may be alive, and a listed one may be dead.
    _, nodes = fleet(2)
    members, peers = nodes[0]
    vm = Vm("r9", VmRole.ROUTER, "9:9", "d0", mesh_address="9:1")
    watcher = make_watcher(members, peers, VmList(3, (vm,)))
    follow_vm_list(watcher.documents, members)
    watcher.poll_vms()
    assert watcher.documents.get(VMS).revision == 3
    assert members.unknown_addresses() == ["9:1"]
    members.clock.advance(FORGET_UNLISTED_AFTER_MS)
    members.expire()
    assert members.get("r1").state is MemberState.ALIVE
    members.merge(Member("r1", "1.0.0.1:1", "", "d1", 1, MemberState.DEAD))
    members.clock.advance(FORGET_UNLISTED_AFTER_MS)
    members.expire()
    assert members.get("r1") is None


def test_gather_tries_other_delegates_and_lists_missing_members():
    # An operator must see which members did not respond, even if a delegate is one of them.
    network, nodes = fleet(8)
    services = []
    for members, peers in nodes:
        status = pb.MemberStatus(member_id=members.me.id, config_revision=7)
        services.append(StatusService(members, peers, lambda s=status: s, random.Random(1)))
    service = services[0]
    assert service.gather().missing == ()
    del network.nodes["1.0.0.3:1"], network.nodes["1.0.0.5:1"]
    gathered = service.gather()
    assert gathered.missing == ("r3", "r5")
    assert [s.member_id for s in gathered.statuses] == ["r0", "r1", "r2", "r4", "r6", "r7"]
