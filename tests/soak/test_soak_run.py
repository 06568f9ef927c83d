"""Short soak runs: one fixed seed and every seed that has failed before."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# Seed, seconds, routers and callers.
SHORT_RUN = ("1001", "6", "3", "16")
RUN_TIMEOUT_S = 120


def regression_runs():
    lines = (ROOT / "soak" / "regressions.txt").read_text().splitlines()
    return [tuple(line.split()[:4]) for line in lines if line and not line.startswith("#")]


def start_run(seed, seconds, routers, callers):
    command = [sys.executable, "-m", "soak", "--inside", "--seeds", seed, "--seconds", seconds]
    command += ["--routers", routers, "--callers", callers]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)


@pytest.fixture(scope="module")
def outcomes():
    """Start all runs at the same time; return exit code and output of each."""
    processes = {run: start_run(*run) for run in (SHORT_RUN, *regression_runs())}
    results = {}
    for run, process in processes.items():
        output, _ = process.communicate(timeout=RUN_TIMEOUT_S)
        results[run] = process.returncode, output.decode()
    return results


@pytest.mark.parametrize("run", [SHORT_RUN, *regression_runs()], ids=lambda run: f"seed-{run[0]}")
def test_soak_run_finds_no_fault(outcomes, run):
    code, output = outcomes[run]
    assert code == 0, output
    assert "held" in output
