"""Prompt parts that crash engines: evidence over several routers, quarantine and release."""

from types import SimpleNamespace

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import PeerUnavailable, StoreUnavailable
from jacinthcove.gateway.crashevidence import (
    SAME_CRASH_MS,
    SAME_CRASH_OF_REQUEST_MS,
    SUSPECT_CRASHES,
    EngineStart,
    FirstEvents,
    WaitingRequest,
)
from jacinthcove.gateway.crashexaminer import EXAMINERS, MAX_QUARANTINED, CrashExaminer
from jacinthcove.gateway.quarantine import QUARANTINE_MS, Quarantine
from jacinthcove.mesh.peers import Member
from jacinthcove.store.kinds import Gap

DEADLY = "dead"
POPULAR = "popular"


def only(*parts):
    """Return the combination of these parts."""
    return frozenset(parts)


def waiting(*combinations):
    """Return requests with these marks that waited at an engine."""
    return [WaitingRequest(marks) for marks in combinations]


@pytest.fixture
def clock():
    return ManualClock()


class Store:
    """The parts that all routers of a test see; unavailable while `down`."""

    def __init__(self):
        self.parts = set()
        self.down = False

    def _check(self):
        if self.down:
            raise StoreUnavailable("down")

    def put(self, part):
        self._check()
        self.parts.add(part)

    def delete(self, part):
        self._check()
        self.parts.discard(part)


class Mesh:
    """Delivers messages between the routers of a test at once; `cut` ones are unreachable."""

    def __init__(self, ids):
        self.ids = ids
        self.handlers = {id: {} for id in ids}
        self.cut = set()

    def peers_of(self, id):
        def deliver(member_id, kind, message, timeout_ms=0):
            if self.cut & {id, member_id}:
                raise PeerUnavailable(member_id)
            return self.handlers[member_id][kind](id, message)

        def send(member_id, kind, message):
            if not self.cut & {id, member_id}:
                deliver(member_id, kind, message)

        return SimpleNamespace(register=self.handlers[id].__setitem__, call=deliver, send=send)

    def members_of(self, id):
        alive = tuple(Member(other, "", "", "a") for other in self.ids)
        return SimpleNamespace(me=Member(id, "", "", "a"), alive=lambda: alive)


class Fleet:
    """Routers with an examiner each; the store's news reach them with `sync`."""

    def __init__(self, clock, count):
        self.clock = clock
        ids = [f"r{number}" for number in range(count)]
        self.mesh, self.store = Mesh(ids), Store()
        self.examiners = {
            id: CrashExaminer(clock, FirstEvents(clock), Quarantine(clock), self.store)
            for id in ids
        }
        for id, examiner in self.examiners.items():
            examiner.join(self.mesh.members_of(id), self.mesh.peers_of(id))

    def report(self, witness, engine, requests, age_ms=0):
        """Let a router report a crash that it saw `age_ms` before."""
        self.examiners[witness].report(engine, requests, self.clock.now() - age_ms)

    def crash(self, number, witness, *parts):
        """Let an engine crash while one request with these parts waits there.

        Answers on other prompts begin meanwhile.
        """
        self.clock.advance(SAME_CRASH_MS)
        self.report(witness, EngineStart(f"e{number}", 1), waiting(only(*parts)))
        self.examiners["r7"].first_events.record(["sound"])

    def examine(self):
        for examiner in self.examiners.values():
            examiner.examine()
            examiner.upkeep()

    def sync(self, gap=Gap.NONE):
        for examiner in self.examiners.values():
            examiner.quarantine.replace_stored(self.store.parts, gap)

    def refusing(self, *parts):
        """Return the routers that refuse a request with just these shared parts."""
        asked = frozenset(parts)
        return {id for id, item in self.examiners.items() if item.quarantine.find(asked)}


@pytest.fixture
def fleet(clock):
    return Fleet(clock, 8)


def test_a_part_is_quarantined_although_each_router_saw_one_crash(fleet):
    for number in range(SUSPECT_CRASHES):
        assert not fleet.refusing(DEADLY)
        fleet.crash(number, f"r{number}", DEADLY)
        fleet.examine()
    assert len(fleet.refusing(DEADLY)) == 8
    assert fleet.store.parts == {only(DEADLY)}


def test_parts_whose_answers_begin_elsewhere_are_not_quarantined(fleet, clock):
    for number in range(SUSPECT_CRASHES + 2):
        fleet.crash(number, "r1", DEADLY, POPULAR)
        clock.advance(10)
        fleet.examiners["r6"].first_events.record([POPULAR])
        fleet.examine()
    assert not fleet.refusing(POPULAR)
    assert fleet.refusing(DEADLY)


def test_an_answer_before_the_first_crash_does_not_clear_a_part(fleet, clock):
    fleet.examiners["r6"].first_events.record([DEADLY])
    clock.advance(10)
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, "r1", DEADLY)
    fleet.examine()
    assert fleet.refusing(DEADLY)


