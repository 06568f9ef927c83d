"""Guards against live members that stay marked dead and tables that do not converge."""

from collections import Counter
from dataclasses import replace

import gevent
import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from mesh_fakes import FakeNetwork, FakePeers, run_spawned, seeded

from jacinthcove.clock import ManualClock
from jacinthcove.mesh.members import SUSPICION_TIMEOUT_MS, Membership
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.mesh.prober import Prober

NODES = 4
NODE = st.integers(0, NODES - 1)
SETTLE_ROUNDS = 40


class Node:
    def __init__(self, machine, index, incarnation, restarts):
        # A restarted node may have another address and an incarnation that was used before.
        address = f"10.0.{restarts % 2}.{index}:1"
        me = Member(f"r{index}", address, address, f"fd{index % 2}", incarnation)
        self.members = machine.membership(me, machine.clock)
        self.peers = FakePeers(machine.network, self.members)
        seeds = [f"10.0.{subnet}.{i}:1" for i in range(NODES) for subnet in (0, 1)]
        self.prober = machine.prober(self.members, self.peers, seeds, rng=seeded())
        self.seen = {}

    def probe(self):
        member = self.prober._next_member()
        if member is not None:
            self.prober.probe(member)
        run_spawned()

    def contact_unreachable(self):
        self.prober.contact_unreachable()
        run_spawned()


class MembersMachine(RuleBasedStateMachine):
    membership = Membership
    prober = Prober

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.network = FakeNetwork()
        self.restarts = Counter()
        self.nodes = {i: Node(self, i, 1, 0) for i in range(NODES)}

    @rule(i=NODE)
    def probe(self, i):
        if i in self.nodes:
            self.nodes[i].probe()

    @rule(i=NODE)
    def contact_unreachable(self, i):
        if i in self.nodes:
            self.nodes[i].contact_unreachable()

    @rule(i=NODE)
    def exchange_tables(self, i):
        if i in self.nodes:
            self.nodes[i].prober.exchange_tables()
            run_spawned()

    @rule(groups=st.lists(st.integers(0, 1), min_size=NODES, max_size=NODES))
    def partition(self, groups):
        for i, group in enumerate(groups):
            self.network.group.update({f"10.0.{subnet}.{i}:1": group for subnet in (0, 1)})

    @rule(i=NODE, leaves=st.booleans())
    def stop(self, i, leaves):
        node = self.nodes.pop(i, None)
        if node is None:
            return
        if leaves:
            node.prober.leave()
        self.network.nodes.pop(node.members.me.mesh_address, None)

    @rule(i=NODE, incarnation=st.integers(1, 3))
    def restart_without_state(self, i, incarnation):
        self.stop(i, False)
        self.restarts[i] += 1
        self.nodes[i] = Node(self, i, incarnation, self.restarts[i])

    @rule(index=st.integers(0, 10_000))
    def replay_old_message(self, index):
        self.network.replay(index)
        run_spawned()

    @rule(ms=st.sampled_from([200, SUSPICION_TIMEOUT_MS, 10_000]))
    def pass_time(self, ms):
        self.clock.advance(ms)
        for node in self.nodes.values():
            node.members.expire()

    @invariant()
    def incarnations_never_fall(self):
        for node in self.nodes.values():
            for member in (node.members.me, *node.members.table.values()):
                assert member.incarnation >= node.seen.get(member.id, 0)
                node.seen[member.id] = member.incarnation

    @invariant()
    def own_record_stays_out_of_the_table(self):
        for node in self.nodes.values():
            assert node.members.me.id not in node.members.table

    def teardown(self):
        self.network.group.clear()
        for _ in range(SETTLE_ROUNDS):
            for node in self.nodes.values():
                node.probe()
                node.contact_unreachable()
            self.pass_time(500)
        self.assert_converged()

    def assert_converged(self):
        live = {node.members.me for node in self.nodes.values()}
        for node in self.nodes.values():
            view = {node.members.me, *node.members.table.values()}
            assert {m for m in view if m.state is not MemberState.DEAD} == live


def run(machine, examples=40):
    options = settings(
        max_examples=examples,
        stateful_step_count=25,
        deadline=None,
        derandomize=True,
        database=None,
        report_multiple_bugs=False,
        phases=[Phase.generate],
    )
    run_state_machine_as_test(machine, settings=options)


def test_tables_converge_and_no_live_member_stays_dead():
    run(MembersMachine, examples=150)


class NeverRefutes(Membership):
    def _refute(self, reported):
        pass


class AcceptsOlderIncarnations(Membership):
    def merge(self, reported, whole_table=False):
        if reported.id in self.table:
            self._update_record(reported)
        else:
            super().merge(reported, whole_table)


