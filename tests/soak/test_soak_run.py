"""Short soak runs: fixed seeds and every seed that has failed before."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# Seed, seconds, routers, callers and series of restarts.
SHORT_RUN = ("1001", "6", "3", "16", "0")
RESTARTS_RUN = ("9302", "8", "3", "32", "12")
RUNS = [SHORT_RUN, RESTARTS_RUN]
RUN_TIMEOUT_S = 120


def regression_runs():
    lines = (ROOT / "soak" / "regressions.txt").read_text().splitlines()
    return [(*line.split()[:4], "0") for line in lines if line and not line.startswith("#")]


def start_run(seed, seconds, routers, callers, restarts, **environment):
    command = [sys.executable, "-m", "soak", "--inside", "--seeds", seed, "--seconds", seconds]
    command += ["--routers", routers, "--callers", callers, "--restarts", restarts]
    return subprocess.Popen(
        command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        env=os.environ | environment,
    )


@pytest.fixture(scope="module")
def outcomes():
    """Start all runs at the same time; return exit code and output of each."""
    processes = {run: start_run(*run) for run in (*RUNS, *regression_runs())}
    results = {}
    for run, process in processes.items():
        output, _ = process.communicate(timeout=RUN_TIMEOUT_S)
        results[run] = process.returncode, output.decode()
    return results


@pytest.mark.parametrize("run", [*RUNS, *regression_runs()], ids=lambda run: f"seed-{run[0]}")
def test_soak_run_finds_no_fault(outcomes, run):
    code, output = outcomes[run]
    assert code == 0, output
    assert "held" in output


@pytest.mark.known_red
def test_routers_that_trust_every_start_are_found(outcomes):
    # After the other runs, as it keeps its records in the same directory.
    process = start_run(*RESTARTS_RUN, SOAK_TRUST_STARTS="1")
    output, _ = process.communicate(timeout=RUN_TIMEOUT_S)
    assert process.returncode == 1, output.decode()
    assert "cold_targets_are_spared" in output.decode()
