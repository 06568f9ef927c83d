"""Guards against tickets granted twice, leaked slots, and requests on slots already freed."""

import gevent
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from jacinthcove.config.model import Limits
from jacinthcove.errors import RequestRefused
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import MemberState
from jacinthcove.scheduling.owner import GRANT_VALID_MS
from jacinthcove.scheduling.ticket import TicketRequest, Usage
from scheduling.fakes import Fleet, fleet_config

ROUTERS = ("r0", "r1", "r2")
FATES = ("deliver", "lose", "lose_reply", "twice", "late")
# No shrinking, because it takes minutes for a whole fleet; the seed reproduces the failure.
PHASES = [Phase.explicit, Phase.reuse, Phase.generate]
routers = st.sampled_from(ROUTERS)
fate_lists = st.lists(st.sampled_from(FATES), min_size=1, max_size=8)


class DispatchMachine(RuleBasedStateMachine):
    """Three routers and four slots; messages are lost, late or repeated at random."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(3, 2, fleet_config({"w": 1.0, "x": 1.0}, Limits(cold=2, max=2)))
        self.jobs: dict[str, tuple[str, gevent.Greenlet]] = {}
        self.granted: set[str] = set()
        self.seen: set[tuple[str, int]] = set()
        self.count = 0
        self.mutate()

    def mutate(self):
        pass

    def apply_fates(self, fates):
        """Apply `fates` to the next messages in turn, repeatedly."""
        used = iter(fates * 1_000)
        self.fleet.network.fate = lambda *_: next(used, "deliver")

    @rule(
        home=routers,
        workspace=st.sampled_from(("w", "x")),
        count=st.integers(1, 4),
        fates=fate_lists,
    )
    def submit(self, home, workspace, count, fates):
        self.apply_fates(fates)
        self.start(home, workspace, count)
        self.fleet.network.fate = lambda *_: "deliver"

    def start(self, home, workspace, count):
        for _ in range(count):
            self.count += 1
            name = f"q{self.count}"
            deadline = self.fleet.clock.now() + 20_000
            request = TicketRequest(name, workspace, "draft", "write", "v1", 10.0, deadline)
            job = gevent.spawn(self.fleet.dispatches[home].acquire, request)
            self.jobs[name] = (home, job)
        self.fleet.settle()

    @rule(
        fates=fate_lists,
        duration_ms=st.sampled_from((50, 500, 3_000)),
    )
    def disturb(self, fates, duration_ms):
        """Apply `fates` to messages while time passes."""
        self.apply_fates(fates)
        self.fleet.step(duration_ms)
        self.fleet.pull()
        self.fleet.network.fate = lambda *_: "deliver"

    @rule(duration_ms=st.sampled_from((50, 500, 6_000)))
    def run(self, duration_ms):
        self.fleet.step(duration_ms)
        self.fleet.pull()

    @rule()
    def deliver_late(self):
        self.fleet.network.deliver_late()
        self.fleet.settle()

    @rule(data=st.data(), fate=st.sampled_from(FATES))
    def finish(self, data, fate):
        held = [(home, g) for home in ROUTERS for g in self.grants(home)]
        if not held:
            return
        home, grant = data.draw(st.sampled_from(held))
        self.fleet.network.fate = lambda *_: fate
        self.fleet.dispatches[home].report(grant, Usage(5.0, ended=True))
        self.fleet.settle()
        self.fleet.network.fate = lambda *_: "deliver"

    @rule(data=st.data())
    def cancel(self, data):
        waiting = [name for name, (_, job) in self.jobs.items() if not job.ready()]
        if waiting:
            self.jobs[data.draw(st.sampled_from(waiting))][1].kill()

    @rule(lost=routers)
    def partition(self, lost):
        """Partition one router from the others; both sides declare each other dead."""
        self.fleet.network.sides = {lost: 1}
        self.fleet.step(1_000)
        for name in ROUTERS:
            if name != lost:
                self.fleet.members[name].set_state(lost, MemberState.DEAD)
                self.fleet.members[lost].set_state(name, MemberState.DEAD)
        self.fleet.step(GRANT_VALID_MS + 1_000)

    @rule(home=routers)
    def lose_contact(self, home):
        """Delay the grants to an entry router, which the other routers declare dead meanwhile."""
        self.fleet.network.fate = lambda s, receiver, kind: (
            "late" if kind == "grant" and receiver == home else "deliver"
        )
        self.start(home, "w", 2)
        others = [self.fleet.members[name] for name in ROUTERS if name != home]
        for state, duration_ms in ((MemberState.DEAD, 300), (MemberState.ALIVE, 50)):
            for members in others:
                members.set_state(home, state)
            self.fleet.step(duration_ms)
            self.fleet.step(GRANT_VALID_MS + 1_000)
        self.fleet.network.fate = lambda *_: "deliver"

    @rule()
    def heal(self):
        self.fleet.network.sides = {}
        for members in self.fleet.members.values():
            for name in ROUTERS:
                members.set_state(name, MemberState.ALIVE)
        self.fleet.step(50)

    def grants(self, home):
        entry_side = self.fleet.dispatches[home].entry_side
        return [
            grant
            for key, grant in entry_side.grants_in_use.items()
            if key not in entry_side._delivering_end
        ]

    def owner_slots(self, owner):
        return {
            slot
            for s in self.fleet.dispatches[owner].owner_side._all_schedulers()
            for slot in s.slots
        }

    @invariant()
    def a_ticket_is_granted_at_most_once(self):
        used: dict[str, tuple[str, int]] = {}
        for home in ROUTERS:
            for key, grant in self.fleet.dispatches[home].entry_side.grants_in_use.items():
                assert used.setdefault(grant.ticket_id, key) == key, grant.ticket_id
                if key not in self.seen:
                    assert grant.ticket_id not in self.granted, "granted again"
                    self.granted.add(grant.ticket_id)

    @invariant()
    def a_new_grant_has_a_slot_at_its_owner(self):
        for dispatch in self.fleet.dispatches.values():
            assert all(state.in_flight >= 0 for state in dispatch.owner_side.targets.values())
        for home in ROUTERS:
            for owner, slot in self.fleet.dispatches[home].entry_side.grants_in_use:
                if (owner, slot) not in self.seen:
                    self.seen.add((owner, slot))
                    assert slot in self.owner_slots(owner), "the owner has freed the slot"

    def teardown(self):
        self.fleet.network.delayed.clear()
        self.heal()
        for _ in range(60):
            for home in ROUTERS:
                for grant in self.grants(home):
                    self.fleet.dispatches[home].report(grant, Usage(5.0, ended=True))
            self.run(1_000)
            done = all(job.ready() for _, job in self.jobs.values())
            if done and not any(self.grants(home) for home in ROUTERS):
                break
        self.run(6_000)
        self.run(6_000)
        try:
            self.check_nothing_is_left()
        finally:
            gevent.killall([job for _, job in self.jobs.values()])
            self.fleet.close()

    def check_nothing_is_left(self):
        for name, (_, job) in self.jobs.items():
            assert job.ready(), name
            killed = isinstance(job.value, gevent.GreenletExit)
            assert killed or job.successful() or isinstance(job.exception, RequestRefused)
        for name, dispatch in self.fleet.dispatches.items():
            assert not self.owner_slots(name), "leaked slots"
            assert all(state.in_flight == 0 for state in dispatch.owner_side.targets.values())
            assert not dispatch.entry_side.grants_in_use
            assert not any(len(s.queue) for s in dispatch.owner_side.schedulers.values())


class AcceptsExpiredGrants(DispatchMachine):
    def mutate(self):
        for name in ROUTERS:
            accept = self.fleet.dispatches[name].entry_side.on_grant

            def mutant(sender, message, accept=accept):
                message.valid_until_ms = 1 << 40
                return accept(sender, message)

            self.fleet.network.handlers[(name, "grant")] = mutant


class GrantsTwice(DispatchMachine):
    def mutate(self):
        for dispatch in self.fleet.dispatches.values():
            entry_side, accept = dispatch.entry_side, dispatch.entry_side.on_grant
            # Duplicate tickets stay queued, as if their cancellation had been lost.
            entry_side._cancel = lambda holder, ticket_id: None

            def mutant(sender, message, entry_side=entry_side, accept=accept):
                reply = accept(sender, message)
                first = [
                    g for g in entry_side.grants_in_use.values() if g.ticket_id == message.ticket_id
                ]
                if not reply.accepted and first:
                    entry_side.grants_in_use[(sender, message.slot)] = first[0]
                    return pb.GrantReply(accepted=True)
                return reply

            self.fleet.network.handlers[(entry_side.members.me.id, "grant")] = mutant


class FreesUnansweredGrants(DispatchMachine):
    def mutate(self):
        for dispatch in self.fleet.dispatches.values():
            owner_side = dispatch.owner_side

            def mutant(scheduler, slot, owner_side=owner_side):
                try:
                    grant = owner_side._grant_message(scheduler, slot)
                    grant.valid_until_ms = 1 << 40
                    reply = owner_side.peers.call(slot.ticket.entry_router, "grant", grant, 1_000)
                    owner_side._on_grant_reply(scheduler, slot, reply)
                except Exception:
                    scheduler.free(slot.id)

            owner_side._send_grant = mutant


class ForgetsEnds(DispatchMachine):
    def mutate(self):
        for dispatch in self.fleet.dispatches.values():
            dispatch.owner_side._check_slot = lambda scheduler, slot: None
            entry_side = dispatch.entry_side

            def mutant(grant, usage, entry_side=entry_side):
                message = pb.ServiceUsed(slot=grant.slot, ended=True)
                entry_side.peers.send(grant.owner, "service_used", message)
                entry_side.grants_in_use.pop((grant.owner, grant.slot))
                entry_side._delivering_end.discard((grant.owner, grant.slot))

            entry_side._deliver_end = mutant


def test_dispatch_fuzz():
    run_state_machine_as_test(
        DispatchMachine, settings=settings(stateful_step_count=40, phases=PHASES)
    )


@pytest.mark.parametrize(
    "mutant", [AcceptsExpiredGrants, GrantsTwice, FreesUnansweredGrants, ForgetsEnds]
)
def test_dispatch_fuzz_catches_mutants(mutant):
    found = settings(stateful_step_count=40, max_examples=3_000, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(mutant, settings=found)
