"""Plays the laboratory's loads with one mechanism of the decisions switched off at a time.

Run as `python scripts/ablation.py [--seeds N] [--loads NAME,...]` with `PYTHONPATH=src`. The table
has the part of the callers answered within the goal, and what was copied and read again.
"""

import argparse
import logging
import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from multiprocessing import Pool
from typing import Any
from unittest import mock

import structlog

from jacinthcove.gateway import admission, placement, prefixcache
from jacinthcove.gateway.shares import ShareLedger, Standing
from jacinthcove.lab.scenarios import SCENARIOS
from jacinthcove.lab.simulation import Simulation

PROCESSES = 3
PLAY_MS = 15_000


@dataclass(frozen=True)
class Patch:
    """An attribute of a module or class that a variant replaces."""

    owner: Any
    name: str
    value: Any


@dataclass(frozen=True)
class Outcome:
    """One play: parts of the callers, and millions of tokens."""

    variant: str
    load: str
    in_goal: float
    refused: float
    worst: float
    copied: float
    read_again: float


def _everything(prompt: Any, target: Any, *rest: Any) -> int:
    kept = bool(prompt.parts) and prompt.parts[0].id in target.recent_parts
    return int(prompt.input_tokens - prompt.own_tokens) if kept else 0


def _everywhere(
    rooms: dict[Standing, placement.AdmissionLimits],
) -> dict[Standing, placement.AdmissionLimits]:
    limitless = placement.AdmissionLimits(backlog=1e9, wait=1e9, slots=1.0)
    return dict.fromkeys(rooms, limitless)


def _within(ledger: ShareLedger, workspace: str) -> Standing:
    return Standing.WITHIN


def _no_source(choice: Callable[..., Any]) -> Callable[..., Any]:
    def made(self: Any, prompt: Any, target: Any, parts: Any) -> Any:
        return choice(self, prompt, target, replace(parts, source=None))

    return made


VARIANTS: dict[str, tuple[Patch, ...]] = {
    "all as it is": (),
    "fair shares": (Patch(ShareLedger, "standing", _within),),
    "limit of the queue at engines": (
        Patch(placement, "ADMISSION_LIMITS", _everywhere(placement.ADMISSION_LIMITS)),
    ),
    "short wait at the router": (Patch(admission, "MAX_WAIT_FRACTION", 0.0),),
    "wait for a holder": (Patch(admission.Admission, "_waits_for_holder", lambda *_: False),),
    "kept parts by what came in": (Patch(placement, "cached_tokens", _everything),),
    "nothing known of kept parts": (Patch(placement, "cached_tokens", lambda *_: 0),),
    "last user as the home": (Patch(placement, "most_recent_user", lambda *_: None),),
    "copies between engines": (
        Patch(placement.Placement, "_choice", _no_source(placement.Placement._choice)),
    ),
    "price of copies": (Patch(placement, "FETCH_WEIGHT", 0.0),),
    "price of reading again": (Patch(placement, "PREFILL_AGAIN_WEIGHT", 0.0),),
    "price of crossing": (Patch(placement, "cross_domain_cost_ms", lambda request: 0.0),),
    "fill of engines": (Patch(placement, "UTILIZATION_COST_MS", 0.0),),
    "refusal of what cannot end": (Patch(placement, "finishes_in_time", lambda *_: True),),
    "own tokens push parts out": (
        Patch(prefixcache.FillRate, "per_engine", classmethod(lambda cls, *_: cls())),
    ),
    "return within the goal": (
        Patch(admission, "RETRY_AFTER_MIN_FRACTION", 0.6),
        Patch(admission, "RETRY_AFTER_MAX_FRACTION", 2.5),
    ),
}


@contextmanager
def switched_off(variant: str) -> Iterator[None]:
    """Apply a variant's patches."""
    with ExitStack() as stack:
        for patch in VARIANTS[variant]:
            stack.enter_context(mock.patch.object(patch.owner, patch.name, patch.value))
        yield


def play(job: tuple[str, str, int]) -> Outcome:
    """Play one load with one variant and seed."""
    variant, load, seed = job
    case = SCENARIOS[load]
    with switched_off(variant):
        results = Simulation(case.load, case.fleet, seed, PLAY_MS).run()
    total = results.all
    return Outcome(
        variant,
        load,
        total.goal_fraction,
        total.refused / max(1, total.call_count),
        results.workspace_goal_fractions()[0],
        results.copied_tokens / 1e6,
        results.prefilled_again_tokens / 1e6,
    )


def _mean(items: Sequence[Outcome], name: str) -> float:
    return sum(getattr(item, name) for item in items) / len(items)


def main() -> int:
    """Play all variants and print a table for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--loads", default=",".join(SCENARIOS))
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    loads = options.loads.split(",")
    jobs = [(v, load, s) for load in loads for v in VARIANTS for s in range(1, options.seeds + 1)]
    with Pool(PROCESSES) as pool:
        outcomes = pool.map(play, jobs, chunksize=1)
    for load in loads:
        print(f"\n{load}: {options.seeds} seeds of {PLAY_MS // 1_000} s; without:")
        print(f"{'':<30}{'in goal':>9}{'refused':>9}{'worst':>7}{'copied':>8}{'read again':>12}")
        for variant in VARIANTS:
            found = [item for item in outcomes if (item.variant, item.load) == (variant, load)]
            print(
                f"{variant:<30}{_mean(found, 'in_goal'):>9.3f}{_mean(found, 'refused'):>9.3f}"
                f"{_mean(found, 'worst'):>7.2f}{_mean(found, 'copied'):>8.2f}"
                f"{_mean(found, 'read_again'):>12.2f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
