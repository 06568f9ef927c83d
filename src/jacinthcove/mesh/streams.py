"""Streams to peers; all code here runs on the asyncio loop of the mesh."""

import asyncio
import math
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from jacinthcove.address import split_address
from jacinthcove.ingress.meshport import MeshServer
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.events import CallsFailed, Outgoing, PeerLost, Received, StreamLogEvent
from jacinthcove.mesh.kinds import HEARTBEAT
from jacinthcove.mesh.mesh_grpc import MeshBase, MeshStub
from jacinthcove.mesh.stream import Peer, Stream
from jacinthcove.mesh.transport import FleetKey, TlsOptions

HEARTBEAT_INTERVAL_S = 0.9
# With the check interval below, a silent stream is replaced within the 3 s that the design allows.
SILENCE_TIMEOUT_S = 2.6
# After this much silence, more than one heartbeat interval, the member is probed at once.
LATE_AFTER_S = 1.5
CHECK_INTERVAL_S = 0.4
IDLE_TIMEOUT_S = 60.0
# The dialling side closes an idle stream, so that no message is lost. The accepting side waits
# longer and closes only streams that the other side left open.
ACCEPTED_IDLE_TIMEOUT_S = 75.0
# A broken stream that carried messages within this time is redialled at once. One that was unused
# for longer was probably retired by the peer and is not opened again.
RECENT_USE_S = 10.0
DIAL_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 64
# Streams used within RECENT_USE_S may exceed the limit above. At the design size a router exchanges
# tickets and accounts with about 240 others. Replacing a stream in use costs 5 ms of CPU time per
# dial and loses the replies in flight.
MAX_BUSY_CONNECTIONS = 512
MAX_QUEUED = 4096
MAX_QUEUED_BYTES = 16 * 1024 * 1024
# Limit for all peers together, which a peer with a short queue does not have to look at.
MAX_ALL_QUEUED_BYTES = 32 * 1024 * 1024
SHORT_QUEUE_BYTES = 64 * 1024
# HTTP/2 frame header plus gRPC message header.
FRAME_OVERHEAD_BYTES = 14
# Traffic that belongs to no message kind is counted under `framing` and `open`.
FRAMING = "framing"
# Bytes that each side sends to open a stream: HTTP/2 preface, settings and headers.
STREAM_OPEN = "open"
DIALLING_SIDE_BYTES = 320
ACCEPTING_SIDE_BYTES = 210


