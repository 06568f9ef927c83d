"""A crowd of hostile clients with a bounded cost of its own."""

import socket

import gevent
from gevent.lock import BoundedSemaphore
from wire_bed import KEY, request

# The crowd is given up to this time to send; what a router does not read is not sent.
CROWD_S = 12.0
# Connections that are being opened at a time.
OPENING = 50
PIECE_BYTES = 65_536
SEND_BUFFER_BYTES = 65_536


def chunked_head(key=KEY, extra=""):
    """Return the head of a request with a chunked body."""
    more = "Transfer-Encoding: chunked\r\n" + extra
    return request("/publish/1", b"", id="hostile", key=key, extra=more)


class Crowd:
    """Clients that send `parts`, byte strings, and stay open.

    They send `step` bytes at a time and pause then. With `reopen` they connect again after they
    were closed. They go to the address for callers if no other is given.
    """

    def __init__(
        self, router, count, parts, reopen=False, step=PIECE_BYTES, pause_s=0.0, address=None
    ):
        self.router = router
        self.count = count
        self.parts = parts
        self.reopen = reopen
        self.step = step
        self.pause_s = pause_s
        self.address = address or router.listen
        self.open = []
        self.clients = []
        self.opening = BoundedSemaphore(OPENING)

    def run(self):
        """Let all clients send until they have sent all or `CROWD_S` is over."""
        self.clients = [gevent.spawn(self._run_client) for _ in range(self.count)]
        gevent.joinall(self.clients, timeout=CROWD_S)

    def close(self):
        """End all clients."""
        gevent.killall(self.clients)
        for sock in self.open:
            sock.close()

    def _run_client(self):
        while True:
            sock = gevent.socket.socket()
            self.open.append(sock)
            try:
                with self.opening:
                    self._connect(sock)
                for part in self.parts:
                    view = memoryview(part)
                    for start in range(0, len(view), self.step):
                        sock.sendall(view[start : start + self.step])
                        gevent.sleep(self.pause_s)
                if not self.reopen:
                    return
                sock.recv(1)
            except OSError:
                if not self.reopen:
                    return
            self.open.remove(sock)
            sock.close()
            gevent.sleep(0.1)

    def _connect(self, sock):
        host, _, port = self.address.rpartition(":")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect((host, int(port)))
