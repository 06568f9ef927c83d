"""Child processes on loopback."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import gevent

STOP_TIMEOUT_S = 40.0
COMMAND_TIMEOUT_S = 60.0
POLL_S = 0.05
SOURCE = Path(__file__).resolve().parent.parent / "src"


def handles_signal(pid: int, number: int) -> bool:
    """Return whether a process ignores or handles a signal, so that it does not end by it."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith(("SigIgn:", "SigCgt:"))]
    return any(int(mask, 16) & 1 << (number - 1) for mask in masks)


@dataclass
class Program:
    """One process of a fleet; its output goes to `log_path`."""

    module: str
    arguments: Sequence[str]
    log_path: Path
    environment: Mapping[str, str] = field(default_factory=dict)
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "PYTHONPATH": str(SOURCE), **self.environment}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def pid(self) -> int:
        """Return the process id; raises `RuntimeError` before the start."""
        if self.process is None:
            raise RuntimeError(f"{self.module} was not started")
        return self.process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Ask the process to stop, wait, and kill it after `timeout_s`; return its exit code."""
        self.signal(signal.SIGTERM)
        if self.process is None:
            return None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


@dataclass(frozen=True)
class CommandResult:
    """The exit code and the whole output of a command."""

    code: int
    output: str


def run_command(
    module: str,
    arguments: Sequence[str],
    environment: Mapping[str, str],
    timeout_s: float = COMMAND_TIMEOUT_S,
) -> CommandResult:
    """Run a module to its end while other greenlets of this process go on.

    Uses the standard `subprocess` throughout the test bed: the child watcher of gevent's own one
    would collect the exit codes of the other children, which then read as 0.
    """
    command = [sys.executable, "-m", module, *arguments]
    with tempfile.TemporaryFile() as output:
        process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env={**os.environ, "PYTHONPATH": str(SOURCE), **environment},
        )
        try:
            deadline = time.monotonic() + timeout_s
            while process.poll() is None:
                if time.monotonic() >= deadline:
                    raise TimeoutError(f"{module} {' '.join(arguments)} did not end")
                gevent.sleep(POLL_S)
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
        output.seek(0)
        return CommandResult(process.returncode, output.read().decode())


def stop_all(programs: Sequence[Program], timeout_s: float = STOP_TIMEOUT_S) -> None:
    """Stop several processes at the same time."""
    for program in programs:
        # A paused process handles its stop signal only after it is continued.
        program.signal(signal.SIGCONT)
        program.signal(signal.SIGTERM)
    deadline = time.monotonic() + timeout_s
    for program in programs:
        program.stop(max(0.1, deadline - time.monotonic()))


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds, from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, from /proc."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000
