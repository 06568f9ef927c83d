"""Max-min fair sharing of the engines' throughput between workspaces.

When a workspace sends many times its usual load and throughput is short, the fleet admits the
workspaces below their max-min share first, so that they are served as before.
"""

from enum import Enum
from random import Random

import structlog

from jacinthcove.capacity.engineload import EngineLoadSource
from jacinthcove.capacity.measured import MIN_BACKLOGGED_FRACTION, MeasuredCapacity
from jacinthcove.capacity.returntime import return_after_ms
from jacinthcove.clock import Clock
from jacinthcove.gateway.workspaceusage import (
    RECENT_TICKS,
    TICK_MS,
    OwnUsage,
    PeerUsage,
    UsageByWorkspace,
    WorkspaceUsage,
    add_usage,
)

log = structlog.get_logger()

# Capacity is short while less than this fraction of the tokens asked for starts to be served.
CONTENDED_FRACTION = 0.95
# Headroom is cut while more than this fraction of the responses starts late.
LATE_FRACTION = 0.25
# Headroom: what a workspace over its share may use, as a multiple of the share. It grows by a step
# each tick and is cut while responses are late. Below 1 the backlog at the engines drains.
HEADROOM_STEP = 0.1
HEADROOM_CUT_FACTOR = 0.7
MIN_HEADROOM = 0.5
MAX_HEADROOM = 4.0
# A workspace that got less than this fraction of its due tokens is served before others.
BEHIND_FRACTION = 0.7


class Standing(Enum):
    """What a workspace got in the window, compared with its fair share."""

    BEHIND = "behind"
    WITHIN = "within"
    OVER = "over"


# The least multiple of its share that a workspace may send to the engines.
MIN_MULTIPLES = {Standing.BEHIND: 2.0, Standing.WITHIN: 1.0, Standing.OVER: MIN_HEADROOM}


def max_min_share(demands: list[float], capacity: float) -> float:
    """Return the max-min fair share: the most that any one demand gets.

    Infinity if `capacity` covers all demands.
    """
    remaining_capacity, remaining_demands = capacity, len(demands)
    for demand in sorted(demands):
        if demand * remaining_demands > remaining_capacity:
            return remaining_capacity / remaining_demands
        remaining_capacity -= demand
        remaining_demands -= 1
    return float("inf")


