"""Minimal requests and responses over WSGI, for JSON APIs."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import orjson

from jacinthcove.errors import JacinthcoveError

MAX_BODY_BYTES = 2_000_000


class HttpError(JacinthcoveError):
    """A request fails with an HTTP status, a message and further JSON fields."""

    def __init__(self, status: int, message: str, **details: Any):
        super().__init__(message)
        self.status = status
        self.message = message
        self.details = details


@dataclass(frozen=True)
class Request:
    """One HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; raise `HttpError` if it is none."""
        try:
            data = orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise HttpError(400, f"the body is not JSON: {error}") from error
        if not isinstance(data, dict):
            raise HttpError(400, "the body is not a JSON object")
        return data

    def number(self, name: str, default: int, values: dict[str, str] | None = None) -> int:
        """Return a whole number from the query or from `values`; raise `HttpError` if invalid."""
        text = (self.query if values is None else values).get(name)
        if text is None:
            return default
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            raise HttpError(400, f"{name} is not a whole number")
        return int(text)


@dataclass(frozen=True)
class Response:
    """One HTTP response; `body` is encoded as JSON."""

    status: int
    body: Any
    headers: dict[str, str] = field(default_factory=dict)


def read_request(environ: dict[str, Any]) -> Request:
    """Return the request of a WSGI environment; raise `HttpError` if its body is invalid."""
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        raise HttpError(413, f"the body has more than {MAX_BODY_BYTES} bytes")
    headers = {
        name[5:].lower().replace("_", "-"): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    body = environ["wsgi.input"].read(int(length)) if int(length) else b""
    if len(body) != int(length):
        raise HttpError(400, "the body broke off")
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query={name: values[-1] for name, values in query.items()},
        headers=headers,
        body=body,
    )


def send_response(response: Response, start_response: Callable[..., Any]) -> Iterable[bytes]:
    """Send a response through WSGI; return its body."""
    body = orjson.dumps(response.body)
    headers = {"Content-Type": "application/json", "Content-Length": str(len(body))}
    phrase = HTTPStatus(response.status).phrase
    start_response(f"{response.status} {phrase}", list({**headers, **response.headers}.items()))
    return [body]
