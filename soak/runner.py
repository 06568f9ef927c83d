"""Plays one seed, checks what was seen, and keeps the records of a failed run."""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import shutil  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import asdict  # noqa: E402
from pathlib import Path  # noqa: E402

from soak.checkers import check  # noqa: E402
from soak.history import History  # noqa: E402
from soak.schedule import make_schedule  # noqa: E402
from soak.world import COLD_PER_S, RESTARTED_COLD_PER_S, World, network_of  # noqa: E402

SHOWN_VIOLATIONS = 5


def run(
    seed: int, seconds: float, routers: int, callers: int, restarts: int, directory: Path
) -> int:
    """Play a seed; returns 0 if it held, 1 if it broke a promise."""
    shutil.rmtree(directory, ignore_errors=True)
    schedule = make_schedule(seed, seconds, restarts)
    network = network_of(seed, os.getpid())
    cold_per_s = RESTARTED_COLD_PER_S if restarts else COLD_PER_S
    world = World(seed, routers, callers, directory, network, cold_per_s)
    history = world.run(schedule, seconds)
    broken = check(history)
    kinds = Counter(action.kind.value for action in schedule)
    statuses = Counter(call.status for call in history.calls)
    print(
        f"seed {seed}: {'BROKEN ' + ', '.join(broken) if broken else 'held'};"
        f" {len(history.calls)} calls {dict(sorted(statuses.items()))},"
        f" {len(history.arrivals)} arrivals; {dict(kinds)}"
    )
    for name, found in broken.items():
        for line in found[:SHOWN_VIOLATIONS]:
            print(f"  {name}: {line}")
    if broken:
        _keep(history, directory)
    else:
        shutil.rmtree(directory, ignore_errors=True)
    return 1 if broken else 0


def _keep(history: History, directory: Path) -> None:
    records = asdict(history)
    for name, items in records.items():
        if isinstance(items, list):
            lines = (json.dumps(item, default=repr) for item in items)
            (directory / f"{name}.jsonl").write_text("\n".join(lines))
