"""Tests of the networks of soak runs, and of the check that a process handles a signal."""

import signal
import subprocess
import sys

from soak.world import network_of
from testbed.processes import handles_signal


def test_runs_of_one_seed_in_several_processes_use_different_networks():
    networks = {network_of(4, process) for process in range(1_000, 1_040)}
    assert len(networks) == 40


def test_runs_of_several_seeds_use_different_networks():
    assert len({network_of(seed, 1_000) for seed in range(100)}) == 100


def test_a_process_handles_a_signal_once_its_handler_is_installed():
    # Under nohup the process inherits SIGHUP as ignored, so it restores the default action first.
    restore = "import signal; signal.signal(1, signal.SIG_DFL); print(0, flush=True); input()"
    ignore = "signal.signal(1, signal.SIG_IGN); print(1, flush=True); input()"
    process = subprocess.Popen(
        [sys.executable, "-c", f"{restore}; {ignore}"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout.readline() == b"0\n"
        assert not handles_signal(process.pid, signal.SIGHUP)
        process.stdin.write(b"go on\n")
        process.stdin.flush()
        assert process.stdout.readline() == b"1\n"
        assert handles_signal(process.pid, signal.SIGHUP)
    finally:
        process.kill()
        process.communicate()
    assert not handles_signal(process.pid, signal.SIGHUP)
