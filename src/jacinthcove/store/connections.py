"""A pool of HTTP connections with a time limit per call, for short bodies."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from jacinthcove.address import split_address
from jacinthcove.errors import JacinthcoveError

# Replies are lists of about 1 MB, and changes of objects of 1 MB at most.
MAX_REPLY_BYTES = 32 * 1024 * 1024
PIECE_BYTES = 65_536

T = TypeVar("T")


class NoReply(JacinthcoveError):  # noqa: N818 - names an outcome
    """A call got no complete reply; it may have taken effect unless `refused` is set.

    `refused` means that the connection was refused, so that nothing was sent.
    """

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        self.refused = refused


@dataclass(frozen=True)
class Reply:
    """A complete HTTP reply; header names are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


class MergedReplyError(HTTPParseError):  # type: ignore[misc]
    """Another reply stood before the expected one; nothing of either was used."""


class ReplyBody:
    """The body of a reply, which is read piece by piece; it is `length` bytes long if known."""

    def __init__(self, response: Any, max_bytes: int):
        self.response = response
        self.max_bytes = max_bytes
        length = response.get("content-length")
        self.length = int(str(length)) if length is not None else None
        self.read_bytes = 0
        self.first = self._read()

    def read(self) -> bytes:
        """Return the next piece, empty at the end; raises `HTTPParseError` if it is too long."""
        first, self.first = self.first, b""
        return first or self._read()

    def _read(self) -> bytes:
        piece: bytes = self.response.read(PIECE_BYTES)
        self.read_bytes += len(piece)
        if self.length is not None and self.read_bytes > self.length:
            is_first = self.read_bytes == len(piece)
            error = MergedReplyError if is_first else HTTPParseError
            raise error("another reply stands beside the expected one")
        if self.read_bytes > self.max_bytes:
            raise HTTPParseError(f"the reply is longer than {self.max_bytes} bytes")
        return piece


# Reads the body of a reply, of which it gets the status and headers.
Receiver = Callable[[Reply, ReplyBody], T]


def _receive_whole(reply: Reply, body: ReplyBody) -> Reply:
    content = bytearray()
    while piece := body.read():
        content += piece
    return replace(reply, body=bytes(content))


class Connections:
    """A pool of connections to one address that keeps up to `max_idle` idle ones.

    A failed call closes every idle connection, because connections that were opened together tend
    to stop responding together.
    """

    def __init__(self, address: str, timeout_ms: int, max_idle: int = 4):
        self.address = address
        self.host, self.port = split_address(address)
        self.timeout_ms = timeout_ms
        self.max_idle = max_idle
        self.idle: list[HTTPClient] = []

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_ms: int | None = None,
        max_bytes: int | None = None,
    ) -> Reply:
        """Make one call without retrying; raise `NoReply` without a complete reply in time."""
        return self.receive(method, path, _receive_whole, body, headers, timeout_ms, max_bytes)

    def receive(
        self,
        method: str,
        path: str,
        receiver: Receiver[T],
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_ms: int | None = None,
        max_bytes: int | None = None,
    ) -> T:
        """Make one call as `request` does, and return what `receiver` makes of the reply.

        A GET is sent again, on a new connection, if its connection brought another reply first.
        """
        repeats = method == "GET"
        while True:
            try:
                return self._receive_once(
                    method, path, receiver, body, headers, timeout_ms, max_bytes
                )
            except MergedReplyError as error:
                if not repeats:
                    raise NoReply(f"{self.address}: {error}") from error
            repeats = False

    def _receive_once(
        self,
        method: str,
        path: str,
        receiver: Receiver[T],
        body: bytes,
        headers: Mapping[str, str] | None,
        timeout_ms: int | None,
        max_bytes: int | None,
    ) -> T:
        limit_ms = self.timeout_ms if timeout_ms is None else timeout_ms
        client = self.idle.pop() if self.idle else self._open()
        limit = gevent.Timeout(limit_ms / 1000)
        try:
            with limit:
                response = client.request(method, path, body=body, headers=dict(headers or {}))
                received = self._receive(response, receiver, max_bytes or MAX_REPLY_BYTES)
        except gevent.Timeout as error:
            self._discard(client)
            if error is not limit:
                raise
            raise NoReply(f"{self.address} did not answer within {limit_ms} ms") from None
        except ConnectionRefusedError as error:
            self._discard(client)
            raise NoReply(f"{self.address} refused the connection", refused=True) from error
        except MergedReplyError:
            self._discard(client)
            raise
        except (OSError, HTTPParseError) as error:
            self._discard(client)
            raise NoReply(f"{self.address}: {error or type(error).__name__}") from error
        except BaseException:
            client.close()
            raise
        self._release(client)
        return received

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    def _open(self) -> HTTPClient:
        # The Timeout in `request` limits the whole call, so that a slow body counts as well.
        client = HTTPClient(
            self.host,
            self.port,
            concurrency=1,
            connection_timeout=None,  # type: ignore[arg-type]
            network_timeout=None,  # type: ignore[arg-type]
        )
        # geventhttpclient retries a PUT or DELETE whose reply was lost, `size + 1` times. A
        # conditional write that is sent twice conflicts with itself, so retries are turned off.
        client._connection_pool.size = -1
        return client

    def _receive(self, response: Any, receiver: Receiver[T], max_bytes: int) -> T:
        names = {name.lower(): str(value) for name, value in response.items()}
        body = ReplyBody(response, max_bytes)
        received = receiver(Reply(int(response.status_code), b"", names), body)
        while body.read():
            pass
        if body.length is not None and body.read_bytes != body.length:
            raise HTTPParseError("the reply broke off")
        return received

    def _release(self, client: HTTPClient) -> None:
        if len(self.idle) < self.max_idle:
            self.idle.append(client)
        else:
            client.close()

    def _discard(self, client: HTTPClient) -> None:
        client.close()
        self.close()
