"""Guards against unfair service, starvation and idle slots while several shards are backlogged."""

from dataclasses import replace

import gevent
import pytest
from hypothesis import Phase, settings, stateful
from hypothesis import strategies as st

from jacinthcove.config.model import Limits
from jacinthcove.mesh import kinds
from jacinthcove.scheduling.ticket import GrantedTarget, TicketRequest, Usage
from scheduling.fakes import Fleet, fleet_config

TICK_MS = 250
UNITS_PER_TICK = 8.0
MAX_COST = 40
SLOTS_PER_TARGET = 2
TARGETS = 8
SHARES = {"big": 4.0, "flood": 1.0, "small": 1.0}
# The share of an idle workspace limits the others to some shards; only pulls fill the rest.
IDLE = {"idle": 12.0}
# `flood` keeps many more requests waiting than the others, on one entry router only.
WAITING = {"big": 24, "flood": 40, "small": 8}
STARVATION_TICKS = 60
PULL_THRESHOLD_MS = 3_100
DISTURBED = st.sampled_from((kinds.ACCOUNT_REPORT, kinds.TICKET_PULL))


class FairnessMachine(stateful.RuleBasedStateMachine):
    """Keeps every workspace backlogged, serves grants and compares the service received."""

    def __init__(self):
        super().__init__()
        limits = Limits(cold=SLOTS_PER_TARGET, max=SLOTS_PER_TARGET)
        config = fleet_config(SHARES | IDLE, limits)
        self.fleet = Fleet(8, TARGETS, replace(config, pull_threshold_ms=PULL_THRESHOLD_MS))
        self.served = dict.fromkeys(SHARES, 0.0)
        self.last_served = dict.fromkeys(SHARES, 0)
        self.used: dict[str, float] = {}
        self.costs: dict[str, int] = {}
        self.jobs: dict[str, gevent.Greenlet] = {}
        self.running: dict[str, tuple[str, GrantedTarget]] = {}
        self.ticks = 0
        self.count = 0
        self.lossy_until = 0
        self.lossy_periods = self.longest_lossy = 0
        self.lossy = False
        self.mutate()

    def mutate(self):
        pass

    def bound(self) -> float:
        fastest = TARGETS * SLOTS_PER_TARGET * UNITS_PER_TICK * 1_000 / TICK_MS
        least = min(SHARES.values())
        # While exchanges are lost, the exchange period extends to the next successful one.
        periods = 1 + self.longest_lossy
        return MAX_COST / least + periods * fastest / least + PULL_THRESHOLD_MS / 31

    @stateful.initialize(homes=st.tuples(*[st.sampled_from(("r0", "r1", "r2"))] * len(SHARES)))
    def place(self, homes):
        self.homes = dict(zip(SHARES, homes, strict=True))

    @stateful.rule(ticks=st.integers(8, 24), costs=st.lists(st.integers(1, MAX_COST), min_size=1))
    def run(self, ticks, costs):
        for _ in range(ticks):
            self.tick(costs)

    @stateful.rule(kind=DISTURBED, fate=st.sampled_from(("lose", "twice")))
    def disturb_messages(self, kind, fate):
        """Lose or repeat one kind of message for two ticks, half a second."""
        self.fleet.network.fate = lambda s, r, k: fate if k == kind else "deliver"
        self.lossy_until = self.ticks + 16
        for _ in range(2):
            self.lossy |= fate == "lose"
            self.tick([MAX_COST])
        self.fleet.network.fate = lambda *_: "deliver"

    def tick(self, costs):
        self.ticks += 1
        self.serve()
        self.refill(costs)
        self.fleet.step(TICK_MS)
        for _ in range(6):
            self.fleet.pull()
        self.collect()
        if self.ticks % 4 == 0:
            for dispatch in self.fleet.dispatches.values():
                dispatch.accounts.exchange()
            self.check()

    def serve(self):
        for name, (home, grant) in list(self.running.items()):
            step = min(UNITS_PER_TICK, self.costs[name] - self.used[name])
            self.used[name] += step
            self.served[grant.workspace] += step
            self.last_served[grant.workspace] = self.ticks
            ended = self.used[name] >= self.costs[name]
            tokens = int(self.used[name])
            usage = Usage(self.used[name], ended, tokens=tokens, token_ms_sum=31 * tokens)
            self.fleet.dispatches[home].report(grant, usage)
            if ended:
                del self.running[name]

    def refill(self, costs):
        for workspace, target in WAITING.items():
            home = self.homes[workspace]
            dispatch = self.fleet.dispatches[home]
            own = [
                w for w in dispatch.entry_side.waiting.values() if w.request.workspace == workspace
            ]
            for _ in range(target - len(own)):
                self.count += 1
                name = f"{workspace}-{self.count}"
                self.costs[name], self.used[name] = costs[self.count % len(costs)], 0.0
                deadline = self.fleet.clock.now() + 10_000_000
                request = TicketRequest(name, workspace, "draft", "write", "v1", 10.0, deadline)
                self.jobs[name] = gevent.spawn(dispatch.acquire, request)
        self.fleet.settle()

    def collect(self):
        for name, job in list(self.jobs.items()):
            if job.ready():
                del self.jobs[name]
                grant = job.get()
                self.running[name] = (self.homes[grant.workspace], grant)

    def check(self):
        self.lossy_periods = self.lossy_periods + 1 if self.lossy else 0
        self.longest_lossy = max(self.longest_lossy, self.lossy_periods)
        self.lossy = False
        levels = {name: units / SHARES[name] for name, units in self.served.items()}
        assert max(levels.values()) - min(levels.values()) <= self.bound(), levels
        for workspace, at in self.last_served.items():
            assert self.ticks - at < STARVATION_TICKS, workspace
        if self.ticks > self.lossy_until:
            assert len(self.running) == TARGETS * SLOTS_PER_TARGET, "idle slots while work waits"

    def teardown(self):
        gevent.killall(list(self.jobs.values()))
        self.fleet.close()


