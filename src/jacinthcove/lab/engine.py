"""A model engine in virtual time: batches, memory for prompt parts, requests in order."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from jacinthcove.gateway.model import EngineCapacity, PromptShape

# Prompt tokens that one step reads at most.
CHUNK_TOKENS = 2_048


@dataclass(frozen=True)
class EngineSpeed:
    """Times of a step in ms, and how fast prompts and copies of memory come in."""

    step_ms: float = 3.4
    step_ms_per_slot: float = 0.1
    read_tokens_per_ms: float = 112.0
    copy_tokens_per_ms: float = 2_500.0
    copy_setup_ms: float = 5.0


@dataclass
class Run:
    """One request at an engine; times are virtual ms, `left` are tokens still to generate."""

    id: str
    prompt: PromptShape
    to_read: float = 0.0
    left: int = 0
    first_at: float | None = None


@dataclass
class EngineCounts:
    """What an engine did, in tokens."""

    read: float = 0.0
    read_again: float = 0.0
    copied: float = 0.0


@dataclass
class LabEngine:
    """One engine; `step` advances it by one batch."""

    id: str
    domain: str
    shape: EngineCapacity
    speed: EngineSpeed
    # Parts that any engine has read before, shared by all engines of a play.
    ever_read: set[str]
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    waiting: deque[Run] = field(default_factory=deque)
    running: dict[str, Run] = field(default_factory=dict)
    counts: EngineCounts = field(default_factory=EngineCounts)

    def take(self, id: str, prompt: PromptShape, source: "LabEngine | None") -> None:
        """Queue a request; what `source` holds of its shared parts is copied from there."""
        self.waiting.append(Run(id, prompt, left=max(1, prompt.output_tokens)))
        if source is not None:
            self._copy(prompt, source)

    def drop(self, id: str) -> None:
        """End a request whose caller has left."""
        self.running.pop(id, None)
        self.waiting = deque(run for run in self.waiting if run.id != id)

    @property
    def busy(self) -> bool:
        """Return whether the engine has anything to do."""
        return bool(self.waiting or self.running)

    def step(self, now: float) -> tuple[float, list[Run], list[Run]]:
        """Run one batch from `now`; return its duration, and the runs that began and ended."""
        read = self._read_chunk()
        duration = self.speed.step_ms + self.speed.step_ms_per_slot * len(self.running)
        duration += read / self.speed.read_tokens_per_ms
        begun, ended = [], []
        for run in list(self.running.values()):
            if run.to_read > 0:
                continue
            if run.first_at is None:
                run.first_at = now + duration
                begun.append(run)
            run.left -= 1
            if run.left <= 0:
                ended.append(run)
                del self.running[run.id]
                self._keep(run.id, run.prompt.own_tokens + run.prompt.output_tokens)
        return duration, begun, ended

    def _read_chunk(self) -> float:
        room = float(CHUNK_TOKENS)
        for run in self.running.values():
            taken = min(room, run.to_read)
            run.to_read -= taken
            room -= taken
        while room > 0 and self.waiting and len(self.running) < self.shape.slots:
            run = self.waiting.popleft()
            self._admit(run)
            taken = min(room, run.to_read)
            run.to_read -= taken
            room -= taken
        return CHUNK_TOKENS - room

    def _admit(self, run: Run) -> None:
        run.to_read = run.prompt.own_tokens + self._missing(run.prompt)
        self.counts.read += run.to_read
        for part in run.prompt.parts[:-1]:
            if part.id not in self.parts and part.id in self.ever_read:
                self.counts.read_again += part.tokens
            self.ever_read.add(part.id)
            self._keep(part.id, part.tokens)
        self.running[run.id] = run

    def _missing(self, prompt: PromptShape) -> int:
        missing = 0
        for part in prompt.parts[:-1]:
            if missing or part.id not in self.parts:
                missing += part.tokens
        return missing

    def _copy(self, prompt: PromptShape, source: "LabEngine") -> None:
        for part in prompt.parts[:-1]:
            if part.id not in source.parts:
                return
            if part.id not in self.parts:
                self.counts.copied += part.tokens
                self._keep(part.id, part.tokens)

    def _keep(self, part: str, tokens: int) -> None:
        self.parts.pop(part, None)
        self.parts[part] = tokens
        used = sum(
            run.prompt.own_tokens + run.prompt.output_tokens for run in self.running.values()
        )
        total = used + sum(self.parts.values())
        while total > self.shape.memory_tokens and len(self.parts) > 1:
            _, size = self.parts.popitem(last=False)
            total -= size
