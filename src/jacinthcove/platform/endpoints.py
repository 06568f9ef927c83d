"""HTTP servers for the readiness check, the router directory and metrics."""

import random
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import orjson

from jacinthcove.ingress.gate import Gate
from jacinthcove.ingress.server import BoundedServer
from jacinthcove.observe.metrics import Metrics
from jacinthcove.platform.names import DIRECTORY_DOMAIN, DIRECTORY_PATH, READY_PATH

# The directory returns at most this many routers.
MAX_ADDRESSES = 64
# Connections to each address. Probes and scrapers need a few, lookups of callers one each.
MAX_CONNECTIONS = 64
# How long callers may cache a directory response.
DIRECTORY_TTL_S = 2

StartResponse = Callable[..., Any]


class Endpoints:
    """Serves readiness, directory and metrics; calls `ready` and `addresses` for each request.

    `addresses` gets the failure domain of the caller, or an empty string if it is unknown.
    """

    def __init__(
        self,
        ready: Callable[[], bool],
        addresses: Callable[[str], list[str]],
        metrics: Metrics,
        ttl_max_ms: int,
    ):
        self.ready = ready
        self.addresses = addresses
        self.metrics = metrics
        self.ttl_s = min(DIRECTORY_TTL_S, ttl_max_ms / 1000)
        self.servers: list[BoundedServer] = []

    def start(self, *listen: str) -> None:
        """Listen at each address `ip:port`; equal ones are opened once."""
        for address in dict.fromkeys(listen):
            gate = Gate(address, MAX_CONNECTIONS)
            gate.add_gauges(self.metrics)
            server = BoundedServer(address, self, gate)
            server.start()
            self.servers.append(server)

    def address(self, index: int) -> str:
        """Return `ip:port` of a server by its index in the arguments of `start`."""
        host, port = self.servers[index].address[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request as a WSGI application."""
        path = environ["PATH_INFO"]
        if path == READY_PATH:
            ready = self.ready()
            return _respond(start_response, "200 OK" if ready else "503 Not Ready", b"")
        if path == DIRECTORY_PATH:
            return self._directory(environ, start_response)
        if path == "/metrics":
            body = self.metrics.render().encode()
            return _respond(start_response, "200 OK", body, "text/plain")
        return _respond(start_response, "404 Not Found", b"")

    def _directory(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        addresses = self.addresses(query.get(DIRECTORY_DOMAIN, [""])[0])
        if not addresses:
            return _respond(start_response, "503 No Routers", b"")
        if len(addresses) > MAX_ADDRESSES:
            addresses = random.sample(addresses, MAX_ADDRESSES)
        body = orjson.dumps({"addresses": addresses, "ttl_s": self.ttl_s})
        return _respond(start_response, "200 OK", body)


def _respond(
    start_response: StartResponse, status: str, body: bytes, kind: str = "application/json"
) -> Iterable[bytes]:
    headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
