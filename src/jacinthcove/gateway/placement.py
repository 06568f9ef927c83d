"""Choice of the target for a request, and the decision to refuse it.

Answers heavy days: engines admit in order of arrival and know no shares, so what is sent to one is
committed. A request is sent only where it is expected to start within its latency goal; where no
target can, it is refused at once with a time to come back. Shared parts of prompts are copied or
read again only where that is cheaper than the wait for the target that holds them.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from jacinthcove.gateway.keptparts import PartSizes, Turnover, kept_tokens, room_for_parts
from jacinthcove.gateway.load import LoadView
from jacinthcove.gateway.model import EngineShape, GatewayRequest, PromptShape
from jacinthcove.gateway.shares import Standing
from jacinthcove.gateway.targets import TargetState
from jacinthcove.scheduling import rendezvous

# Part of an engine's memory that is filled by choice.
MEMORY_PART = 0.9
# Requests that a plain target may hold beyond its slots.
PLAIN_QUEUE = 2
# Price of reading shared parts again and of fetching them from another engine, in parts of the time
# that reading them takes.
REREAD_WEIGHT = 3.0
FETCH_WEIGHT = 2.0
# Weight of a target's fill in ms, which spreads requests that have no shared parts.
FILL_WEIGHT_MS = 60.0
PLAIN_FILL_WEIGHT_MS = 40.0
ERROR_WEIGHT_MS = 1_500.0
OTHER_DOMAIN_MS = 2.0
# Price of what crosses failure domains, on the scale of a wait: the body, and of the answer about
# this many bytes for each token.
CROSSING_MS_PER_KB = 1.0
ANSWER_BYTES_PER_TOKEN = 16
# What is known of other failure domains is older in large fleets, which makes a choice there worse.
STALE_WEIGHT = 0.1
# A stream is begun only if this much of its time limit is expected to be needed at most; the pace
# varies while it runs.
RUN_PART = 1.1
# A target that fails this part of its requests is the last choice.
FAILING_RATE = 0.4


@dataclass(frozen=True)
class Room:
    """How far an engine is filled for a request, by what its workspace got so far.

    `backlog` is the part of the service's least latency goal that unread prompts may take. A prompt
    that is longer than that by itself still waits behind `wait` of the goal.
    """

    backlog: float
    wait: float
    slots: float


ROOM = {
    Standing.BEHIND: Room(backlog=1.1, wait=0.6, slots=1.0),
    Standing.WITHIN: Room(backlog=0.8, wait=0.25, slots=1.0),
    Standing.OVER: Room(backlog=0.35, wait=0.08, slots=0.6),
}


class Verdict(Enum):
    """Why no target was chosen."""

    NO_TARGET = "no_target"
    FULL = "full"
    # Every target with room would need longer than the caller waits.
    TOO_SLOW = "too_slow"
    # The workspace had its share of what the engines can begin.
    OVER_SHARE = "over_share"


@dataclass(frozen=True)
class Choice:
    """A target with the inputs that decided for it, for the log.

    Of the shared parts that the target lacks, `fetched_tokens` are expected to come from the engine
    at `fetch_from`, and `reread_tokens` are read although another engine would be the one to read
    them. `used_tokens` are those of the target's memory that running requests take.
    `holder_saves_ms` is the price of the copy that would not be needed at a holder which has
    no room at present, 0 where there is none.
    """

    target: TargetState
    unread_tokens: int
    memory_tokens: int
    wait_ms: float
    running: int
    used_tokens: int = 0
    fetched_tokens: int = 0
    reread_tokens: int = 0
    fetch_from: str = ""
    holder_saves_ms: float = 0.0

    @property
    def complete(self) -> bool:
        """Return whether the target has all shared parts, or is the one to read them first."""
        return not (self.fetched_tokens or self.reread_tokens)


@dataclass(frozen=True)
class PartHolders:
    """Where the shared parts of one prompt are.

    `kept` has the tokens that each engine keeps, by id; a failing one counts with none, as it
    would bind requests to it. `views` has what runs at each. `source` may hand out what others
    lack, and `home` is the one to read what nobody keeps; both are None without shared parts.
    """

    kept: dict[str, int]
    views: dict[str, LoadView]
    source: TargetState | None
    home: TargetState | None


def shared_key(prompt: PromptShape) -> str:
    """Return the id of the last shared part, or the empty text."""
    return prompt.parts[-2].id if len(prompt.parts) >= 2 else ""


def crossing_ms(request: GatewayRequest) -> float:
    """Return the price of sending a request to another failure domain, in ms of waiting."""
    answer = ANSWER_BYTES_PER_TOKEN * request.prompt.output_tokens
    return OTHER_DOMAIN_MS + CROSSING_MS_PER_KB * (len(request.body) + answer) / 1_024


def sound_ones(targets: list[TargetState]) -> list[TargetState]:
    """Return the targets that do not fail much, all if there is no other."""
    return [item for item in targets if item.error_rate < FAILING_RATE] or targets


def home_of(prompt: PromptShape, targets: list[TargetState]) -> TargetState | None:
    """Return the target at which a prompt's shared parts should be read first.

    It is the first in rendezvous order of the last shared part, so that all routers send to the
    same one. A home in each failure domain would fill the memory with copies.
    """
    key = shared_key(prompt)
    if not key:
        return None
    sound = sound_ones(targets)
    owner = rendezvous.owner(key, [item.record.id for item in sound])
    return next((item for item in sound if item.record.id == owner), None)


def last_user(prompt: PromptShape, targets: Sequence[TargetState]) -> TargetState | None:
    """Return the target that read the last shared part of a prompt last, None if none did."""
    key = shared_key(prompt)
    users = [item for item in targets if key in item.recent_parts]
    return max(users, key=lambda item: item.recent_parts[key], default=None)


class Placement:
    """Chooses among the usable targets of one service.

    `far_age_ms` returns how old reports from other failure domains may be beyond the usual.
    """

    def __init__(self, failure_domain: str, far_age_ms: Callable[[], float] = lambda: 0.0):
        self.failure_domain = failure_domain
        self.far_age_ms = far_age_ms
        self.sizes = PartSizes()

    def choose_engine(
        self,
        request: GatewayRequest,
        targets: list[TargetState],
        shape: EngineShape,
        least_goal_ms: int,
        standing: Standing,
        now: int,
        leaving: Sequence[TargetState] = (),
        tokens_per_s: float = float("inf"),
    ) -> Choice | Verdict:
        """Return the engine with the least cost among those with room, or why there is none.

        `leaving` are engines that take no requests any more, but still hand out what they hold.
        `tokens_per_s` is what the engines were given together of late.
        """
        if not targets:
            return Verdict.NO_TARGET
        prompt = request.prompt
        turnover = Turnover.of_fleet(tokens_per_s, len(targets))
        parts = self._holders(prompt, targets, leaving, shape, turnover)
        choices = [self._choice(prompt, item, parts) for item in targets]
        room = ROOM[standing]
        with_room: list[Choice] = []
        without_room: list[Choice] = []
        for item in choices:
            has_room = fits(item, shape, least_goal_ms, room) and lets(item, request, shape)
            (with_room if has_room else without_room).append(item)
        if not with_room:
            return Verdict.FULL
        left_ms = request.deadline - now
        fitting = [item for item in with_room if ends_in_time(item, prompt, left_ms)]
        if not fitting:
            return Verdict.TOO_SLOW
        crossing = crossing_ms(request)
        best = min(fitting, key=lambda item: self._cost(item, shape.slots, crossing))
        if not any(item.complete for item in without_room):
            return best
        return replace(best, holder_saves_ms=copy_ms(best))

    def _holders(
        self,
        prompt: PromptShape,
        targets: list[TargetState],
        leaving: Sequence[TargetState],
        shape: EngineShape,
        turnover: Turnover,
    ) -> PartHolders:
        self.sizes.note(prompt)
        everyone = sound_ones([*targets, *leaving])
        views = {item.record.id: item.load.view() for item in [*targets, *leaving]}
        kept = dict.fromkeys((item.record.id for item in targets), 0)
        for item in everyone:
            id = item.record.id
            room = room_for_parts(shape, views[id].memory_tokens)
            kept[id] = kept_tokens(prompt, item, room, self.sizes, turnover)
        # The engine that read the parts last may still keep them, whatever is believed.
        last = last_user(prompt, everyone)
        home = last if last in targets else home_of(prompt, targets)
        holder = max(everyone, key=lambda item: (kept[item.record.id], item is last))
        return PartHolders(kept, views, holder if kept[holder.record.id] else last or home, home)

    def _choice(self, prompt: PromptShape, target: TargetState, parts: PartHolders) -> Choice:
        own = prompt.own_tokens
        kept = parts.kept[target.record.id]
        lacking = prompt.input_tokens - own - kept
        source = parts.source if parts.source is not target else None
        fetched = max(0, parts.kept[source.record.id] - kept) if source is not None else 0
        unread = own + lacking - fetched
        view = parts.views[target.record.id]
        return Choice(
            target,
            unread,
            own + prompt.output_tokens,
            view.wait_ms,
            view.running,
            view.memory_tokens,
            fetched,
            0 if target is parts.home else unread - own,
            source.record.address if source is not None and lacking else "",
        )

    def choose_plain(self, request: GatewayRequest, targets: list[TargetState]) -> Choice | Verdict:
        """Return the plain target with the fewest requests per slot, or why there is none."""
        if not targets:
            return Verdict.NO_TARGET
        crossing = crossing_ms(request)
        best: tuple[float, Choice] | None = None
        for target in targets:
            running = target.load.running
            slots = max(1, target.record.slots)
            if running >= slots + PLAIN_QUEUE:
                continue
            cost = PLAIN_FILL_WEIGHT_MS * running / slots + self._penalty(target, crossing)
            if best is None or cost < best[0]:
                best = (cost, Choice(target, 0, 0, 0.0, running))
        return best[1] if best is not None else Verdict.FULL

    def _cost(self, choice: Choice, slots: int, crossing: float) -> float:
        target = choice.target
        return (
            choice.wait_ms
            + target.load.read_ms(choice.unread_tokens)
            + copy_ms(choice)
            + FILL_WEIGHT_MS * choice.running / max(1, slots)
            + self._penalty(target, crossing)
        )

    def _penalty(self, target: TargetState, crossing: float) -> float:
        domain = 0.0
        if target.record.failure_domain != self.failure_domain:
            domain = crossing + STALE_WEIGHT * self.far_age_ms()
        return domain + ERROR_WEIGHT_MS * target.error_rate


def copy_ms(choice: Choice) -> float:
    """Return the price of what an engine lacks of the shared parts, in ms of waiting."""
    load = choice.target.load
    fetched = FETCH_WEIGHT * load.read_ms(choice.fetched_tokens)
    return fetched + REREAD_WEIGHT * load.read_ms(choice.reread_tokens)


def ends_in_time(choice: Choice, prompt: PromptShape, left_ms: int) -> bool:
    """Return whether an engine is expected to end the answer within the caller's time limit.

    An idle engine is always tried, because its pace is known from busier times.
    """
    load = choice.target.load
    total = choice.wait_ms + load.read_ms(choice.unread_tokens) + load.run_ms(prompt.output_tokens)
    return choice.running == 0 or total <= RUN_PART * left_ms


def lets(choice: Choice, request: GatewayRequest, shape: EngineShape) -> bool:
    """Return whether this request may take one of the places that other routers see as well."""
    load = choice.target.load
    load.slots = shape.slots
    free = shape.slots - choice.running
    return load.surges.lets(request.id, choice.target.record.id, free)


def fits(choice: Choice, shape: EngineShape, least_goal_ms: int, room: Room) -> bool:
    """Return whether an engine can start the request in time and has room for it."""
    load = choice.target.load
    if choice.running >= shape.slots * room.slots:
        return False
    if choice.used_tokens + choice.memory_tokens > MEMORY_PART * shape.memory_tokens:
        return choice.running == 0
    total = choice.wait_ms + load.read_ms(choice.unread_tokens)
    return total <= room.backlog * least_goal_ms or choice.wait_ms <= room.wait * least_goal_ms
