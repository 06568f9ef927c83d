"""The true time that the routers agree on.

Load: routers whose time of day is off or jumps by seconds, also back, beside many whose is right.
Each candidate knows the clocks of all routers and takes their median; the others adopt what the
candidates answer. Once agreed, the time runs with the boot clock, so no jump moves it at once.
"""

from collections.abc import Iterable
from statistics import median

from jacinthcove.clock import Clock

# A clock reading counts for this time.
READING_LIFETIME_MS = 15_000
FORGET_MS = 60_000
# A router without an answer of another one that knows the time takes the median of the clocks.
SETTLE_MS = 1_500
# The agreed time follows the median of the clocks at this rate, many times the drift of a clock.
FOLLOW_MS_PER_S = 2.0
# Two candidates that agree to this and differ by more from this router's time correct it at once.
# So do most clocks of the fleet, if they differ for longer than a frozen router may take messages
# from before for new ones.
AGREEMENT_MS = 250.0
CLOCKS_AGREE_MS = 5_000
MIN_CLOCKS = 3
# An answer that took longer tells the time too badly, unless it is not known at all.
MAX_ROUND_TRIP_MS = 100


class AgreedTime:
    """The agreed time of one router, as an offset between true time and the boot clock."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.started_at = clock.boot()
        # Offset of each other router's time of day, with the boot ms at which it was learned.
        self.readings: dict[str, tuple[float, int]] = {}
        # Offsets that candidates answered, in the same form.
        self.answers: dict[str, tuple[float, int]] = {}
        # None until the time is agreed.
        self.offset_ms: float | None = None
        # True ms at which the fleet first agreed on the time, as far as this router knows.
        self.founded_at: int | None = None
        self.followed_at = clock.boot()
        # Boot ms since when most clocks agree on another time.
        self.off_since: int | None = None

    @property
    def settled(self) -> bool:
        """Return whether this router knows the agreed time."""
        return self.offset_ms is not None

    def begin(self) -> None:
        """Count the time to settle from now, when the other routers can be reached."""
        self.started_at = self.clock.boot()

    def now(self) -> int | None:
        """Return the agreed true time in ms, or None while it is unknown."""
        return self.at(self.clock.boot())

    def at(self, boot_ms: int) -> int | None:
        """Return the true time at a time of the boot clock, or None while it is unknown."""
        return None if self.offset_ms is None else round(boot_ms + self.offset_ms)

    def record_reading(self, router: str, wall_ms: int) -> None:
        """Record the time of day of another router that arrived now."""
        now = self.clock.boot()
        self.readings[router] = (wall_ms - now, now)

    def record_answer(self, router: str, true_ms: int, founded_ms: int, sent_at: int) -> None:
        """Record the agreed time that a candidate answered to a call sent at `sent_at`."""
        now = self.clock.boot()
        offset = true_ms - (sent_at + now) / 2
        self.founded_at = min(founded_ms, self.founded_at or founded_ms)
        if self.offset_ms is None:
            self.offset_ms = offset
        if now - sent_at <= MAX_ROUND_TRIP_MS:
            self.answers[router] = (offset, now)
            self._correct()

    def step(self) -> None:
        """Found the time if no other router knows it, and follow the clocks slowly."""
        now = self.clock.boot()
        for known in (self.readings, self.answers):
            for router in [key for key, (_, at) in known.items() if now - at > FORGET_MS]:
                del known[router]
        offsets = [self.clock.wall() - now, *_recent(self.readings, now)]
        clocks = median(offsets)
        if self.offset_ms is None:
            if now - self.started_at >= SETTLE_MS:
                self.offset_ms = clocks
                self.founded_at = self.at(now)
        else:
            limit = FOLLOW_MS_PER_S * max(0, now - self.followed_at) / 1_000
            self.offset_ms += max(-limit, min(limit, self._goal(clocks, now) - self.offset_ms))
            self._correct_by_clocks(offsets, clocks, now)
        self.followed_at = now

    def _goal(self, clocks: float, now: int) -> float:
        """Return the offset to follow: that of the candidates and, at a candidate, of all clocks.

        The clock of this router alone counts only if no candidate answers.
        """
        answers = list(_recent(self.answers, now))
        if self.readings or not answers:
            answers.append(clocks)
        return median(answers)

    def _correct_by_clocks(self, offsets: list[float], clocks: float, now: int) -> None:
        """Adopt what most clocks agree on, as the first router may have had a wrong one."""
        near = sum(abs(item - clocks) <= AGREEMENT_MS for item in offsets)
        most = len(offsets) >= MIN_CLOCKS and 2 * near > len(offsets)
        if not most or self.offset_ms is None or abs(clocks - self.offset_ms) <= AGREEMENT_MS:
            self.off_since = None
        elif self.off_since is None:
            self.off_since = now
        elif now - self.off_since >= CLOCKS_AGREE_MS:
            self.offset_ms, self.off_since = clocks, None

    def _correct(self) -> None:
        """Adopt at once what two candidates agree on."""
        answers = list(_recent(self.answers, self.clock.boot()))
        middle = median(answers)
        agreeing = [item for item in answers if abs(item - middle) <= AGREEMENT_MS]
        if len(agreeing) >= 2 and self.offset_ms is not None:
            off = abs(middle - self.offset_ms) > AGREEMENT_MS
            self.offset_ms = middle if off else self.offset_ms


def _recent(readings: dict[str, tuple[float, int]], now: int) -> Iterable[float]:
    for offset, at in readings.values():
        if now - at <= READING_LIFETIME_MS:
            yield offset