class ShareLedger:
    """Accounts for the tokens each workspace asked for and got in the window, over all routers."""

    def __init__(self, clock: Clock, window_ms: int):
        self.clock = clock
        self.window_ms = window_ms
        self.started_at = clock.now()
        self.own = OwnUsage(clock, window_ms)
        self.own_retries = OwnUsage(clock, window_ms)
        self.others = PeerUsage(clock)
        self.fair_share = float("inf")
        # Tokens that all workspaces together were given per second over the window. Infinity means
        # unknown, until half of the first window has passed.
        self.given_tokens_per_s = float("inf")
        self.headroom = MAX_HEADROOM
        self.window_usage: UsageByWorkspace = {}
        # Without a source, what begins in the window counts as the capacity.
        self.engine_loads: EngineLoadSource | None = None
        self.capacity = MeasuredCapacity()

    def record_demand(self, workspace: str, tokens: int) -> None:
        """Count the tokens of a request that a workspace sends."""
        self.own.current[workspace].asked += tokens

    def record_retry(self, workspace: str, tokens: int) -> None:
        """Count the tokens of a request that comes back to this router after a refusal.

        They are no new demand, but one more try to which the admitted fraction applies.
        """
        self.own_retries.current[workspace].asked += tokens

    def record_admission(self, workspace: str, tokens: int) -> None:
        """Count the tokens of a request that is sent to a target."""
        self.own.current[workspace].given += tokens

    def record_rejection(self, workspace: str, tokens: int) -> None:
        """Subtract the tokens of an admitted request that its target rejected."""
        self.own.current[workspace].given -= tokens

    def begin(self, workspace: str, tokens: int, late: bool) -> None:
        """Count the tokens of a response that starts, `late` if after its latency goal."""
        usage = WorkspaceUsage(begun=tokens, begun_lately=tokens, late_lately=tokens if late else 0)
        self.own.current[workspace].add(usage)

    def sum_with(self, members: frozenset[str]) -> UsageByWorkspace:
        """Return the usage in the window of this router and of `members` together."""
        total = self.own.sum()
        add_usage(total, self.others.sum(members))
        return total

    def tick(self) -> None:
        """End the current tick and recompute the fair share; called every `TICK_MS`."""
        self.own.tick()
        self.own_retries.tick()
        totals = self.own.sum()
        add_usage(totals, self.others.sum())
        self.window_usage = totals
        given = sum(usage.given for usage in totals.values())
        if self._first_answers_were_due():
            self.given_tokens_per_s = 1_000 * given / self.window_ms
        self._measure_capacity()
        self._adjust_headroom()
        begun = sum(usage.begun for usage in totals.values())
        asked = [float(usage.asked) for usage in totals.values()]
        contended = sum(asked) * CONTENDED_FRACTION > begun
        self.fair_share = float("inf")
        if contended and self._first_answers_were_due():
            self.fair_share = max_min_share(asked, self._window_capacity(begun))
        if self.fair_share != float("inf"):
            self._log_contended(given, begun)

    def _first_answers_were_due(self) -> bool:
        """Return whether what began can be compared with what was asked for.

        Before half of the first window has passed, most of what was asked for cannot have begun.
        """
        return self.clock.now() - self.started_at >= self.window_ms // 2

    def _measure_capacity(self) -> None:
        if self.engine_loads is not None:
            begun = sum(usage.begun_lately for usage in self.window_usage.values())
            begun_per_s = 1_000 * begun / (RECENT_TICKS * TICK_MS)
            self.capacity.update(begun_per_s, self.engine_loads.engine_load())

    def _window_capacity(self, begun: int) -> float:
        """Return the tokens that the engines can begin in the window.

        That is what begins, if more was asked for and the engines have a backlog. Otherwise what
        begins is only what was let through.
        """
        if not self.engines_have_room():
            return float(begun)
        return max(float(begun), self.capacity.tokens_per_s * self.window_ms / 1_000)

    def engines_have_room(self) -> bool:
        """Return whether less than half of the engines have a backlog; False if unknown."""
        load = self.capacity.load
        return load.ready > 0 and load.backlogged < MIN_BACKLOGGED_FRACTION

    def engines_have_backlog(self) -> bool:
        """Return whether at least half of the engines have a backlog; False if unknown."""
        load = self.capacity.load
        return load.ready > 0 and load.backlogged >= MIN_BACKLOGGED_FRACTION

    def _log_contended(self, given: int, begun: int) -> None:
        largest = sorted(self.window_usage.items(), key=lambda item: -item[1].asked)[:6]
        log.info(
            "shares_pressed",
            fair_level=round(self.fair_share),
            given=given,
            begun=begun,
            headroom=round(self.headroom, 2),
            engine_tokens_per_s=round(self.capacity.engine_tokens_per_s),
            ready_engines=self.capacity.load.ready,
            backlogged=round(self.capacity.load.backlogged, 2),
            workspaces={
                name: (usage.asked, usage.given, usage.begun, self.standing(name).value)
                for name, usage in largest
            },
        )

    def _adjust_headroom(self) -> None:
        """Let workspaces exceed their share further while responses start in time.

        Late responses that began while engines have room waited before, and say nothing of now.
        """
        begun = sum(usage.begun_lately for usage in self.window_usage.values())
        late = sum(usage.late_lately for usage in self.window_usage.values())
        if late > LATE_FRACTION * begun and not self.engines_have_room():
            self.headroom = max(MIN_HEADROOM, self.headroom * HEADROOM_CUT_FACTOR)
        else:
            self.headroom = min(MAX_HEADROOM, self.headroom + HEADROOM_STEP)

    def admitted_fraction(self, workspace: str) -> float:
        """Return the fraction of a workspace's requests that may be served now.

        Engines do not know the shares: the excess requests of a workspace over its share would
        queue there ahead of the requests of other workspaces.
        """
        usage = self.window_usage.get(workspace)
        if usage is None:
            return 1.0
        # All routers learn at the same time that a workspace is no longer over its share.
        least = MIN_MULTIPLES[self.standing(workspace)]
        tried = usage.asked * self._tries_per_request(workspace)
        return min(1.0, max(least, self.headroom) * self.fair_share / max(1, tried))

    def _tries_per_request(self, workspace: str) -> float:
        """Return how often callers send one request to this router, over the window."""
        retried = self.own_retries.ended_total.get(workspace)
        asked = self.own.ended_total.get(workspace)
        if retried is None or asked is None:
            return 1.0
        return 1.0 + min(1.0, retried.asked / max(1, asked.asked))

    def return_after_ms(self, workspace: str, goal_ms: int, rng: Random) -> int:
        """Return the time after which a caller refused for its workspace's share should return."""
        usage = self.window_usage.get(workspace, WorkspaceUsage())
        return round(return_after_ms(self.fair_share, usage.asked, self.window_ms, goal_ms, rng))

    def standing(self, workspace: str) -> Standing:
        """Return what a workspace got in the window, compared with its max-min fair share."""
        usage = self.window_usage.get(workspace)
        if usage is None or self.fair_share == float("inf"):
            return Standing.WITHIN
        current = self.own.current.get(workspace, WorkspaceUsage())
        if usage.given + current.given >= self.fair_share:
            return Standing.OVER
        due = min(self.fair_share, usage.asked + current.asked)
        return Standing.BEHIND if usage.begun < BEHIND_FRACTION * due else Standing.WITHIN
