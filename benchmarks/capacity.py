"""Slopes behind docs/CAPACITY.md: `python -m benchmarks.capacity [SECTION [SIZE ...]]`.

Without a section every slope is measured, which takes about ten minutes. `mesh` and `spread` take
the numbers of members. The tables are printed and written as JSON under `reports/`.
"""

import sys
from collections.abc import Callable
from pathlib import Path

import orjson

from benchmarks import designsize, meshload, statesize, storeload, traffic
from benchmarks.designsize import Slope
from benchmarks.inmemory import log_to_nowhere

REPORTS = Path("reports")

SECTIONS: dict[str, tuple[Callable[..., list[Slope]], ...]] = {
    "members": (statesize.member_table, statesize.probe_sizes),
    "config": (statesize.configuration,),
    "vms": (statesize.vm_lists,),
    "tickets": (traffic.tickets,),
    "queues": (traffic.queues, traffic.grants),
    "accounts": (traffic.accounts, traffic.holders),
    "polling": (traffic.polling,),
    "status": (traffic.status,),
    "claims": (storeload.claims,),
    "controller": (storeload.changes, storeload.candidates, storeload.reports),
    "transport": (meshload.dials, meshload.messages),
    "mesh": (meshload.control,),
    "spread": (meshload.spread,),
}
SIZED = ("mesh", "spread")


def run(name: str, sizes: tuple[int, ...] = ()) -> list[Slope]:
    """Measure one section, print its tables and write them as JSON."""
    slopes: list[Slope] = []
    for measure in SECTIONS[name]:
        for slope in measure(sizes) if sizes else measure():
            print(designsize.table(slope), flush=True)
            slopes.append(slope)
    REPORTS.mkdir(exist_ok=True)
    suffix = "".join(f"-{size}" for size in sizes)
    path = REPORTS / f"capacity-{name}{suffix}.json"
    path.write_bytes(orjson.dumps(slopes, option=orjson.OPT_INDENT_2))
    return slopes


def main(arguments: list[str]) -> int:
    """Run the named section, or all of them."""
    name, sizes = (arguments[0] if arguments else ""), tuple(map(int, arguments[1:]))
    if (name and name not in SECTIONS) or (sizes and name not in SIZED):
        print(f"usage: benchmarks.capacity [{' | '.join(SECTIONS)}] [SIZE ...]", file=sys.stderr)
        return 2
    log_to_nowhere()
    for section in [name] if name else SECTIONS:
        run(section, sizes)
    if not name or name == "members":
        print(f"updates per probe at the design churn: {statesize.updates_per_probe():.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
