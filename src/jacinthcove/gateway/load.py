"""In-flight requests of one target, from this router's requests and the other routers' reports.

The model estimates how long a new request would wait at the target before its first event. An
engine prefills prompts in order of arrival, so the wait is the prefill time of all prompts that are
still unread, which means that their requests have had no event yet. Each router reports its current
unread tokens instead of changes, so an error lasts only as long as the requests that caused it.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from jacinthcove.clock import Clock
from jacinthcove.gateway.herdlimit import HerdLimiter

# Prefill speed that is assumed for an engine until its own is known.
INITIAL_TOKENS_PER_MS = 45.0
MIN_TOKENS_PER_MS = 4.0
MAX_TOKENS_PER_MS = 2_000.0
# Weight of one observation in the learned prefill speed. Waits expected to be shorter than
# `SPEED_MIN_MS` are too short to measure it. If the expectation is wrong by more than the factor
# `SPEED_MAX_ERROR`, the cause is a fault and not the speed.
SPEED_WEIGHT = 0.05
SPEED_MIN_MS = 40.0
SPEED_MAX_ERROR = 4.0
# Weight of one completed stream in the learned time per generated token.
TOKEN_TIME_WEIGHT = 0.15
# Reports older than this are ignored.
REPORT_LIFETIME_MS = 1_500


@dataclass(frozen=True)
class ReuseDistances:
    """The reuse distance of each part: tokens of the parts used since its last use, with its own.

    Parts with a distance above `limit` are left out. It is current if `version` equals the
    target's `parts_version`.
    """

    version: int
    limit: float
    distance_tokens: Mapping[str, float]


NO_DISTANCES = ReuseDistances(-1, 0.0, {})


@dataclass
class InFlightRequest:
    """A request that this router sent; `unread_tokens` is 0 after its first event.

    `expected_ms` is the expected time from `sent_at` to the first event.
    """

    unread_tokens: int
    memory_tokens: int
    sent_at: int
    expected_ms: float


@dataclass(frozen=True)
class PeerLoad:
    """The last report of another router about a target; `received_at` is in monotonic ms."""

    running: int
    memory_tokens: int
    unread_tokens: int
    received_at: int


@dataclass(frozen=True)
class LoadSnapshot:
    """In-flight requests of all routers with a recent report, at one moment.

    `wait_ms` is the time until all prompts sent so far are prefilled.
    """

    running: int
    memory_tokens: int
    wait_ms: float


class TargetLoad:
    """In-flight requests, their memory and unread prompt tokens at one target."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.own: dict[str, InFlightRequest] = {}
        self.peers: dict[str, PeerLoad] = {}
        self.tokens_per_ms = INITIAL_TOKENS_PER_MS
        # Time per generated token at the current load, 0 until a stream has ended.
        self.token_ms = 0.0
        self.herd_limiter = HerdLimiter(clock)
        # Maximum number of concurrent requests, 0 if unknown.
        self.slots = 0

    @property
    def running(self) -> int:
        """Return the in-flight requests of all routers with a recent report."""
        return self.snapshot().running

    @property
    def own_memory_tokens(self) -> int:
        """Return the memory, in tokens, that this router's requests use."""
        return sum(item.memory_tokens for item in self.own.values())

    @property
    def own_unread_tokens(self) -> int:
        """Return the prompt tokens of this router's requests that have had no event yet."""
        return sum(item.unread_tokens for item in self.own.values())

    @property
    def memory_tokens(self) -> int:
        """Return the memory, in tokens, that the in-flight requests use."""
        return self.snapshot().memory_tokens

    def wait_ms(self) -> float:
        """Return the time until all prompts sent so far are prefilled."""
        return self.snapshot().wait_ms

    def snapshot(self) -> LoadSnapshot:
        """Return all totals at once; cheaper than the properties when many targets are compared."""
        now = self.clock.now()
        limit = now - REPORT_LIFETIME_MS
        running, memory = len(self.own), self.own_memory_tokens
        wait = self.prefill_ms(self.own_unread_tokens)
        for peer in self.peers.values():
            if peer.received_at >= limit:
                running += peer.running
                memory += peer.memory_tokens
                wait += max(0.0, self.prefill_ms(peer.unread_tokens) - (now - peer.received_at))
        return LoadSnapshot(running, memory, wait)

    def prefill_ms(self, tokens: int) -> float:
        """Return the time to prefill `tokens`."""
        return tokens / self.tokens_per_ms

    def begin(self, request_id: str, unread_tokens: int, memory_tokens: int) -> None:
        """Add a request that is being sent now."""
        expected = self.wait_ms() + self.prefill_ms(unread_tokens)
        now = self.clock.now()
        self.own[request_id] = InFlightRequest(unread_tokens, memory_tokens, now, expected)

    def on_first_event(self, request_id: str) -> None:
        """Mark a request's prompt as prefilled, and update the prefill speed."""
        item = self.own.get(request_id)
        if item is None:
            return
        item.unread_tokens = 0
        ratio = item.expected_ms / max(1.0, self.clock.now() - item.sent_at)
        if item.expected_ms >= SPEED_MIN_MS and 1 / SPEED_MAX_ERROR < ratio < SPEED_MAX_ERROR:
            speed = self.tokens_per_ms * ratio**SPEED_WEIGHT
            self.tokens_per_ms = min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, speed))

    def on_stream_end(self, output_tokens: int, ran_ms: float) -> None:
        """Update the time per generated token; the stream ran for `ran_ms` after its first event.

        Only whole streams count. The time between single events follows every short burst, and
        streams that would end in time would look too slow.
        """
        if output_tokens > 0:
            weight = TOKEN_TIME_WEIGHT if self.token_ms else 1.0
            self.token_ms += weight * (ran_ms / output_tokens - self.token_ms)

    def generation_ms(self, output_tokens: int) -> float:
        """Return the expected time from the first event to the end of a stream."""
        return self.token_ms * output_tokens

    def end(self, request_id: str) -> None:
        """Remove a request that has ended."""
        self.own.pop(request_id, None)

    def on_report(self, member: str, report: PeerLoad) -> None:
        """Replace the report of another router."""
        self.peers[member] = report
        self.herd_limiter.record_running(self.running, self.slots)

    def sum_with(self, members: frozenset[str]) -> PeerLoad:
        """Return the load of this router and of those `members` that have a recent report."""
        recent = self._recent(members)
        return PeerLoad(
            len(self.own) + sum(peer.running for peer in recent),
            self.own_memory_tokens + sum(peer.memory_tokens for peer in recent),
            self.own_unread_tokens + sum(peer.unread_tokens for peer in recent),
            self.clock.now(),
        )

    def forget(self, member: str) -> None:
        """Remove the report of a router that has restarted or left."""
        self.peers.pop(member, None)

    def _recent(self, members: frozenset[str]) -> list[PeerLoad]:
        """Return the recent reports of `members`."""
        limit = self.clock.now() - REPORT_LIFETIME_MS
        return [
            peer
            for member, peer in self.peers.items()
            if peer.received_at >= limit and member in members
        ]
