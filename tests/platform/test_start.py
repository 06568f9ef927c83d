"""Start of the router program as a process."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from testbed.processes import handles_signal

ROOT = Path(__file__).resolve().parents[2]


def survives_soon(pid, number):
    """Return whether a process ignores or handles a signal within ten seconds."""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        if handles_signal(pid, number):
            return True
        time.sleep(0.002)
    return False


def test_sighup_during_start_does_not_kill_the_router(tmp_path):
    """The program exits because its settings file is missing, not by the signal."""
    environment = os.environ | {"JACINTHCOVE_NODE_FILE": str(tmp_path / "missing")}
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "deploy" / "router.py")],
        env=environment,
        stderr=subprocess.PIPE,
    )
    assert survives_soon(process.pid, signal.SIGHUP)
    process.send_signal(signal.SIGHUP)
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert b"missing" in errors
