"""A planned stop under load: every request on an accepted connection gets a response."""

import socket
import threading
from dataclasses import replace

import gevent
import pytest
from store_standin import eventually
from test_platform_decode import ENTRY
from wire_bed import ScriptedTarget, header, read_response, request, response

from jacinthcove.gateway.plannedstop import STREAM_DRAIN_MS
from jacinthcove.platform import names

CALLERS = 24
GRACE_MS = 2_400
WORK_S = 0.05
JOIN_S = 5


@pytest.fixture
def busy_router(start, operator, ledger):
    """Return a router with a short grace period whose target needs `WORK_S` per request."""

    def work(target, sock, head):
        gevent.sleep(WORK_S)
        sock.sendall(response(head))

    operator(7)
    ledger.script = work
    router = start()
    eventually(router.ready)
    bounds = replace(router.settings.bounds, grace_ms=GRACE_MS)
    router.reload(replace(router.settings, bounds=bounds))
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


def test_connection_that_comes_while_the_listener_is_closed_is_not_reset(start, operator):
    """Between the last accept and close() a caller could connect, and was reset unread."""
    operator(7)
    router = start()
    eventually(router.ready)
    host, _, port = router.settings.caller_listen.rpartition(":")
    late = socket.socket()
    late.setblocking(False)
    server = router.server.server
    close = server.close

    def connect_and_close():
        late.connect_ex((host, int(port)))
        close()

    server.close = connect_and_close
    router.server.stop_accepting()
    gevent.sleep(0.1)
    with pytest.raises(OSError):
        late.getpeername()
    assert late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    late.close()


class Question:
    """One request that is sent on an open connection; `status` is 0 if it ends without answer."""

    def __init__(self, address, number, path="/publish/1"):
        self.id, self.path = f"late-{number}", path
        host, _, port = address.rpartition(":")
        self.sock = gevent.socket.create_connection((host, int(port)), timeout=5)
        self.status = None
        self.whole = False

    def run(self):
        try:
            self.sock.sendall(request(self.path, id=self.id))
            self.status, _, body = read_response(self.sock)
            self.whole = body is not None
        except OSError:
            self.status = 0


@pytest.mark.parametrize("path", ["/publish/1", "/draft/1"])
@pytest.mark.parametrize("work_s", [0.9, 30])
def test_requests_taken_late_in_the_grace_period_are_not_cut(
    start, operator, store, ledger, path, work_s
):
    """A request that cannot end before the router does must be refused, not passed on."""

    def work(target, sock, head):
        gevent.sleep(work_s)
        sock.sendall(response(head))

    operator(7)
    ledger.script = work
    engine = ScriptedTarget("i-2", "models", work)
    store.put("servers", "i-2", ENTRY | {"service": "models", "address": engine.address})
    router = start()
    eventually(router.ready)
    eventually(lambda: {"i-1", "i-2"} <= router.registry.states.keys())
    bounds = replace(router.settings.bounds, grace_ms=GRACE_MS)
    router.reload(replace(router.settings, bounds=bounds))
    count = int(GRACE_MS / 1000 / 0.05) + 10
    # The connections are open before the stop, so that late requests reach the router.
    questions = [Question(router.settings.caller_listen, n, path) for n in range(count)]
    stop = gevent.spawn(router.close)
    gevent.sleep(STREAM_DRAIN_MS / 1000)
    asked = []
    for question in questions:
        asked.append(gevent.spawn(question.run))
        gevent.sleep(0.05)
    gevent.joinall([stop, *asked], timeout=10)
    heads = [*ledger.seen, *engine.seen]
    taken = {header(head, names.ATTEMPT_ID) for head in heads}
    cut = [q.id for q in questions if q.id in taken and not q.whole]
    assert not cut
    assert not [q.id for q in questions if q.id in taken and q.status == 503]
    assert any(question.status == 503 for question in questions)
    engine.close()
