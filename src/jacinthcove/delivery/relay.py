"""Relays the token stream of a target to a caller, in order and without gaps.

Every chunk has one token and its offset, counted from 0.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import orjson

from jacinthcove.clock import Clock
from jacinthcove.errors import NotAdmitted, TargetFailed
from jacinthcove.targets.client import TargetRequest, open_response, read_events
from jacinthcove.targets.sockets import TargetUnreachable

# Chunks that arrive before an earlier one are buffered up to this number.
MAX_REORDERED_CHUNKS = 256
MAX_RESUMES = 3
PROGRESS_INTERVAL_MS = 250

_ID = b"id: "
_DATA = b"\ndata: "
_END = b"event: end"


class Sink(Protocol):
    """Receives the chunks of one response in order."""

    def write_chunks(self, first_offset: int, data: list[bytes]) -> None:
        """Deliver consecutive chunks; `data` holds their JSON texts from `first_offset` on."""

    def idle(self) -> None:
        """Handle a time without chunks; called while the connection to the target is idle."""


class StreamMissing(TargetFailed):
    """The target does not have the stream that is to be resumed."""


@dataclass
class Progress:
    """State of a relayed stream; `started` and the fields in `_at` are monotonic ms.

    `early_chunks` holds chunks by offset that wait for an earlier one. `target_lost` says that the
    target could not be reached at the last resume.
    """

    started: int
    next_offset: int = 0
    first_token_at: int = 0
    last_token_at: int = 0
    stream_id: str = ""
    ended: bool = False
    resumes: int = 0
    duplicates: int = 0
    target_lost: bool = False
    early_chunks: dict[int, bytes] = field(default_factory=dict)

    @property
    def first_token_ms(self) -> int:
        """Return the time to first token in ms, 0 before it arrived."""
        return self.first_token_at - self.started if self.first_token_at else 0

    @property
    def token_ms_sum(self) -> int:
        """Return the time from the first to the latest token in ms."""
        return self.last_token_at - self.first_token_at


class StreamRelay:
    """Reads one stream from a target into a sink and resumes it when the connection breaks.

    `stall_ms` is the time without progress after which the target counts as stalled.
    """

    def __init__(
        self,
        clock: Clock,
        address: str,
        sink: Sink,
        stall_ms: int,
        on_progress: Callable[[Progress], None],
        first_offset: int = 0,
    ):
        self.clock = clock
        self.address = address
        self.sink = sink
        self.stall_ms = stall_ms
        self.on_progress = on_progress
        self.progress = Progress(started=clock.now(), next_offset=first_offset)
        self.next_report_at = clock.now() + PROGRESS_INTERVAL_MS

    def run(self, body: bytes, on_stream: Callable[[str], None]) -> Progress:
        """Start a completion and relay it to its end.

        Calls `on_stream` with the stream's id before the first chunk. Raises `NotAdmitted` if the
        target did not accept the request and `TargetFailed` if the response stays incomplete.
        """
        request = self._request("POST", "/v1/completions", body)
        try:
            self._relay_response(request, on_stream)
        except NotAdmitted:
            raise
        except TargetFailed:
            if not self.progress.stream_id:
                raise
        return self._resume_until_end()

    def resume(self, stream_id: str) -> Progress:
        """Relay an existing stream from `first_offset` to its end."""
        self.progress.stream_id = stream_id
        return self._resume_until_end()

    def _resume_until_end(self) -> Progress:
        while not self.progress.ended:
            if self.progress.resumes >= MAX_RESUMES:
                raise TargetFailed("the answer broke off and could not be resumed")
            self.progress.resumes += 1
            path = f"/v1/streams/{self.progress.stream_id}?offset={self.progress.next_offset}"
            try:
                self._relay_response(self._request("GET", path), None)
            except StreamMissing:
                raise
            except (TargetFailed, NotAdmitted) as error:
                self.progress.target_lost = isinstance(error, TargetUnreachable)
                self.clock.sleep(100 * self.progress.resumes)
        return self.progress

    def _request(self, method: str, path: str, body: bytes = b"") -> TargetRequest:
        return TargetRequest(self.address, method, path, body, self.stall_ms, self.sink.idle)

    def _relay_response(
        self, request: TargetRequest, on_stream: Callable[[str], None] | None
    ) -> None:
        with open_response(request) as response:
            if response.status_code in (404, 410):
                raise StreamMissing(f"{self.address} has no such stream")
            if response.status_code >= 400:
                raise TargetFailed(f"{self.address} answered {response.status_code}")
            if on_stream is not None:
                self.progress.stream_id = str(response.get("X-Stream-Id", ""))
                on_stream(self.progress.stream_id)
            response.mark_progress()
            for events in read_events(response):
                before = self.progress.next_offset
                self._relay_events(events)
                if self.progress.next_offset > before:
                    response.mark_progress()
                if self.progress.ended:
                    return

    def _relay_events(self, events: list[bytes]) -> None:
        """Relay the chunks that are next in order; send all chunks of `events` in one write."""
        progress = self.progress
        first = progress.next_offset
        ready: list[bytes] = []
        try:
            for event in events:
                if event.startswith(_ID):
                    self._accept_chunk(event, ready)
                elif event.startswith(_END):
                    self._check_end_marker(event)
                    if progress.ended:
                        break
        finally:
            # Chunks before a malformed event count as relayed, so they are delivered even then.
            now = self.clock.now()
            if ready:
                progress.first_token_at = progress.first_token_at or now
                progress.last_token_at = now
                self.sink.write_chunks(first, ready)
        if now >= self.next_report_at:
            self.next_report_at = now + PROGRESS_INTERVAL_MS
            self.on_progress(progress)

    def _accept_chunk(self, event: bytes, ready: list[bytes]) -> None:
        """Append the chunk of `event` and buffered ones that follow it, if it is next in order."""
        offset_text, separator, data = event[len(_ID) :].partition(_DATA)
        if not separator or not offset_text.isdigit():
            raise TargetFailed("the target sent a chunk without a usable offset")
        progress = self.progress
        if int(offset_text) != progress.next_offset:
            self._buffer_chunk(int(offset_text), data)
            return
        ready.append(data)
        progress.next_offset += 1
        while progress.early_chunks and progress.next_offset in progress.early_chunks:
            ready.append(progress.early_chunks.pop(progress.next_offset))
            progress.next_offset += 1

    def _buffer_chunk(self, offset: int, data: bytes) -> None:
        """Buffer a chunk that arrived early; drop a duplicate of a relayed one."""
        progress = self.progress
        if offset < progress.next_offset:
            progress.duplicates += 1
            return
        if len(progress.early_chunks) >= MAX_REORDERED_CHUNKS:
            raise TargetFailed("the target's chunks are too far out of order")
        progress.early_chunks[offset] = data

    def _check_end_marker(self, event: bytes) -> None:
        """Accept the end marker only if every token before it has been relayed."""
        _, _, data = event.partition(_DATA)
        try:
            total = int(orjson.loads(data)["offset"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise TargetFailed("the target's end marker is unreadable") from error
        self.progress.ended = self.progress.next_offset == total
