"""Guards against requests that get no response while a router closes."""

import gevent.socket
import pytest

from jacinthcove.clock import SystemClock
from jacinthcove.router.api import CallerApi

CALL = b"GET /healthz HTTP/1.1\r\nHost: router\r\n\r\n"


@pytest.fixture
def api():
    served = CallerApi(SystemClock(), None, None, None, None, "127.0.0.1:0", None, 10)
    served.start()
    yield served
    served.server.stop()


def connect(api):
    client = gevent.socket.create_connection(("127.0.0.1", api.server.server_port), timeout=2)
    client.sendall(CALL)
    assert b"Connection: close" not in client.recv(4096)
    return client


def test_draining_router_closes_the_connection_after_the_next_response(api):
    client = connect(api)
    api.drain_connections()
    client.sendall(CALL)
    assert b"Connection: close" in client.recv(4096)
    assert client.recv(4096) == b""


def test_closing_router_serves_requests_that_arrived_and_closes_idle_connections(api):
    idle, busy = connect(api), connect(api)
    gevent.sleep(0.01)
    busy.sendall(CALL)
    api.close()
    assert b"200 OK" in busy.recv(4096)
    assert idle.recv(4096) == b""
    assert not api.connections
