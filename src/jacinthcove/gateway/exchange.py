"""One exchange with a target: send once, then relay whole answers or whole events.

An exchange has its connection for itself from the request to the end of the answer. On a connection
that was used before, only an answer that names the request is taken; bytes after a complete answer
belong to nobody and end the connection.
"""

from collections.abc import Callable, Iterator
from typing import Any

from geventhttpclient.response import HTTPParseError

from jacinthcove.errors import TargetFailed
from jacinthcove.targets.pool import ConnectionPool, TargetKey
from jacinthcove.targets.response import RECEIVE_BYTES, TargetResponse
from jacinthcove.targets.sockets import StallDetectingSocket, connect, ignore_idle

EVENT_END = b"\n\n"
EVENT_ID = b"id:"
MAX_EVENT_BYTES = 1_000_000
# Time limits are those of the request; this one only bounds the socket helper.
NO_STALL_MS = 24 * 3_600_000


def any_answer(response: TargetResponse) -> bool:
    """Return True: on a new connection the first answer can only be that to the request."""
    return True


class Exchange:
    """A connection to a target that carries one request at a time."""

    def __init__(self, key: TargetKey, pool: ConnectionPool):
        self.key = key
        self.address = key.address
        self.pool = pool
        self.sock: Any = None
        self.reused = False

    def open(self) -> None:
        """Take an idle connection or connect; raises `TargetUnreachable`, then nothing was sent."""
        self.sock = self.pool.acquire(self.key)
        self.reused = self.sock is not None
        if not self.reused:
            self.sock = connect(self.address)

    def send(
        self, head: bytes, body: bytes, method: str, answers: Callable[[TargetResponse], bool]
    ) -> TargetResponse:
        """Send the request and read the answer's head; raises `TargetFailed`.

        `answers` tells whether an answer names this request.
        """
        expected = answers if self.reused else any_answer
        try:
            self.sock.settimeout(None)
            self.sock.sendall(head + body)
            self.sock = StallDetectingSocket(self.sock, NO_STALL_MS, ignore_idle)
            return TargetResponse(self.sock, expected, block_size=RECEIVE_BYTES, method=method)
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"{self.address} broke off: {error or type(error)}") from error

    def read_whole(self, response: TargetResponse) -> bytes:
        """Return the whole body; raises `TargetFailed` when it breaks off."""
        try:
            body = bytes(response.read())
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"{self.address} broke off: {error}") from error
        if not response.message_complete:
            raise TargetFailed(f"{self.address} broke off before the end of its answer")
        return body

    def read_events(self, response: TargetResponse) -> Iterator[bytes]:
        """Yield bytes that end at the end of an event; raises `TargetFailed` on a break."""
        rest = bytearray()
        while True:
            try:
                data = response.receive()
            except (OSError, HTTPParseError) as error:
                raise TargetFailed(f"{self.address} broke off: {error}") from error
            if not data:
                break
            # The end of an event may have begun with the last byte before.
            begin = max(0, len(rest) - 1)
            rest += data
            end = rest.rfind(EVENT_END, begin)
            if end >= 0:
                yield bytes(rest[: end + len(EVENT_END)])
                del rest[: end + len(EVENT_END)]
            if len(rest) > MAX_EVENT_BYTES:
                raise TargetFailed(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if not response.message_complete:
            raise TargetFailed(f"{self.address} broke off before the end of its stream")
        if rest:
            yield bytes(rest)

    def keep(self, response: TargetResponse, kept_ms: int) -> None:
        """Leave the connection for another request if the answer allows it."""
        if self.sock is not None and response.can_reuse_connection():
            sock, self.sock = self.sock, None
            self.pool.release(self.key, sock.detach(), kept_ms)

    def close(self) -> None:
        """Close the connection, which also ends the work of most targets."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def last_event_id(piece: bytes) -> str:
    """Return the id of the last event in `piece` that has one, or the empty text."""
    for line in reversed(piece.split(b"\n")):
        if line.startswith(EVENT_ID):
            return line[len(EVENT_ID) :].strip().decode("latin-1")
    return ""
