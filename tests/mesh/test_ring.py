"""Guards against probe partners that are unevenly chosen or too many in a large fleet."""

import random
from collections import Counter

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.members import Membership, to_record
from jacinthcove.mesh.peers import Member
from jacinthcove.mesh.prober import Prober
from jacinthcove.mesh.ring import select_probe_partners


def member(id):
    return Member(id, f"{id}:7400", f"{id}:80", "a", 1)


class CountingPeers:
    """Replies to every probe and records the ids of the probed members."""

    def __init__(self):
        self.called = set()

    def register(self, kind, handler):
        pass

    def on_peer_lost(self, callback):
        pass

    def call(self, member_id, kind, message, timeout_ms):
        self.called.add(member_id)
        return pb.ProbeReply(sender=to_record(member(member_id)))


def fleet(size):
    return [f"front-qc-east-{number % 5}-{number}" for number in range(size)]


def partners_of_all(size):
    ids = fleet(size)
    return {me: select_probe_partners(me, [other for other in ids if other != me]) for me in ids}


@pytest.mark.parametrize("size", [25, 81, 195, 300, 1_000])
def test_each_router_has_few_partners_and_is_probed_by_as_many(size):
    partners_by_router = partners_of_all(size)
    probed = Counter(other for others in partners_by_router.values() for other in others)
    assert {len(others) for others in partners_by_router.values()} == {(size - 1).bit_length()}
    assert set(probed.values()) == {(size - 1).bit_length()}
    assert all(me not in others for me, others in partners_by_router.items())


@pytest.mark.parametrize("size", [25, 195, 1_000])
def test_updates_reach_all_routers_in_logarithmic_steps(size):
    partners_by_router = partners_of_all(size)
    reached = {fleet(size)[0]}
    for _ in range((size - 1).bit_length()):
        reached |= {other for me in reached for other in partners_by_router[me]}
    assert len(reached) == size


def test_two_routers_probe_each_other():
    assert select_probe_partners("a", ["b"]) == ["b"]
    assert select_probe_partners("a", []) == []


def test_a_router_of_a_large_fleet_probes_few_members():
    peers = CountingPeers()
    members = Membership(member("r0"), ManualClock())
    for number in range(1, 300):
        members.merge(member(f"r{number}"))
    prober = Prober(members, peers, rng=random.Random(1))
    for _ in range(100):
        prober.probe(prober._next_member())
    assert len(peers.called) == (300 - 1).bit_length()
