"""The cost of using the limit of a target that states one.

Each request uses part of such a limit, whatever its length. So long prompts prefer targets with a
limit, and short ones avoid them as long as others have room.
"""

from collections.abc import Callable

from jacinthcove.gateway.model import PromptShape
from jacinthcove.gateway.targets import TargetState

# The cost as a multiple of the prefill time that a prompt has below the mean. Only tokens that no
# other request shares count, because they are the same at each target.
LIMITED_WEIGHT = 2.0
# Weight of one prompt in the moving average.
MEAN_WEIGHT = 0.02


class LimitCost:
    """Compares prompts with the mean; `limited` returns whether a target states a limit."""

    def __init__(self, limited: Callable[[TargetState], bool]):
        self.limited = limited
        # Moving average of the tokens that a request does not share, by service.
        self.mean_own_tokens: dict[str, float] = {}

    def record(self, target: TargetState, prompt: PromptShape) -> None:
        """Add a prompt that is sent to a target to the mean."""
        service = target.record.service
        mean = self.mean_own_tokens.get(service, prompt.own_tokens)
        self.mean_own_tokens[service] = mean + MEAN_WEIGHT * (prompt.own_tokens - mean)

    def cost_ms(self, target: TargetState, prompt: PromptShape) -> float:
        """Return the cost in ms of waiting; it is negative for a prompt above the mean."""
        if not self.limited(target):
            return 0.0
        mean = self.mean_own_tokens.get(target.record.service, prompt.own_tokens)
        return LIMITED_WEIGHT * (mean - prompt.own_tokens) / target.load.tokens_per_ms
