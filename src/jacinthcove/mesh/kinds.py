"""Message kinds between routers, with their request and reply types."""

from dataclasses import dataclass
from typing import Any

from jacinthcove.mesh import mesh_pb2 as pb

HEARTBEAT = "heartbeat"
PROBE = "probe"
PROBE_REQUEST = "probe_request"
DOCUMENTS_PULL = "documents_pull"
DOCUMENTS_PUSH = "documents_push"
STATUS_QUERY = "status_query"
TICKET_OFFER = "ticket_offer"
TICKET_CANCEL = "ticket_cancel"
TICKET_PULL = "ticket_pull"
GRANT = "grant"
SERVICE_USED = "service_used"
ACCOUNT_REPORT = "account_report"
MOVE_CUT = "move_cut"
LOAD_SHARE = "load_share"
LOAD_BUNDLE = "load_bundle"
STORE_PULL = "store_pull"
STORE_LIST_PULL = "store_list_pull"
PARTS_PULL = "parts_pull"
CRASH_REPORT = "crash_report"
BEGUN_QUERY = "begun_query"
QUARANTINE_NOTICE = "quarantine_notice"
PERMIT_PULL = "permit_pull"
BEGUN_COUNTS = "begun_counts"
DUTY_LEASE = "duty_lease"


@dataclass(frozen=True)
class MessageTypes:
    """The protobuf classes of one message kind."""

    request: Any
    reply: Any


KINDS: dict[str, MessageTypes] = {
    HEARTBEAT: MessageTypes(pb.Heartbeat, pb.Empty),
    PROBE: MessageTypes(pb.Probe, pb.ProbeReply),
    PROBE_REQUEST: MessageTypes(pb.ProbeRequest, pb.ProbeRequestReply),
    DOCUMENTS_PULL: MessageTypes(pb.DocumentPull, pb.DocumentPush),
    DOCUMENTS_PUSH: MessageTypes(pb.DocumentPush, pb.Empty),
    STATUS_QUERY: MessageTypes(pb.StatusQuery, pb.StatusReply),
    TICKET_OFFER: MessageTypes(pb.TicketOffer, pb.TicketOfferReply),
    TICKET_CANCEL: MessageTypes(pb.TicketCancel, pb.Empty),
    TICKET_PULL: MessageTypes(pb.TicketPull, pb.TicketPullReply),
    GRANT: MessageTypes(pb.Grant, pb.GrantReply),
    SERVICE_USED: MessageTypes(pb.ServiceUsed, pb.Empty),
    ACCOUNT_REPORT: MessageTypes(pb.AccountReport, pb.AccountReply),
    MOVE_CUT: MessageTypes(pb.MoveCut, pb.Empty),
    LOAD_SHARE: MessageTypes(pb.LoadShare, pb.Empty),
    LOAD_BUNDLE: MessageTypes(pb.LoadBundle, pb.Empty),
    STORE_PULL: MessageTypes(pb.StorePull, pb.StoreNews),
    STORE_LIST_PULL: MessageTypes(pb.StoreListPull, pb.StoreListPage),
    PARTS_PULL: MessageTypes(pb.PartsPull, pb.PartsTable),
    CRASH_REPORT: MessageTypes(pb.CrashReport, pb.Empty),
    BEGUN_QUERY: MessageTypes(pb.BegunQuery, pb.BegunReply),
    QUARANTINE_NOTICE: MessageTypes(pb.QuarantineNotice, pb.Empty),
    PERMIT_PULL: MessageTypes(pb.PermitPull, pb.PermitReply),
    BEGUN_COUNTS: MessageTypes(pb.BegunCounts, pb.BegunCountsReply),
    DUTY_LEASE: MessageTypes(pb.DutyLeaseNotice, pb.Empty),
}