class NeverAddsMembers(Membership):
    def merge(self, reported, whole_table=False):
        if reported.id == self.me.id or reported.id in self.table:
            super().merge(reported, whole_table)


class NeverExpiresSuspicion(Membership):
    def expire(self):
        pass


class ForgetsRefutedIncarnation(Membership):
    def _update_own_record(self, member):
        if member.state is MemberState.LEAVING:
            super()._update_own_record(member)


MUTANTS = [
    NeverRefutes,
    AcceptsOlderIncarnations,
    NeverAddsMembers,
    NeverExpiresSuspicion,
    ForgetsRefutedIncarnation,
]


@pytest.mark.parametrize("mutant", MUTANTS)
def test_checks_detect_each_broken_membership_rule(mutant):
    machine = type("MutantMachine", (MembersMachine,), {"membership": mutant})
    with pytest.raises(AssertionError):
        run(machine, examples=300)


class NeverRejoins(Prober):
    def contact_unreachable(self):
        if not self.members.table:
            super().contact_unreachable()


class NeverSuspects(Prober):
    def probe(self, member):
        self._send_probe(member, 0)


@pytest.mark.parametrize("mutant", [NeverRejoins, NeverSuspects])
def test_checks_detect_each_broken_probing_rule(mutant):
    machine = type("MutantMachine", (MembersMachine,), {"prober": mutant})
    with pytest.raises(AssertionError):
        run(machine, examples=300)


class NeverSendsReceiverItsRecord(Membership):
    def _record_to_refute(self, receiver):
        return [], 0

    def next_updates(self, receiver):
        return [r for r in super().next_updates(receiver) if r.id != getattr(receiver, "id", "")]


def refutes_at_first_contact(membership):
    machine = type("Machine", (MembersMachine,), {"membership": membership})()
    first, second = machine.nodes[0], machine.nodes[1]
    first.members.merge(second.members.me)
    second.members.merge(first.members.me)
    second.members.merge(replace(first.members.me, incarnation=5, state=MemberState.DEAD))
    first.prober._send_probe(second.members.me, 0)
    first.prober._send_probe(second.members.me, 0)
    return second.members.get("r0").state is MemberState.ALIVE


def test_a_member_marked_dead_refutes_it_at_first_contact():
    # Otherwise a returning member stays dead until the next exchange of whole tables.
    assert refutes_at_first_contact(Membership)
    assert not refutes_at_first_contact(NeverSendsReceiverItsRecord)


def whole_table_keeps_member_alive(membership):
    clock = ManualClock()
    members = membership(Member("a", "1:1", "", "", 1), clock)
    other = Member("b", "2:2", "", "", 1)
    members.merge(other)
    members.merge(replace(other, state=MemberState.DEAD), whole_table=True)
    return members.get("b").state is MemberState.ALIVE


class WholeTableMarksDead(Membership):
    def merge(self, reported, whole_table=False):
        super().merge(reported)


def test_an_exchange_of_whole_tables_marks_no_member_dead():
    # After a partition, each side has marked the other dead; the exchange must not apply that.
    assert whole_table_keeps_member_alive(Membership)
    assert not whole_table_keeps_member_alive(WholeTableMarksDead)


class IgnoresFormerIncarnation(Membership):
    def _refute(self, reported):
        if (reported.incarnation, reported.state) > (self.me.incarnation, self.me.state):
            super()._refute(reported)


def raises_incarnation_on_restart(membership):
    members = membership(Member("a", "1:1", "1:1", "", 4), ManualClock())
    members.merge(Member("a", "2:2", "2:2", "", 4))
    return members.me.incarnation > 4


def test_a_restart_at_another_address_raises_its_incarnation():
    # At an equal incarnation, others keep the former address until they detect it as dead.
    assert raises_incarnation_on_restart(Membership)
    assert not raises_incarnation_on_restart(IgnoresFormerIncarnation)


def test_routers_that_joined_in_pairs_soon_find_the_others():
    """Routers that start together stop joining at the first answer."""
    clock, network = ManualClock(), FakeNetwork()
    addresses = [f"10.0.0.{i}:1" for i in range(NODES)]
    tables = [Membership(Member(f"r{i}", a, a, "fd", 1), clock) for i, a in enumerate(addresses)]
    probers = [Prober(t, FakePeers(network, t), addresses, rng=seeded()) for t in tables]
    for i, prober in enumerate(probers):
        assert prober.contact(addresses[i ^ 1], 100)
        prober.start()
    assert all(len(table.alive()) == 2 for table in tables)
    with gevent.Timeout(3):
        while any(len(table.alive()) < NODES for table in tables):
            gevent.sleep(0.05)
    for prober in probers:
        prober.close()
