"""What is under way at one target, from this router's requests and the reports of the others.

The model answers one question: how long would a request wait at the target before its first event?
An engine reads prompts in order of arrival, so the wait is the time to read the prompts of requests
that have no event yet. Each router reports its own unread tokens as they are, so an error of the
model ends with the requests that caused it.
"""

from dataclasses import dataclass

from jacinthcove.clock import Clock
from jacinthcove.gateway.surges import Surges

# Prompt tokens that an engine reads per ms until it has shown its own speed.
INITIAL_TOKENS_PER_MS = 45.0
MIN_TOKENS_PER_MS = 4.0
MAX_TOKENS_PER_MS = 2_000.0
# Weight of one observation in the learned speed. Short prompts say little about it, and an event
# that comes later than this many times the expectation tells of a fault instead.
SPEED_WEIGHT = 0.05
SPEED_MIN_MS = 40.0
SPEED_MAX_ERROR = 4.0
# Weight of one whole stream in the learned time per generated token.
PACE_WEIGHT = 0.15
# A report this old says nothing about what runs now.
REPORT_LIFETIME_MS = 1_500


@dataclass
class Reservation:
    """One request under way; `unread_tokens` is 0 once its first event has come."""

    unread_tokens: int
    memory_tokens: int
    sent_at: int
    expected_ms: float


@dataclass(frozen=True)
class PeerLoad:
    """The last report of another router about a target."""

    running: int
    memory_tokens: int
    unread_tokens: int
    heard_at: int


@dataclass(frozen=True)
class LoadView:
    """What runs at a target at a moment, of all routers with a recent report.

    `wait_ms` is the time until everything sent so far has been read.
    """

    running: int
    memory_tokens: int
    wait_ms: float


class TargetLoad:
    """Requests, memory and unread prompt tokens at one target."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.own: dict[str, Reservation] = {}
        self.peers: dict[str, PeerLoad] = {}
        self.tokens_per_ms = INITIAL_TOKENS_PER_MS
        # Time per generated token at the present load, 0 until a stream has ended here.
        self.token_ms = 0.0
        self.surges = Surges(clock)
        # Requests that the target runs at once, 0 unknown.
        self.slots = 0

    @property
    def running(self) -> int:
        """Return the requests under way, of all routers with a recent report."""
        return self.view().running

    @property
    def own_memory_tokens(self) -> int:
        """Return the tokens of memory that this router's requests take."""
        return sum(item.memory_tokens for item in self.own.values())

    @property
    def own_unread_tokens(self) -> int:
        """Return the prompt tokens of this router's requests that have no event yet."""
        return sum(item.unread_tokens for item in self.own.values())

    @property
    def memory_tokens(self) -> int:
        """Return the tokens of memory that requests under way take."""
        return self.view().memory_tokens

    def wait_ms(self) -> float:
        """Return the time until everything sent so far has been read."""
        return self.view().wait_ms

    def view(self) -> LoadView:
        """Return all of these at once, which a choice among many targets needs."""
        now = self.clock.now()
        limit = now - REPORT_LIFETIME_MS
        running, memory = len(self.own), self.own_memory_tokens
        wait = self.read_ms(self.own_unread_tokens)
        for peer in self.peers.values():
            if peer.heard_at >= limit:
                running += peer.running
                memory += peer.memory_tokens
                wait += max(0.0, self.read_ms(peer.unread_tokens) - (now - peer.heard_at))
        return LoadView(running, memory, wait)

    def read_ms(self, tokens: int) -> float:
        """Return the time to read `tokens`."""
        return tokens / self.tokens_per_ms

    def begin(self, request_id: str, unread_tokens: int, memory_tokens: int) -> None:
        """Count a request that is being sent."""
        expected = self.wait_ms() + self.read_ms(unread_tokens)
        now = self.clock.now()
        self.own[request_id] = Reservation(unread_tokens, memory_tokens, now, expected)

    def first_event(self, request_id: str) -> None:
        """Note that a prompt has been read, and learn the speed of reading from it."""
        item = self.own.get(request_id)
        if item is None:
            return
        item.unread_tokens = 0
        ratio = item.expected_ms / max(1.0, self.clock.now() - item.sent_at)
        if item.expected_ms >= SPEED_MIN_MS and 1 / SPEED_MAX_ERROR < ratio < SPEED_MAX_ERROR:
            speed = self.tokens_per_ms * ratio**SPEED_WEIGHT
            self.tokens_per_ms = min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, speed))

    def stream_end(self, output_tokens: int, ran_ms: float) -> None:
        """Learn the pace from a whole stream that ran `ran_ms` after its first event.

        The pace of single events follows every short burst, in which streams that would end in
        time look too slow.
        """
        if output_tokens > 0:
            weight = PACE_WEIGHT if self.token_ms else 1.0
            self.token_ms += weight * (ran_ms / output_tokens - self.token_ms)

    def run_ms(self, output_tokens: int) -> float:
        """Return the expected time from the first event to the end of a stream."""
        return self.token_ms * output_tokens

    def end(self, request_id: str) -> None:
        """Count the end of a request."""
        self.own.pop(request_id, None)

    def on_report(self, member: str, report: PeerLoad) -> None:
        """Take another router's report."""
        self.peers[member] = report
        self.surges.note(self.running, self.slots)

    def sum_with(self, members: frozenset[str]) -> PeerLoad:
        """Return this router's requests and those of `members` with a recent report."""
        recent = self._recent(members)
        return PeerLoad(
            len(self.own) + sum(peer.running for peer in recent),
            self.own_memory_tokens + sum(peer.memory_tokens for peer in recent),
            self.own_unread_tokens + sum(peer.unread_tokens for peer in recent),
            self.clock.now(),
        )

    def forget(self, member: str) -> None:
        """Drop the reports of a router that has restarted or gone."""
        self.peers.pop(member, None)

    def _recent(self, members: frozenset[str]) -> list[PeerLoad]:
        """Return the recent reports of `members`."""
        limit = self.clock.now() - REPORT_LIFETIME_MS
        return [
            peer
            for member, peer in self.peers.items()
            if peer.heard_at >= limit and member in members
        ]
