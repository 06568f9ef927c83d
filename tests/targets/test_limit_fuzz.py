"""Guards against partitioned owners that together exceed a limit, and overload of cold targets."""

import math

import pytest
from hypothesis import Phase, settings, stateful
from hypothesis import strategies as st

from jacinthcove.clock import ManualClock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import Limits
from jacinthcove.scheduling.ticket import Usage
from jacinthcove.targets.limit import WINDOW_MS, AdaptiveLimit
from jacinthcove.targets.state import LoadReport, TargetState
from jacinthcove.targets.table import Pool, Target


def build(clock: ManualClock, limits: Limits) -> TargetState:
    state = TargetState(Target("t", Pool("draft", "v1", "a"), "127.0.0.1:1"), limits, clock)
    state.on_report(LoadReport("boot", 0, 0, "v1"))
    return state


class PartitionMachine(stateful.RuleBasedStateMachine):
    """Two owners on the sides of a network partition, neither of which sees the other's load."""

    @stateful.initialize(
        routers=st.integers(1, 12), cut=st.integers(0, 12), top=st.integers(1, 12), data=st.data()
    )
    def start(self, routers, cut, top, data):
        self.clock = ManualClock()
        self.limits = Limits(cold=data.draw(st.integers(1, top)), max=top)
        cut = min(cut, routers)
        self.fractions = (cut / routers, (routers - cut) / routers)
        self.states = [build(self.clock, self.limits) for _ in range(2)]
        self.change_limit()

    def change_limit(self):
        pass

    @stateful.rule(side=st.integers(0, 1), windows=st.integers(1, 20))
    def good_load(self, side, windows):
        for _ in range(windows):
            self.clock.advance(WINDOW_MS)
            limit = self.states[side].limit
            limit.on_in_flight(20, 1)
            limit.on_progress(10, 310)

    @stateful.rule(side=st.integers(0, 1))
    def error(self, side):
        self.states[side].limit.on_error()

    @stateful.rule(side=st.integers(0, 1))
    def restart(self, side):
        self.states[side].on_cold_start()

    @stateful.invariant()
    def sum_of_both_sides_stays_within_the_limit(self):
        if not hasattr(self, "states"):
            return
        pairs = zip(self.states, self.fractions, strict=True)
        assert sum(state.limit.allowed(fraction) for state, fraction in pairs) <= self.limits.max


class RoundsUp(PartitionMachine):
    def change_limit(self):
        for state in self.states:
            limit = state.limit
            limit.allowed = lambda fraction, limit=limit: math.ceil(int(limit.value) * fraction)


class AlwaysAllowsOne(PartitionMachine):
    def change_limit(self):
        for state in self.states:
            allowed = state.limit.allowed
            state.limit.allowed = lambda fraction, allowed=allowed: max(1, allowed(fraction))


