"""When a caller refused for its workspace's share should return."""

from random import Random

# Callers are spread over these multiples of the time until the excess has been worked off.
MIN_SPREAD = 0.5
MAX_SPREAD = 1.5
# A caller that returns within these fractions of its latency goal can still be served in time.
EARLY_MIN_FRACTION = 0.05
EARLY_MAX_FRACTION = 0.25


def return_after_ms(
    fair_share: float, asked: float, window_ms: int, goal_ms: int, rng: Random
) -> float:
    """Return the time after which a refused caller of a workspace should return.

    `fair_share` and `asked` are tokens of the workspace in the window. Of what is asked, the part
    within the share is served at any time, so this part of the callers returns early. The rest has
    capacity when the excess has left the window, and is spread around that time.
    """
    excess_fraction = 1.0 - min(1.0, fair_share / max(1.0, asked))
    if rng.random() >= excess_fraction:
        return goal_ms * rng.uniform(EARLY_MIN_FRACTION, EARLY_MAX_FRACTION)
    return window_ms * excess_fraction * rng.uniform(MIN_SPREAD, MAX_SPREAD)
