"""Estimates which shared prompt parts an engine still has in its prefix cache.

The shared prompts together may exceed the memory of the engines. An evicted part must be prefilled
again, so a request for it must not be treated as a short one. Engines evict the least recently used
part. A part is therefore still cached if the tokens that the engine has taken in since its last use
fit in the memory that running requests leave free.
"""

from dataclasses import dataclass

from jacinthcove.gateway.load import ReuseDistances
from jacinthcove.gateway.model import EngineCapacity, PromptShape
from jacinthcove.gateway.targets import TargetState

# Usable fraction of an engine's memory; rounding and requests unknown to this router take the rest.
CACHE_FRACTION = 0.9
MAX_KNOWN_PARTS = 16_384
# The reuse distances are computed for this many tokens more than asked for, because the free memory
# changes all the time.
DISTANCE_MARGIN_TOKENS = 65_536


class PartSizes:
    """Lengths in tokens of shared prompt parts, learned from the prompts at this router.

    A part that only other routers have seen counts with the mean length of the known parts.
    """

    def __init__(self) -> None:
        self.known: dict[str, int] = {}
        self.total = 0

    def record_prompt(self, prompt: PromptShape) -> None:
        """Learn the lengths of a prompt's shared parts."""
        for part in prompt.parts[:-1]:
            if part.id not in self.known:
                self.known[part.id] = part.tokens
                self.total += part.tokens
        while len(self.known) > MAX_KNOWN_PARTS:
            self.total -= self.known.pop(next(iter(self.known)))

    def tokens(self, part_id: str) -> float:
        """Return the length of a part, or the mean of all known parts if it is unknown."""
        known = self.known.get(part_id)
        if known is not None:
            return known
        return self.total / len(self.known) if self.known else 0.0


@dataclass(frozen=True)
class FillRate:
    """How fast an engine's cache fills with tokens that only one request uses."""

    own_tokens_per_ms: float = 0.0

    @classmethod
    def per_engine(cls, tokens_per_s: float, engines: int) -> "FillRate":
        """Return the rate of one engine if `engines` take in `tokens_per_s` together.

        An infinite rate means that it is not known yet; the result is then a rate of 0.
        """
        if tokens_per_s == float("inf") or not engines:
            return cls()
        return cls(tokens_per_s / 1_000 / engines)


def cache_capacity_tokens(engine: EngineCapacity, used_tokens: int) -> float:
    """Return the tokens of an engine's memory that running requests leave to the prefix cache."""
    return CACHE_FRACTION * engine.memory_tokens - used_tokens


def cached_tokens(
    prompt: PromptShape,
    target: TargetState,
    capacity: float,
    sizes: PartSizes,
    fill_rate: FillRate,
) -> int:
    """Return the length in tokens of the longest prefix of shared parts that an engine has cached.

    `capacity` is the size of its prefix cache in tokens.
    """
    shared = prompt.parts[:-1]
    if not shared or shared[0].id not in target.recent_parts:
        return 0
    distance_tokens = reuse_distances(target, capacity, sizes).distance_tokens
    now = target.load.clock.now()
    found = 0
    for item in shared:
        distance = distance_tokens.get(item.id)
        if distance is None:
            break
        since_ms = now - target.recent_parts[item.id]
        if distance + fill_rate.own_tokens_per_ms * since_ms > capacity:
            break
        found += item.tokens
    return found


def reuse_distances(target: TargetState, min_limit: float, sizes: PartSizes) -> ReuseDistances:
    """Return the reuse distances of a target's parts up to at least `min_limit` tokens.

    They are cached, and computed anew after the parts have changed.
    """
    known = target.reuse_distances
    if known.version == target.parts_version and known.limit >= min_limit:
        return known
    limit = min_limit + DISTANCE_MARGIN_TOKENS
    distance, distance_tokens = 0.0, {}
    for part_id in reversed(target.recent_parts):
        distance += sizes.tokens(part_id)
        if distance > limit:
            break
        distance_tokens[part_id] = distance
    target.reuse_distances = ReuseDistances(target.parts_version, limit, distance_tokens)
    return target.reuse_distances
