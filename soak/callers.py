"""Callers of the soak: they keep their connections until the other side closes them."""

import random
import socket

import gevent
import orjson
from gevent import socket as gsocket

from jacinthcove.platform import names
from soak.history import Call, History
from tests.platform.wire_bed import read_response, request

CONNECT_S = 1.0
TIME_LIMIT_MS = 3_000
ANSWER_S = 4.0
THINK_S = 0.12
LOOKUP_PATH = f"{names.DIRECTORY_PATH}?name=desk.example&region=r&zone=a"
LOOKUP_LIFETIME_S = 2.0


class Caller:
    """Sends one request after another; `routes` and `keys` return what it may use."""

    def __init__(
        self,
        number: int,
        directories: list[str],
        history: History,
        rng: random.Random,
        routes: list[str],
        keys: list[str],
    ):
        self.number = number
        self.directories = directories
        self.history = history
        self.rng = rng
        self.routes = routes
        self.keys = keys
        self.addresses: list[str] = []
        self.looked_up_at = -LOOKUP_LIFETIME_S
        self.sock: socket.socket | None = None
        self.router = ""
        self.sent = 0
        self.stopped = False

    def run(self) -> None:
        """Send until `stopped`."""
        gevent.sleep(self.rng.random() * THINK_S)
        while not self.stopped:
            self._connect()
            if self.sock is not None:
                self._call()
            gevent.sleep(self.rng.uniform(0.5, 1.5) * THINK_S)
        self._drop()

    def _connect(self) -> None:
        if self.sock is not None:
            return
        if self.history.now() - self.looked_up_at > LOOKUP_LIFETIME_S:
            self._look_up()
        if not self.addresses:
            return
        self.router = self.rng.choice(self.addresses)
        host, _, port = self.router.rpartition(":")
        try:
            self.sock = gsocket.create_connection((host, int(port)), timeout=CONNECT_S)
        except OSError:
            self.addresses = [item for item in self.addresses if item != self.router]

    def _look_up(self) -> None:
        directory = self.rng.choice(self.directories)
        host, _, port = directory.rpartition(":")
        try:
            with gsocket.create_connection((host, int(port)), timeout=CONNECT_S) as sock:
                sock.settimeout(CONNECT_S)
                sock.sendall(f"GET {LOOKUP_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                status, _, body = read_response(sock)
        except (OSError, ValueError, IndexError):
            return
        if status == 200 and body:
            self.addresses = orjson.loads(body)["addresses"]
            self.looked_up_at = self.history.now()

    def _call(self) -> None:
        assert self.sock is not None
        self.sent += 1
        id = f"c{self.number}-{self.sent}"
        route = self.rng.choice(self.routes)
        key = self.rng.choice(self.keys)
        call = Call(id, f"/{route}/{self.sent}", key, self.router, self.history.now())
        self.history.calls.append(call)
        extra = f"{names.TIME_LEFT_MS}: {TIME_LIMIT_MS}\r\n"
        reader = self.sock
        try:
            reader.settimeout(ANSWER_S)
            reader.sendall(request(call.path, b"{}", extra=extra, id=id, key=key))
            if self.rng.random() < 0.02:
                gevent.sleep(self.rng.random() * 0.1)
                call.gave_up = True
                self._drop()
            else:
                call.status, headers, call.body = read_response(reader)
                if call.body is None or headers.get("connection", "").lower() == "close":
                    self._drop()
        except (OSError, ValueError, IndexError):
            self._drop()
        call.ended_at = self.history.now()

    def _drop(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None
