"""A pool of HTTP connections with a time limit per call, for short bodies."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from jacinthcove.address import split_address
from jacinthcove.errors import JacinthcoveError

# Replies are lists of about 1 MB, and changes of objects of 1 MB at most.
MAX_REPLY_BYTES = 32 * 1024 * 1024
PIECE_BYTES = 65_536


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


def _read_body(response: Any) -> bytes:
    """Return the whole body; raises `HTTPParseError` if it is too long."""
    body = bytearray()
    while piece := response.read(PIECE_BYTES):
        body += piece
        if len(body) > MAX_REPLY_BYTES:
            raise HTTPParseError(f"the reply is longer than {MAX_REPLY_BYTES} bytes")
    return bytes(body)


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
    ) -> Reply:
        """Make one call without retrying; raise `NoReply` without a complete reply in time."""
        limit_ms = self.timeout_ms if timeout_ms is None else timeout_ms
        client = self.idle.pop() if self.idle else self._open()
        limit = gevent.Timeout(limit_ms / 1000)
        try:
            with limit:
                reply = self._exchange(client, method, path, body, headers or {})
        except gevent.Timeout as error:
            self._discard(client)
            if error is not limit:
                raise
            raise NoReply(f"{self.address} did not answer within {limit_ms} ms") from None
        except ConnectionRefusedError as error:
            self._discard(client)
            raise NoReply(f"{self.address} refused the connection", refused=True) from error
        except (OSError, HTTPParseError) as error:
            self._discard(client)
            raise NoReply(f"{self.address}: {error or type(error).__name__}") from error
        except BaseException:
            client.close()
            raise
        self._release(client)
        return reply

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

    def _exchange(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Reply:
        response = client.request(method, path, body=body, headers=dict(headers))
        content = _read_body(response)
        length = response.get("content-length")
        if length is not None and len(content) != int(str(length)):
            raise HTTPParseError("the reply broke off")
        names = {name.lower(): str(value) for name, value in response.items()}
        return Reply(int(response.status_code), content, names)

    def _release(self, client: HTTPClient) -> None:
        if len(self.idle) < self.max_idle:
            self.idle.append(client)
        else:
            client.close()

    def _discard(self, client: HTTPClient) -> None:
        client.close()
        self.close()
