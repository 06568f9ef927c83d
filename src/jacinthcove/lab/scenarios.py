"""Named scenarios of the policy lab; each packs a few minutes of trouble into seconds."""

from dataclasses import dataclass, replace

from jacinthcove.gateway.model import EngineCapacity
from jacinthcove.lab.engine import EngineSpeed, SlowSpells
from jacinthcove.lab.simulation import LabFleet, LimitedEngines
from jacinthcove.lab.traffic import HotWorkspace, Load, RequestKind

KINDS = (
    RequestKind("summary", 36.0, 600, 8_000, 13_000, 3_700, 120, 170, 17_000),
    RequestKind("certificate", 16.0, 500, 4_000, 6_300, 2_900, 52, 80, 9_200),
    RequestKind("question", 35.0, 500, 8_000, 350, 1_100, 170, 250, 1_500),
)
# Shared prompt parts that fit into the prefix caches of the engines many times over.
SMALL_KINDS = (
    RequestKind("draft", 12.0, 800, 12_000, 5_400, 6_600, 380, 60, 25_000),
    RequestKind("ask", 30.0, 400, 12_000, 200, 630, 290, 200, 2_500),
)
# For many engines with few slots, whose load reaches the routers late.
MANY_KINDS = (
    RequestKind("draft", 87.0, 800, 12_000, 5_400, 6_600, 380, 356, 12_000),
    RequestKind("ask", 106.0, 400, 10_000, 200, 630, 290, 655, 830),
    RequestKind("summary", 161.0, 400, 2_500, 570, 1_800, 22, 990, 2_400),
)
MANY_ENGINES_FLEET = LabFleet(
    routers=36,
    engines=30,
    capacity=EngineCapacity(12, 378_000),
    same_domain_period_ms=250,
    cross_domain_period_ms=400,
)
# Engines of one service at 0.7, 0.7 and 1.7 of the nominal speed, each with slow spells.
UNEVEN_FLEET = replace(
    MANY_ENGINES_FLEET,
    speed=EngineSpeed(prefill_tokens_per_ms=125.0, first_token_ms=60.0),
    speed_factors=(0.7, 0.7, 1.7),
    spells=SlowSpells(),
)


@dataclass(frozen=True)
class Scenario:
    """A load and the fleet that serves it; `duration_ms` bounds the length of the play."""

    load: Load
    fleet: LabFleet = LabFleet()
    duration_ms: int | None = None


def scaled(kinds: tuple[RequestKind, ...], factor: float, **overrides: object) -> Load:
    """Return a load with `factor` times the rates of `kinds`; `overrides` set fields of `Load`."""
    load = Load(tuple(replace(kind, per_s=kind.per_s * factor) for kind in kinds))
    return replace(load, **overrides)  # type: ignore[arg-type]


def hot_workspaces(count: int, domains: tuple[int | None, ...]) -> tuple[HotWorkspace, ...]:
    """Return the first `count` workspaces, each with the same rate, 4 times that of the largest.

    They begin one second after each other; `domains` are those of their callers, None for all.
    """
    skew = Load(()).skew
    return tuple(
        HotWorkspace(rank, 4.0 * (rank + 1) ** skew, 5_000 + 1_000 * rank, 17_000, domains[rank])
        for rank in range(count)
    )


SCENARIOS: dict[str, Scenario] = {
    "calm": Scenario(scaled(KINDS, 0.7)),
    "busy": Scenario(scaled(KINDS, 0.95)),
    "hot-workspace": Scenario(scaled(KINDS, 0.8, hot=(HotWorkspace(0, 3.0, 8_000, 18_000),))),
    "engines-lost": Scenario(scaled(KINDS, 0.9), LabFleet(lost_engines=((1, 10_000), (4, 10_000)))),
    "one-domain": Scenario(scaled(KINDS, 0.95, domain_weights=(4.0, 1.0, 1.0))),
    "roomy": Scenario(
        scaled(SMALL_KINDS, 1.0), LabFleet(engines=9, capacity=EngineCapacity(64, 518_000))
    ),
    "limited": Scenario(
        scaled(SMALL_KINDS, 1.6),
        LabFleet(
            engines=9, capacity=EngineCapacity(64, 518_000), limited=LimitedEngines(6, 4.0, 5_000)
        ),
    ),
    "all-limited": Scenario(
        scaled(SMALL_KINDS, 1.6),
        LabFleet(
            engines=9, capacity=EngineCapacity(64, 518_000), limited=LimitedEngines(9, 4.0, 5_000)
        ),
    ),
    "few-slots": Scenario(scaled(MANY_KINDS, 1.0, workspaces=30), MANY_ENGINES_FLEET),
    "few-slots-hot": Scenario(
        scaled(MANY_KINDS, 0.8, workspaces=30, hot=(HotWorkspace(0, 6.0, 6_000, 14_000),)),
        MANY_ENGINES_FLEET,
    ),
    "engines-return": Scenario(
        scaled(KINDS, 0.9),
        LabFleet(lost_engines=tuple((n, 8_000) for n in range(4)), return_after_ms=3_000),
    ),
    "two-hot": Scenario(scaled(KINDS, 0.8, hot=hot_workspaces(2, (None, None)))),
    "two-hot-domains": Scenario(scaled(KINDS, 0.8, hot=hot_workspaces(2, (0, None)))),
    "three-hot": Scenario(scaled(KINDS, 0.8, hot=hot_workspaces(3, (0, None, 1)))),
    "three-hot-many": Scenario(
        scaled(MANY_KINDS, 0.8, workspaces=30, hot=hot_workspaces(3, (0, None, 1))),
        MANY_ENGINES_FLEET,
    ),
    "crowd": Scenario(scaled(KINDS, 0.7, hot=(HotWorkspace(0, 12.0, 6_000, 10_000),))),
    "full-start": Scenario(scaled(KINDS, 0.8, hot=(HotWorkspace(0, 5.0, 0, 8_000),))),
    "uneven": Scenario(scaled(MANY_KINDS, 0.9, workspaces=30), UNEVEN_FLEET),
    # Routers and engines that know nothing yet.
    "uneven-start": Scenario(
        scaled(MANY_KINDS, 1.0, workspaces=30), replace(UNEVEN_FLEET, routers=60), 2_000
    ),
    "large": Scenario(scaled(KINDS, 2.4), LabFleet(routers=24, engines=15)),
}
