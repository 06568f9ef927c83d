"""What a router knows of the engines of all services together, for its log of arrivals."""

from jacinthcove.gateway.admission import Admission
from jacinthcove.observe.arrivals import EngineStats


def engine_stats(admission: Admission) -> EngineStats:
    """Return the number and mean speed of the usable engines of all services."""
    names = [item.name for item in admission.services.values() if item.engine is not None]
    engines = [target for name in names for target in admission.registry.usable(name)]
    if not engines:
        return EngineStats()
    speeds = [target.load.tokens_per_ms for target in engines]
    return EngineStats(len(engines), sum(speeds) / len(speeds))
