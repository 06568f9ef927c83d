"""Writes responses to callers through the WSGI server."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from jacinthcove.gateway.callererrors import CallerDisconnected
from jacinthcove.gateway.codec import Headers

JOINED_BYTES = 16_384


class WholeBody:
    """A complete body; the server iterates over it to write it, and closes it in the end."""

    def __init__(self, body: bytes, on_sent: Callable[[], None]):
        self.body = body
        self.on_sent = on_sent

    def __iter__(self) -> Iterator[bytes | memoryview]:
        # The server joins the head and the first data; the rest is not copied.
        yield self.body[:JOINED_BYTES]
        if len(self.body) > JOINED_BYTES:
            yield memoryview(self.body)[JOINED_BYTES:]

    def close(self) -> None:
        """Report that the body is not needed any more."""
        self.on_sent()


class CallerSink:
    """Writes one response to a caller; a leaving router closes the connection after it."""

    def __init__(
        self,
        start_response: Callable[..., Any],
        has_disconnected: Callable[[], bool],
        method: str = "",
    ):
        self.method = method
        self.start_response = start_response
        self.has_disconnected = has_disconnected
        self.write_body: Callable[[bytes], Any] | None = None
        self.result: Iterable[bytes | memoryview] = ()
        self.start_called = False

    @property
    def headers_sent(self) -> bool:
        """Return whether any part of the response has been sent to the caller."""
        return self.start_called

    def send_at_once(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        """Send a complete response now, not when the application returns."""
        self.start_called = True
        fields = [*headers, ("Content-Length", str(len(body)))]
        write = self.start_response(f"{status} {reason}", fields)
        try:
            write(b"" if self.method == "HEAD" else body)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error

    def check_connected(self) -> None:
        """Raise `CallerDisconnected` if the caller has closed its connection."""
        if self.has_disconnected():
            raise CallerDisconnected("the caller closed its connection")

    def start_stream(self, status: int, reason: str, headers: Headers) -> None:
        """Send the status line and headers of a stream."""
        if self.method == "HEAD":
            self.send_whole(status, reason, headers, b"")
            return
        self.start_called = True
        self.write_body = self.start_response(f"{status} {reason}", list(headers))

    def write(self, data: bytes) -> None:
        """Send a chunk of a stream; raises `CallerDisconnected`."""
        assert self.write_body is not None
        try:
            self.write_body(data)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error

    def send_whole(
        self,
        status: int,
        reason: str,
        headers: Headers,
        body: bytes,
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """Send a complete response and call `on_sent` when its body is not needed any more."""
        self.start_called = True
        fields = [(name, value) for name, value in headers if name.lower() != "content-length"]
        fields.append(("Content-Length", str(len(body))))
        self.start_response(f"{status} {reason}", fields)
        # A body after the head would be taken for the start of the connection's next response.
        self.result = WholeBody(b"" if self.method == "HEAD" else body, on_sent)
