"""Simulated callers: draws their requests, with times, workspaces and prompts, from a seed."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from jacinthcove.gateway.model import PromptPart, PromptShape


@dataclass(frozen=True)
class RequestKind:
    """One kind of request, with its rate, goal, timeout and mean token counts.

    `shared_prompts` is the number of different shared prompt parts; `length_sigma` is the sigma
    of the log-normal distribution of token counts.
    """

    name: str
    per_s: float
    goal_ms: int
    timeout_ms: int
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    shared_prompts: int
    body_bytes: int
    length_sigma: float = 0.6


@dataclass(frozen=True)
class HotWorkspace:
    """A workspace that sends `factor` times its usual rate from `from_ms` until `to_ms`.

    With `domain`, all its callers use the routers of that failure domain.
    """

    workspace: int
    factor: float
    from_ms: int
    to_ms: int
    domain: int | None = None


@dataclass(frozen=True)
class Load:
    """The traffic of a simulation.

    Workspaces get a Zipf distribution with the exponent `skew`; 0 means equal rates.
    """

    kinds: tuple[RequestKind, ...]
    workspaces: int = 16
    skew: float = 1.2
    hot: tuple[HotWorkspace, ...] = ()
    domain_weights: tuple[float, ...] = (1.0, 1.0, 1.0)


@dataclass(frozen=True)
class Call:
    """One request of a caller; `at_ms` is the time since the start of the simulation."""

    at_ms: float
    kind: RequestKind
    workspace: str
    domain: int
    prompt: PromptShape


def _draw_length(rng: Random, mean: int, length_sigma: float) -> int:
    return max(
        1, round(rng.lognormvariate(math.log(max(1, mean)) - length_sigma**2 / 2, length_sigma))
    )


class Traffic:
    """Draws the calls of a load from a seed."""

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.rng = Random(seed)
        self.weights = [1 / (rank + 1) ** load.skew for rank in range(load.workspaces)]
        self.shared_prompt_tokens: dict[str, int] = {}

    def calls(self, duration_ms: int) -> Iterator[Call]:
        """Yield the calls of the first `duration_ms` in the order of their times."""
        rate = sum(kind.per_s for kind in self.load.kinds) / 1_000
        max_rate = rate * max([1.0, *(hot.factor for hot in self.load.hot)])
        at_ms = 0.0
        while True:
            at_ms += self.rng.expovariate(max_rate)
            if at_ms >= duration_ms:
                return
            # Thinned Poisson process: draws at the maximum rate and skips the excess calls.
            weights = self._weights_at(at_ms)
            if self.rng.random() * max_rate <= rate * sum(weights) / sum(self.weights):
                yield self._call(at_ms, weights)

    def _weights_at(self, at_ms: float) -> list[float]:
        weights = list(self.weights)
        for hot in self.load.hot:
            if hot.from_ms <= at_ms < hot.to_ms:
                weights[hot.workspace] *= hot.factor
        return weights

    def _call(self, at_ms: float, weights: list[float]) -> Call:
        kinds = self.load.kinds
        kind = self.rng.choices(kinds, [item.per_s for item in kinds])[0]
        workspace = self.rng.choices(range(len(weights)), weights)[0]
        domains = self.load.domain_weights
        domain = self.rng.choices(range(len(domains)), domains)[0]
        for hot in self.load.hot:
            if hot.workspace == workspace and hot.domain is not None:
                domain = hot.domain
        return Call(at_ms, kind, f"w{workspace}", domain, self._prompt(kind))

    def _prompt(self, kind: RequestKind) -> PromptShape:
        own = _draw_length(self.rng, kind.own_tokens, kind.length_sigma)
        output = _draw_length(self.rng, kind.output_tokens, kind.length_sigma)
        parts = [PromptPart("own", own)]
        if kind.shared_prompts:
            key = f"{kind.name}-{self.rng.randrange(kind.shared_prompts)}"
            if key not in self.shared_prompt_tokens:
                self.shared_prompt_tokens[key] = _draw_length(
                    self.rng, kind.shared_tokens, kind.length_sigma
                )
            parts.insert(0, PromptPart(key, self.shared_prompt_tokens[key]))
        return PromptShape(sum(part.tokens for part in parts), output, tuple(parts))
