"""The router processes of a run; only those started here are signalled."""

import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import gevent

from soak.history import History, Span
from soak.proxy import Proxy
from testbed.processes import handles_signal

ROOT = Path(__file__).resolve().parent.parent
RESTART_S = 0.4
# A started interpreter is asked this often whether it has reached the first line of the program.
SIGNAL_POLL_S = 0.01
POLL_S = 0.05
BOUNDS = """bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=56
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.quota_window_s=4
bounds.grace_s=8
bounds.ttl_max_s=5
"""


class RouterProcess:
    """One router that is started again whenever it ends, until it is closed."""

    def __init__(
        self, number: int, ip: str, domain: str, store: str, directory: Path, history: History
    ):
        self.id = f"router-{number}"
        self.ip = ip
        self.history = history
        self.store_path = Proxy(store, random.Random(number))
        self.settings_path = directory / f"{self.id}.conf"
        self.clock_path = directory / f"{self.id}.clock"
        self.log_path = directory / f"{self.id}.log"
        self.ports = _free_ports(ip, 4)
        self.domain = domain
        self.reloads = 0
        self.write_settings()
        self.process: subprocess.Popen[bytes] | None = None
        self.stopping: Span | None = None
        self.expected_end = False
        self.launched_at = 0.0
        # Whether the handler of SIGTERM was installed when the signal was sent.
        self.handles_stop = False
        self.closed = False
        self.keeper: gevent.Greenlet | None = None

    @property
    def address(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def directory(self) -> str:
        """Return the address of the directory."""
        return f"{self.ip}:{self.ports[2]}"

    def write_settings(self) -> None:
        """Write the settings file, each time a little different."""
        self.reloads += 1
        text = (
            f"node={self.id}\nzone={self.domain}\nip={self.ip}\n"
            f"listen.front={self.address}\nlisten.ready={self.ip}:{self.ports[1]}\n"
            f"listen.directory={self.directory}\n"
            f"internal_ports={self.ports[3]},{self.ports[3]}\nseeds=\n"
            f"platform.address={self.store_path.address}\n{BOUNDS}soak.reloads={self.reloads}\n"
        )
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Start the process and keep it running."""
        self.keeper = gevent.spawn(self._keep)

    def close(self) -> None:
        """End the process for good."""
        self.closed = True
        if self.keeper is not None:
            self.keeper.kill()
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.store_path.close()

    def reload(self) -> None:
        """Change the settings and say so; an interpreter that only starts cannot be told yet."""
        self.write_settings()
        while self.process is not None and self.process.poll() is None:
            if handles_signal(self.process.pid, signal.SIGHUP):
                self.signal(signal.SIGHUP)
                return
            gevent.sleep(SIGNAL_POLL_S)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Ask the process to stop; its end is noted in the history."""
        if self.process is None or self.process.poll() is not None or self.expected_end:
            return
        self.expected_end = True
        self.handles_stop = handles_signal(self.process.pid, signal.SIGTERM)
        self.stopping = Span("router_term", self.history.now(), 0.0, self.address)
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process."""
        self.expected_end = True
        self.stopping = None
        self.signal(signal.SIGKILL)

    def _keep(self) -> None:
        while not self.closed:
            self._launch()
            assert self.process is not None
            while self.process.poll() is None:
                gevent.sleep(POLL_S)
            if self.stopping is not None:
                span = Span("router_term", self.stopping.start, self.history.now(), self.address)
                self.history.terminated.append(span)
            by_signal = self.process.returncode == -signal.SIGTERM
            if by_signal and not self.handles_stop and not self._has_answered():
                # It was still reading its modules.
                self.stopping = None
            if not self.expected_end or (self.stopping and self.process.returncode):
                self.history.exit_codes[f"{self.id}@{self.history.now():.1f}"] = (
                    self.process.returncode or -1
                )
            gevent.sleep(RESTART_S)

    def _has_answered(self) -> bool:
        """Return whether the process has answered a caller."""
        return any(
            call.router == self.address and call.status and call.ended_at > self.launched_at
            for call in self.history.calls
        )

    def _launch(self) -> None:
        self.stopping, self.expected_end = None, False
        self.launched_at = self.history.now()
        environment = os.environ | {
            "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}",
            "JACINTHCOVE_NODE_FILE": str(self.settings_path),
            "SOAK_CLOCK_FILE": str(self.clock_path),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "soak.router_process"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=ROOT,
            )


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