def test_a_sound_part_that_comes_with_a_deadly_one_is_still_served(fleet):
    """Requests of one caller share their first part, whose other requests are sound."""
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, f"r{number}", POPULAR, DEADLY)
    fleet.examine()
    assert len(fleet.refusing(POPULAR, DEADLY)) == 8
    assert not fleet.refusing(POPULAR)


def test_a_crash_by_one_part_of_a_combination_singles_it_out(fleet):
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, f"r{number}", POPULAR, DEADLY)
    fleet.examine()
    assert not fleet.refusing(DEADLY, "other")
    fleet.crash(9, "r6", DEADLY, "other")
    fleet.examine()
    assert len(fleet.refusing(DEADLY, "other")) == 8
    assert not fleet.refusing(POPULAR)


def test_a_sound_request_that_waits_beside_a_deadly_one_does_not_condemn_its_caller(fleet):
    """Both have the first part of their caller; only the other one has the deadly part."""
    for number in range(SUSPECT_CRASHES + 1):
        fleet.crash(number, f"r{number}", POPULAR, DEADLY)
        engine = EngineStart(f"e{number}", 1)
        fleet.report("r6", engine, waiting(only(POPULAR), only(POPULAR, f"sound{number}")))
        fleet.examine()
    assert len(fleet.refusing(POPULAR, DEADLY)) == 8
    assert not fleet.refusing(POPULAR)
    assert not fleet.refusing(POPULAR, "sound1")


def test_crashes_by_a_known_part_do_not_count_against_parts_that_wait_beside_it(fleet):
    """Requests with the deadly part that were sent before go on crashing engines for a while."""
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, "r1", DEADLY)
    fleet.examine()
    for number in range(10, 10 + 2 * SUSPECT_CRASHES):
        fleet.clock.advance(SAME_CRASH_MS)
        fleet.report("r2", EngineStart(f"e{number}", 1), waiting(only(DEADLY), only("rare")))
        fleet.examiners["r7"].first_events.record(["sound"])
        fleet.examine()
    assert not fleet.refusing("rare")


def test_several_requests_at_one_crashed_engine_count_once(fleet):
    for witness in ("r0", "r1", "r2", "r3"):
        fleet.crash(1, witness, DEADLY)
    fleet.examine()
    assert not fleet.refusing(DEADLY)


def test_a_router_cut_off_from_the_others_learns_from_the_store(fleet):
    cut = "r5"
    fleet.mesh.cut = {cut}
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, f"r{number}", DEADLY)
    fleet.examine()
    assert cut not in fleet.refusing(DEADLY)
    fleet.sync()
    assert cut in fleet.refusing(DEADLY)


def test_an_isolated_router_quarantines_what_it_saw_itself(fleet):
    fleet.mesh.cut = {"r5"}
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, "r5", DEADLY)
    fleet.examiners["r5"].first_events.record(["sound"])
    fleet.examine()
    assert fleet.refusing(DEADLY) == {"r5"}
    assert fleet.store.parts == {only(DEADLY)}


def test_a_part_found_while_the_store_is_down_is_stored_later(fleet):
    fleet.store.down = True
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, "r1", DEADLY)
    fleet.examine()
    assert len(fleet.refusing(DEADLY)) == 8
    fleet.store.down = False
    fleet.examine()
    assert fleet.store.parts == {only(DEADLY)}


def test_crashes_are_collected_while_one_collecting_router_is_cut_off(fleet):
    first = fleet.examiners["r0"].examiners()
    assert len(first) == EXAMINERS
    fleet.mesh.cut = {first[0]}
    witnesses = [id for id in fleet.mesh.ids if id not in first]
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, witnesses[number], DEADLY)
    fleet.examine()
    assert fleet.refusing(DEADLY) >= set(fleet.mesh.ids) - {first[0]}


def test_a_part_is_released_when_an_answer_on_it_begins(fleet):
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, "r1", POPULAR)
    fleet.examine()
    fleet.sync()
    fleet.examiners["r4"].release([only(POPULAR)])
    fleet.examine()
    assert not fleet.store.parts
    fleet.sync()
    assert not fleet.refusing(POPULAR)


def test_the_quarantine_of_a_part_ends(fleet, clock):
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, "r1", DEADLY)
    fleet.examine()
    fleet.sync()
    clock.advance(QUARANTINE_MS + 1)
    fleet.examine()
    fleet.sync()
    assert not fleet.refusing(DEADLY)


def find_deadly(fleet):
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, f"r{number}", DEADLY)
    fleet.examine()
    fleet.sync()
    assert len(fleet.refusing(DEADLY)) == len(fleet.examiners)


