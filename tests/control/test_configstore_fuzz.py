"""Concurrent changes of the configuration must not get lost or be reported wrongly.

Several operators make changes at once, interleaved store call by store call, while the store has
outages, lost replies and late writes.
"""

from dataclasses import dataclass, replace

import gevent
import pytest
from gevent.event import Event
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from jacinthcove.clock import ManualClock
from jacinthcove.config.document import decode
from jacinthcove.config.model import FailureDomain, FleetConfig
from jacinthcove.control.configstore import CURRENT_KEY, ConfigStore, OutcomeUnknown
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.memory import MemoryStore

OPERATORS = 3
FAULTS = ("none", "none", "lose_answers", "lose_requests", "hold_writes", "outage")


@dataclass
class Attempt:
    """One change by one operator; `outcome` is a revision, "refused", "unknown" or None so far."""

    domain: str
    outcome: int | str | None = None


class UnconditionalStore(MemoryStore):
    """A mutant that ignores the condition of writes to the current configuration."""

    def _require_version(self, key, if_version):
        if key != CURRENT_KEY:
            super()._require_version(key, if_version)


class HastyConfigStore(ConfigStore):
    """A mutant that treats a missing reply as a rejection."""

    def _write_and_confirm(self, new):
        stored = self.accepted()
        self._copy_to_history(stored)
        if stored.config.revision != new.config.revision - 1 or not self._write_if_version(
            new, stored.version
        ):
            raise Conflict(CURRENT_KEY, stored.config.revision)


class Race(RuleBasedStateMachine):
    store_type = MemoryStore
    config_store_type = ConfigStore

    def __init__(self):
        super().__init__()
        self.store = self.store_type(on_call=self._pause)
        self.clock = ManualClock()
        self.running: dict[int, tuple[gevent.Greenlet, Event]] = {}
        self.by_greenlet: dict[gevent.Greenlet, Event] = {}
        self.attempts: list[Attempt] = []
        self.decoded: list[FleetConfig] = []

    def _pause(self, kind, key):
        turn = self.by_greenlet.get(gevent.getcurrent())
        if turn is not None:
            turn.wait()
            turn.clear()

    def _run(self, attempt, whole_update):
        config_store = self.config_store_type(self.store, self.clock, outcome_timeout_ms=200)

        def edit(config):
            domains = {**config.failure_domains, attempt.domain: FailureDomain(attempt.domain)}
            return replace(config, failure_domains=domains)

        try:
            if whole_update:
                attempt.outcome = config_store.update(edit)
            else:
                config = config_store.current()
                attempt.outcome = config_store.submit(edit(config), config.revision)
        except OutcomeUnknown:
            attempt.outcome = "unknown"
        except (Conflict, StoreUnavailable):
            attempt.outcome = "refused"

    def _step(self, operator):
        greenlet, turn = self.running[operator]
        turn.set()
        for _ in range(4):
            gevent.sleep(0)
        if greenlet.dead:
            greenlet.get()
            del self.running[operator]

    @rule(operator=st.integers(0, OPERATORS - 1), whole_update=st.booleans())
    def start(self, operator, whole_update):
        if operator in self.running:
            return
        attempt = Attempt(f"d{len(self.attempts)}")
        self.attempts.append(attempt)
        greenlet = gevent.Greenlet(self._run, attempt, whole_update)
        turn = Event()
        self.by_greenlet[greenlet] = turn
        self.running[operator] = (greenlet, turn)
        greenlet.start()
        gevent.sleep(0)

    @rule(
        steps=st.lists(
            st.tuples(st.integers(0, OPERATORS - 1), st.sampled_from(FAULTS)),
            min_size=5,
            max_size=25,
        )
    )
    def advance(self, steps):
        for operator, fault in steps:
            if operator not in self.running:
                continue
            if fault != "none":
                setattr(self.store, fault, 1)
            self._step(operator)
            for name in set(FAULTS) - {"none"}:
                setattr(self.store, name, 0)

    @rule()
    def release(self):
        self.store.release_writes()

    def written(self) -> list[FleetConfig]:
        versions = self.store.versions(CURRENT_KEY)
        self.decoded += [decode(item.value) for item in versions[len(self.decoded) :]]
        return self.decoded

    @invariant()
    def revisions_rise_by_one_and_keep_earlier_changes(self):
        previous = FleetConfig()
        for config in self.written():
            assert config.revision == previous.revision + 1, "a revision was skipped or repeated"
            kept = config.failure_domains.keys() > previous.failure_domains.keys()
            assert kept, "an accepted change was lost"
            previous = config

    @invariant()
    def reported_outcomes_are_true(self):
        written = self.written()
        in_force = written[-1].failure_domains if written else {}
        for attempt in self.attempts:
            if isinstance(attempt.outcome, int):
                accepted = written[attempt.outcome - 1].failure_domains
                assert attempt.domain in accepted, "an accepted change is not in its revision"
            elif attempt.outcome == "refused":
                assert attempt.domain not in in_force, "a refused change is in force"

    def teardown(self):
        for operator in list(self.running):
            for _ in range(200):
                if operator in self.running:
                    self._step(operator)
        assert not self.running
        self.store.release_writes()
        self.revisions_rise_by_one_and_keep_earlier_changes()
        self.reported_outcomes_are_true()


class RaceWithoutCondition(Race):
    store_type = UnconditionalStore


class RaceWithoutConfirmation(Race):
    config_store_type = HastyConfigStore


FUZZ = settings(derandomize=True, max_examples=100, stateful_step_count=30, deadline=None)
# The mutant only has to fail; shrinking its example takes minutes.
MUTANT = settings(FUZZ, max_examples=3_000, phases=[Phase.generate])


def test_concurrent_changes_are_neither_lost_nor_misreported():
    run_state_machine_as_test(Race, settings=FUZZ)


@pytest.mark.parametrize(
    ("race", "fault"),
    [
        (RaceWithoutCondition, "a revision was skipped or repeated|change was lost"),
        (RaceWithoutConfirmation, "a refused change is in force"),
    ],
)
def test_state_machine_detects_mutants(race, fault):
    with pytest.raises(AssertionError, match=fault):
        run_state_machine_as_test(race, settings=MUTANT)


def test_unchanged_configuration_is_decoded_once():
    # The move driver reads twice a second; decoding 5,200 workspaces takes 25 to 60 ms.
    store = MemoryStore()
    one, other = (ConfigStore(store, ManualClock()) for _ in range(2))
    assert one.current().revision == 0
    one.submit(FleetConfig(), 0)
    first = one.accepted()
    assert one.accepted() is first
    other.submit(replace(other.current(), site="b"), 1)
    assert one.current().site == "b"
    store.objects.clear()
    assert one.current().revision == 0
