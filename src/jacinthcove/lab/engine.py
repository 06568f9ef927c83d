"""A simulated model engine: batches, a prefix cache of prompt parts and a FIFO backlog."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from random import Random

from jacinthcove.gateway.model import EngineCapacity, PromptShape

# Limit of the prompt tokens that one batch prefills.
PREFILL_CHUNK_TOKENS = 2_048
# An engine counts as idle while less than this fraction of its slots is in use.
IDLE_SLOTS_FRACTION = 0.3


@dataclass(frozen=True)
class EngineSpeed:
    """Duration of a batch, and the rates of prefill and of cache copies between engines."""

    batch_ms: float = 3.4
    batch_ms_per_slot: float = 0.1
    prefill_tokens_per_ms: float = 112.0
    copy_tokens_per_ms: float = 2_500.0
    copy_setup_ms: float = 5.0
    # Time between the batch that generates the first token and its arrival, whatever the prompt.
    first_token_ms: float = 0.0

    def scaled(self, factor: float) -> "EngineSpeed":
        """Return the speed of an engine that is `factor` times as fast."""
        return replace(
            self,
            batch_ms=self.batch_ms / factor,
            batch_ms_per_slot=self.batch_ms_per_slot / factor,
            prefill_tokens_per_ms=self.prefill_tokens_per_ms * factor,
        )


@dataclass(frozen=True)
class SlowSpells:
    """Spells in which an engine takes `slowdown` times as long.

    Each spell covers a window of `window_ms`; the fraction `fraction` of all windows has one.
    """

    slowdown: float = 2.5
    fraction: float = 0.15
    window_ms: int = 600

    def slowdown_at(self, now: float, engine_id: str, seed: int) -> float:
        """Return how many times as long a batch takes that starts at `now`."""
        drawn = Random(f"{seed} {engine_id} {int(now // self.window_ms)}").random()
        return self.slowdown if drawn < self.fraction else 1.0


@dataclass
class EngineRequest:
    """One request at an engine; `first_token_at` is a virtual ms, None before the first token."""

    id: str
    prompt: PromptShape
    prefill_tokens_left: float = 0.0
    output_tokens_left: int = 0
    first_token_at: float | None = None


@dataclass
class EngineTokenCounts:
    """Tokens that an engine prefilled and copied.

    `prefilled` counts all prompt tokens that were not cached, `prefilled_again` and `copied` only
    those of shared parts. A part is prefilled again if any engine has prefilled it before.
    """

    prefilled: float = 0.0
    prefilled_again: float = 0.0
    copied: float = 0.0


@dataclass
class LabEngine:
    """One simulated engine; `run_batch` advances it by one batch."""

    id: str
    domain: str
    capacity: EngineCapacity
    speed: EngineSpeed
    # Parts that any engine has prefilled before; all engines of a simulation share this set.
    ever_prefilled: set[str]
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    waiting: deque[EngineRequest] = field(default_factory=deque)
    running: dict[str, EngineRequest] = field(default_factory=dict)
    token_counts: EngineTokenCounts = field(default_factory=EngineTokenCounts)
    spells: SlowSpells | None = None
    spell_seed: int = 0

    def enqueue(self, id: str, prompt: PromptShape, source: "LabEngine | None") -> None:
        """Queue a request, and copy the shared parts that `source` has cached from there."""
        self.waiting.append(
            EngineRequest(id, prompt, output_tokens_left=max(1, prompt.output_tokens))
        )
        if source is not None:
            self._copy_cached_parts(prompt, source)

    def cancel(self, id: str) -> None:
        """Remove a request whose caller has disconnected."""
        self.running.pop(id, None)
        self.waiting = deque(request for request in self.waiting if request.id != id)

    @property
    def has_work(self) -> bool:
        """Return whether any request is waiting or running."""
        return bool(self.waiting or self.running)

    @property
    def is_idle(self) -> bool:
        """Return whether no request waits and most slots are free."""
        return not self.waiting and len(self.running) < IDLE_SLOTS_FRACTION * self.capacity.slots

    def run_batch(self, now: float) -> tuple[float, list[EngineRequest], list[EngineRequest]]:
        """Run one batch from `now`.

        Returns its duration, the requests whose first token it generated, and those it finished.
        """
        prefilled = self._prefill_chunk()
        duration = self.speed.batch_ms + self.speed.batch_ms_per_slot * len(self.running)
        duration += prefilled / self.speed.prefill_tokens_per_ms
        if self.spells is not None:
            duration *= self.spells.slowdown_at(now, self.id, self.spell_seed)
        started, ended = [], []
        for request in list(self.running.values()):
            if request.prefill_tokens_left > 0:
                continue
            if request.first_token_at is None:
                request.first_token_at = now + duration
                started.append(request)
            request.output_tokens_left -= 1
            if request.output_tokens_left <= 0:
                ended.append(request)
                del self.running[request.id]
                self._cache_part(
                    request.id, request.prompt.own_tokens + request.prompt.output_tokens
                )
        return duration, started, ended

    def _prefill_chunk(self) -> float:
        budget = float(PREFILL_CHUNK_TOKENS)
        for request in self.running.values():
            tokens = min(budget, request.prefill_tokens_left)
            request.prefill_tokens_left -= tokens
            budget -= tokens
        while budget > 0 and self.waiting and len(self.running) < self.capacity.slots:
            request = self.waiting.popleft()
            self._start(request)
            tokens = min(budget, request.prefill_tokens_left)
            request.prefill_tokens_left -= tokens
            budget -= tokens
        return PREFILL_CHUNK_TOKENS - budget

    def _start(self, request: EngineRequest) -> None:
        request.prefill_tokens_left = request.prompt.own_tokens + self._uncached_tokens(
            request.prompt
        )
        self.token_counts.prefilled += request.prefill_tokens_left
        for part in request.prompt.parts[:-1]:
            if part.id not in self.parts and part.id in self.ever_prefilled:
                self.token_counts.prefilled_again += part.tokens
            self.ever_prefilled.add(part.id)
            self._cache_part(part.id, part.tokens)
        self.running[request.id] = request

    def _uncached_tokens(self, prompt: PromptShape) -> int:
        uncached = 0
        for part in prompt.parts[:-1]:
            if uncached or part.id not in self.parts:
                uncached += part.tokens
        return uncached

    def _copy_cached_parts(self, prompt: PromptShape, source: "LabEngine") -> None:
        for part in prompt.parts[:-1]:
            if part.id not in source.parts:
                return
            if part.id not in self.parts:
                self.token_counts.copied += part.tokens
                self._cache_part(part.id, part.tokens)

    def _cache_part(self, part: str, tokens: int) -> None:
        self.parts.pop(part, None)
        self.parts[part] = tokens
        request_tokens = sum(
            request.prompt.own_tokens + request.prompt.output_tokens
            for request in self.running.values()
        )
        memory_used = request_tokens + sum(self.parts.values())
        while memory_used > self.capacity.memory_tokens and len(self.parts) > 1:
            _, size = self.parts.popitem(last=False)
            memory_used -= size
