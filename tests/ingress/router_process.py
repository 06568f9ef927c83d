"""A router process on a loopback address of its own, and what it takes of its machine."""

import os
import re
import struct
from pathlib import Path

import gevent
from test_platform_decode import SETTINGS
from wire_bed import read_response, request

from jacinthcove.platform.settings import SETTINGS_FILE_VARIABLE
from testbed.ports import free_addresses
from testbed.processes import SOURCE, Program

START_S = 30.0
SAMPLE_S = 0.02
MB = 1_000_000
# An ordinary caller follows Retry-After as often as this and waits this long for each answer.
TRIES = 5
ANSWER_S = 15.0
_VM_HWM = re.compile(r"VmHWM:\s+([0-9]+) kB")


class RouterProcess:
    """One router with the given lines of settings; samples its memory and descriptors.

    The metrics port is fixed, so each process gets a loopback address of its own.
    """

    def __init__(self, store, directory, more):
        self.host = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}.7"
        ports = [address.rpartition(":")[2] for address in free_addresses(4)]
        self.listen, self.ready_listen, self.directory_listen, self.mesh = (
            f"{self.host}:{port}" for port in ports
        )
        text = (SETTINGS + more).replace("10.200.1.7:8781", store.address)
        text = text.replace("seeds=10.1.0.33:8785,10.2.0.18:8785", "seeds=")
        text = text.replace("internal_ports=7400,7415", f"internal_ports={ports[3]},{ports[3]}")
        for old, address in (
            ("10.1.0.33:8783", self.listen),
            ("10.1.0.33:8780", self.ready_listen),
            ("10.1.0.33:8789", self.directory_listen),
        ):
            text = text.replace(old, address)
        text = text.replace("ip=10.1.0.33", f"ip={self.host}")
        settings = directory / "settings"
        settings.write_text(text)
        self.program = Program(
            "deploy.router",
            (),
            directory / "router.log",
            {
                SETTINGS_FILE_VARIABLE: str(settings),
                "PYTHONPATH": os.pathsep.join((str(SOURCE), str(SOURCE.parent))),
            },
        )
        self.highest_bytes = 0
        self.highest_descriptors = 0
        self.sampler = None

    def start(self):
        self.program.start()
        with gevent.Timeout(START_S, AssertionError("the router did not start")):
            while not self._is_ready():
                assert self.program.running, self.program.log_path.read_text()[-2_000:]
                gevent.sleep(0.1)
        self.sampler = gevent.spawn(self._sample)

    def kill(self):
        if self.sampler is not None:
            self.sampler.kill()
        self.program.kill()

    @property
    def running(self):
        return self.program.running

    def memory_mb(self):
        """Return the most memory of the process and of what waited in its sockets, in MB."""
        status = Path(f"/proc/{self.program.pid}/status").read_text()
        return max(self.highest_bytes, int(_VM_HWM.search(status)[1]) * 1024) / MB

    def connect(self, address=None):
        host, _, port = (address or self.listen).rpartition(":")
        sock = gevent.socket.create_connection((host, int(port)))
        sock.settimeout(ANSWER_S)
        return sock

    def ask(self):
        """Send an ordinary request as a caller does that follows Retry-After; return its status."""
        status = 0
        for _ in range(TRIES):
            with self.connect() as sock:
                try:
                    sock.sendall(request("/publish/1"))
                    status, headers, _ = read_response(sock)
                except OSError:
                    status, headers = 0, {}
            if status not in (0, 503):
                break
            gevent.sleep(float(headers.get("retry-after", "0.5")))
        return status

    def _is_ready(self):
        try:
            with self.connect(self.ready_listen) as sock:
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return read_response(sock)[0] == 200
        except OSError:
            return False

    def _sample(self):
        while self.program.running:
            self._sample_once()
            gevent.sleep(SAMPLE_S)

    def _sample_once(self):
        try:
            pages = int(Path(f"/proc/{self.program.pid}/statm").read_text().split()[1])
            descriptors = len(os.listdir(f"/proc/{self.program.pid}/fd"))
        except OSError:
            return
        total = pages * os.sysconf("SC_PAGE_SIZE") + self._unread_bytes()
        self.highest_bytes = max(self.highest_bytes, total)
        self.highest_descriptors = max(self.highest_descriptors, descriptors)

    def _unread_bytes(self):
        """Return what has arrived on this router's address and was not read, which counts too."""
        number = struct.unpack("=I", bytes(map(int, self.host.split("."))))[0]
        prefix = f"{number:08X}:"
        unread = 0
        with open(f"/proc/{self.program.pid}/net/tcp") as table:
            next(table)
            for line in table:
                fields = line.split(None, 5)
                # A listening socket (state 0A) shows its backlog here.
                if fields[1].startswith(prefix) and fields[3] != "0A":
                    unread += int(fields[4].rpartition(":")[2], 16)
        return unread
