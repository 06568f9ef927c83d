"""Cost estimates and service units."""

from collections import OrderedDict
from dataclasses import dataclass

# Reading an input token costs an engine about a tenth of generating one.
UNITS_PER_INPUT_TOKEN = 0.1
# An engine generates a token in about 31 ms, so one unit is 31 ms on both kinds of targets.
MS_PER_UNIT = 31.0
# About 2 s of work; the reserved slots are for requests up to this cost.
SHORT_MAX_UNITS = 64.0
DEFAULT_UNITS = 100.0
# A request may cost this many times its hint before the hint counts as wrong.
MAX_COST_TO_HINT_RATIO = 2.0
# Right hints in a row after which a workspace may use the reserved slots again.
HINTS_TO_REGAIN_TRUST = 5
MAX_TRACKED_ROUTES = 10_000


def engine_units(input_tokens: float, output_tokens: float) -> float:
    """Return the service units of an engine request."""
    return input_tokens * UNITS_PER_INPUT_TOKEN + output_tokens


def plain_units(elapsed_ms: float) -> float:
    """Return the service units of a request on a plain service."""
    return elapsed_ms / MS_PER_UNIT


@dataclass(frozen=True)
class Estimate:
    """The expected cost in service units; `hinted` is the cost by the caller's hints."""

    units: float
    short: bool
    hinted: float | None = None


class CostEstimator:
    """Estimates from hints and from the past costs per workspace and route."""

    def __init__(self, max_tracked_routes: int = MAX_TRACKED_ROUTES):
        self.max_tracked_routes = max_tracked_routes
        self._means: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._hints_to_trust: dict[str, int] = {}

    def estimate(self, workspace: str, route: str, hinted: float | None) -> Estimate:
        """Estimate a request; `hinted` is None without hints."""
        mean = self._means.get((workspace, route))
        if hinted is None:
            return Estimate(mean if mean is not None else DEFAULT_UNITS, False)
        if not self.trusts_hints(workspace):
            # A workspace with wrong hints is charged what its requests have really cost.
            return Estimate(max(hinted, mean or 0.0), False, hinted)
        return Estimate(hinted, hinted <= SHORT_MAX_UNITS, hinted)

    def observe(self, workspace: str, route: str, estimate: Estimate, used: float) -> None:
        """Learn the real cost of a request that ended well."""
        key = (workspace, route)
        mean = self._means.get(key)
        self._means[key] = used if mean is None else mean + 0.1 * (used - mean)
        self._means.move_to_end(key)
        if len(self._means) > self.max_tracked_routes:
            self._means.popitem(last=False)
        if estimate.hinted is None:
            return
        # A few units of slack keep a one-token answer from discrediting its workspace.
        if used > MAX_COST_TO_HINT_RATIO * estimate.hinted + 4:
            self._hints_to_trust[workspace] = HINTS_TO_REGAIN_TRUST
        elif workspace in self._hints_to_trust:
            self._hints_to_trust[workspace] -= 1
            if self._hints_to_trust[workspace] == 0:
                del self._hints_to_trust[workspace]

    def trusts_hints(self, workspace: str) -> bool:
        """Return whether the hints of `workspace` have been right lately."""
        return workspace not in self._hints_to_trust
