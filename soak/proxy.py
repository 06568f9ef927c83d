"""A loopback proxy that delays, resets, cuts one way and silences connections."""

import random
import socket
import struct
from dataclasses import dataclass

import gevent
from gevent import socket as gsocket
from gevent.server import StreamServer

CHUNK_BYTES = 65_536
BACKLOG = 256
RESET = struct.pack("ii", 1, 0)


@dataclass
class Fault:
    """What happens to bytes; the default passes them on at once.

    `mute` names the directions ("out" to the server, "back" to the caller) whose bytes are dropped.
    """

    delay_ms: float = 0.0
    mute: frozenset[str] = frozenset()
    # Part of the reads after which the connection is reset.
    reset_part: float = 0.0
    refuse: bool = False


class Proxy:
    """Forwards connections to `server`; `fault` may change at any time."""

    def __init__(self, server: str, rng: random.Random, host: str = "127.0.0.1"):
        self.server = server
        self.rng = rng
        self.fault = Fault()
        self.pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.listener = StreamServer((host, 0), self._serve)
        self.listener.start()
        self.host, self.port = host, self.listener.server_port

    @property
    def address(self) -> str:
        """Return the address to connect to."""
        return f"{self.host}:{self.port}"

    def close(self) -> None:
        """Stop listening and drop all connections."""
        self.listener.stop(timeout=0)
        self.reset_all()

    def stop_listening(self) -> None:
        """Refuse connections and reset those that are open; the port stays reserved."""
        self.listener.stop(timeout=0)
        self.reserved = gsocket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved.bind((self.host, self.port))
        self.reset_all()

    def listen_again(self, server: str) -> None:
        """Listen at the same address for another server."""
        self.server = server
        self.reserved.listen(BACKLOG)
        self.listener = StreamServer(self.reserved, self._serve)
        self.listener.start()

    def reset_all(self) -> None:
        """Reset the open connections."""
        for pair in list(self.pairs):
            for sock in pair:
                _reset(sock)

    def _serve(self, caller: socket.socket, _: object) -> None:
        if self.fault.refuse:
            _reset(caller)
            return
        host, _, port = self.server.rpartition(":")
        try:
            server = gsocket.create_connection((host, int(port)), timeout=2)
        except OSError:
            _reset(caller)
            return
        server.settimeout(None)
        pair = (caller, server)
        self.pairs.add(pair)
        pumps = [
            gevent.spawn(self._pump, caller, server, "out"),
            gevent.spawn(self._pump, server, caller, "back"),
        ]
        gevent.joinall(pumps)
        self.pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(self, source: socket.socket, sink: socket.socket, direction: str) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.fault.delay_ms:
                    gevent.sleep(self.rng.uniform(0, 2 * self.fault.delay_ms) / 1000)
                if self.fault.reset_part and self.rng.random() < self.fault.reset_part:
                    raise ConnectionResetError
                if direction not in self.fault.mute:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(sink)


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection is gone already.
        pass
    finally:
        sock.close()
