"""Decides whether a failed request is sent again."""

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultClass, ResultCode, result_class

RETRY_FRACTION = 0.1
RETRY_BURST = 10.0
MAX_ATTEMPTS = 4

# Not-run results that depend on the state of the fleet; a retry would not change the others.
_RETRIED_NOT_RUN = frozenset({ResultCode.NOT_ADMITTED, ResultCode.NO_TARGET})
# Results after which an idempotent request may run again. The others are stored results or were
# caused by the client, so another run does not change them.
_RETRIED_MAY_HAVE_RUN = frozenset({ResultCode.TARGET_FAILED, ResultCode.STREAM_BROKEN})


class RetryBudget:
    """A token bucket per workspace: each request adds 0.1 and each retry takes 1; it holds 10."""

    def __init__(self, fraction: float = RETRY_FRACTION, burst: float = RETRY_BURST):
        self.fraction = fraction
        self.burst = burst
        self.tokens: dict[str, float] = {}

    def request(self, workspace: str) -> None:
        """Count a first attempt of `workspace`."""
        self.tokens[workspace] = min(self.burst, self.available(workspace) + self.fraction)

    def available(self, workspace: str) -> float:
        """Return the retries left for `workspace`; fractions add up."""
        return self.tokens.get(workspace, self.burst)

    def take_retry(self, workspace: str) -> bool:
        """Take one retry from the budget; return False if there is none."""
        available = self.available(workspace)
        if available < 1.0:
            return False
        self.tokens[workspace] = available - 1.0
        return True


def may_retry(code: ResultCode, idempotent: bool, attempts: int, now: int, deadline: int) -> bool:
    """Return whether another attempt may follow a result, without regard to the budget.

    `attempts` counts the attempts so far; `now` and `deadline` are monotonic ms.
    """
    if attempts >= MAX_ATTEMPTS or now >= deadline:
        return False
    kind = result_class(code)
    if kind is ResultClass.NOT_RUN:
        return code in _RETRIED_NOT_RUN
    return idempotent and code in _RETRIED_MAY_HAVE_RUN


class Retries:
    """Decides on retries within the budget of each workspace."""

    def __init__(self, clock: Clock, budget: RetryBudget | None = None):
        self.clock = clock
        self.budget = budget or RetryBudget()

    def allow_retry(
        self, workspace: str, code: ResultCode, idempotent: bool, attempts: int, deadline: int
    ) -> bool:
        """Return whether to retry; if so, take one retry from the workspace's budget."""
        allowed = may_retry(code, idempotent, attempts, self.clock.now(), deadline)
        return allowed and self.budget.take_retry(workspace)
