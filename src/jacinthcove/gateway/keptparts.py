"""Which shared parts of prompts an engine still keeps in its memory.

Answers a working set that is larger than the memory of the engines: a part that was evicted takes
time to be read again, and a request for it must not be counted as a short one. An engine evicts
what was used least recently, so a part is kept while what the engine took in since its last use
fits in the memory that running requests leave.
"""

from dataclasses import dataclass

from jacinthcove.gateway.model import EngineShape, PromptShape
from jacinthcove.gateway.targets import PartOrder, TargetState

# Some of an engine's memory is lost to rounding and to requests that this router does not know of.
KEPT_PART = 0.9
MAX_SIZES = 16_384
# The order of parts is kept for this much more room, as the room changes all the time.
ORDER_MARGIN_TOKENS = 65_536


class PartSizes:
    """Lengths in tokens of shared parts, learned from the prompts that came here.

    Parts that only other routers have seen count with the mean of the known ones.
    """

    def __init__(self) -> None:
        self.known: dict[str, int] = {}
        self.total = 0

    def note(self, prompt: PromptShape) -> None:
        """Learn the lengths of a prompt's shared parts."""
        for part in prompt.parts[:-1]:
            if part.id not in self.known:
                self.known[part.id] = part.tokens
                self.total += part.tokens
        while len(self.known) > MAX_SIZES:
            self.total -= self.known.pop(next(iter(self.known)))

    def tokens(self, part: str) -> float:
        """Return the length of a part, the mean of all if it is unknown."""
        known = self.known.get(part)
        if known is not None:
            return known
        return self.total / len(self.known) if self.known else 0.0


@dataclass(frozen=True)
class Turnover:
    """How fast engines fill with tokens of single requests, which no other request uses."""

    own_tokens_per_ms: float = 0.0

    @classmethod
    def of_fleet(cls, tokens_per_s: float, engines: int) -> "Turnover":
        """Return what each of `engines` takes in if they take in `tokens_per_s` together.

        An infinite rate stands for one that is not known yet, and then nothing is assumed.
        """
        if tokens_per_s == float("inf") or not engines:
            return cls()
        return cls(tokens_per_s / 1_000 / engines)


def room_for_parts(shape: EngineShape, used_tokens: int) -> float:
    """Return the tokens of an engine's memory that running requests leave to shared parts."""
    return KEPT_PART * shape.memory_tokens - used_tokens


def kept_tokens(
    prompt: PromptShape,
    target: TargetState,
    room: float,
    sizes: PartSizes,
    turnover: Turnover,
) -> int:
    """Return the tokens of a prompt's shared parts that an engine keeps, from the first part on.

    `room` are the tokens of its memory that shared parts may take.
    """
    shared = prompt.parts[:-1]
    if not shared or shared[0].id not in target.recent_parts:
        return 0
    newer_tokens = part_order(target, room, sizes).newer_tokens
    now = target.load.clock.now()
    found = 0
    for item in shared:
        newer = newer_tokens.get(item.id)
        if newer is None:
            break
        since_ms = now - target.recent_parts[item.id]
        if newer + turnover.own_tokens_per_ms * since_ms > room:
            break
        found += item.tokens
    return found


def part_order(target: TargetState, room: float, sizes: PartSizes) -> PartOrder:
    """Return the order of the parts up to `room` tokens at least, computed anew after changes."""
    known = target.part_order
    if known.changes == target.parts_changes and known.limit >= room:
        return known
    limit = room + ORDER_MARGIN_TOKENS
    newer, newer_tokens = 0.0, {}
    for part in reversed(target.recent_parts):
        newer += sizes.tokens(part)
        if newer > limit:
            break
        newer_tokens[part] = newer
    target.part_order = PartOrder(target.parts_changes, limit, newer_tokens)
    return target.part_order
