"""First-token time added by a shard's owner and by another router, at light load.

One caller sends short streams in turn: directly to the engine, through the router that owns the
engine's shard, and through the other router, which asks the owner for a slot.
"""

import argparse
import sys
import tempfile
from pathlib import Path

from hdrh.histogram import HdrHistogram

from benchmarks.caller import StreamReader, gap_histogram
from benchmarks.site import benchmark_profile, machine, warm_engine_flags
from testbed.fleet import FleetOptions, LocalFleet

SLOTS = 8
# An idle engine starts a request with a whole step, so a short step makes the rest more visible.
TOKEN_MS = 10.0
TOKENS = 2
WARM_UP = 20
TARGETS_MS = {"owner": 10.0, "other": 20.0}


def find_owner(fleet: LocalFleet) -> str:
    """Return the id of the router that owns the only shard."""

    def owners() -> list[str]:
        return [r.id for r in fleet.routers if _owns(fleet, r.id)]

    fleet.wait_until("one owner of the shard", lambda: len(owners()) == 1)
    return owners()[0]


def _owns(fleet: LocalFleet, router_id: str) -> bool:
    shards = fleet.status(router_id)["shards"]
    return any(target["usable"] for shard in shards for target in shard["targets"])


def first_token_ms(name: str, number: int, address: str) -> float:
    """Send one request and return the time to its first token; raises `RuntimeError`."""
    reader = StreamReader(name != "direct", f"{name}/{number}", TOKENS, address, 0)
    problem = reader.run()
    if problem:
        raise RuntimeError(f"{name}: {problem}")
    return (reader.arrivals[0] - reader.sent_at) * 1000


def measure(fleet: LocalFleet, requests: int) -> dict[str, list[float]]:
    """Return the first-token times of each path, request by request."""
    owner = find_owner(fleet)
    other = next(router.id for router in fleet.routers if router.id != owner)
    paths = {
        "direct": next(iter(fleet.targets.values())).address,
        "owner": fleet.router(owner).caller,
        "other": fleet.router(other).caller,
    }
    times: dict[str, list[float]] = {name: [] for name in paths}
    for number in range(-WARM_UP, requests):
        for name, address in paths.items():
            value = first_token_ms(name, number, address)
            if number >= 0:
                times[name].append(value)
    return times


def percentiles(values_ms: list[float]) -> list[float]:
    """Return p50, p95 and p99 in ms; negative values count as 0."""
    histogram: HdrHistogram = gap_histogram()
    for value in values_ms:
        histogram.record_value(max(1, round(value * 1000)))
    return [histogram.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]


def main(arguments: list[str]) -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(prog="benchmarks first_token", description=__doc__)
    parser.add_argument("--requests", type=int, default=400)
    options = parser.parse_args(arguments)
    print(f"first token: {options.requests} requests per path; {machine()}")
    engine_flags = warm_engine_flags(SLOTS, TOKEN_MS)
    with tempfile.TemporaryDirectory() as directory:
        fleet = LocalFleet(
            benchmark_profile(2, 1, SLOTS),
            Path(directory),
            FleetOptions(controllers=0, engine_flags=engine_flags),
        )
        try:
            fleet.start()
            times = measure(fleet, options.requests)
        finally:
            fleet.close()
    return 0 if verdict(times) else 1


def verdict(times: dict[str, list[float]]) -> bool:
    """Print the table; each request is compared with the direct one right before it."""
    met = True
    print(f"{'path':16}{'p50 ms':>9}{'p95 ms':>9}{'p99 ms':>9}")
    for name, values in times.items():
        print(f"{name:16}" + "".join(f"{value:9.1f}" for value in percentiles(values)))
    for name, target_ms in TARGETS_MS.items():
        added = [via - direct for via, direct in zip(times[name], times["direct"], strict=True)]
        figures = percentiles(added)
        met = met and figures[1] <= target_ms
        outcome = "met" if figures[1] <= target_ms else "MISSED"
        row = "".join(f"{value:9.1f}" for value in figures)
        print(f"{'added by ' + name:16}{row}  target p95 {target_ms:g} ms: {outcome}")
    return met


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
