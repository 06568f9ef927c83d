"""The rate of tokens that the engines begin to serve while they have as much work as they can do.

What begins is the capacity only while engines have a backlog. Otherwise it follows what admission
lets through, and a level of shares derived from it would fall with its own output.
"""

from jacinthcove.capacity.engineload import EngineLoad

# Weights of one tick (250 ms) in the rate of an engine. It rises fast, as engines cannot begin more
# than they are able to. It falls by 40 % of the difference within a second of full backlog, so that
# a slow period is followed and a short gap in the reports is not.
RISE_WEIGHT = 0.3
FALL_WEIGHT = 0.12
# While fewer of the engines have a backlog, the others could begin more than they do.
MIN_BACKLOGGED_FRACTION = 0.5


class MeasuredCapacity:
    """Learns the rate of one engine, and scales it by the engines that take work now."""

    def __init__(self) -> None:
        # Share cost tokens that one engine begins to serve per second, 0 until measured.
        self.engine_tokens_per_s = 0.0
        self.load = EngineLoad(0, 0.0)

    @property
    def tokens_per_s(self) -> float:
        """Return the capacity of all engines that take work now, 0 if it is not known."""
        return self.engine_tokens_per_s * self.load.ready

    def update(self, begun_tokens_per_s: float, load: EngineLoad) -> None:
        """Learn from what all engines began over the last second; called in each tick."""
        # After a loss of engines, part of what began was still begun by those that were lost.
        engines = max(load.ready, self.load.ready)
        self.load = load
        if not engines:
            return
        rate = begun_tokens_per_s / engines
        if rate >= self.engine_tokens_per_s:
            self.engine_tokens_per_s += RISE_WEIGHT * (rate - self.engine_tokens_per_s)
        elif load.backlogged >= MIN_BACKLOGGED_FRACTION:
            weight = FALL_WEIGHT * load.backlogged
            self.engine_tokens_per_s += weight * (rate - self.engine_tokens_per_s)
