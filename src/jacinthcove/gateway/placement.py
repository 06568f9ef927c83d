"""Choice of the target for a request, and the decision to refuse it.

Answers heavy days: engines admit in order of arrival and know no shares, so what is sent to one is
committed. A request is sent only where it is expected to start within its latency goal; where no
target can, it is refused at once with a time to come back. Shared parts of prompts are read again
only where the wait for the target that holds them is longer than reading them elsewhere.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from jacinthcove.gateway.model import EngineShape, GatewayRequest, PromptShape
from jacinthcove.gateway.targets import TargetState

# Part of the service's least latency goal that unread prompts at an engine may take.
BACKLOG_PART = 0.8
# A prompt that is longer than that by itself may still wait this part of the goal.
LONG_PROMPT_WAIT_PART = 0.25
# The same for workspaces that already got their share.
OVER_SHARE_BACKLOG_PART = 0.35
OVER_SHARE_WAIT_PART = 0.08
# Part of an engine's slots and memory that is filled by choice.
SLOTS_PART = 1.0
OVER_SHARE_SLOTS_PART = 0.8
MEMORY_PART = 0.9
# Requests that a plain target may hold beyond its slots.
PLAIN_QUEUE = 2
# Weight of reading shared parts again, in time that a request would rather wait.
REREAD_WEIGHT = 2.0
# Weight of a target's fill in ms, which spreads requests that have no shared parts.
FILL_WEIGHT_MS = 60.0
ERROR_WEIGHT_MS = 1_500.0
OTHER_DOMAIN_MS = 2.0
# Shared parts that a target read this long ago may have been evicted.
PART_LIFETIME_MS = 20_000
# Targets, best first by hash, that are expected to hold a shared part without other knowledge.
HOME_TARGETS = 1


class Verdict(Enum):
    """Why no target was chosen."""

    NO_TARGET = "no_target"
    FULL = "full"


@dataclass(frozen=True)
class Choice:
    """A target with the inputs that decided for it, for the log."""

    target: TargetState
    unread_tokens: int
    memory_tokens: int
    wait_ms: float
    running: int


def _weight(key: str, target_id: str) -> bytes:
    return hashlib.blake2b(f"{key}\n{target_id}".encode(), digest_size=8).digest()


def home_order(key: str, targets: Iterable[TargetState]) -> list[TargetState]:
    """Return the targets in rendezvous order for a shared part."""
    return sorted(targets, key=lambda item: _weight(key, item.record.id), reverse=True)


def shared_key(prompt: PromptShape) -> str:
    """Return the id of the last shared part, or the empty text."""
    return prompt.parts[-2].id if len(prompt.parts) >= 2 else ""


def unread_tokens(prompt: PromptShape, target: TargetState, home: bool, now: int) -> int:
    """Return the prompt tokens that a target probably has to read."""
    held = 0
    for part in prompt.parts[:-1]:
        seen_at = target.recent_parts.get(part.id)
        known = seen_at is not None and now - seen_at < PART_LIFETIME_MS
        if not known and not home:
            break
        held += part.tokens
    return max(0, prompt.input_tokens - held)


def note_parts(prompt: PromptShape, target: TargetState, now: int) -> None:
    """Remember the shared parts that a target reads for a request."""
    for part in prompt.parts[:-1]:
        target.recent_parts.pop(part.id, None)
        target.recent_parts[part.id] = now
    while len(target.recent_parts) > 4_096:
        del target.recent_parts[next(iter(target.recent_parts))]


class Placement:
    """Chooses among the usable targets of one service."""

    def __init__(self, failure_domain: str):
        self.failure_domain = failure_domain

    def choose_engine(
        self,
        request: GatewayRequest,
        targets: list[TargetState],
        shape: EngineShape,
        least_goal_ms: int,
        over_share: bool,
        now: int,
    ) -> Choice | Verdict:
        """Return the engine with the earliest expected start, or why there is none."""
        if not targets:
            return Verdict.NO_TARGET
        prompt = request.prompt
        key = shared_key(prompt)
        homes = home_order(key, targets)[:HOME_TARGETS] if key else []
        best: tuple[float, Choice] | None = None
        for target in targets:
            unread = unread_tokens(prompt, target, target in homes, now)
            memory = prompt.parts[-1].tokens if prompt.parts else prompt.input_tokens
            memory += prompt.output_tokens
            choice = Choice(target, unread, memory, target.load.wait_ms(), target.load.running)
            if not fits(choice, shape, least_goal_ms, over_share):
                continue
            cost = self._cost(choice, prompt, shape.slots)
            if best is None or cost < best[0]:
                best = (cost, choice)
        return best[1] if best is not None else Verdict.FULL

    def choose_plain(self, targets: list[TargetState]) -> Choice | Verdict:
        """Return the plain target with the fewest requests per slot, or why there is none."""
        if not targets:
            return Verdict.NO_TARGET
        best: tuple[float, Choice] | None = None
        for target in targets:
            running = target.load.running
            slots = max(1, target.record.slots)
            if running >= slots + PLAIN_QUEUE:
                continue
            cost = 40.0 * running / slots + self._penalty(target)
            if best is None or cost < best[0]:
                best = (cost, Choice(target, 0, 0, 0.0, running))
        return best[1] if best is not None else Verdict.FULL

    def _cost(self, choice: Choice, prompt: PromptShape, slots: int) -> float:
        target = choice.target
        last = prompt.parts[-1].tokens if prompt.parts else prompt.input_tokens
        reread = max(0, choice.unread_tokens - last)
        return (
            choice.wait_ms
            + target.load.read_ms(last)
            + REREAD_WEIGHT * target.load.read_ms(reread)
            + FILL_WEIGHT_MS * choice.running / max(1, slots)
            + self._penalty(target)
        )

    def _penalty(self, target: TargetState) -> float:
        domain = 0.0 if target.record.failure_domain == self.failure_domain else OTHER_DOMAIN_MS
        return domain + ERROR_WEIGHT_MS * target.error_rate


def fits(choice: Choice, shape: EngineShape, least_goal_ms: int, over_share: bool) -> bool:
    """Return whether an engine can start the request in time and has room for it."""
    load = choice.target.load
    slots = shape.slots * (OVER_SHARE_SLOTS_PART if over_share else SLOTS_PART)
    if choice.running >= slots:
        return False
    if load.memory_tokens + choice.memory_tokens > MEMORY_PART * shape.memory_tokens:
        return choice.running == 0
    backlog = OVER_SHARE_BACKLOG_PART if over_share else BACKLOG_PART
    wait = OVER_SHARE_WAIT_PART if over_share else LONG_PROMPT_WAIT_PART
    total = choice.wait_ms + load.read_ms(choice.unread_tokens)
    return total <= backlog * least_goal_ms or choice.wait_ms <= wait * least_goal_ms