class ColdMachine(stateful.RuleBasedStateMachine):
    """A target that sometimes restarts; the limit may rise by one per window since then."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.limits = Limits(cold=2, max=12)
        self.boot = 0
        self.state = build(self.clock, self.limits)
        self.cold_at = self.clock.now()
        self.foreign = 0
        self.foreign_value = 0.0
        self.mutate()

    def mutate(self):
        pass

    @stateful.rule(duration_ms=st.integers(100, 3_000))
    def good_load(self, duration_ms):
        self.clock.advance(duration_ms)
        self.state.limit.on_in_flight(12, 1)
        self.state.on_usage(Usage(0.0), Usage(10.0, tokens=10, token_ms_sum=310))

    @stateful.rule(how=st.sampled_from(("boot", "refused", "first token")))
    def restart(self, how):
        if how == "boot":
            self.boot += 1
            self.state.on_report(LoadReport(f"boot{self.boot}", 0, 0, "v1"))
        elif how == "refused":
            code = ResultCode.NOT_ADMITTED
            self.state.on_usage(Usage(0.0), Usage(0.0, True, code, unreachable=True))
            assert not self.state.usable
            self.state.on_report(LoadReport(f"boot{self.boot}", 0, 0, "v1"))
        else:
            for first_token_ms in [100] * 8 + [3_000] * 2:
                self.state.on_usage(Usage(0.0), Usage(1.0, first_token_ms=first_token_ms, tokens=1))
        self.cold_at = self.clock.now()
        self.foreign = 0

    @stateful.rule(foreign=st.integers(0, 3))
    def report(self, foreign):
        if foreign and not self.foreign:
            self.foreign_value = self.state.limit.value
        self.foreign = foreign
        self.state.limit._own_in_flight.clear()
        self.state.limit.on_load(foreign, 0, 0, False)

    @stateful.invariant()
    def cold_target_is_not_overloaded(self):
        steps = (self.clock.now() - self.cold_at) // WINDOW_MS
        assert self.state.limit.allowed(1.0) <= self.limits.cold + steps

    @stateful.invariant()
    def other_senders_stop_the_increase(self):
        if self.foreign:
            assert self.state.limit.value <= self.foreign_value


class IgnoresRestarts(ColdMachine):
    def mutate(self):
        self.state.limit.reset_to_cold = lambda: None


class IgnoresOtherSenders(ColdMachine):
    def mutate(self):
        self.state.limit.on_load = lambda running, waiting, in_flight, cold: None


@pytest.mark.parametrize("machine", [PartitionMachine, ColdMachine])
def test_limit_fuzz(machine):
    stateful.run_state_machine_as_test(machine, settings=settings(stateful_step_count=30))


@pytest.mark.parametrize(
    "mutant", [RoundsUp, AlwaysAllowsOne, IgnoresRestarts, IgnoresOtherSenders]
)
def test_limit_fuzz_catches_mutants(mutant):
    found = settings(stateful_step_count=30, max_examples=3_000, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(mutant, settings=found)


def test_healthy_target_reaches_its_maximum_and_stays_there():
    # Guards against a slow increase, and against oscillation while latency grows with the batch.
    clock = ManualClock()
    limit: AdaptiveLimit = build(clock, Limits(cold=1, max=12)).limit
    values = []
    for _ in range(160):
        clock.advance(250)
        limit.on_in_flight(int(limit.value), int(limit.value))
        limit.on_progress(8, 8 * (31 + int(limit.value)))
        values.append(limit.value)
    assert values[31] == 12
    assert values == sorted(values)


def test_slow_plain_service_gets_a_lower_limit():
    clock = ManualClock()
    state = build(clock, Limits(cold=1, max=12))
    for slow in [1] * 100 + [5] * 30:
        clock.advance(250)
        state.limit.on_in_flight(12, 12)
        for route, units in (("publish", 90.0), ("lookup", 2.0)):
            state.on_usage(Usage(0.0), Usage(units * slow, ended=True), route)
        assert slow > 1 or state.limit.value >= min(12, clock.now() // 500 - 4)
    assert state.limit.value < 7


def test_varying_plain_requests_do_not_lower_the_limit():
    # Costs of 1 to 38 units lowered the limit when it compared arithmetic means over ten requests.
    clock = ManualClock()
    state = build(clock, Limits(cold=12, max=12))
    for i in range(2_000):
        clock.advance(50)
        state.on_usage(Usage(0.0), Usage([38.0, 5.0, 1.0, 6.0, 18.0, 4.0, 28.0][i * i % 7], True))
        assert state.limit.value == 12


def test_overloaded_target_gets_a_lower_limit():
    clock = ManualClock()
    limit = build(clock, Limits(cold=1, max=12)).limit
    for _ in range(160):
        clock.advance(250)
        limit.on_in_flight(int(limit.value), int(limit.value))
        limit.on_progress(8, 8 * (31 if limit.value <= 6 else 100))
    assert 3 <= limit.value <= 7


@pytest.mark.parametrize(("waiting", "limit"), [(3, 12), (0, 1)])
def test_late_first_tokens_mean_a_cold_target_unless_it_is_over_its_maximum(waiting, limit):
    # Requests of a lost router that still run delay the first tokens of later requests.
    clock = ManualClock()
    state = build(clock, Limits(cold=1, max=12))
    state.limit.value = 12.0
    for _ in range(5):
        state.limit.on_first_token(100)
    state.limit.on_load(12, waiting, 12, cold=False)
    clock.advance(2_000)
    for _ in range(2):
        state.limit.on_first_token(2_000)
    assert state.limit.value == limit


def steady(clock: ManualClock, limit: AdaptiveLimit, steps: int) -> None:
    for _ in range(steps):
        clock.advance(250)
        limit.on_in_flight(int(limit.value), int(limit.value))
        limit.on_progress(8, 8 * (31 + int(limit.value)))


@pytest.mark.parametrize("first", [False, True], ids=["later", "at the start"])
def test_burst_of_buffered_tokens_does_not_lower_the_limit_permanently(first):
    # After a pause, a router reads the tokens that arrived meanwhile within a few milliseconds.
    clock = ManualClock()
    limit = build(clock, Limits(cold=1, max=12)).limit
    if not first:
        steady(clock, limit, 80)
        assert limit.value == 12
    clock.advance(WINDOW_MS)
    limit.on_progress(300, 10)
    steady(clock, limit, 200)
    assert limit.value == 12
