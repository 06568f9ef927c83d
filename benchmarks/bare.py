"""The baseline of the relay benchmark: pywsgi in front, geventhttpclient behind, nothing else.

Arguments: the address to listen on and the engine addresses, which are used in turn.
"""

import signal
import sys
from collections.abc import Iterator
from itertools import cycle

import gevent
import gevent.socket
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer
from geventhttpclient import HTTPClient


class NoDelayHandler(WSGIHandler):
    """Sends each chunk at once, as the router does."""

    def handle(self) -> None:
        """Serve the connection."""
        self.socket.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        super().handle()


def relay(environ, start_response, address: str) -> Iterator[bytes]:
    """Forward one request and yield the events of its answer."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(host, int(port), concurrency=1)
    try:
        body = environ["wsgi.input"].read()
        headers = {"Content-Type": "application/json"}
        response = client.request("POST", "/v1/completions", body, headers)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        while event := response.readline(b"\n\n"):
            yield event
    finally:
        client.close()


def main(arguments: list[str]) -> int:
    """Serve until SIGTERM."""
    listen, *engines = arguments
    turn = cycle(engines)
    host, _, port = listen.rpartition(":")
    server = WSGIServer(
        (host, int(port)),
        lambda environ, start_response: relay(environ, start_response, next(turn)),
        handler_class=NoDelayHandler,
        log=None,
    )
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    server.start()
    stopped.wait()
    server.stop(timeout=1)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
