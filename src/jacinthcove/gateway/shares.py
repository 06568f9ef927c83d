"""Fair shares of the engines' throughput between workspaces.

Answers the load of a workspace that sends many times its usual: under pressure the fleet admits the
workspaces that are below their max-min share first, so that the others are served as before.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, replace
from enum import Enum

import structlog

from jacinthcove.clock import Clock

log = structlog.get_logger()

TICK_MS = 250
# Capacity is short while less than this part of what is asked for gets admitted.
PRESSED_PART = 0.95
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


@dataclass
class Use:
    """Tokens of one workspace; counts over the life of a router only rise.

    `returned` are those that were admitted and then turned away by a target.
    """

    asked: int = 0
    admitted: int = 0
    returned: int = 0

    @property
    def given(self) -> int:
        """Return the tokens that the workspace got."""
        return self.admitted - self.returned

    def add(self, other: "Use") -> None:
        """Add the tokens of `other`."""
        self.asked += other.asked
        self.admitted += other.admitted
        self.returned += other.returned

    def since(self, earlier: "Use") -> "Use":
        """Return what came after `earlier`, nothing where a count fell."""
        return Use(
            max(0, self.asked - earlier.asked),
            max(0, self.admitted - earlier.admitted),
            max(0, self.returned - earlier.returned),
        )


class ShareLedger:
    """What each workspace asked for and got in the recent window, over all routers."""

    def __init__(self, clock: Clock, window_ms: int):
        self.clock = clock
        self.window_ms = window_ms
        self.own: dict[str, Use] = defaultdict(Use)
        self.seen: dict[tuple[str, str], Use] = {}
        self.fresh: dict[str, Use] = defaultdict(Use)
        self.ticks: deque[tuple[int, dict[str, Use]]] = deque()
        self.level = float("inf")
        # Tokens that all workspaces got together in the recent window; unknown before the first.
        self.given_per_s = float("inf")
        self.recent: dict[str, Use] = {}

    def ask(self, workspace: str, tokens: int) -> None:
        """Count tokens that a workspace asks for."""
        self.own[workspace].asked += tokens
        self.fresh[workspace].asked += tokens

    def admit(self, workspace: str, tokens: int) -> None:
        """Count tokens that a workspace gets."""
        self.own[workspace].admitted += tokens
        self.fresh[workspace].admitted += tokens

    def take_back(self, workspace: str, tokens: int) -> None:
        """Count admitted tokens that a target turned away."""
        self.own[workspace].returned += tokens
        self.fresh[workspace].returned += tokens

    def on_report(self, member: str, workspace: str, use: Use) -> None:
        """Take the cumulative counts of another router."""
        known = self.seen.get((member, workspace))
        if known is not None:
            self.fresh[workspace].add(use.since(known))
        self.seen[member, workspace] = use

    def sum_with(self, members: frozenset[str]) -> dict[str, Use]:
        """Return the cumulative tokens of this router and of `members` by workspace."""
        total = {name: replace(use) for name, use in self.own.items()}
        for (member, workspace), use in self.seen.items():
            if member in members:
                total.setdefault(workspace, Use()).add(use)
        return total

    def forget(self, member: str) -> None:
        """Drop the counts of a router that has restarted or gone."""
        for key in [key for key in self.seen if key[0] == member]:
            del self.seen[key]

    def tick(self) -> None:
        """Close a period of `TICK_MS` and compute the shares of the window anew."""
        now = self.clock.now()
        self.ticks.append((now, self.fresh))
        self.fresh = defaultdict(Use)
        while self.ticks and self.ticks[0][0] <= now - self.window_ms:
            self.ticks.popleft()
        totals: dict[str, Use] = defaultdict(Use)
        for _, uses in self.ticks:
            for workspace, use in uses.items():
                totals[workspace].add(use)
        self.recent = dict(totals)
        given = float(sum(use.given for use in totals.values()))
        if self.ticks[0][0] <= now - self.window_ms // 2:
            self.given_per_s = 1_000 * given / self.window_ms
        asked = [float(use.asked) for use in totals.values()]
        # What was given is what the engines can carry at present, if more was asked for.
        pressed = sum(asked) * PRESSED_PART > given
        self.level = fair_level(asked, given) if pressed else float("inf")
        if pressed:
            log.info(
                "shares_pressed",
                fair_level=round(self.level),
                given=round(given),
                workspaces={
                    name: (use.asked, use.given, self.standing(name).value)
                    for name, use in sorted(totals.items(), key=lambda item: -item[1].asked)[:6]
                },
            )

    def standing(self, workspace: str) -> Standing:
        """Return how a workspace fares against its max-min share of the window."""
        use = self.recent.get(workspace)
        if use is None or self.level == float("inf"):
            return Standing.WITHIN
        got = use.given + self.fresh[workspace].given
        if got >= self.level:
            return Standing.OVER
        due = min(self.level, use.asked + self.fresh[workspace].asked)
        return Standing.BEHIND if got < BEHIND_PART * due else Standing.WITHIN
