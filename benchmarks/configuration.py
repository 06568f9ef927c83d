"""Time until an accepted configuration is in force on 8 routers, and until a dead one is found."""

import argparse
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from hdrh.histogram import HdrHistogram

from benchmarks.site import machine
from jacinthcove.clock import SystemClock
from jacinthcove.control.configstore import ConfigStore
from jacinthcove.load.profiles import LAVALLEE
from jacinthcove.store.client import HttpStore
from testbed.fleet import FleetOptions, LocalFleet

CHANGES = 50
KILLS = 5
POLL_S = 0.01
PAUSE_S = 0.3
LIMIT_S = 30.0
IN_FORCE_TARGET_MS = 2_000
DETECTION_TARGET_MS = 5_000
STORE_TIMEOUT_MS = 2_000


def wait_ms(condition: Callable[[], bool]) -> int:
    """Return the time until `condition` holds; raises `TimeoutError`."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > LIMIT_S:
            raise TimeoutError(f"nothing after {LIMIT_S} s")
        time.sleep(POLL_S)
    return round((time.monotonic() - started) * 1000)


def change_times(fleet: LocalFleet, changes: int) -> HdrHistogram:
    """Accept changes one after another; record when the last router has applied each, in ms."""
    store = HttpStore(fleet.store_address, STORE_TIMEOUT_MS)
    config_store = ConfigStore(store, SystemClock())
    times = HdrHistogram(1, 60_000, 3)
    for number in range(changes):
        lifetime_ms = 3_000 + number % 2
        revision = config_store.update(
            lambda config, ms=lifetime_ms: replace(config, lookup_lifetime_ms=ms)
        )
        behind = [router.id for router in fleet.routers]

        def applied(revision: int = revision, behind: list[str] = behind) -> bool:
            behind[:] = [r for r in behind if fleet.status(r)["revision"] < revision]
            return not behind

        times.record_value(max(1, wait_ms(applied)))
        time.sleep(PAUSE_S)
    store.close()
    return times


def detection_times(fleet: LocalFleet, kills: int) -> list[int]:
    """Kill routers one after another; return when all others held each for dead, in ms."""
    times = []
    for router in fleet.routers[:kills]:
        others = [other.id for other in fleet.routers if other.id != router.id]
        fleet.router_programs[router.id].kill()
        times.append(
            wait_ms(lambda dead=router.id, o=others: all(_sees_dead(fleet, r, dead) for r in o))
        )
        fleet.start_router(router.id)
        fleet.wait_until_serving(other.id for other in fleet.routers)
    return times


def _sees_dead(fleet: LocalFleet, router_id: str, dead: str) -> bool:
    members = fleet.status(router_id)["members"]
    return all(m["state"] == "dead" for m in members if m["id"] == dead)


def main(arguments: list[str]) -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(prog="benchmarks configuration", description=__doc__)
    parser.add_argument("--changes", type=int, default=CHANGES)
    parser.add_argument("--kills", type=int, default=KILLS)
    options = parser.parse_args(arguments)
    print(f"configuration: 8 routers, {options.changes} changes; {machine()}")
    with tempfile.TemporaryDirectory() as directory:
        fleet = LocalFleet(LAVALLEE, Path(directory), FleetOptions(controllers=0))
        try:
            fleet.start()
            changes = change_times(fleet, options.changes)
            detected = detection_times(fleet, options.kills)
        finally:
            fleet.close()
    p50, p99 = (changes.get_value_at_percentile(p) for p in (50, 99))
    print(f"in force on all routers, ms: p50 {p50}, p99 {p99}, target p99 {IN_FORCE_TARGET_MS}")
    print(f"dead router found by all others, ms: {detected}, target {DETECTION_TARGET_MS}")
    return 0 if p99 <= IN_FORCE_TARGET_MS and max(detected) <= DETECTION_TARGET_MS else 1
