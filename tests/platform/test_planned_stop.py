"""A planned stop under load: every request on an accepted connection gets a response."""

import socket
import threading
from dataclasses import replace

import gevent
import pytest
from store_standin import eventually
from test_platform_router import http, ledger, operator, start, store  # noqa: F401
from wire_bed import read_response, request, response

CALLERS = 24
GRACE_MS = 2_400
WORK_S = 0.05
JOIN_S = 5


@pytest.fixture
def busy_router(start, operator, ledger):  # noqa: F811
    """Return a router with a short grace period whose target needs `WORK_S` per request."""

    def work(target, sock, head):
        gevent.sleep(WORK_S)
        sock.sendall(response(head))

    operator(7)
    ledger.script = work
    router = start()
    eventually(router.ready)
    bounds = replace(router.settings.bounds, grace_ms=GRACE_MS)
    router.settings = replace(router.settings, bounds=bounds)
    return router


class Caller:
    """Sends requests until connections are refused; `unanswered` lists those without a response."""

    def __init__(self, address, number, keep_alive):
        self.address = address
        self.number = number
        self.keep_alive = keep_alive
        self.statuses = []
        self.unanswered = []

    def run(self):
        while True:
            try:
                sock = self.connect()
            except OSError:
                return
            self.use(sock)
            sock.close()

    def connect(self):
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=5)

    def use(self, sock):
        while True:
            id = f"q{self.number}-{len(self.statuses)}-{len(self.unanswered)}"
            try:
                sock.sendall(request("/publish/1", id=id))
                status, headers, body = read_response(sock)
            except OSError as error:
                status, headers, body = 0, {}, None
                self.unanswered.append(f"{id}: {error}")
                return
            if body is None:
                self.unanswered.append(f"{id}: ended")
                return
            self.statuses.append(status)
            if not self.keep_alive or headers.get("connection") == "close":
                return


def test_stop_under_load_leaves_no_request_unanswered(busy_router):
    address = busy_router.settings.caller_listen
    callers = [Caller(address, number, number % 4 == 0) for number in range(CALLERS)]
    # Real threads, so that connections arrive at any point of the router's event loop.
    threads = [threading.Thread(target=caller.run, daemon=True) for caller in callers]
    for thread in threads:
        thread.start()
    gevent.sleep(0.3)
    busy_router.close()
    for thread in threads:
        gevent.get_hub().threadpool.apply(thread.join, (JOIN_S,))
    assert sum(status == 200 for caller in callers for status in caller.statuses) > CALLERS
    assert not [line for caller in callers for line in caller.unanswered]