class StreamTable(MeshBase):
    """All peers of one router with their streams; items for the gevent side go to `emit`.

    Streams that carried messages within `heartbeat_window_s` seconds send heartbeats, so that
    a silent stream is detected. Both sides measure this time from the same messages.
    """

    def __init__(
        self,
        member_id: str,
        address: str,
        key: FleetKey,
        tls: TlsOptions | None,
        emit: Callable[[Any], None],
        heartbeat_window_s: float = math.inf,
    ):
        self.member_id = member_id
        self.address = address
        self.key = key
        self.tls = tls
        self.emit = emit
        self.heartbeat_window_s = heartbeat_window_s
        self.peers: dict[str, Peer] = {}
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: MeshServer | None = None

    async def start(self, listener: socket.socket) -> None:
        """Accept streams at `listener` and start the periodic checks."""
        self.loop = asyncio.get_running_loop()
        self.server = MeshServer([self])
        ssl_context = self.tls.server_context() if self.tls else None
        await self.server.start(sock=listener, ssl=ssl_context)
        self._spawn(self._check_loop())

    async def close(self) -> None:
        """Drop every stream at once."""
        if self.server is None:
            return
        # Connections first: closing the server cancels its handlers but leaves connections open.
        for stream in self._streams():
            stream.abort()
        self.server.close()
        while self.tasks:
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        try:
            await asyncio.wait_for(self.server.wait_closed(), 1)
        except TimeoutError:
            pass

    def enqueue(self, item: Outgoing) -> None:
        """Queue an envelope for its peer; a reply is dropped if the peer has no stream."""
        peer = self.peers.get(item.address)
        if item.envelope.reply and (peer is None or peer.usable_stream() is None):
            return
        peer = peer or self._add_peer(item.address)
        size = len(item.envelope.body)
        if len(peer.queue) >= MAX_QUEUED or not self._has_room(peer.queued_bytes + size):
            self._fail_calls([item], "the send queue is full")
            return
        peer.queue.append(item)
        peer.queued_bytes += size
        peer.wake.set()

    def _has_room(self, peer_bytes: int) -> bool:
        if peer_bytes <= SHORT_QUEUE_BYTES:
            return True
        all_bytes = sum(peer.queued_bytes for peer in self.peers.values())
        return peer_bytes <= MAX_QUEUED_BYTES and all_bytes + peer_bytes <= MAX_ALL_QUEUED_BYTES

    def _add_peer(self, address: str) -> Peer:
        peer = self.peers[address] = Peer(address)
        peer.task = self._spawn(self._run_peer(peer))
        return peer

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run_peer(self, peer: Peer) -> None:
        while True:
            peer.busy = False
            await peer.wake.wait()
            peer.busy = True
            peer.wake.clear()
            while peer.queue or peer.redial:
                peer.redial = False
                try:
                    stream = peer.usable_stream() or await self._dial(peer)
                except Exception as error:  # grpclib raises many types for a failed connection
                    failed = [*peer.queue]
                    peer.queue.clear()
                    peer.queued_bytes = 0
                    self._fail_calls(failed, str(error) or type(error).__name__)
                    break
                await self._send_batch(stream, peer.pop_batch())

    async def _send_batch(self, stream: Stream, batch: list[Outgoing]) -> None:
        misaddressed = [i for i in batch if i.member_id not in ("", stream.member_id)]
        if misaddressed:
            self._fail_calls(misaddressed, f"the address now belongs to member {stream.member_id}")
        frame = pb.Frame(envelopes=[i.envelope for i in batch if i not in misaddressed])
        if not frame.envelopes:
            return
        now = self.loop.time()
        if now - stream.last_used > self.heartbeat_window_s:
            # The stream had no heartbeats while idle; silence is measured from this message on.
            stream.last_received = now
        stream.last_used = now
        stream.sent_call_ids.extend(e.call_id for e in frame.envelopes if e.call_id and not e.reply)
        self._count_bytes(self.sent, frame)
        try:
            await stream.send(frame)
        except Exception:  # the reader of the stream reports its calls as failed
            stream.usable = False

    def _fail_calls(self, items: list[Outgoing], reason: str) -> None:
        calls = [i.envelope.call_id for i in items if i.envelope.call_id and not i.envelope.reply]
        if calls:
            self.emit(CallsFailed(calls, reason))

    def _count_bytes(self, counter: Counter[str], frame: pb.Frame) -> None:
        counter[FRAMING if frame.envelopes else HEARTBEAT] += FRAME_OVERHEAD_BYTES
        for envelope in frame.envelopes:
            counter[envelope.kind] += envelope.ByteSize() + 2

    async def _dial(self, peer: Peer) -> Stream:
        opened: asyncio.Future[Stream] = self.loop.create_future()
        self._spawn(self._run_client(peer, opened))
        return await opened

    async def _run_client(self, peer: Peer, opened: asyncio.Future[Stream]) -> None:
        host, port = split_address(peer.address)
        channel = Channel(host, port, ssl=self.tls.client_context() if self.tls else None)
        try:
            metadata = self.key.sign_metadata("dial", self.member_id, self.address)
            async with MeshStub(channel).Exchange.open(metadata=metadata) as raw:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await raw.send_request()
                    await raw.recv_initial_metadata()
                identity = self.key.verify_metadata(
                    "listen", raw.initial_metadata or {}, metadata["nonce"]
                )
                if identity is None:
                    raise ConnectionError("the peer has another fleet key")
                stream = Stream(raw, identity.member_id, True, self.loop.time())
                self._add_stream(peer, stream)
                opened.set_result(stream)
                await self._receive_frames(peer, stream)
        except Exception as error:  # grpclib raises many types for a lost connection
            if not opened.done():
                opened.set_exception(error)
        finally:
            opened.cancel()
            channel.close()

    async def Exchange(self, stream: Any) -> None:  # noqa: N802 - name of the generated method
        """Serve a stream that a peer opened; refuses a peer with another fleet key."""
        identity = self.key.verify_metadata("dial", stream.metadata)
        if identity is None:
            origin = str(stream.peer.addr() if stream.peer else "")
            self.emit(StreamLogEvent("stream_refused", {"origin": origin}))
            raise GRPCError(Status.UNAUTHENTICATED, "wrong fleet key")
        if self.server is not None:
            self.server.record_authenticated(stream)
        reply = self.key.sign_metadata("listen", self.member_id, self.address, identity.nonce)
        await stream.send_initial_metadata(metadata=reply)
        peer = self.peers.get(identity.address) or self._add_peer(identity.address)
        accepted = Stream(stream, identity.member_id, False, self.loop.time())
        self._add_stream(peer, accepted)
        await self._receive_frames(peer, accepted)

    async def _receive_frames(self, peer: Peer, stream: Stream) -> None:
        ended_cleanly = False
        try:
            async for frame in stream.raw:
                stream.last_received = self.loop.time()
                stream.late = False
                self._count_bytes(self.received, frame)
                if frame.envelopes:
                    stream.last_used = stream.last_received
                    self.emit(Received(peer.address, stream.member_id, list(frame.envelopes)))
            ended_cleanly = True
        finally:
            retired = not stream.usable
            stream.usable = False
            peer.streams.remove(stream)
            if not ended_cleanly and not retired:
                self._handle_stream_loss(peer, stream)
            if stream.sent_call_ids:
                self.emit(CallsFailed(list(stream.sent_call_ids), "the stream was lost"))

    def _handle_stream_loss(self, peer: Peer, stream: Stream) -> None:
        if self.loop.time() - stream.last_used > RECENT_USE_S:
            return
        self.emit(PeerLost(stream.member_id))
        if stream.opened_here and peer.usable_stream() is None:
            peer.redial = True
            peer.wake.set()

    def _streams(self) -> list[Stream]:
        return [stream for peer in self.peers.values() for stream in peer.streams]

    def _add_stream(self, peer: Peer, stream: Stream) -> None:
        side_bytes = (DIALLING_SIDE_BYTES, ACCEPTING_SIDE_BYTES)
        self.sent[STREAM_OPEN] += side_bytes[0 if stream.opened_here else 1]
        self.received[STREAM_OPEN] += side_bytes[1 if stream.opened_here else 0]
        peer.streams.append(stream)
        streams = [s for s in self._streams() if s.usable]
        if len(streams) <= MAX_CONNECTIONS:
            return
        oldest = min(streams, key=lambda s: s.last_used)
        busy = self.loop.time() - oldest.last_used <= RECENT_USE_S
        if not busy or len(streams) > MAX_BUSY_CONNECTIONS:
            self._retire(oldest)

    def _retire(self, stream: Stream) -> None:
        stream.usable = False
        if stream.opened_here:
            self._spawn(self._close_stream(stream))
        else:
            stream.abort()

    async def _close_stream(self, stream: Stream) -> None:
        try:
            async with stream.lock, asyncio.timeout(DIAL_TIMEOUT_S):
                await stream.raw.end()
        except Exception:  # the stream is lost already, or the peer does not read
            stream.abort()

    async def _check_loop(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                self._check_streams()
            except Exception as error:  # without checks no silent stream would be replaced
                self.emit(StreamLogEvent("stream_check_failed", {"reason": repr(error)}))

    def _check_streams(self) -> None:
        now = self.loop.time()
        for peer in list(self.peers.values()):
            for stream in list(peer.streams):
                self._check_stream(peer, stream, now)
            if not (peer.streams or peer.queue or peer.busy or peer.wake.is_set()):
                self._remove_peer(peer)

    def _remove_peer(self, peer: Peer) -> None:
        del self.peers[peer.address]
        if peer.task is not None:
            peer.task.cancel()

    def _check_stream(self, peer: Peer, stream: Stream, now: float) -> None:
        silent = now - stream.last_received > SILENCE_TIMEOUT_S
        if not stream.usable:
            if silent:
                stream.abort()
            return
        recently_used = now - stream.last_used <= self.heartbeat_window_s
        if silent and recently_used:
            self.emit(StreamLogEvent("silent_stream_replaced", {"peer": stream.member_id}))
            stream.abort()
            stream.last_used = now
            self._handle_stream_loss(peer, stream)
        elif recently_used and now - stream.last_received > LATE_AFTER_S and not stream.late:
            stream.late = True
            self.emit(PeerLost(stream.member_id))
        elif now - stream.last_used > (
            IDLE_TIMEOUT_S if stream.opened_here else ACCEPTED_IDLE_TIMEOUT_S
        ):
            self._retire(stream)
        elif (
            recently_used
            and now - stream.last_sent > HEARTBEAT_INTERVAL_S
            and not stream.lock.locked()
        ):
            self._spawn(self._heartbeat(stream))

    async def _heartbeat(self, stream: Stream) -> None:
        frame = pb.Frame()
        self._count_bytes(self.sent, frame)
        try:
            await stream.send(frame)
        except Exception:  # the reader of the stream notices the loss
            stream.usable = False
