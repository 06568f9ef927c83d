"""Results of a simulation: outcomes of calls, prefilled and copied tokens, bytes sent."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from jacinthcove.lab.engine import EngineTokenCounts
from jacinthcove.lab.traffic import Call

# Workspaces with fewer calls are left out of `workspace_goal_fractions` as too noisy.
MIN_CALLS = 20
# The shares of workspaces are compared over this number of seconds.
FAIR_SECONDS = 6


@dataclass
class OutcomeCounts:
    """Numbers of calls answered within the latency goal, answered late, and refused."""

    in_goal: int = 0
    late: int = 0
    refused: int = 0

    @property
    def call_count(self) -> int:
        """Return the number of all calls."""
        return self.in_goal + self.late + self.refused

    @property
    def goal_fraction(self) -> float:
        """Return the fraction of calls answered within their latency goal; 1.0 without calls."""
        return self.in_goal / self.call_count if self.call_count else 1.0


@dataclass
class Results:
    """Outcomes by kind of request and by workspace, and sums over all engines.

    `prefilled_tokens` counts all prompt tokens that were not cached; the other token counts are
    those of shared parts only.
    """

    by_kind: dict[str, OutcomeCounts] = field(default_factory=lambda: defaultdict(OutcomeCounts))
    by_workspace: dict[str, OutcomeCounts] = field(
        default_factory=lambda: defaultdict(OutcomeCounts)
    )
    prefilled_tokens: float = 0.0
    prefilled_again_tokens: float = 0.0
    copied_tokens: float = 0.0
    cross_domain_bytes: int = 0
    # Tries that were refused, and those that were refused while an engine was idle.
    refused_tries: int = 0
    refused_tries_while_idle: int = 0
    # By workspace and second: share cost tokens asked for, each call once, and begun, and the tries
    # that were refused or answered late.
    asked_tokens: Counter[tuple[str, int]] = field(default_factory=Counter)
    begun_tokens: Counter[tuple[str, int]] = field(default_factory=Counter)
    shortages: Counter[tuple[str, int]] = field(default_factory=Counter)

    def add_answered(self, call: Call, first_token_ms: float) -> None:
        """Count a call whose first token arrived `first_token_ms` after the call."""
        for outcome in self._outcomes_of(call):
            if first_token_ms <= call.kind.goal_ms:
                outcome.in_goal += 1
            else:
                outcome.late += 1

    def add_asked(self, call: Call) -> None:
        """Count the tokens of a call that is sent for the first time."""
        self.asked_tokens[call.workspace, int(call.at_ms // 1_000)] += call.prompt.share_cost_tokens

    def add_begun(self, call: Call, at_ms: float, first_token_ms: float) -> None:
        """Count the tokens of a response that begins at `at_ms` of the simulation."""
        key = (call.workspace, int(at_ms // 1_000))
        self.begun_tokens[key] += call.prompt.share_cost_tokens
        if first_token_ms > call.kind.goal_ms:
            self.shortages[key] += 1

    def add_refused_try(self, workspace: str, at_ms: float, engine_is_idle: bool) -> None:
        """Count a refusal, which the caller may follow by another try."""
        self.refused_tries += 1
        self.refused_tries_while_idle += engine_is_idle
        self.shortages[workspace, int(at_ms // 1_000)] += 1

    def worst_share_ratio(self) -> float:
        """Return the worst ratio of what a competing workspace began to what it was due.

        Workspaces compete over `FAIR_SECONDS` if each second had a shortage for them. Due is what
        it asked for, or what the best served of them began if that is less.
        """
        worst = 1.0
        for first in {second for _, second in self.shortages}:
            seconds = range(first, first + FAIR_SECONDS)
            competing = [
                name
                for name in self.by_workspace
                if all(self.shortages[name, second] for second in seconds)
            ]
            begun = [sum(self.begun_tokens[name, item] for item in seconds) for name in competing]
            for name, got in zip(competing, begun, strict=True):
                asked = sum(self.asked_tokens[name, item] for item in seconds)
                worst = min(worst, got / max(1, min(asked, max(begun))))
        return worst

    def add_refused(self, call: Call) -> None:
        """Count a call that got no response."""
        for outcome in self._outcomes_of(call):
            outcome.refused += 1

    def add_engine(self, counts: EngineTokenCounts) -> None:
        """Add the token counts of one engine to the sums."""
        self.prefilled_tokens += counts.prefilled
        self.prefilled_again_tokens += counts.prefilled_again
        self.copied_tokens += counts.copied

    @property
    def all(self) -> OutcomeCounts:
        """Return the counts summed over all kinds of requests."""
        kinds = self.by_kind.values()
        return OutcomeCounts(
            sum(item.in_goal for item in kinds),
            sum(item.late for item in kinds),
            sum(item.refused for item in kinds),
        )

    def workspace_goal_fractions(self) -> list[float]:
        """Return the goal fraction of each workspace with enough calls, lowest first."""
        large_enough = (item for item in self.by_workspace.values() if item.call_count >= MIN_CALLS)
        return sorted(item.goal_fraction for item in large_enough)

    def _outcomes_of(self, call: Call) -> tuple[OutcomeCounts, OutcomeCounts]:
        return self.by_kind[call.kind.name], self.by_workspace[call.workspace]