def test_a_quarantine_that_an_older_copy_lacks_goes_on_and_is_stored_again(fleet, clock):
    find_deadly(fleet)
    fleet.store.parts.clear()
    clock.advance(QUARANTINE_MS // 2)
    fleet.sync(Gap.OLDER_COPY)
    assert len(fleet.refusing(DEADLY)) == len(fleet.examiners)
    fleet.examine()
    assert fleet.store.parts == {only(DEADLY)}
    fleet.sync()
    clock.advance(QUARANTINE_MS // 2)
    fleet.examine()
    assert not fleet.store.parts


def test_a_part_that_was_released_is_not_quarantined_by_an_older_copy(fleet):
    find_deadly(fleet)
    fleet.store.parts.clear()
    fleet.sync()
    assert not fleet.refusing(DEADLY)
    fleet.store.parts.add(only(DEADLY))
    fleet.sync(Gap.OLDER_COPY)
    assert not fleet.refusing(DEADLY)
    fleet.examine()
    assert not fleet.store.parts


def test_engines_that_crash_at_the_same_time_quarantine_nothing(fleet):
    """All engines of a failure domain lose power, with many requests on popular parts."""
    for number in range(20):
        engine = EngineStart(f"e{number}", 1)
        fleet.report(f"r{number % 8}", engine, waiting(only(POPULAR), only(DEADLY, POPULAR)))
    fleet.examiners["r7"].first_events.record(["sound"])
    fleet.examine()
    assert not fleet.refusing(POPULAR, DEADLY)


def test_crashes_by_one_request_that_was_sent_on_each_count(fleet):
    """A retry crashes the second engine within the time in which crashes may have one cause."""
    for number in range(SUSPECT_CRASHES):
        engine = EngineStart(f"e{number}", 1)
        before = frozenset(f"e{earlier}" for earlier in range(number))
        fleet.report("r2", engine, [WaitingRequest(only(DEADLY), before)])
    fleet.examiners["r7"].first_events.record(["sound"])
    fleet.examine()
    assert len(fleet.refusing(DEADLY)) == 8


@pytest.mark.parametrize(("apart_ms", "refused"), [(SAME_CRASH_OF_REQUEST_MS, True), (3, False)])
def test_copies_of_a_request_that_crash_engines_at_once_are_told_from_a_power_loss(
    fleet, apart_ms, refused
):
    """All copies are refused before the engines are back, whenever the reports arrive."""
    for number in range(SUSPECT_CRASHES):
        age_ms = 50 + apart_ms * (SUSPECT_CRASHES - number)
        engine = EngineStart(f"e{number}", 1)
        fleet.report(f"r{number}", engine, waiting(only("request:1")), age_ms)
    fleet.examiners["r7"].first_events.record(["sound"])
    fleet.examine()
    assert bool(fleet.refusing("request:1")) is refused


def test_a_deadly_request_is_found_although_answers_on_its_parts_begin(fleet):
    for number in range(SUSPECT_CRASHES):
        fleet.crash(number, f"r{number}", "request:1", POPULAR)
        fleet.examiners["r6"].first_events.record([POPULAR, f"request:other{number}"])
        fleet.examine()
    assert len(fleet.refusing("request:1", POPULAR)) == 8
    assert not fleet.refusing("request:2", POPULAR)


def test_a_sound_request_that_waits_at_fewer_crashes_is_still_served(fleet):
    for number in range(SUSPECT_CRASHES + 1):
        fleet.clock.advance(SAME_CRASH_MS)
        beside = [only("request:sound")] if number else []
        engine = EngineStart(f"e{number}", 1)
        fleet.report("r2", engine, waiting(only("request:deadly"), *beside))
    fleet.examiners["r7"].first_events.record(["another"])
    fleet.examine()
    assert fleet.refusing("request:deadly")
    assert not fleet.refusing("request:sound")


def test_a_late_report_of_the_same_crash_does_not_count_again(fleet, clock):
    for _ in range(SUSPECT_CRASHES):
        fleet.crash(1, "r2", DEADLY)
    fleet.examine()
    assert not fleet.refusing(DEADLY)


def test_engines_that_crash_without_any_answer_quarantine_nothing(fleet, clock):
    """Every engine crashes at whatever it is asked, such as one with a broken model."""
    for number in range(SUSPECT_CRASHES + 2):
        clock.advance(SAME_CRASH_MS)
        fleet.report("r1", EngineStart(f"e{number}", 1), waiting(only(POPULAR)))
        fleet.examine()
    assert not fleet.refusing(POPULAR)


def test_the_quarantine_is_bounded(fleet):
    for number in range(SUSPECT_CRASHES):
        fleet.clock.advance(SAME_CRASH_MS)
        for part in range(MAX_QUARANTINED + 5):
            engine = EngineStart(f"e{number}-{part}", 1)
            fleet.report("r1", engine, waiting(only(f"part{part}")))
    fleet.examiners["r7"].first_events.record(["sound"])
    fleet.examiners["r1"].examine()
    assert len(fleet.store.parts) == MAX_QUARANTINED
