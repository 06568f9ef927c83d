"""Runs the router program with a time of day that a file shifts.

The file named by SOAK_CLOCK_FILE holds the milliseconds by which the time of day is ahead. With
SOAK_TRUST_STARTS set, routers do not check which start of a target a connection leads to: a fault
that the checkers have to find.
"""

import os
import runpy
import time
from pathlib import Path

CLOCK_FILE = Path(os.environ["SOAK_CLOCK_FILE"])
PROGRAM = Path(__file__).resolve().parent.parent / "deploy" / "router.py"
_true_time_ns = time.time_ns


def _shifted_time_ns() -> int:
    try:
        shift_ms = int(CLOCK_FILE.read_text())
    except (OSError, ValueError):
        shift_ms = 0
    return _true_time_ns() + shift_ms * 1_000_000


time.time_ns = _shifted_time_ns
if os.environ.get("SOAK_TRUST_STARTS"):
    from jacinthcove.gateway.raterule import ColdRule

    ColdRule._allows_unconfirmed = lambda rule, target: True
runpy.run_path(str(PROGRAM), run_name="__main__")
