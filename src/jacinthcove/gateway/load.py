"""What is under way at one target, from this router's sends and the reports of the others.

The model answers one question: how long would a request wait at the target before its first event?
An engine reads prompts in order of arrival, so the wait is the time to read what was sent before.
"""

from dataclasses import dataclass

from jacinthcove.clock import Clock

# Prompt tokens that an engine reads per ms until it has shown its own speed.
INITIAL_TOKENS_PER_MS = 45.0
MIN_TOKENS_PER_MS = 4.0
MAX_TOKENS_PER_MS = 2_000.0
# Weight of one observation in the learned speed. Short prompts say little about it.
SPEED_WEIGHT = 0.08
SPEED_MIN_MS = 40.0
# The model is corrected by this part of an observed error of its prediction.
CORRECTION = 0.5
# A report this old says nothing about what runs now.
REPORT_LIFETIME_MS = 1_500


@dataclass(frozen=True)
class Reservation:
    """One request under way at a target; times are monotonic ms, tokens are prompt tokens."""

    request_id: str
    unread_tokens: int
    memory_tokens: int
    sent_at: int
    expected_at: float


@dataclass
class PeerLoad:
    """The last report of another router about a target."""

    running: int
    memory_tokens: int
    prefill_tokens: int
    heard_at: int


class TargetLoad:
    """Requests, memory and unread prompt tokens at one target."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.own: dict[str, Reservation] = {}
        self.peers: dict[str, PeerLoad] = {}
        self.prefill_tokens = 0
        self.ready_at = 0.0
        self.tokens_per_ms = INITIAL_TOKENS_PER_MS

    @property
    def running(self) -> int:
        """Return the requests under way, of all routers with a recent report."""
        return len(self.own) + sum(peer.running for peer in self._recent())

    @property
    def memory_tokens(self) -> int:
        """Return the tokens of memory that requests under way take."""
        own = sum(item.memory_tokens for item in self.own.values())
        return own + sum(peer.memory_tokens for peer in self._recent())

    def wait_ms(self) -> float:
        """Return the time until everything sent so far has been read."""
        return max(0.0, self.ready_at - self.clock.now())

    def read_ms(self, tokens: int) -> float:
        """Return the time to read `tokens`."""
        return tokens / self.tokens_per_ms

    def begin(self, request_id: str, unread_tokens: int, memory_tokens: int) -> None:
        """Count a request that is being sent."""
        self._add(unread_tokens)
        self.prefill_tokens += unread_tokens
        self.own[request_id] = Reservation(
            request_id, unread_tokens, memory_tokens, self.clock.now(), self.ready_at
        )

    def first_event(self, request_id: str) -> None:
        """Correct the model by the first event of a request."""
        item = self.own.get(request_id)
        if item is None:
            return
        now = self.clock.now()
        predicted = max(1.0, item.expected_at - item.sent_at)
        actual = max(1.0, now - item.sent_at)
        self.ready_at += CORRECTION * (actual - predicted)
        self.ready_at = min(self.ready_at, now + 2 * predicted + 1_000)
        if predicted >= SPEED_MIN_MS:
            ratio = min(3.0, max(0.33, predicted / actual))
            speed = self.tokens_per_ms * ratio**SPEED_WEIGHT
            self.tokens_per_ms = min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, speed))

    def end(self, request_id: str) -> None:
        """Count the end of a request."""
        self.own.pop(request_id, None)

    def on_report(self, member: str, running: int, memory_tokens: int, prefill_tokens: int) -> None:
        """Take another router's report; `prefill_tokens` counts from its start."""
        now = self.clock.now()
        known = self.peers.get(member)
        if known is not None and prefill_tokens > known.prefill_tokens:
            self._add(prefill_tokens - known.prefill_tokens)
        self.peers[member] = PeerLoad(running, memory_tokens, prefill_tokens, now)

    def forget(self, member: str) -> None:
        """Drop the reports of a router that has restarted or gone."""
        self.peers.pop(member, None)

    def _add(self, tokens: int) -> None:
        self.ready_at = max(self.ready_at, float(self.clock.now())) + self.read_ms(tokens)

    def _recent(self) -> list[PeerLoad]:
        limit = self.clock.now() - REPORT_LIFETIME_MS
        return [peer for peer in self.peers.values() if peer.heard_at >= limit]
