"""Guards against faulty versions that are not cut and good versions that are cut by chance."""

import random
from dataclasses import dataclass, replace

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import (
    FleetConfig,
    Move,
    MoveState,
    MoveStep,
    Route,
    Service,
    ServiceKind,
)
from jacinthcove.mesh.mesh_pb2 import MoveCut
from jacinthcove.moves.detector import FaultDetector, fleet_fault
from jacinthcove.moves.evidence import (
    Counters,
    EvidenceKey,
    FleetEvidence,
    Reporter,
    RequestResult,
    RouterEvidence,
    to_message,
)
from jacinthcove.moves.split import VersionSplit

WALL = ManualClock().wall()
SERVICE = Service("s", ServiceKind.ENGINE, "v1", (Route("a"), Route("b")))


@dataclass(frozen=True)
class Profile:
    errors: float = 0.01
    first_ms: float = 200.0
    token_ms: float = 30.0
    spread: float = 0.4


GOOD = Profile()


class Router:
    def __init__(self, seed, share=0.05, step=0):
        steps = (MoveStep(0.05, 50), MoveStep(0.5, 50))
        move = Move(
            "m", "s", "v1", "v2", WALL, WALL + 10**9, steps, step, share, MoveState.SHIFTING
        )
        self.config = FleetConfig(services={"s": SERVICE}, moves={"m": move})
        self.random = random.Random(seed)
        self.cuts = []
        clock = ManualClock()
        self.fault_detector = FaultDetector(
            lambda: self.config, clock, "r1", RouterEvidence(), self.cuts.append
        )
        self.split = VersionSplit(
            lambda: self.config, clock, self.fault_detector.is_cut, lambda service, version: True
        )
        self.counts = {"v1": 0, "v2": 0}

    def request(self, route, old, new):
        version = self.split.choose("s", route)
        self.counts[version] += 1
        profile = new if version == "v2" else old
        noise = self.random.lognormvariate(0, profile.spread)
        token_noise = self.random.lognormvariate(0, profile.spread / 2)
        failed = self.random.random() < profile.errors
        result = RequestResult(
            ResultCode.STREAM_BROKEN if failed else ResultCode.OK,
            int(profile.first_ms * noise),
            int(profile.token_ms * 50 * token_noise),
            50,
        )
        self.fault_detector.record("s", route, version, result)

    def run(self, requests, route, old, new):
        """Send requests until a cut; return the number that the new version received."""
        before = self.counts["v2"]
        for _ in range(requests):
            self.request(route, old, new)
            if self.fault_detector.is_cut("m", route):
                break
        return self.counts["v2"] - before


FAULTS = {
    "fails": Profile(errors=1.0),
    "fails often": Profile(errors=0.3),
    "slow first token": Profile(first_ms=600),
    "slow tokens": Profile(token_ms=60),
    "answers fast but fails": Profile(errors=0.6, first_ms=20),
}


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("fault", FAULTS)
def test_fault_from_the_start_is_cut_within_the_first_step(fault, seed):
    """Guards against more than 5% of a service's requests on a version faulty from the start."""
    router = Router(seed)
    bad_requests = router.run(8_000, "a", GOOD, FAULTS[fault])
    assert [cut.route for cut in router.cuts] == ["a"]
    assert bad_requests <= 0.05 * sum(router.counts.values())
    if fault == "fails":
        assert bad_requests <= 10


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("fault", FAULTS)
def test_fault_that_appears_later_or_under_load_is_cut(fault, seed):
    """Guards against earlier good results that hide a later fault on one route."""
    router = Router(seed, share=0.5, step=1)
    router.run(3_000, "a", GOOD, GOOD)
    router.run(1_000, "b", GOOD, GOOD)
    assert not router.cuts
    assert router.run(1_000, "a", GOOD, FAULTS[fault]) <= 250
    assert router.fault_detector.is_cut("m", "a") and not router.fault_detector.is_cut("m", "b")
    assert {router.split.choose("s", "a") for _ in range(20)} == {"v1"}


@pytest.mark.parametrize(
    "profile", [GOOD, Profile(errors=0.2, spread=0.8), Profile(errors=0.0, first_ms=2, spread=0.3)]
)
def test_equal_versions_are_rarely_cut(profile):
    """Guards against cuts by chance.

    Four tests cut at most 1% each per 100,000 results, so at most 1 of 25 shorter moves is cut.
    """
    cut = 0
    for seed in range(25):
        router = Router(seed, share=0.5, step=1)
        router.run(6_000, "a", profile, profile)
        cut += bool(router.cuts)
    assert cut <= 1


def test_remote_cut_is_applied_once():
    """Guards against routers that forward the same cut to each other forever."""
    router = Router(1)
    cut = MoveCut(move_id="m", route="a", reason="x", origin="r2")
    assert router.fault_detector.add_remote_cut(cut)
    assert not router.fault_detector.add_remote_cut(cut)
    assert router.fault_detector.cuts() == [cut] and not router.cuts
    assert router.run(100, "a", GOOD, GOOD) == 0


def test_fleet_evidence_survives_duplicates_reordering_and_restarts():
    """Guards against reports counted twice and lost reports of an earlier incarnation."""
    key = EvidenceKey("s", "a", "v2")

    def report(requests):
        return [to_message(key, Counters(requests, 1, 10 * requests, 3, 4))]

    fleet = FleetEvidence()
    first, second = Reporter("r1", 1), Reporter("r1", 2)
    for reporter, requests in [(first, 2), (first, 9), (first, 5), (first, 9)]:
        fleet.merge(reporter, report(requests))
    assert fleet.total(key).requests == 9
    fleet.merge(second, [])
    fleet.merge(second, report(4))
    fleet.merge(first, report(8))
    assert fleet.total(key) == Counters(13, 2, 130, 6, 8)


def test_report_leaves_out_the_evidence_of_an_earlier_move():
    """Guards against a new move that advances on the requests of the previous one."""
    router = Router(1)
    router.run(50, "a", GOOD, GOOD)
    assert router.fault_detector.evidence.messages(router.config)
    moves = {"n": replace(router.config.moves["m"], id="n")}
    router.config = replace(router.config, moves=moves)
    assert router.fault_detector.evidence.messages(router.config) == []


@pytest.mark.parametrize("seed", range(5))
def test_first_token_one_engine_step_later_is_no_fault(seed):
    """Guards against cutting a version whose first tokens just miss the start of a step."""
    router = Router(seed, share=0.5, step=1)
    old = Profile(first_ms=20, token_ms=31, spread=0.2)
    router.run(4_000, "a", old, replace(old, first_ms=51))
    assert not router.cuts
    assert router.run(2_000, "a", old, replace(old, first_ms=200)) <= 250
    assert router.fault_detector.is_cut("m", "a")


@pytest.mark.parametrize("seed", range(5))
def test_empty_prefix_caches_are_no_fault(seed):
    """Guards against cutting a version for the cache misses of its empty prefix caches."""
    router = Router(seed, share=0.5, step=1)
    hit = Profile(first_ms=20, token_ms=10, spread=0.1)
    miss = replace(hit, first_ms=80)
    for number in range(4_000):
        router.request("a", miss if number % 5 == 0 else hit, miss)
    assert not router.cuts
    mean = {version: (80 if version == "v2" else 32) for version in router.counts}
    counters = {v: Counters(200, 0, 200 * ms, 200 * 100, 2_000) for v, ms in mean.items()}
    assert fleet_fault(counters["v2"], counters["v1"]) == ""
