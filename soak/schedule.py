"""The random series of faults and planned work of a run; a seed always gives the same one."""

import random
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """What happens; the value is also its name in lists and logs."""

    ROUTER_TERM = "router_term"
    ROUTER_KILL = "router_kill"
    ROUTER_PAUSE = "router_pause"
    ROUTER_HUP = "router_hup"
    ALL_KILLED = "all_killed"
    CLOCK_JUMP = "clock_jump"
    STORE_BUSY = "store_busy"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"
    STORE_PATH_SILENT = "store_path_silent"
    STORE_PATH_ONE_WAY = "store_path_one_way"
    STORE_PATH_RESET = "store_path_reset"
    STORE_PATH_SLOW = "store_path_slow"
    TARGET_CRASH = "target_crash"
    TARGET_RESTART = "target_restart"
    TARGET_REUSE = "target_reuse"
    TARGET_DRAIN = "target_drain"
    TARGET_COLD = "target_cold"
    TARGET_GREY = "target_grey"
    TARGET_REFUSES = "target_refuses"
    TARGET_BREAKS = "target_breaks"
    TARGET_GARBLES = "target_garbles"
    TARGET_SLOW = "target_slow"
    TARGET_PATH_SILENT = "target_path_silent"
    TARGET_PATH_ONE_WAY = "target_path_one_way"
    TARGET_PATH_RESET = "target_path_reset"
    TARGET_PATH_SLOW = "target_path_slow"
    CONFIG_ROUTE = "config_route"
    CONFIG_REVOKE = "config_revoke"
    CONFIG_TIMEOUT = "config_timeout"
    DOMAIN_DRAIN = "domain_drain"
    ROLLOUT = "rollout"


# Planned work disturbs nobody; promises hold through it.
PLANNED = frozenset(
    (
        Kind.ROUTER_HUP,
        Kind.TARGET_DRAIN,
        Kind.CONFIG_ROUTE,
        Kind.CONFIG_REVOKE,
        Kind.CONFIG_TIMEOUT,
        Kind.DOMAIN_DRAIN,
        Kind.ROLLOUT,
    )
)


@dataclass(frozen=True)
class Action:
    """One thing that begins at `at` and lasts `for_s`; `draw` picks its subject."""

    at: float
    kind: Kind
    for_s: float
    draw: float


# Series of up to four actions that begin in a second.
SERIES_PER_S = 0.6
MAX_REPEATS = 4
# Restarts are drawn apart from the others, so that seeds keep the schedule that they had.
DRAWN_KINDS = [kind for kind in Kind if kind is not Kind.TARGET_RESTART]
# The time in which nothing listens at a target that starts again.
MIN_DOWN_S, MAX_DOWN_S = 0.05, 1.5


def make_schedule(seed: int, seconds: float, restarts: int = 0) -> list[Action]:
    """Return the actions within `seconds`, in order of time; series overlap.

    `restarts` is the number of series in which targets start again under their ids.
    """
    rng = random.Random(seed)
    # A run has few kinds, so that each of them meets itself and the others often.
    kinds = rng.sample(DRAWN_KINDS, rng.randint(4, 12))
    actions = _draw_restarts(random.Random(f"restarts {seed}"), seconds, restarts)
    for _ in range(max(2, round(seconds * SERIES_PER_S))):
        kind = rng.choice(kinds)
        at = rng.uniform(0, seconds * 0.9)
        gap = rng.uniform(0.2, 2.0)
        for repeat in range(rng.randint(1, MAX_REPEATS)):
            start = at + repeat * gap
            if start < seconds:
                for_s = min(rng.uniform(0.3, 4.0), seconds - start)
                actions.append(Action(round(start, 3), kind, round(for_s, 3), rng.random()))
    return sorted(actions, key=lambda action: action.at)


def _draw_restarts(rng: random.Random, seconds: float, count: int) -> list[Action]:
    actions = []
    for _ in range(count):
        at = rng.uniform(0, seconds * 0.9)
        gap = rng.choice((0.0, rng.uniform(0.2, 2.0)))
        for repeat in range(rng.randint(1, MAX_REPEATS)):
            start, down_s = round(at + repeat * gap, 3), rng.uniform(MIN_DOWN_S, MAX_DOWN_S)
            actions.append(Action(start, Kind.TARGET_RESTART, round(down_s, 3), rng.random()))
    return [action for action in actions if action.at < seconds]
