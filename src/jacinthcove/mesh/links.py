"""Calls and one-way messages to other routers over long-lived streams."""

import itertools
import math
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import structlog
from gevent.event import AsyncResult

from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.events import CallsFailed, Outgoing, PeerLost, Received, StreamLogEvent
from jacinthcove.mesh.kinds import KINDS
from jacinthcove.mesh.peers import Handler, Members
from jacinthcove.mesh.streams import StreamTable
from jacinthcove.mesh.transport import FleetKey, HubQueue, LoopThread, TlsOptions

CLOSE_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class TrafficByKind:
    """Bytes by message kind since the start, without TCP and IP headers."""

    sent: dict[str, int]
    received: dict[str, int]


class PeerLinks:
    """Implements `Peers` over grpclib streams; addresses come from `members`.

    A call to this router's own id runs the handler directly. Pass `loop` to share one asyncio
    thread between several instances in a process; the caller then starts and closes it. Streams
    that were idle for longer than `heartbeat_window_s` seconds send no heartbeats.
    """

    def __init__(
        self,
        members: Members,
        listener: socket.socket,
        fleet_key: bytes,
        tls: TlsOptions | None = None,
        loop: LoopThread | None = None,
        heartbeat_window_s: float = math.inf,
    ):
        self.members = members
        self.listener = listener
        self.owns_loop = loop is None
        self.loop = loop or LoopThread()
        self.handlers: dict[str, Handler] = {}
        self.peer_lost_callbacks: list[Callable[[str], None]] = []
        self.pending_calls: dict[int, AsyncResult] = {}
        self.call_ids = itertools.count(1)
        self.outbox: deque[Outgoing] = deque()
        self.flush_scheduled = False
        self.running = False
        self.log = structlog.get_logger()
        self.inbox = HubQueue(self._handle_event)
        me = members.me
        key = FleetKey(fleet_key)
        self.table = StreamTable(
            me.id, me.mesh_address, key, tls, self.inbox.put, heartbeat_window_s
        )

    def start(self) -> None:
        """Start the asyncio thread unless it is shared, and accept streams from peers."""
        if self.owns_loop:
            self.loop.start()
        self.loop.run(self.table.start(self.listener), CLOSE_TIMEOUT_S)
        self.running = True

    def close(self) -> None:
        """Close all streams at once; pending calls raise `PeerUnavailable`."""
        if not self.running:
            return
        self.running = False
        self.loop.run(self.table.close(), CLOSE_TIMEOUT_S)
        if self.owns_loop:
            self.loop.close()
        self.inbox.close()
        self._fail_calls(list(self.pending_calls), "the mesh is closing")

    def register(self, kind: str, handler: Handler) -> None:
        """Handle messages of `kind` with `handler`, which runs in a new greenlet each time."""
        self.handlers[kind] = handler

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Send `message` and return the reply; raises `PeerUnavailable`, also at the timeout."""
        if member_id == self.members.me.id:
            return self._call_self(kind, message, timeout_ms)
        return self._call(self._address_of(member_id), member_id, kind, message, timeout_ms)

    def call_address(self, address: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Call a member by its address, such as a seed whose id is not known yet."""
        return self._call(address, "", kind, message, timeout_ms)

    def send(self, member_id: str, kind: str, message: Any) -> None:
        """Queue `message` and return at once; it may be lost."""
        if member_id == self.members.me.id:
            gevent.spawn(self._run_handler, member_id, kind, message)
            return
        try:
            address = self._address_of(member_id)
        except PeerUnavailable:
            return
        self._enqueue(Outgoing(address, member_id, self._make_envelope(0, kind, message)))

    def on_peer_lost(self, callback: Callable[[str], None]) -> None:
        """Call `callback` in a new greenlet when a stream breaks or its heartbeat is late."""
        self.peer_lost_callbacks.append(callback)

    def traffic(self) -> TrafficByKind:
        """Return the bytes sent and received so far."""
        return TrafficByKind(dict(self.table.sent), dict(self.table.received))

    def connections(self) -> int:
        """Return the number of open streams."""
        return sum(len(peer.streams) for peer in list(self.table.peers.values()))

    def _address_of(self, member_id: str) -> str:
        member = self.members.get(member_id)
        if member is None:
            raise PeerUnavailable(f"member {member_id} is unknown")
        return member.mesh_address

    def _make_envelope(self, call_id: int, kind: str, message: Any) -> pb.Envelope:
        return pb.Envelope(call_id=call_id, kind=kind, body=message.SerializeToString())

    def _call(self, address: str, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        if not self.running:
            raise PeerUnavailable("the mesh is not running")
        call_id = next(self.call_ids)
        result = self.pending_calls[call_id] = AsyncResult()
        self._enqueue(Outgoing(address, member_id, self._make_envelope(call_id, kind, message)))
        try:
            body = result.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            name = member_id or address
            raise PeerUnavailable(f"{name} did not answer {kind} in {timeout_ms} ms") from None
        finally:
            self.pending_calls.pop(call_id, None)
        return KINDS[kind].reply.FromString(body)

    def _call_self(self, kind: str, message: Any, timeout_ms: int) -> Any:
        greenlet = gevent.spawn(self._run_handler, self.members.me.id, kind, message)
        try:
            reply, error = greenlet.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            raise PeerUnavailable(f"{kind} took more than {timeout_ms} ms here") from None
        if error:
            raise PeerUnavailable(error)
        return KINDS[kind].reply() if reply is None else reply

    def _run_handler(self, sender: str, kind: str, message: Any) -> tuple[Any, str]:
        handler = self.handlers.get(kind)
        if handler is None:
            return None, f"no handler for {kind}"
        try:
            return handler(sender, message), ""
        except Exception as error:
            self.log.exception("message_handler_failed", kind=kind, sender=sender)
            return None, f"{kind} failed: {error}"

    def _enqueue(self, item: Outgoing) -> None:
        if not self.running:
            return
        self.outbox.append(item)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.loop.call_soon_threadsafe(self._flush_outbox)

    def _flush_outbox(self) -> None:
        # Runs on the asyncio loop. The flag is cleared first, so that later items schedule a flush.
        self.flush_scheduled = False
        while self.outbox:
            self.table.enqueue(self.outbox.popleft())

    def _handle_event(self, item: Any) -> None:
        # Runs in the gevent hub and must not block.
        if isinstance(item, Received):
            for envelope in item.envelopes:
                self._handle_envelope(item, envelope)
        elif isinstance(item, CallsFailed):
            self._fail_calls(item.call_ids, item.reason)
        elif isinstance(item, PeerLost):
            for callback in self.peer_lost_callbacks:
                gevent.spawn(callback, item.member_id)
        elif isinstance(item, StreamLogEvent):
            self.log.warning(item.event, member=self.members.me.id, **item.fields)

    def _handle_envelope(self, item: Received, envelope: pb.Envelope) -> None:
        if not envelope.reply:
            gevent.spawn(self._handle_request, item.address, item.member_id, envelope)
            return
        result = self.pending_calls.pop(envelope.call_id, None)
        if result is None:
            return
        if envelope.error:
            result.set_exception(PeerUnavailable(f"{item.member_id}: {envelope.error}"))
        else:
            result.set(envelope.body)

    def _fail_calls(self, call_ids: list[int], reason: str) -> None:
        for call_id in call_ids:
            result = self.pending_calls.pop(call_id, None)
            if result is not None:
                result.set_exception(PeerUnavailable(reason))

    def _handle_request(self, address: str, sender: str, envelope: pb.Envelope) -> None:
        kind = envelope.kind
        if kind not in KINDS:
            reply, error = None, f"unknown kind {kind}"
        else:
            message = KINDS[kind].request.FromString(envelope.body)
            reply, error = self._run_handler(sender, kind, message)
        if not envelope.call_id:
            return
        body = b"" if reply is None else reply.SerializeToString()
        reply_envelope = pb.Envelope(
            call_id=envelope.call_id, reply=True, kind=kind, body=body, error=error
        )
        self._enqueue(Outgoing(address, sender, reply_envelope))
