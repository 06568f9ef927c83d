"""Whom the routers of a large fleet probe."""

import random
from collections import Counter

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.members import Membership, to_record
from jacinthcove.mesh.peers import Member
from jacinthcove.mesh.probing import Probing
from jacinthcove.mesh.ring import partners


def member(id):
    return Member(id, f"{id}:7400", f"{id}:80", "a", 1)


class CountingPeers:
    """Answers every probe and keeps who was called."""

    def __init__(self):
        self.called = set()

    def register(self, kind, handler):
        pass

    def on_lost(self, callback):
        pass

    def call(self, member_id, kind, message, timeout_ms):
        self.called.add(member_id)
        return pb.ProbeReply(sender=to_record(member(member_id)))


def fleet(size):
    return [f"front-qc-east-{number % 5}-{number}" for number in range(size)]


def all_partners(size):
    ids = fleet(size)
    return {me: partners(me, [other for other in ids if other != me]) for me in ids}


@pytest.mark.parametrize("size", [25, 81, 195, 300, 1_000])
def test_a_router_probes_a_few_others_and_as_many_probe_it(size):
    known = all_partners(size)
    probed = Counter(other for others in known.values() for other in others)
    assert {len(others) for others in known.values()} == {(size - 1).bit_length()}
    assert set(probed.values()) == {(size - 1).bit_length()}
    assert all(me not in others for me, others in known.items())


@pytest.mark.parametrize("size", [25, 195, 1_000])
def test_news_reach_all_in_a_few_steps(size):
    known = all_partners(size)
    reached = {fleet(size)[0]}
    for _ in range((size - 1).bit_length()):
        reached |= {other for me in reached for other in known[me]}
    assert len(reached) == size


def test_two_routers_probe_each_other():
    assert partners("a", ["b"]) == ["b"]
    assert partners("a", []) == []


def test_a_router_of_a_large_fleet_opens_few_streams():
    peers = CountingPeers()
    members = Membership(member("r0"), ManualClock())
    for number in range(1, 300):
        members.merge(member(f"r{number}"))
    probing = Probing(members, peers, rng=random.Random(1))
    for _ in range(100):
        probing.probe(probing._next_member())
    assert len(peers.called) == (300 - 1).bit_length()
