"""Listeners without a configuration: what clients can make them keep, and what they serve."""

import gevent
import pytest
from wire_bed import chunk, read_response

from jacinthcove.ingress.gate import Gate
from jacinthcove.ingress.server import BoundedServer
from jacinthcove.observe.metrics import Metrics

MAX_CONNECTIONS = 8


class Application:
    """Answers with the size of the body, or without reading it at `/unread`."""

    def __call__(self, environ, start_response):
        size = 0
        if environ["PATH_INFO"] != "/unread":
            size = len(environ["wsgi.input"].read())
        body = str(size).encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


@pytest.fixture
def server():
    server = BoundedServer("127.0.0.1:0", Application(), Gate("test", MAX_CONNECTIONS, 1.0))
    server.start()
    yield server
    server.stop(timeout=0.1)


def connect(server):
    sock = gevent.socket.create_connection(("127.0.0.1", server.server_port))
    sock.settimeout(5)
    return sock


def head(path="/", *fields):
    lines = [f"POST {path} HTTP/1.1", "Host: x", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def test_a_head_without_end_is_refused(server):
    """A hundred lines of 64 KB were kept for each connection without a key."""
    sock = connect(server)
    sock.sendall(head()[:-2] + b"Filler: " + b"x" * 40_000)
    assert read_response(sock)[0] == 431


def test_connections_are_limited(server):
    idle = [connect(server) for _ in range(4 * MAX_CONNECTIONS)]
    gevent.sleep(0.1)
    assert len(server.gate.connections) <= 1.25 * MAX_CONNECTIONS
    sock = connect(server)
    sock.sendall(head("/", "Content-Length: 2") + b"ab")
    assert read_response(sock)[::2] == (200, b"2")
    for other in idle:
        other.close()


@pytest.mark.parametrize("path", ["/", "/unread"])
def test_a_connection_is_used_again_after_a_body(server, path):
    sock = connect(server)
    for _ in range(3):
        sock.sendall(head(path, "Transfer-Encoding: chunked") + chunk(b"ab") + chunk(b""))
        assert read_response(sock)[0] == 200


def test_a_body_that_is_no_http_ends_the_connection(server):
    sock = connect(server)
    sock.sendall(head("/", "Transfer-Encoding: chunked") + b"zz\r\n")
    assert read_response(sock)[0] == 400
    assert sock.recv(1) == b""


def test_an_unread_body_is_not_read_without_end(server):
    """The rest of a body was read as long as it came."""
    sock = connect(server)
    sock.sendall(head("/unread", "Content-Length: 999999999999"))
    assert read_response(sock)[0] == 200
    sender = gevent.spawn(sock.sendall, b"b" * 20_000_000)
    sender.join(4)
    assert sender.ready() and not sender.successful()


def test_what_connections_take_is_in_the_metrics(server):
    metrics = Metrics()
    server.gate.add_gauges(metrics)
    sock = connect(server)
    gevent.sleep(0.05)
    text = metrics.render()
    assert 'jacinthcove_ingress_connections{listener="test"} 1' in text
    assert 'jacinthcove_ingress_connections_largest_address{listener="test"} 1' in text
    sock.close()
