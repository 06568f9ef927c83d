"""Recognises requests that come back after a refusal, so that demand counts them once."""

from jacinthcove.clock import Clock
from jacinthcove.gateway.model import GatewayRequest, PromptShape

MAX_REFUSED = 4_096


class RefusedRequests:
    """The requests that this router refused, until they come back or `lifetime_ms` has passed.

    A request is recognised by its workspace and the parts and lengths of its prompt. It is matched
    once: callers retry once, and of a workspace whose prompts are all alike every request would
    match an earlier refusal, so that its demand would vanish.
    """

    def __init__(self, clock: Clock, lifetime_ms: int):
        self.clock = clock
        self.lifetime_ms = lifetime_ms
        # Times of the refusals, oldest first.
        self.refused_at: dict[tuple[str, PromptShape], int] = {}

    def record(self, request: GatewayRequest) -> None:
        """Record a refused request; the oldest one is dropped if there are too many."""
        key = (request.workspace, request.prompt)
        self.refused_at.pop(key, None)
        self.refused_at[key] = self.clock.now()
        if len(self.refused_at) > MAX_REFUSED:
            del self.refused_at[next(iter(self.refused_at))]

    def take(self, request: GatewayRequest) -> bool:
        """Return whether a request was refused before, and remove that refusal."""
        refused_at = self.refused_at.pop((request.workspace, request.prompt), None)
        return refused_at is not None and self.clock.now() - refused_at < self.lifetime_ms
