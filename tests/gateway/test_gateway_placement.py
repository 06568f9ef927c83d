"""Choice of the target for a request under load."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.choice import Choice, RejectReason
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.shares import Standing
from jacinthcove.gateway.targets import TargetRegistry
from tests.gateway.samples import GOAL_MS, SHAPE, prompt, record, request, target


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def placement():
    return Placement("a")


def choose(placement, clock, targets, standing=Standing.WITHIN, **fields):
    return placement.choose_engine(
        request(clock, **fields), targets, SHAPE, GOAL_MS, standing, clock.now()
    )


def busy(state, wait_ms, requests=1):
    tokens = int(wait_ms * state.load.tokens_per_ms / requests)
    for number in range(requests):
        state.load.begin(f"{state.record.id}-{number}", tokens, 0)


def test_requests_with_the_same_shared_part_go_to_the_same_target(placement, clock):
    targets = [target(clock, f"t{number}") for number in range(6)]
    chosen = {choose(placement, clock, targets, id=f"q{n}").target.record.id for n in range(20)}
    assert len(chosen) == 1


def test_shared_parts_spread_over_the_targets(placement, clock):
    targets = [target(clock, f"t{number}") for number in range(6)]
    chosen = {
        choose(placement, clock, targets, prompt=prompt(key=f"doc{n}")).target.record.id
        for n in range(100)
    }
    assert len(chosen) == 6


def test_a_request_to_another_target_fetches_the_parts_from_a_busy_holder(placement, clock):
    targets = [target(clock, f"t{n}", address=f"10.0.0.{n}:80") for n in range(3)]
    owner = choose(placement, clock, targets).target
    owner.record_parts(["doc"])
    busy(owner, 250)
    choice = choose(placement, clock, targets)
    assert choice.target is not owner
    assert choice.fetch_from == owner.record.address
    assert choice.unread_tokens == prompt().own_tokens


def test_a_target_with_cached_parts_fetches_nothing(placement, clock):
    targets = [target(clock, f"t{number}") for number in range(3)]
    owner = choose(placement, clock, targets).target
    other = next(item for item in targets if item is not owner)
    other.record_parts(["doc"])
    busy(owner, 250)
    choice = choose(placement, clock, targets)
    assert (choice.target, choice.fetch_from) == (other, "")


def test_parts_are_fetched_from_a_holder_that_is_not_their_owner(placement, clock):
    targets = [target(clock, f"t{n}", address=f"10.0.0.{n}:80") for n in range(4)]
    owner = choose(placement, clock, targets).target
    holder, *others = [item for item in targets if item is not owner]
    holder.record_parts(["doc"])
    busy(owner, 300)
    busy(holder, 300)
    choice = choose(placement, clock, targets)
    assert choice.target in others
    assert choice.fetch_from == holder.record.address


def test_the_last_user_gets_requests_for_parts_that_are_probably_evicted(placement, clock):
    """It may still have them cached; if not, they are prefilled again on one engine only."""
    first, last, other = (target(clock, f"t{number}") for number in range(3))
    first.record_parts(["doc"])
    clock.advance(1_000)
    last.record_parts(["doc"])
    clock.advance(60_000)
    found = placement.choose_engine(
        request(clock),
        [first, last, other],
        SHAPE,
        GOAL_MS,
        Standing.WITHIN,
        clock.now(),
        (),
        10_000,
    )
    assert (found.target, found.reread_tokens, found.unread_tokens) == (last, 0, 1_500)


@pytest.mark.parametrize(
    ("standing", "wait_ms", "admitted"),
    [
        (Standing.WITHIN, 200, True),
        (Standing.WITHIN, 380, False),
        (Standing.OVER, 200, False),
        (Standing.OVER, 60, True),
        (Standing.BEHIND, 380, True),
        (Standing.BEHIND, 900, False),
    ],
)
def test_limits_depend_on_the_use_of_the_share(placement, clock, standing, wait_ms, admitted):
    only = target(clock)
    busy(only, wait_ms)
    choice = choose(placement, clock, [only], standing)
    assert isinstance(choice, Choice) == admitted


def test_a_prompt_longer_than_the_goal_is_admitted_where_the_wait_is_short(placement, clock):
    only = target(clock)
    long = prompt(shared=0, own=60_000)
    assert isinstance(choose(placement, clock, [only], prompt=long), Choice)
    busy(only, 150)
    assert choose(placement, clock, [only], prompt=long) is RejectReason.FULL


def test_a_stream_that_cannot_end_before_its_deadline_is_rejected_at_once(placement, clock):
    only = target(clock)
    busy(only, 10)
    only.load.on_stream_end(100, 2_000)
    assert isinstance(choose(placement, clock, [only], prompt=prompt(output=200)), Choice)
    slow = choose(placement, clock, [only], prompt=prompt(output=400))
    assert slow is RejectReason.TOO_SLOW


def test_slots_and_memory_are_not_exceeded(placement, clock):
    only = target(clock)
    busy(only, 0, SHAPE.slots)
    assert choose(placement, clock, [only]) is RejectReason.FULL
    other = target(clock)
    other.load.begin("q0", 0, SHAPE.memory_tokens - 10_000)
    assert choose(placement, clock, [other]) is RejectReason.FULL


def test_a_failing_target_is_not_the_owner(placement, clock):
    targets = [target(clock, f"t{number}") for number in range(3)]
    owner = choose(placement, clock, targets).target
    for _ in range(20):
        owner.record_result(True)
    assert choose(placement, clock, targets).target is not owner


@pytest.mark.parametrize("known", [True, False])
def test_cached_parts_do_not_attract_requests_to_a_failing_target(placement, clock, known):
    """The part is large, so copying it from the failing target would cost much."""
    targets = [target(clock, f"t{number}") for number in range(3)]
    failing = targets[0]
    failing.record_parts(["doc"])
    if not known:
        clock.advance(600_000)
    for number in range(40):
        failing.record_result(number % 2 == 0)
    asked = request(clock, prompt=prompt(shared=13_000))
    chosen = placement.choose_engine(
        asked, targets, SHAPE, GOAL_MS, Standing.BEHIND, clock.now(), (), 10_000
    )
    assert chosen.target is not failing


def test_plain_requests_go_to_the_least_loaded_target_up_to_its_limit(placement, clock):
    first, second = target(clock, "t1", slots=2), target(clock, "t2", slots=2)
    first.load.begin("q1", 0, 0)
    assert placement.choose_plain(request(clock), [first, second]).target is second
    for number in range(4):
        first.load.begin(f"a{number}", 0, 0)
        second.load.begin(f"b{number}", 0, 0)
    assert placement.choose_plain(request(clock), [first, second]) is RejectReason.FULL
    assert placement.choose_plain(request(clock), []) is RejectReason.NO_TARGET


def in_domains(clock, domains):
    return [target(clock, f"t{n}", failure_domain=d) for n, d in enumerate(domains)]


def test_uncached_parts_have_one_owner_for_all_failure_domains(clock):
    targets = in_domains(clock, "aabbcc")
    for key in ("doc1", "doc2", "doc3"):
        chosen = {
            choose(Placement(domain), clock, targets, prompt=prompt(key=key)).target.record.id
            for domain in "abc"
        }
        assert len(chosen) == 1


def test_the_cost_of_another_failure_domain_depends_on_the_bytes(placement, clock):
    near, far = in_domains(clock, "ab")
    busy(near, 12)
    small = choose(placement, clock, [near, far], prompt=prompt(shared=0, output=10), body=b"")
    large = choose(placement, clock, [near, far], prompt=prompt(shared=0), body=b"b" * 17_000)
    assert (small.target, large.target) == (far, near)


def test_a_long_cached_prompt_is_not_copied_to_another_failure_domain(placement, clock):
    near, far = in_domains(clock, "ab")
    far.record_parts(["doc"])
    long = choose(placement, clock, [near, far], prompt=prompt(shared=13_300), body=b"b" * 17_000)
    assert long.target is far
    short = choose(placement, clock, [near, far], prompt=prompt(shared=200), body=b"b" * 17_000)
    assert (short.target, short.fetch_from) == (near, far.record.address)


@pytest.mark.parametrize("how", ["leaves", "drained"])
def test_parts_are_fetched_from_a_draining_engine(placement, clock, how):
    """Otherwise a drained failure domain loses its cached parts, a third of all."""
    registry = TargetRegistry(clock)
    for number in range(3):
        domain = "b" if number == 2 else "a"
        fields = {"address": f"10.0.0.{number}:80", "failure_domain": domain}
        registry.put(record(f"t{number}", **fields), 1)
    registry.states["t2"].record_parts(["doc"])
    if how == "leaves":
        registry.mark_leaving("t2", 0)
    else:
        registry.drained.add("b")
    found = choose_from(placement, clock, registry)
    assert found.target.record.id in ("t0", "t1")
    assert found.fetch_from == "10.0.0.2:80"
    assert found.unread_tokens == prompt().own_tokens
    registry.states["t2"].record_connect_failure(clock.now())
    assert choose_from(placement, clock, registry).fetch_from != "10.0.0.2:80"


def choose_from(placement, clock, registry):
    return placement.choose_engine(
        request(clock),
        registry.usable("models"),
        SHAPE,
        GOAL_MS,
        Standing.WITHIN,
        clock.now(),
        registry.draining_targets("models"),
    )


def test_short_prompts_leave_the_limit_of_a_target_to_long_ones(clock):
    limited, free = target(clock, "t1"), target(clock, "t2")
    placement = Placement("a", limited=lambda state: state is limited)
    lengths = [100, 200, 150, 3_000, 120, 2_500, 180, 90]
    for number in range(400):
        length = lengths[number % len(lengths)]
        asked = prompt(shared=0, own=length)
        chosen = choose(placement, clock, [limited, free], prompt=asked, id=f"q{number}").target
        if number >= 200:
            assert chosen is (limited if length > 1_000 else free), length


def test_short_prompts_use_the_limit_of_a_target_when_the_others_are_busy(clock):
    limited, free = target(clock, "t1"), target(clock, "t2")
    placement = Placement("a", limited=lambda state: state is limited)
    for number in range(20):
        choose(placement, clock, [free], prompt=prompt(shared=0, own=3_000), id=f"q{number}")
    busy(free, 300)
    chosen = choose(placement, clock, [limited, free], prompt=prompt(shared=0, own=100))
    assert chosen.target is limited
