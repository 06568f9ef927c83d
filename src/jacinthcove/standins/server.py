"""A small HTTP layer for the stand-ins, based on gevent's WSGI server."""

import errno
import socket
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import orjson
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from jacinthcove.address import split_address
from jacinthcove.clock import Clock, SystemClock

MAX_CONNECTIONS = 20_000


@dataclass(frozen=True)
class Request:
    """An HTTP request with its complete body; `query` holds the first value of each name."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; raises `ValueError` for anything else."""
        data = orjson.loads(self.body or b"{}")
        if not isinstance(data, dict):
            raise ValueError("the body is not a JSON object")
        return data

    def integer(self, name: str, default: int) -> int:
        """Return a query parameter as an integer; raises `ValueError` if it is not one."""
        return int(self.query.get(name, default))


@dataclass(frozen=True)
class Response:
    """An HTTP response; an iterable `body` is sent chunk by chunk after the headers."""

    status: int
    body: bytes | Iterable[bytes] = b""
    headers: dict[str, str] = field(default_factory=dict)


Application = Callable[[Request], Response]


def json_response(data: object, status: int = 200, **headers: str) -> Response:
    """Return a JSON response; underscores in header names become hyphens."""
    header_values = {name.replace("_", "-"): value for name, value in headers.items()}
    body = orjson.dumps(data, option=orjson.OPT_NON_STR_KEYS)
    return Response(status, body, {"Content-Type": "application/json", **header_values})


def error_response(status: int, message: str, **headers: str) -> Response:
    """Return a JSON response with `message` under the key `error`."""
    return json_response({"error": message}, status, **headers)


def dropped_connection_error() -> BrokenPipeError:
    """Return an error that, when raised, closes the connection without further bytes."""
    return BrokenPipeError(errno.EPIPE, "connection dropped by a fault")


class Server:
    """Serves an application on one address; `close` also closes its open connections."""

    def __init__(self, address: str, application: Application):
        self.application = application
        self.pool = Pool(MAX_CONNECTIONS)
        self.server = WSGIServer(
            split_address(address),
            self._serve_wsgi,
            spawn=self.pool,
            log=None,
            handler_class=_NoDelayHandler,
        )

    @property
    def address(self) -> str:
        """Return the bound `ip:port`."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def start(self) -> None:
        """Bind the address and accept connections; raises `OSError` if it is in use."""
        self.server.start()

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.server.stop(timeout=0)

    def _serve_wsgi(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
        request = Request(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
            query={name: values[0] for name, values in query.items()},
            headers={
                name[5:].replace("_", "-").lower(): value
                for name, value in environ.items()
                if name.startswith("HTTP_")
            },
            body=environ["wsgi.input"].read(),
        )
        try:
            response = self.application(request)
        except ValueError as error:
            response = error_response(400, str(error))
        status = f"{response.status} {HTTPStatus(response.status).phrase}"
        write = start_response(status, list(response.headers.items()))
        if isinstance(response.body, bytes):
            return [response.body] if response.body else []
        # Sends the headers before the first chunk exists, so that the client gets the stream id.
        write(b"")
        return response.body


class Standin:
    """Base class of the stand-ins, with a clock and an HTTP server on one address."""

    def __init__(self, address: str, clock: Clock | None):
        self.clock = clock or SystemClock()
        self.server = Server(address, self.handle_request)

    @property
    def address(self) -> str:
        """Return the bound `ip:port`."""
        return self.server.address

    def start(self) -> None:
        """Bind the address and accept connections."""
        self.server.start()

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.server.close()

    def handle_request(self, request: Request) -> Response:
        """Handle one request; a `ValueError` becomes status 400."""
        raise NotImplementedError


class _NoDelayHandler(WSGIHandler):
    """Disables Nagle's algorithm, which would delay small chunks."""

    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()
