"""Guards against service counted twice or lost when account reports are lost, late or repeated."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.scheduling import rendezvous
from jacinthcove.scheduling.accountholder import AccountHolder
from jacinthcove.scheduling.accounts import Accounts
from scheduling.fakes import FakeMembers, FakePeers, Network, SleepingClock, fleet_config

ROUTERS = ("r0", "r1", "r2", "r3")
KEY = ("draft", "w")
routers = st.sampled_from(ROUTERS)
fates = st.sampled_from(("deliver", "lose", "lose_reply", "twice", "late"))


class AccountsMachine(RuleBasedStateMachine):
    """Compares levels with the sum of all service; `slack` bounds what restarts lose or repeat.

    The slack is the service not yet exchanged, the service until every router has reported again,
    and a total lost because its holder and all routers that had received it restarted.
    """

    def __init__(self):
        super().__init__()
        self.clock = SleepingClock()
        self.network = Network()
        self.config = fleet_config({"w": 1.0, "x": 1.0})
        listed = [Member(name, name, name, "a") for name in ROUTERS]
        self.members = {name: FakeMembers(listed, name) for name in ROUTERS}
        self.accounts = {name: self.build(name) for name in ROUTERS}
        self.served = 0.0
        self.slack = 0.0
        self.unsettled: set[str] = set()
        self.highest: dict[tuple[str, int], float] = {}

    def build(self, name: str) -> Accounts:
        peers = FakePeers(self.network, name)
        return Accounts(self.clock, self.members[name], peers, lambda: self.config)

    def best_copy(self) -> float:
        alive = [member.id for member in self.members["r0"].alive()]
        holder = self.accounts[rendezvous.owner("account/draft/w", alive)].holder
        totals = [holder.accounts[KEY].total] if KEY in holder.accounts else []
        known = [a.accounts[KEY].highest_total for a in self.accounts.values() if KEY in a.accounts]
        return max(totals + known, default=0.0)

    def lose(self, fault) -> None:
        self.unsettle()
        before = self.best_copy()
        fault()
        self.slack += max(0.0, before - self.best_copy())

    def unsettle(self) -> None:
        self.unsettled = set(ROUTERS)
        known = (a.accounts[KEY] for a in self.accounts.values() if KEY in a.accounts)
        self.slack += sum(account.served - account.included for account in known)

    @rule(name=routers, units=st.integers(1, 100))
    def serve(self, name, units):
        self.accounts[name].charge(*KEY, units)
        self.served += units
        if self.unsettled:
            self.slack += units

    @rule(name=routers, fate=fates)
    def exchange(self, name, fate):
        self.network.fate = lambda *_: fate
        self.accounts[name].exchange()
        if fate in ("deliver", "twice"):
            self.unsettled.discard(name)
        self.network.fate = lambda *_: "deliver"
        self.clock.advance(1_000)

    @rule()
    def deliver_late(self):
        self.network.deliver_late()

    @rule(name=routers)
    def restart_holder(self, name):
        if KEY not in self.accounts[name].holder.accounts:
            return
        fresh = AccountHolder(self.clock, lambda: 1_000)
        self.lose(lambda: setattr(self.accounts[name], "holder", fresh))

    @rule(name=routers)
    def restart_reporter(self, name):
        self.clock.advance(10)
        self.lose(lambda: self.accounts.update({name: self.build(name)}))

    @rule(name=routers, alive=st.booleans())
    def change_membership(self, name, alive):
        if sum(m.state is MemberState.ALIVE for m in self.members["r0"].members.values()) < 3:
            alive = True
        if alive == (self.members["r0"].members[name].state is MemberState.ALIVE):
            return
        state = MemberState.ALIVE if alive else MemberState.DEAD
        self.lose(lambda: [m.set_state(name, state) for m in self.members.values()])

    @invariant()
    def totals_do_not_fall(self):
        for name, accounts in self.accounts.items():
            key = (name, accounts.incarnation)
            level = accounts.level(*KEY)
            assert level >= self.highest.get(key, 0.0) - 1e-6
            self.highest[key] = level

    @invariant()
    def service_is_not_counted_twice(self):
        for accounts in self.accounts.values():
            assert accounts.level(*KEY) <= self.served + self.slack + 1e-6

    def teardown(self):
        self.network.delayed.clear()
        for _ in range(4):
            for accounts in self.accounts.values():
                # Unchanged accounts are not reported; a charge of 0 units makes them active.
                accounts.charge(*KEY, 0)
                accounts.exchange()
            self.clock.advance(1_000)
        for accounts in self.accounts.values():
            if KEY in accounts.accounts:
                assert accounts.level(*KEY) >= self.served - self.slack - 1e-6


class SumsEveryReport(AccountsMachine):
    def build(self, name):
        accounts = super().build(name)
        merge = accounts.holder._merge

        def mutant(account, reporter, incarnation, item):
            account.entries.pop(reporter, None)
            merge(account, reporter, incarnation, item)

        accounts.holder._merge = mutant
        return accounts


class ForgetsTheHighestTotal(AccountsMachine):
    def build(self, name):
        accounts = super().build(name)
        apply = accounts.apply_reply

        def mutant(report, reply):
            apply(report, reply)
            for item in reply.workspaces:
                accounts.accounts[(item.service, item.workspace)].highest_total = item.total * 0.5

        accounts.apply_reply = mutant
        return accounts


class NeverReports(AccountsMachine):
    def build(self, name):
        accounts = super().build(name)
        accounts.exchange = lambda: None
        return accounts


def test_accounts_fuzz():
    run_state_machine_as_test(AccountsMachine, settings=settings(stateful_step_count=40))


@pytest.mark.parametrize("mutant", [SumsEveryReport, ForgetsTheHighestTotal, NeverReports])
def test_accounts_fuzz_catches_mutants(mutant):
    found = settings(stateful_step_count=40, max_examples=3_000, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(mutant, settings=found)


def test_only_a_workspace_that_was_idle_has_its_level_raised():
    # Guards against credit for idle time, and against raising the level of a workspace that waits
    # at another router.
    machine = AccountsMachine()
    one, other = machine.accounts["r0"], machine.accounts["r1"]
    for accounts in (one, other):
        accounts.add_backlogged_shard("draft", "x")
    one.charge("draft", "x", 500)

    def exchange():
        for _ in range(4):
            one.exchange()
            other.exchange()
            machine.clock.advance(1_000)

    exchange()
    one.add_backlogged_shard(*KEY)
    one.exchange()
    assert one.level(*KEY) == pytest.approx(500)
    one.charge("draft", "x", 1_000)
    exchange()
    other.add_backlogged_shard(*KEY)
    other.exchange()
    assert other.level(*KEY) == pytest.approx(500)


def test_reports_contain_levels_only_of_their_services():
    # At the design size the levels of all seven services doubled the size of reports.
    machine = AccountsMachine()
    one, other = machine.accounts["r0"], machine.accounts["r1"]
    for service in ("draft", "other"):
        one.add_backlogged_shard(service, "w")
        one.charge(service, "w", 10)
        one.advance_virtual_time(service, "w")
    for report in one._build_reports().values():
        services = {item.service for item in report.workspaces}
        assert {level.service for level in report.levels} == services
    # A router that reports on a service still receives its level.
    other.charge("draft", "w", 1)
    one.exchange()
    other.exchange()
    assert other.virtual_times["draft"] == one.virtual_times["draft"]
