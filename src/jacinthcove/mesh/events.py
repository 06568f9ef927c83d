"""Items that the gevent hub and the asyncio thread of the mesh pass to each other."""

from dataclasses import dataclass
from typing import Any

from jacinthcove.mesh import mesh_pb2 as pb


@dataclass
class Outgoing:
    """An envelope to send; an empty `member_id` accepts any member at the address."""

    address: str
    member_id: str
    envelope: pb.Envelope


@dataclass
class Received:
    """Envelopes of one frame from an authenticated member."""

    address: str
    member_id: str
    envelopes: list[pb.Envelope]


@dataclass
class CallsFailed:
    """Calls that will get no reply."""

    call_ids: list[int]
    reason: str


@dataclass
class PeerLost:
    """A stream in use broke or its heartbeat is late, so the member may be dead."""

    member_id: str


@dataclass
class StreamLogEvent:
    """A warning about a stream, logged by the gevent side."""

    event: str
    fields: dict[str, Any]
