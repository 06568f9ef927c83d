"""The cost of long prompts at targets without a limit, while others of the service state one.

A stated limit counts requests, not tokens. So long prompts should go to the targets with a limit,
and short ones to the others, where the prompts behind a long one would wait for it.
"""

from collections.abc import Callable, Iterable

from jacinthcove.gateway.targets import TargetState

# The cost as a multiple of the prefill time that a prompt has above the mean.
PROMPT_WEIGHT = 2.0
# Weight of one prompt in the moving average of the tokens to prefill.
MEAN_WEIGHT = 0.02


class LimitCost:
    """Compares prompts with the mean; `limited` returns whether a target states a limit."""

    def __init__(self, limited: Callable[[TargetState], bool]):
        self.limited = limited
        # Moving average of the tokens to prefill for a request, by service.
        self.mean_unread_tokens: dict[str, float] = {}

    def limited_ids(self, targets: Iterable[TargetState]) -> frozenset[str]:
        """Return the ids of the targets that state a limit."""
        return frozenset(target.record.id for target in targets if self.limited(target))

    def record(self, target: TargetState, unread_tokens: int) -> None:
        """Add a prompt that a target has to prefill to the mean."""
        service = target.record.service
        mean = self.mean_unread_tokens.get(service, unread_tokens)
        self.mean_unread_tokens[service] = mean + MEAN_WEIGHT * (unread_tokens - mean)

    def cost_ms(
        self, target: TargetState, unread_tokens: int, limited_ids: frozenset[str]
    ) -> float:
        """Return the cost in ms of waiting; it is negative for a prompt below the mean."""
        if not limited_ids or target.record.id in limited_ids:
            return 0.0
        mean = self.mean_unread_tokens.get(target.record.service, unread_tokens)
        return PROMPT_WEIGHT * (unread_tokens - mean) / target.load.tokens_per_ms
