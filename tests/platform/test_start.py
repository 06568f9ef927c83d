"""The start of the router program as a process."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from testbed.processes import handles_signal

ROOT = Path(__file__).resolve().parents[2]


def bears_soon(pid, number):
    """Return whether a process comes to bear a signal within ten seconds."""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        if handles_signal(pid, number):
            return True
        time.sleep(0.002)
    return False


def test_a_signalled_change_of_settings_does_not_end_a_starting_router(tmp_path):
    """The program fails for its missing settings, not by the signal."""
    environment = os.environ | {"JACINTHCOVE_NODE_FILE": str(tmp_path / "missing")}
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "deploy" / "router.py")],
        env=environment,
        stderr=subprocess.PIPE,
    )
    assert bears_soon(process.pid, signal.SIGHUP)
    process.send_signal(signal.SIGHUP)
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert b"missing" in errors
