"""Service units and estimates of what a request will cost in them.

One unit is the cost of generating one output token.
"""

from collections import OrderedDict
from dataclasses import dataclass

# Prefill of an input token costs an engine about a tenth of generating a token.
UNITS_PER_INPUT_TOKEN = 0.1
# An engine generates a token in about 31 ms; a unit of a plain service is as long.
MS_PER_UNIT = 31.0
# Requests up to this cost, about 2 s of work, are short and may use reserved slots.
SHORT_MAX_UNITS = 64.0
DEFAULT_UNITS = 100.0
# A hint is wrong if the request costs more than this many times the hinted cost.
MAX_COST_TO_HINT_RATIO = 2.0
# Correct hints in a row after which a workspace may use reserved slots again.
HINTS_TO_REGAIN_TRUST = 5
# Limit of (workspace, route) pairs with a mean cost; the least recently updated is evicted.
MAX_TRACKED_ROUTES = 10_000


def engine_units(input_tokens: float, output_tokens: float) -> float:
    """Return the cost in service units of an engine request."""
    return input_tokens * UNITS_PER_INPUT_TOKEN + output_tokens


def plain_units(elapsed_ms: float) -> float:
    """Return the cost in service units of a request to a plain service."""
    return elapsed_ms / MS_PER_UNIT


@dataclass(frozen=True)
class Estimate:
    """The expected cost in service units.

    `short` says that the request may use reserved slots. `hinted` is the cost according to the
    caller's hints, None without hints.
    """

    units: float
    short: bool
    hinted: float | None = None


class CostEstimator:
    """Estimates costs from the caller's hints and from past costs per workspace and route."""

    def __init__(self, max_tracked_routes: int = MAX_TRACKED_ROUTES):
        self.max_tracked_routes = max_tracked_routes
        self._means: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._hints_to_trust: dict[str, int] = {}

    def estimate(self, workspace: str, route: str, hinted: float | None) -> Estimate:
        """Estimate the cost of a request; `hinted` is None without hints."""
        mean = self._means.get((workspace, route))
        if hinted is None:
            return Estimate(mean if mean is not None else DEFAULT_UNITS, False)
        if not self.trusts_hints(workspace):
            # After a wrong hint, the estimate is at least the mean of the actual costs.
            return Estimate(max(hinted, mean or 0.0), False, hinted)
        return Estimate(hinted, hinted <= SHORT_MAX_UNITS, hinted)

    def observe(self, workspace: str, route: str, estimate: Estimate, used: float) -> None:
        """Record the actual cost of a successful request and check its hint."""
        key = (workspace, route)
        mean = self._means.get(key)
        self._means[key] = used if mean is None else mean + 0.1 * (used - mean)
        self._means.move_to_end(key)
        if len(self._means) > self.max_tracked_routes:
            self._means.popitem(last=False)
        if estimate.hinted is None:
            return
        # The slack of 4 units keeps very short responses from making a hint wrong.
        if used > MAX_COST_TO_HINT_RATIO * estimate.hinted + 4:
            self._hints_to_trust[workspace] = HINTS_TO_REGAIN_TRUST
        elif workspace in self._hints_to_trust:
            self._hints_to_trust[workspace] -= 1
            if self._hints_to_trust[workspace] == 0:
                del self._hints_to_trust[workspace]

    def trusts_hints(self, workspace: str) -> bool:
        """Return whether the recent hints of `workspace` were correct."""
        return workspace not in self._hints_to_trust
