"""Continuous batching of a model engine, with prefix cache and cold start."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from typing import Any
from uuid import uuid4

import gevent
from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.standins.faults import FaultControl

CACHE_EVENTS_KEPT = 1_000
# A collapsed engine is slower by this factor, and its requests fail after this time.
COLLAPSE_FACTOR = 15.0
COLLAPSE_ERROR_MS = 2_000


@dataclass(frozen=True)
class EngineSettings:
    """Settings of one engine.

    The step of a batch takes `token_ms`, plus the share `slowdown` of it for each request above
    `knee`. A cold engine bears `cold_capacity` requests, one more per `warm_requests` served and
    one more per second after `cold_ms`; with `cold_ms=0` it is never cold.
    """

    id: str = "engine"
    failure_domain: str = ""
    version: str = "v1"
    max_batch: int = 12
    max_waiting: int = 48
    token_ms: float = 31.0
    knee: int = 8
    slowdown: float = 0.05
    prefill_token_ms: float = 0.05
    prefix_hit_factor: float = 0.1
    cached_prefixes: int = 32
    cold_ms: int = 4_000
    cold_capacity: int = 2
    warm_requests: float = 1.0
    load_lag_ms: int = 300
    cache_event_lag_ms: int = 1_000
    cache_event_loss: float = 0.1
    checks_fencing: bool = True
    load_version_ms: int = 1_500
    seed: int = 0


class Stream:
    """The answer to one request; its text follows from `seed`, so only a count is kept."""

    def __init__(self, body: dict[str, Any]):
        self.id = uuid4().hex
        self.request_id = str(body["request_id"])
        self.route = str(body.get("route", ""))
        self.seed = str(body.get("prompt") or self.request_id)
        self.prefix_key = str(body.get("prefix_key") or "")
        self.input_tokens = int(body.get("input_tokens") or 0)
        self.max_tokens = int(body.get("max_tokens") or 1)
        self.ready_at = 0.0
        self.credit = 0.0
        self.produced = 0
        self.ended = False
        self.failed = False
        self.changed = Event()

    def end(self, failed: bool) -> None:
        """End the stream and wake its readers."""
        self.ended = True
        self.failed = failed
        self.changed.set()


class Batch:
    """Runs admitted streams in order of arrival, one token per step and stream."""

    def __init__(self, settings: EngineSettings, clock: Clock, faults: FaultControl):
        self.settings = settings
        self.clock = clock
        self.faults = faults
        self.random = Random(settings.seed + 1)
        self.running: list[Stream] = []
        self.waiting: deque[Stream] = deque()
        self.work = Event()
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.cache_events: deque[dict[str, Any]] = deque(maxlen=CACHE_EVENTS_KEPT)
        self.cache_sequence = 0
        self.reset()

    def reset(self) -> None:
        """Fail all streams and become cold with an empty cache."""
        for stream in [*self.running, *self.waiting]:
            stream.end(failed=True)
        self.running.clear()
        self.waiting.clear()
        self.prefixes.clear()
        self.cool()

    def cool(self) -> None:
        """Become cold without failing streams."""
        self.cold_since = self.clock.now()
        self.served = 0
        self.over_since: int | None = None

    def load(self) -> int:
        """Return the number of admitted requests."""
        return len(self.running) + len(self.waiting)

    def capacity(self) -> int:
        """Return how many requests the engine bears at its present warmth."""
        settings = self.settings
        if settings.cold_ms == 0:
            return settings.max_batch
        warm_s = max(0, self.clock.now() - self.cold_since - settings.cold_ms) / 1000
        bearable = settings.cold_capacity + self.served / settings.warm_requests + warm_s
        return min(settings.max_batch, int(bearable))

    def cold(self) -> bool:
        """Return whether the engine bears less than its whole batch."""
        return self.capacity() < self.settings.max_batch

    def collapsed(self) -> bool:
        """Return whether a cold engine has been overloaded for so long that requests fail."""
        over = self.over_since
        return over is not None and self.clock.now() - over >= COLLAPSE_ERROR_MS

    def add(self, stream: Stream) -> None:
        """Queue an admitted stream."""
        self.waiting.append(stream)
        self.work.set()

    def cancel(self, stream: Stream) -> None:
        """End a stream before its last token and free its place."""
        if stream in self.running:
            self.running.remove(stream)
        elif stream in self.waiting:
            self.waiting.remove(stream)
        stream.end(failed=True)

    def run(self) -> None:
        """Step through the batch until the greenlet is killed."""
        next_step = float(self.clock.now())
        while True:
            if not self.running and not self.waiting:
                self.over_since = None
                self.work.clear()
                self.work.wait()
                next_step = float(self.clock.now())
            self.fill()
            next_step = max(next_step + self._step_ms(), float(self.clock.now()))
            gevent.sleep((next_step - self.clock.now()) / 1000)
            self.step()

    def _step_ms(self) -> float:
        settings = self.settings
        above = max(0, len(self.running) - settings.knee)
        return settings.token_ms * (1 + settings.slowdown * above)

    def fill(self) -> None:
        """Move waiting streams into free places of the batch."""
        while self.waiting and len(self.running) < self.settings.max_batch:
            stream = self.waiting.popleft()
            prefill = stream.input_tokens * self.settings.prefill_token_ms
            if self.use_prefix(stream.prefix_key):
                prefill *= self.settings.prefix_hit_factor
            stream.ready_at = self.clock.now() + prefill * self._slowness(stream)
            self.running.append(stream)

    def _slowness(self, stream: Stream) -> float:
        collapse = COLLAPSE_FACTOR if self.over_since is not None else 1.0
        return collapse * self.faults.slow_factor(stream.route, self.load())

    def step(self) -> None:
        """Add one token to each running stream whose prefill is over."""
        now = self.clock.now()
        if self.cold() and self.load() > self.capacity():
            self.over_since = now if self.over_since is None else self.over_since
        else:
            self.over_since = None
        failed = self.collapsed()
        for stream in list(self.running):
            if failed:
                stream.end(failed=True)
            elif stream.ready_at <= now:
                stream.credit += 1 / self._slowness(stream)
                if stream.credit >= 1:
                    stream.credit -= 1
                    stream.produced += 1
                    stream.changed.set()
                if stream.produced >= stream.max_tokens:
                    self.served += 1
                    stream.end(failed=False)
        self.running = [stream for stream in self.running if not stream.ended]

    def use_prefix(self, key: str) -> bool:
        """Return whether `key` is cached, and cache it as the most recently used."""
        if not key:
            return False
        hit = key in self.prefixes
        self.prefixes[key] = None
        self.prefixes.move_to_end(key)
        if not hit:
            self._record("stored", key)
        if len(self.prefixes) > self.settings.cached_prefixes:
            self._record("evicted", self.prefixes.popitem(last=False)[0])
        return hit

    def _record(self, kind: str, key: str) -> None:
        self.cache_sequence += 1
        if self.random.random() >= self.settings.cache_event_loss:
            event = {"seq": self.cache_sequence, "kind": kind, "prefix_key": key}
            self.cache_events.append({**event, "at_ms": self.clock.now()})
