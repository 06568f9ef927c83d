"""HTTP client for targets whose exceptions tell whether the target may have received the request.

Every request uses a new connection. A pooled connection may be dead, and a failure on it cannot be
distinguished from a failure after the target received the request.
"""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import gevent
import orjson
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from jacinthcove.errors import NotAdmitted, TargetFailed
from jacinthcove.targets.response import RECEIVE_BYTES, TargetResponse
from jacinthcove.targets.sockets import StallDetectingSocket, TargetStalled, connect, ignore_idle

# An event carries one token, so a target that sends more bytes without a blank line violates the
# protocol.
MAX_EVENT_BYTES = 1_000_000


@dataclass(frozen=True)
class TargetRequest:
    """One HTTP request to a target at `address` (`ip:port`)."""

    address: str
    method: str
    path: str
    body: bytes = b""
    stall_ms: int = 5_000
    on_idle: Callable[[], None] = ignore_idle


def _encode_head(request: TargetRequest) -> bytes:
    return (
        f"{request.method} {request.path} HTTP/1.1\r\nHost: {request.address}\r\n"
        f"Connection: close\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(request.body)}\r\n\r\n"
    ).encode()


@contextlib.contextmanager
def open_response(request: TargetRequest) -> Iterator[TargetResponse]:
    """Send `request` and yield the response once its headers are read.

    Raises `TargetUnreachable` or `NotAdmitted` if the target did not run the request, and
    `TargetFailed` if it may have.
    """
    sock = connect(request.address)
    stall_detector = None
    try:
        try:
            sock.sendall(_encode_head(request) + request.body)
            stall_detector = StallDetectingSocket(sock, request.stall_ms, request.on_idle)
            response = TargetResponse(
                stall_detector, block_size=RECEIVE_BYTES, method=request.method
            )
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"{request.address} broke off: {error}") from error
        _check_status(request, response)
        yield response
    finally:
        (stall_detector or sock).close()


def _check_status(request: TargetRequest, response: HTTPSocketResponse) -> None:
    status = response.status_code
    if status == 503 and response.get("X-Not-Admitted") == "1":
        raise NotAdmitted(f"{request.address} did not admit the request")
    if status >= 500:
        raise TargetFailed(f"{request.address} answered {status}")


@dataclass(frozen=True)
class BufferedResponse:
    """A complete response of a target."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the decoded body; raises `TargetFailed` if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise TargetFailed("the target's answer is not JSON") from error


def fetch(request: TargetRequest) -> BufferedResponse:
    """Send `request` and read the complete response; raises like `open_response`.

    `stall_ms` limits the time to the complete response, because a partial one is of no use.
    """
    timeout_error = TargetStalled(f"no whole answer within {request.stall_ms} ms")
    with gevent.Timeout(request.stall_ms / 1000, timeout_error), open_response(request) as response:
        try:
            body = response.read()
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"{request.address} broke off: {error}") from error
        if not response.message_complete:
            raise TargetFailed(f"{request.address} broke off before the end of its answer")
        return BufferedResponse(response.status_code, bytes(body))


def read_events(response: TargetResponse) -> Iterator[list[bytes]]:
    """Yield lists of server-sent events that arrive together, without their blank lines.

    Ends with the body. An incomplete event, which lacks its blank line, is not yielded.
    """
    incomplete = b""
    while True:
        try:
            data = response.receive()
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"the stream broke off: {error}") from error
        if not data:
            return
        *events, incomplete = (incomplete + data).split(b"\n\n")
        if len(incomplete) > MAX_EVENT_BYTES:
            raise TargetFailed(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if events:
            yield events
