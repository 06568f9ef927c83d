"""The cost of using the limit of a target that states one.

Each request uses part of such a limit, whatever its length. So long prompts prefer targets with a
limit, and short ones avoid them as long as others have room.
"""

from collections.abc import Callable

from jacinthcove.gateway.targets import TargetState

# The cost as a multiple of the prefill time that a prompt has below the mean.
LIMITED_WEIGHT = 2.0
# Weight of one prompt in the moving average of the tokens to prefill.
MEAN_WEIGHT = 0.02


class LimitCost:
    """Compares prompts with the mean; `limited` returns whether a target states a limit."""

    def __init__(self, limited: Callable[[TargetState], bool]):
        self.limited = limited
        # Moving average of the tokens to prefill for a request, by service.
        self.mean_unread_tokens: dict[str, float] = {}

    def record(self, target: TargetState, unread_tokens: int) -> None:
        """Add a prompt that a target has to prefill to the mean."""
        service = target.record.service
        mean = self.mean_unread_tokens.get(service, unread_tokens)
        self.mean_unread_tokens[service] = mean + MEAN_WEIGHT * (unread_tokens - mean)

    def cost_ms(self, target: TargetState, unread_tokens: int) -> float:
        """Return the cost in ms of waiting; it is negative for a prompt above the mean."""
        if not self.limited(target):
            return 0.0
        mean = self.mean_unread_tokens.get(target.record.service, unread_tokens)
        return LIMITED_WEIGHT * (mean - unread_tokens) / target.load.tokens_per_ms
