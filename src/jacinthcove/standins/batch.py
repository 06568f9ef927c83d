"""Simulates the continuous batching, prefix cache and warm-up of a model engine."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from typing import Any
from uuid import uuid4

import gevent
from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.standins.faults import FaultControl

MAX_CACHE_EVENTS = 1_000
# A cold engine above its capacity is slower by this factor; after this time its requests fail.
COLLAPSE_FACTOR = 15.0
COLLAPSE_ERROR_MS = 2_000


@dataclass(frozen=True)
class EngineSettings:
    """Settings of one engine.

    A step of the batch takes `token_ms`, plus the fraction `slowdown` of it for each running
    request above `knee`. A cold engine can run `cold_capacity` requests, one more per
    `warm_requests` served and one more per second after `cold_ms`. With `cold_ms=0` it is never
    cold.
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
    """The response to one request; `text_seed` determines its text, so only a count is stored."""

    def __init__(self, body: dict[str, Any]):
        self.id = uuid4().hex
        self.request_id = str(body["request_id"])
        self.route = str(body.get("route", ""))
        self.text_seed = str(body.get("prompt") or self.request_id)
        self.prefix_key = str(body.get("prefix_key") or "")
        self.input_tokens = int(body.get("input_tokens") or 0)
        self.max_tokens = int(body.get("max_tokens") or 1)
        self.prefill_done_at = 0.0
        self.token_credit = 0.0
        self.produced = 0
        self.ended = False
        self.failed = False
        self.updated = Event()

    def finish(self, failed: bool) -> None:
        """Mark the stream as ended and wake its readers."""
        self.ended = True
        self.failed = failed
        self.updated.set()


class Batch:
    """Runs admitted streams in order of arrival; each step produces one token per stream."""

    def __init__(self, settings: EngineSettings, clock: Clock, faults: FaultControl):
        self.settings = settings
        self.clock = clock
        self.faults = faults
        self.random = Random(settings.seed + 1)
        self.running: list[Stream] = []
        self.waiting: deque[Stream] = deque()
        self.work_available = Event()
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.cache_events: deque[dict[str, Any]] = deque(maxlen=MAX_CACHE_EVENTS)
        self.cache_sequence = 0
        self.reset()

    def reset(self) -> None:
        """Fail all streams, empty the prefix cache and start cold."""
        for stream in [*self.running, *self.waiting]:
            stream.finish(failed=True)
        self.running.clear()
        self.waiting.clear()
        self.prefixes.clear()
        self.reset_warmup()

    def reset_warmup(self) -> None:
        """Start the warm-up again without failing streams."""
        self.cold_since = self.clock.now()
        self.served = 0
        self.overloaded_since: int | None = None

    def admitted_count(self) -> int:
        """Return the number of running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def capacity(self) -> int:
        """Return how many requests the engine can run at its current warm-up progress."""
        settings = self.settings
        if settings.cold_ms == 0:
            return settings.max_batch
        warm_s = max(0, self.clock.now() - self.cold_since - settings.cold_ms) / 1000
        warm_capacity = settings.cold_capacity + self.served / settings.warm_requests + warm_s
        return min(settings.max_batch, int(warm_capacity))

    def is_cold(self) -> bool:
        """Return whether the capacity is below the full batch size."""
        return self.capacity() < self.settings.max_batch

    def is_collapsed(self) -> bool:
        """Return whether a cold engine has been overloaded so long that its requests fail."""
        overloaded_since = self.overloaded_since
        return (
            overloaded_since is not None
            and self.clock.now() - overloaded_since >= COLLAPSE_ERROR_MS
        )

    def add(self, stream: Stream) -> None:
        """Queue an admitted stream and wake the batch."""
        self.waiting.append(stream)
        self.work_available.set()

    def cancel(self, stream: Stream) -> None:
        """Fail a stream before its last token and free its slot."""
        if stream in self.running:
            self.running.remove(stream)
        elif stream in self.waiting:
            self.waiting.remove(stream)
        stream.finish(failed=True)

    def run(self) -> None:
        """Run batch steps until the greenlet is killed."""
        next_step = float(self.clock.now())
        while True:
            if not self.running and not self.waiting:
                self.overloaded_since = None
                self.work_available.clear()
                self.work_available.wait()
                next_step = float(self.clock.now())
            self.start_waiting_streams()
            next_step = max(next_step + self._step_ms(), float(self.clock.now()))
            gevent.sleep((next_step - self.clock.now()) / 1000)
            self.step()

    def _step_ms(self) -> float:
        settings = self.settings
        excess = max(0, len(self.running) - settings.knee)
        return settings.token_ms * (1 + settings.slowdown * excess)

    def start_waiting_streams(self) -> None:
        """Move waiting streams into free slots of the batch and start their prefill."""
        while self.waiting and len(self.running) < self.settings.max_batch:
            stream = self.waiting.popleft()
            prefill_ms = stream.input_tokens * self.settings.prefill_token_ms
            if self.look_up_prefix(stream.prefix_key):
                prefill_ms *= self.settings.prefix_hit_factor
            stream.prefill_done_at = self.clock.now() + prefill_ms * self._slowdown_factor(stream)
            self.running.append(stream)

    def _slowdown_factor(self, stream: Stream) -> float:
        collapse_factor = COLLAPSE_FACTOR if self.overloaded_since is not None else 1.0
        return collapse_factor * self.faults.slow_factor(stream.route, self.admitted_count())

    def step(self) -> None:
        """Produce one token, less under a slowdown, for each running stream after its prefill."""
        now = self.clock.now()
        if self.is_cold() and self.admitted_count() > self.capacity():
            self.overloaded_since = now if self.overloaded_since is None else self.overloaded_since
        else:
            self.overloaded_since = None
        failed = self.is_collapsed()
        for stream in list(self.running):
            if failed:
                stream.finish(failed=True)
            elif stream.prefill_done_at <= now:
                stream.token_credit += 1 / self._slowdown_factor(stream)
                if stream.token_credit >= 1:
                    stream.token_credit -= 1
                    stream.produced += 1
                    stream.updated.set()
                if stream.produced >= stream.max_tokens:
                    self.served += 1
                    stream.finish(failed=False)
        self.running = [stream for stream in self.running if not stream.ended]

    def look_up_prefix(self, key: str) -> bool:
        """Return whether `key` was cached, and make it the most recently used entry."""
        if not key:
            return False
        hit = key in self.prefixes
        self.prefixes[key] = None
        self.prefixes.move_to_end(key)
        if not hit:
            self._record_cache_event("stored", key)
        if len(self.prefixes) > self.settings.cached_prefixes:
            self._record_cache_event("evicted", self.prefixes.popitem(last=False)[0])
        return hit

    def _record_cache_event(self, kind: str, key: str) -> None:
        self.cache_sequence += 1
        if self.random.random() >= self.settings.cache_event_loss:
            event = {"seq": self.cache_sequence, "kind": kind, "prefix_key": key}
            self.cache_events.append({**event, "at_ms": self.clock.now()})