class ServesTheHighestLevel(FairnessMachine):
    def mutate(self):
        for dispatch in self.fleet.dispatches.values():
            for scheduler in dispatch.owner_side.schedulers.values():
                level = scheduler.queue.level
                scheduler.queue.level = lambda workspace, level=level: -level(workspace)


class IgnoresLevels(FairnessMachine):
    def mutate(self):
        for dispatch in self.fleet.dispatches.values():
            for scheduler in dispatch.owner_side.schedulers.values():
                queue = scheduler.queue
                queue.level = lambda workspace, queue=queue: min(
                    int(t.id.split("-")[1])
                    for t in queue.tickets.values()
                    if t.workspace == workspace
                )


class NeverPulls(FairnessMachine):
    def mutate(self):
        self.fleet.pull = lambda: None


class NeverExchanges(FairnessMachine):
    def mutate(self):
        for dispatch in self.fleet.dispatches.values():
            dispatch.accounts.exchange = lambda: None


class NeverPullsByLevel(FairnessMachine):
    def mutate(self):
        for dispatch in self.fleet.dispatches.values():
            puller = dispatch.owner_side.puller
            pull = puller._pull
            puller._pull = lambda scheduler, count, level, pull=pull: (
                pull(scheduler, count, level) if level == float("inf") else 0
            )


@pytest.mark.known_red
def test_fairness_fuzz():
    stateful.run_state_machine_as_test(
        FairnessMachine,
        settings=settings(stateful_step_count=20, max_examples=settings().max_examples // 6),
    )


@pytest.mark.parametrize(
    "mutant", [ServesTheHighestLevel, IgnoresLevels, NeverPulls, NeverExchanges, NeverPullsByLevel]
)
def test_fairness_fuzz_catches_mutants(mutant):
    found = settings(stateful_step_count=20, max_examples=100, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(mutant, settings=found)
