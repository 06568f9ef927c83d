"""Streams to another router, and the messages that wait to be sent on them."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.events import Outgoing

MAX_FRAME_BYTES = 1024 * 1024
MAX_REMEMBERED_CALLS = 4096


class Stream:
    """One open bidirectional stream to a member; `raw` is the grpclib stream."""

    def __init__(self, raw: Any, member_id: str, opened_here: bool, now: float):
        self.raw = raw
        self.member_id = member_id
        self.opened_here = opened_here
        self.lock = asyncio.Lock()
        self.last_received = self.last_sent = self.last_used = now
        self.sent_call_ids: deque[int] = deque(maxlen=MAX_REMEMBERED_CALLS)
        self.usable = True
        self.late = False

    async def send(self, frame: pb.Frame) -> None:
        """Send one frame; raises if the stream is lost."""
        async with self.lock:
            self.last_sent = asyncio.get_running_loop().time()
            await self.raw.send_message(frame)

    def abort(self) -> None:
        """Drop the connection at once, without flushing: the peer may have stopped reading."""
        self.usable = False
        # grpclib has no public way to drop a connection; a graceful close would wait for the peer.
        # After a loss it deletes the transport before the reader of the stream has ended.
        transport = getattr(self.raw._stream.connection, "_transport", None)
        if transport is not None:
            transport.abort()


@dataclass
class Peer:
    """Send queue and streams of one address; one task sends the queue."""

    address: str
    queue: deque[Outgoing] = field(default_factory=deque)
    queued_bytes: int = 0
    streams: list[Stream] = field(default_factory=list)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    redial: bool = False
    busy: bool = False
    task: asyncio.Task[None] | None = None

    def usable_stream(self) -> Stream | None:
        """Return the newest usable stream, or None."""
        return next((s for s in reversed(self.streams) if s.usable), None)

    def pop_batch(self) -> list[Outgoing]:
        """Remove and return queued items that fit in one frame, at least one."""
        batch: list[Outgoing] = []
        size = 0
        while self.queue and (not batch or size + self._next_size() <= MAX_FRAME_BYTES):
            size += self._next_size()
            batch.append(self.queue.popleft())
        self.queued_bytes -= size
        return batch

    def _next_size(self) -> int:
        return len(self.queue[0].envelope.body)
