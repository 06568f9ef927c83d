"""Conversion between tickets, grants, usage and mesh messages."""

from enum import IntEnum

from jacinthcove.codes import ResultCode
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.scheduling.fairqueue import QueuedTicket
from jacinthcove.scheduling.ticket import GrantedTarget, TicketRequest, Usage


class OfferOutcome(IntEnum):
    """The owner's reply to a ticket offer; the values are those of `TicketOfferReply.outcome`."""

    QUEUED = 1
    QUEUE_FULL = 2
    NOT_OWNER = 3
    NO_TARGET = 4


def ticket_for_request(request: TicketRequest, entry_router: str) -> QueuedTicket:
    """Return the ticket for `request`, with times of its entry router's clock."""
    return QueuedTicket(
        id=request.id,
        entry_router=entry_router,
        workspace=request.workspace,
        service=request.service,
        version=request.version,
        route=request.route,
        estimate=request.estimate,
        deadline=request.deadline,
        short=request.short,
        prefix_key=request.prefix_key,
        avoid=request.avoid,
    )


def encode_ticket(ticket: QueuedTicket, now: int, level: float = 0.0) -> pb.Ticket:
    """Encode a ticket; `now` is this router's monotonic time."""
    return pb.Ticket(
        id=ticket.id,
        entry=ticket.entry_router,
        workspace=ticket.workspace,
        service=ticket.service,
        version=ticket.version,
        route=ticket.route,
        estimate=ticket.estimate,
        short=ticket.short,
        prefix_key=ticket.prefix_key,
        remaining_ms=max(0, ticket.deadline - now),
        level=level,
        avoid=sorted(ticket.avoid),
        entry_ms=max(0, now + ticket.entry_offset),
    )


def decode_ticket(message: pb.Ticket, now: int) -> QueuedTicket:
    """Decode a ticket received at this router's monotonic time `now`."""
    return QueuedTicket(
        id=message.id,
        entry_router=message.entry,
        workspace=message.workspace,
        service=message.service,
        version=message.version,
        route=message.route,
        estimate=message.estimate,
        deadline=now + message.remaining_ms,
        short=message.short,
        prefix_key=message.prefix_key,
        avoid=frozenset(message.avoid),
        entry_offset=message.entry_ms - now,
    )


def encode_usage(grant: GrantedTarget, usage: Usage, include_names: bool = True) -> pb.ServiceUsed:
    """Encode a usage report; without names, only an owner that knows the slot can apply it."""
    return pb.ServiceUsed(
        shard=grant.shard if include_names else "",
        slot=grant.slot,
        target_id=grant.target_id if include_names else "",
        used=usage.used,
        ended=usage.ended,
        code=int(usage.code),
        first_token_ms=usage.first_token_ms,
        token_ms_sum=usage.token_ms_sum,
        tokens=usage.tokens,
        unreachable=usage.unreachable,
        workspace=grant.workspace if include_names else "",
    )


def decode_usage(message: pb.ServiceUsed) -> Usage:
    """Decode a usage report; an unknown code is decoded as `INTERNAL`."""
    try:
        code = ResultCode(message.code)
    except ValueError:
        code = ResultCode.INTERNAL
    return Usage(
        used=message.used,
        ended=message.ended,
        code=code,
        first_token_ms=message.first_token_ms,
        token_ms_sum=message.token_ms_sum,
        tokens=message.tokens,
        unreachable=message.unreachable,
    )
