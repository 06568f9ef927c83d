"""Fair shares of the engines' throughput between workspaces.

Answers the load of a workspace that sends many times its usual: under pressure the fleet admits the
workspaces that are below their max-min share first, so that the others are served as before.
"""

from enum import Enum

import structlog

from jacinthcove.clock import Clock
from jacinthcove.gateway.uses import OtherUses, OwnUses, Use, Uses, add_uses

log = structlog.get_logger()

# Capacity is short while less than this part of what is asked for begins.
PRESSED_PART = 0.95
# Answers begin late while more than this part of them does.
LATE_PART = 0.25
# What a workspace over its share gets, as a multiple of it: more each tick, less while answers are
# late. Below 1 the requests that wait at the engines become fewer.
HEADROOM_STEP = 0.1
HEADROOM_CUT = 0.7
MIN_HEADROOM = 0.5
MAX_HEADROOM = 4.0
# Below this part of what it is due a workspace is served before others.
BEHIND_PART = 0.7


class Standing(Enum):
    """What a workspace got in the recent window against what it is due."""

    BEHIND = "behind"
    WITHIN = "within"
    OVER = "over"


def fair_level(demands: list[float], capacity: float) -> float:
    """Return the max-min share: the most that a workspace gets while others want as much."""
    rest, left = capacity, len(demands)
    for demand in sorted(demands):
        if demand * left > rest:
            return rest / left
        rest -= demand
        left -= 1
    return float("inf")


class ShareLedger:
    """What each workspace asked for and got in the recent window, over all routers."""

    def __init__(self, clock: Clock, window_ms: int):
        self.clock = clock
        self.window_ms = window_ms
        self.began_at = clock.now()
        self.own = OwnUses(clock, window_ms)
        self.others = OtherUses(clock)
        self.level = float("inf")
        # Tokens that all workspaces got together in the recent window; unknown before the first.
        self.given_per_s = float("inf")
        self.headroom = MAX_HEADROOM
        self.recent: Uses = {}

    def ask(self, workspace: str, tokens: int) -> None:
        """Count tokens that a workspace asks for."""
        self.own.fresh[workspace].asked += tokens

    def admit(self, workspace: str, tokens: int) -> None:
        """Count tokens that a workspace gets."""
        self.own.fresh[workspace].given += tokens

    def take_back(self, workspace: str, tokens: int) -> None:
        """Count admitted tokens that a target turned away."""
        self.own.fresh[workspace].given -= tokens

    def begin(self, workspace: str, tokens: int, late: bool) -> None:
        """Count tokens of an answer that begins, `late` if after its latency goal."""
        use = Use(begun=tokens, begun_lately=tokens, late_lately=tokens if late else 0)
        self.own.fresh[workspace].add(use)

    def sum_with(self, members: frozenset[str]) -> Uses:
        """Return the window of this router and of `members`."""
        total = self.own.sum()
        add_uses(total, self.others.sum(members))
        return total

    def tick(self) -> None:
        """Close a period of `TICK_MS` and compute the shares of the window anew."""
        self.own.tick()
        totals = self.own.sum()
        add_uses(totals, self.others.sum())
        self.recent = totals
        given = sum(use.given for use in totals.values())
        if self.clock.now() - self.began_at >= self.window_ms // 2:
            self.given_per_s = 1_000 * given / self.window_ms
        self._adjust_headroom()
        # What began is what the engines can carry at present, if more was asked for.
        begun = sum(use.begun for use in totals.values())
        asked = [float(use.asked) for use in totals.values()]
        pressed = sum(asked) * PRESSED_PART > begun
        self.level = fair_level(asked, float(begun)) if pressed else float("inf")
        if pressed:
            self._log_pressed(given, begun)

    def _log_pressed(self, given: int, begun: int) -> None:
        most = sorted(self.recent.items(), key=lambda item: -item[1].asked)[:6]
        log.info(
            "shares_pressed",
            fair_level=round(self.level),
            given=given,
            begun=begun,
            headroom=round(self.headroom, 2),
            workspaces={
                name: (use.asked, use.given, use.begun, self.standing(name).value)
                for name, use in most
            },
        )

    def _adjust_headroom(self) -> None:
        """Let workspaces have more than their share while answers begin in time."""
        begun = sum(use.begun_lately for use in self.recent.values())
        late = sum(use.late_lately for use in self.recent.values())
        if late > LATE_PART * begun:
            self.headroom = max(MIN_HEADROOM, self.headroom * HEADROOM_CUT)
        else:
            self.headroom = min(MAX_HEADROOM, self.headroom + HEADROOM_STEP)

    def admitted_part(self, workspace: str) -> float:
        """Return the part of a workspace's requests that may be served now.

        Engines know no shares, so what a workspace over its share sends beyond it would wait there
        before the requests of the others.
        """
        use = self.recent.get(workspace)
        if use is None or self.standing(workspace) is not Standing.OVER:
            return 1.0
        return min(1.0, self.headroom * self.level / max(1, use.asked))

    def standing(self, workspace: str) -> Standing:
        """Return how a workspace fares against its max-min share of the window."""
        use = self.recent.get(workspace)
        if use is None or self.level == float("inf"):
            return Standing.WITHIN
        fresh = self.own.fresh.get(workspace, Use())
        if use.given + fresh.given >= self.level:
            return Standing.OVER
        due = min(self.level, use.asked + fresh.asked)
        return Standing.BEHIND if use.begun < BEHIND_PART * due else Standing.WITHIN
