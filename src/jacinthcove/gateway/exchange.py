"""One request to a target and its response, read as a whole or event by event.

An exchange owns its connection from the request to the end of the response. On a reused connection
only a response that echoes the request's id is accepted. Bytes after a complete response belong to
no request, so the connection is closed.
"""

from collections.abc import Callable, Iterator
from typing import Any

from geventhttpclient.response import HTTPParseError

from jacinthcove.bytebudget import BudgetExceeded, KeptBytes
from jacinthcove.coldstart.startcheck import StartReader
from jacinthcove.errors import TargetFailed
from jacinthcove.targets.pool import ConnectionPool, TargetKey
from jacinthcove.targets.response import RECEIVE_BYTES, TargetResponse
from jacinthcove.targets.sockets import (
    StallDetectingSocket,
    TargetUnreachable,
    connect,
    ignore_idle,
)

EVENT_SEPARATOR = b"\n\n"
EVENT_ID_PREFIX = b"id:"
MAX_EVENT_BYTES = 1_000_000
MAX_JOINED_BYTES = 16_384
# The caller of `Exchange` enforces the deadline; `StallDetectingSocket` only needs some value.
STALL_LIMIT_MS = 24 * 3_600_000


def accept_any_response(response: TargetResponse) -> bool:
    """Return True: on a new connection the first response can only be that to the request."""
    return True


class Exchange:
    """A connection to a target that carries one request at a time.

    `kept` counts the bytes of the response that are kept, if all responses have a common limit.
    """

    def __init__(self, key: TargetKey, pool: ConnectionPool, kept: KeptBytes | None = None):
        self.kept = kept
        self.key = key
        self.address = key.address
        self.pool = pool
        self.sock: Any = None
        self.reused = False
        # Whether the connection was shown to lead to the start of the target that `key` names.
        self.start_confirmed = False

    def open(self) -> None:
        """Reuse an idle connection or connect; raises `TargetUnreachable` with nothing sent."""
        idle = self.pool.acquire(self.key)
        if idle is None:
            self.sock = connect(self.address)
            return
        self.sock, self.reused, self.start_confirmed = idle.sock, True, idle.start_confirmed

    def read_start(self, reader: StartReader) -> int | None:
        """Return when the target at the other end started, None if it does not say.

        Raises `TargetUnreachable` if the connection is of no more use.
        """
        self.reused = True
        try:
            return reader.read_start(self.sock, self.address)
        except (OSError, ValueError, HTTPParseError) as error:
            raise TargetUnreachable(f"{self.address} did not report: {error}") from error

    def send(
        self,
        head: bytes,
        body: bytes,
        method: str,
        is_own_response: Callable[[TargetResponse], bool],
    ) -> TargetResponse:
        """Send the request and read the response head; raises `TargetFailed`.

        `is_own_response` returns whether a response names this request.
        """
        accept_response = is_own_response if self.reused else accept_any_response
        try:
            self.sock.settimeout(None)
            self._send_request(head, body)
            self.sock = StallDetectingSocket(self.sock, STALL_LIMIT_MS, ignore_idle)
            response = TargetResponse(
                self.sock, accept_response, self.kept, block_size=RECEIVE_BYTES, method=method
            )
            if self.kept is not None:
                self.kept.on_evicted = response.drop_body
            return response
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"{self.address} broke off: {error or type(error)}") from error

    def _send_request(self, head: bytes, body: bytes) -> None:
        """Send head and body at once; a large body is not copied."""
        if len(body) <= MAX_JOINED_BYTES:
            self.sock.sendall(head + body)
        else:
            self.sock.sendall(head)
            self.sock.sendall(body)

    def read_whole(self, response: TargetResponse) -> bytes:
        """Return the whole body; raises `TargetFailed` when it is incomplete."""
        try:
            body = bytes(response.read())
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"{self.address} broke off: {error}") from error
        if not response.message_complete:
            raise TargetFailed(f"{self.address} broke off before the end of its answer")
        self._count(len(body), complete=True)
        return body

    def _count(self, size_bytes: int, complete: bool = False) -> None:
        """Count the bytes that are kept; raises `TargetFailed` if they had to be given up."""
        if self.kept is None:
            return
        try:
            if complete:
                self.kept.keep(size_bytes)
            else:
                self.kept.resize(size_bytes)
        except BudgetExceeded as error:
            raise TargetFailed(f"{self.address} broke off: {error}") from error

    def _count_nothing(self) -> None:
        if self.kept is not None:
            self.kept.empty()

    def read_events(self, response: TargetResponse) -> Iterator[bytes]:
        """Yield chunks of whole events; raises `TargetFailed` if the stream is incomplete.

        It may end with its connection, so one that ends inside an event counts as broken off.
        """
        buffered = bytearray()
        if self.kept is not None:
            self.kept.on_evicted = buffered.clear
        while True:
            try:
                data = response.receive()
            except (OSError, HTTPParseError) as error:
                raise TargetFailed(f"{self.address} broke off: {error}") from error
            if not data:
                break
            # The separator may start with the last byte received before.
            search_from = max(0, len(buffered) - 1)
            buffered += data
            end = buffered.rfind(EVENT_SEPARATOR, search_from)
            if end >= 0:
                yield bytes(buffered[: end + len(EVENT_SEPARATOR)])
                del buffered[: end + len(EVENT_SEPARATOR)]
                self._count_nothing()
            self._count(len(buffered))
            if len(buffered) > MAX_EVENT_BYTES:
                raise TargetFailed(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        # Bytes that had to be given up must not make an incomplete stream look complete.
        self._count(len(buffered))
        if not response.message_complete:
            raise TargetFailed(f"{self.address} broke off before the end of its stream")
        if buffered.strip():
            raise TargetFailed(f"{self.address} broke off inside an event")

    def return_to_pool(self, response: TargetResponse, keep_alive_ms: int) -> None:
        """Return the connection to the pool if the response allows its reuse."""
        if self.sock is not None and response.can_reuse_connection():
            sock, self.sock = self.sock, None
            self.pool.release(self.key, sock.detach(), keep_alive_ms, self.start_confirmed)

    def close(self) -> None:
        """Close the connection, which makes most targets cancel the request."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def last_event_id(chunk: bytes) -> str:
    """Return the id of the last event in `chunk` that has one, or an empty string."""
    for line in reversed(chunk.split(b"\n")):
        if line.startswith(EVENT_ID_PREFIX):
            return line[len(EVENT_ID_PREFIX) :].strip().decode("latin-1")
    return ""
