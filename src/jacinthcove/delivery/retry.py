"""When a request may be sent again."""

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultClass, ResultCode, result_class

RETRY_FRACTION = 0.1
RETRY_BURST = 10.0
MAX_ATTEMPTS = 4

# These not-run results depend on the state of the fleet; all others repeat for the same request.
_RETRIED_NOT_RUN = frozenset({ResultCode.NOT_ADMITTED, ResultCode.NO_TARGET})
# A stored or client-made result does not change by running the request again.
_RETRIED_MAY_HAVE_RUN = frozenset({ResultCode.TARGET_FAILED, ResultCode.STREAM_BROKEN})


class RetryBudget:
    """A token bucket per workspace: each request adds 0.1, each retry takes 1, at most 10."""

    def __init__(self, fraction: float = RETRY_FRACTION, burst: float = RETRY_BURST):
        self.fraction = fraction
        self.burst = burst
        self.tokens: dict[str, float] = {}

    def request(self, workspace: str) -> None:
        """Count a first attempt of `workspace`."""
        self.tokens[workspace] = min(self.burst, self.available(workspace) + self.fraction)

    def available(self, workspace: str) -> float:
        """Return the retries left for `workspace`."""
        return self.tokens.get(workspace, self.burst)

    def take(self, workspace: str) -> bool:
        """Take one retry from the budget; False when none is left."""
        available = self.available(workspace)
        if available < 1.0:
            return False
        self.tokens[workspace] = available - 1.0
        return True


def may_retry(code: ResultCode, idempotent: bool, attempts: int, now: int, deadline: int) -> bool:
    """Return whether a result may be followed by another attempt, apart from the budget.

    `attempts` counts those already made; `now` and `deadline` are monotonic milliseconds.
    """
    if attempts >= MAX_ATTEMPTS or now >= deadline:
        return False
    kind = result_class(code)
    if kind is ResultClass.NOT_RUN:
        return code in _RETRIED_NOT_RUN
    return idempotent and code in _RETRIED_MAY_HAVE_RUN


class Retries:
    """The decision and the budget together."""

    def __init__(self, clock: Clock, budget: RetryBudget | None = None):
        self.clock = clock
        self.budget = budget or RetryBudget()

    def allow(
        self, workspace: str, code: ResultCode, idempotent: bool, attempts: int, deadline: int
    ) -> bool:
        """Return whether to try again, taking one retry from the workspace's budget if so."""
        allowed = may_retry(code, idempotent, attempts, self.clock.now(), deadline)
        return allowed and self.budget.take(workspace)
