"""Relay of a target's token stream to a caller, in order and without gaps.

Offsets count tokens from 0; every chunk carries the offset of its token.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import orjson

from jacinthcove.clock import Clock
from jacinthcove.errors import NotAdmitted, TargetFailed
from jacinthcove.targets.client import TargetRequest, open_response, read_events
from jacinthcove.targets.sockets import TargetUnreachable

MAX_REORDERED_CHUNKS = 256
MAX_RESUMES = 3
PROGRESS_INTERVAL_MS = 250

_ID = b"id: "
_DATA = b"\ndata: "
_END = b"event: end"


class Sink(Protocol):
    """Receives the chunks of one answer in order."""

    def write_chunks(self, first_offset: int, data: list[bytes]) -> None:
        """Take the JSON data of one or more consecutive chunks."""

    def idle(self) -> None:
        """Note that no chunk came for a while."""


class StreamMissing(TargetFailed):
    """The target no longer has the stream that should be resumed."""


@dataclass
class Progress:
    """What has been relayed so far; times are monotonic milliseconds."""

    started: int
    next_offset: int = 0
    first_token_at: int = 0
    last_token_at: int = 0
    stream_id: str = ""
    ended: bool = False
    resumes: int = 0
    duplicates: int = 0
    target_lost: bool = False
    pending: dict[int, bytes] = field(default_factory=dict)

    @property
    def first_token_ms(self) -> int:
        """Return the time to the first token, 0 before it arrived."""
        return self.first_token_at - self.started if self.first_token_at else 0

    @property
    def token_ms_sum(self) -> int:
        """Return the time between the first and the latest token."""
        return self.last_token_at - self.first_token_at


class StreamRelay:
    """Reads one stream from a target and feeds a sink, resuming after a break."""

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
        self.next_report = clock.now() + PROGRESS_INTERVAL_MS

    def run(self, body: bytes, on_stream: Callable[[str], None]) -> Progress:
        """Start a completion and relay it to its end.

        Calls `on_stream` with the stream's id before the first chunk. Raises `NotAdmitted` when the
        target did not take the request and `TargetFailed` when the answer stays incomplete.
        """
        request = self._request("POST", "/v1/completions", body)
        try:
            self._relay(request, on_stream)
        except NotAdmitted:
            raise
        except TargetFailed:
            if not self.progress.stream_id:
                raise
        return self._resume_until_end()

    def resume(self, stream_id: str) -> Progress:
        """Relay the rest of a known stream from the first offset."""
        self.progress.stream_id = stream_id
        return self._resume_until_end()

    def _resume_until_end(self) -> Progress:
        while not self.progress.ended:
            if self.progress.resumes >= MAX_RESUMES:
                raise TargetFailed("the answer broke off and could not be resumed")
            self.progress.resumes += 1
            path = f"/v1/streams/{self.progress.stream_id}?offset={self.progress.next_offset}"
            try:
                self._relay(self._request("GET", path), None)
            except StreamMissing:
                raise
            except (TargetFailed, NotAdmitted) as error:
                self.progress.target_lost = isinstance(error, TargetUnreachable)
                self.clock.sleep(100 * self.progress.resumes)
        return self.progress

    def _request(self, method: str, path: str, body: bytes = b"") -> TargetRequest:
        return TargetRequest(self.address, method, path, body, self.stall_ms, self.sink.idle)

    def _relay(self, request: TargetRequest, on_stream: Callable[[str], None] | None) -> None:
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
                self._take(events)
                if self.progress.next_offset > before:
                    response.mark_progress()
                if self.progress.ended:
                    return

    def _take(self, events: list[bytes]) -> None:
        """Relay the chunks that are next in order, those that arrived together in one write."""
        progress = self.progress
        first = progress.next_offset
        ready: list[bytes] = []
        try:
            for event in events:
                if event.startswith(_ID):
                    self._accept(event, ready)
                elif event.startswith(_END):
                    self._end(event)
                    if progress.ended:
                        break
        finally:
            # Chunks before a broken event count as relayed, so they are delivered in any case.
            now = self.clock.now()
            if ready:
                progress.first_token_at = progress.first_token_at or now
                progress.last_token_at = now
                self.sink.write_chunks(first, ready)
        if now >= self.next_report:
            self.next_report = now + PROGRESS_INTERVAL_MS
            self.on_progress(progress)

    def _accept(self, event: bytes, ready: list[bytes]) -> None:
        """Append the event's chunk, and held ones that follow it, if it is next in order."""
        offset_text, separator, data = event[len(_ID) :].partition(_DATA)
        if not separator or not offset_text.isdigit():
            raise TargetFailed("the target sent a chunk without a usable offset")
        progress = self.progress
        if int(offset_text) != progress.next_offset:
            self._hold(int(offset_text), data)
            return
        ready.append(data)
        progress.next_offset += 1
        while progress.pending and progress.next_offset in progress.pending:
            ready.append(progress.pending.pop(progress.next_offset))
            progress.next_offset += 1

    def _hold(self, offset: int, data: bytes) -> None:
        """Keep a chunk that came too early, and drop one that was relayed before."""
        progress = self.progress
        if offset < progress.next_offset:
            progress.duplicates += 1
            return
        if len(progress.pending) >= MAX_REORDERED_CHUNKS:
            raise TargetFailed("the target's chunks are too far out of order")
        progress.pending[offset] = data

    def _end(self, event: bytes) -> None:
        """Accept the end marker only if every token before it has been relayed."""
        _, _, data = event.partition(_DATA)
        try:
            total = int(orjson.loads(data)["offset"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise TargetFailed("the target's end marker is unreadable") from error
        self.progress.ended = self.progress.next_offset == total
