"""What a router at rest uses in a fleet of 8: memory, processor time and control bytes by kind."""

import argparse
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from statistics import mean

from benchmarks.site import machine
from jacinthcove.load.profiles import LAVALLEE
from testbed.fleet import FleetOptions, LocalFleet
from testbed.processes import cpu_seconds, resident_mb

SETTLE_S = 10.0
MAX_RESIDENT_MB = 100.0
MAX_CORE = 0.01


def read_bytes(fleet: LocalFleet, router_id: str) -> Counter[str]:
    """Return the control bytes sent and received so far, by kind."""
    traffic = fleet.status(router_id)["control_bytes"]
    return Counter(
        {f"{way} {kind}": n for way, kinds in traffic.items() for kind, n in kinds.items()}
    )


def main(arguments: list[str]) -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(prog="benchmarks idle", description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args(arguments)
    print(f"idle: 8 routers, {options.seconds:g} s; {machine()}")
    with tempfile.TemporaryDirectory() as directory:
        fleet = LocalFleet(LAVALLEE, Path(directory), FleetOptions(controllers=0))
        try:
            fleet.start()
            time.sleep(SETTLE_S)
            return 0 if measure(fleet, options.seconds) else 1
        finally:
            fleet.close()


def measure(fleet: LocalFleet, seconds: float) -> bool:
    """Print what each router used; return whether the targets are met."""
    pids = {router_id: program.pid for router_id, program in fleet.router_programs.items()}
    bytes_before = {router_id: read_bytes(fleet, router_id) for router_id in pids}
    started = time.monotonic()
    cpu_before = {router_id: cpu_seconds(pid) for router_id, pid in pids.items()}
    time.sleep(seconds)
    cores = {r: (cpu_seconds(pid) - cpu_before[r]) / seconds for r, pid in pids.items()}
    resident = {r: resident_mb(pid) for r, pid in pids.items()}
    kinds: Counter[str] = Counter()
    print(f"{'router':12}{'% of a core':>12}{'MB':>8}{'sent B/s':>10}{'received B/s':>14}")
    for router_id in pids:
        used = read_bytes(fleet, router_id) - bytes_before[router_id]
        elapsed_s = time.monotonic() - started
        rates = {kind: count / elapsed_s for kind, count in used.items()}
        kinds.update(rates)
        sent = sum(rate for kind, rate in rates.items() if kind.startswith("sent"))
        print(
            f"{router_id:12}{cores[router_id] * 100:12.2f}{resident[router_id]:8.1f}"
            f"{sent:10.0f}{sum(rates.values()) - sent:14.0f}"
        )
    print("mean control bytes per router:")
    for kind, rate in kinds.most_common():
        print(f"  {kind:32}{rate / len(pids):8.0f} B/s")
    met = max(resident.values()) <= MAX_RESIDENT_MB and max(cores.values()) <= MAX_CORE
    print(
        f"highest memory {max(resident.values()):.1f} MB (target {MAX_RESIDENT_MB:g}), "
        f"processor {mean(cores.values()):.2%} mean, {max(cores.values()):.2%} highest "
        f"(target {MAX_CORE:.0%}): {'met' if met else 'MISSED'}"
    )
    return met


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
