"""What the gevent side of the links and the asyncio thread hand to each other."""

from dataclasses import dataclass
from typing import Any

from jacinthcove.mesh import mesh_pb2 as pb


@dataclass
class Outgoing:
    """An envelope on its way; an empty `member_id` accepts any member at the address."""

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
    """Calls that can get no reply any more."""

    call_ids: list[int]
    reason: str


@dataclass
class PeerLost:
    """A stream broke while in use or a heartbeat is late, so the member may have died."""

    member_id: str


@dataclass
class StreamNote:
    """Something about a stream that deserves a log line."""

    event: str
    fields: dict[str, Any]
