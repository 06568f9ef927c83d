"""Collection of the status of all live members through one delegate per failure domain."""

import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent

from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.fanout import call_all
from jacinthcove.mesh.kinds import STATUS_QUERY
from jacinthcove.mesh.peers import Members, Peers

MEMBER_TIMEOUT_MS = 1_000
DELEGATE_TIMEOUT_MS = 8_000
DELEGATE_ATTEMPTS = 3


@dataclass(frozen=True)
class GatheredStatus:
    """The received statuses by member id, and the ids of live members that sent none."""

    statuses: tuple[pb.MemberStatus, ...]
    missing: tuple[str, ...]


class StatusService:
    """Serves and collects member status; `own_status` returns that of this router."""

    def __init__(
        self,
        members: Members,
        peers: Peers,
        own_status: Callable[[], pb.MemberStatus],
        rng: random.Random | None = None,
    ):
        self.members = members
        self.peers = peers
        self.own_status = own_status
        self.rng = rng or random.Random()
        peers.register(STATUS_QUERY, self.handle_query)

    def handle_query(self, sender: str, query: pb.StatusQuery) -> pb.StatusReply:
        """Return the status of this router, or of all live members of the queried domain."""
        if not query.failure_domain:
            return pb.StatusReply(members=[self.own_status()])
        alive = self.members.alive()
        ids = [m.id for m in alive if m.failure_domain == query.failure_domain]
        return pb.StatusReply(members=self._query_members(ids))

    def gather(self) -> GatheredStatus:
        """Collect the status of all live members; takes as long as the slowest domain."""
        domains: dict[str, list[str]] = defaultdict(list)
        for member in self.members.alive():
            domains[member.failure_domain].append(member.id)
        calls = [gevent.spawn(self._query_domain, name, ids) for name, ids in domains.items()]
        gevent.joinall(calls)
        statuses = {s.member_id: s for call in calls for s in call.value or ()}
        live_ids = {member_id for ids in domains.values() for member_id in ids}
        missing = tuple(sorted(live_ids - statuses.keys()))
        return GatheredStatus(tuple(statuses[key] for key in sorted(statuses)), missing)

    def _query_domain(self, failure_domain: str, ids: list[str]) -> list[pb.MemberStatus]:
        for delegate in self._choose_delegates(ids):
            query = pb.StatusQuery(failure_domain=failure_domain)
            try:
                reply = self.peers.call(delegate, STATUS_QUERY, query, DELEGATE_TIMEOUT_MS)
            except PeerUnavailable:
                continue
            return list(reply.members)
        return []

    def _choose_delegates(self, ids: list[str]) -> list[str]:
        # This router queries the members of its own failure domain itself.
        if self.members.me.id in ids:
            return [self.members.me.id]
        return self.rng.sample(ids, min(DELEGATE_ATTEMPTS, len(ids)))

    def _query_members(self, ids: Sequence[str]) -> list[pb.MemberStatus]:
        others = set(ids) - {self.members.me.id}
        replies = call_all(self.peers, others, STATUS_QUERY, pb.StatusQuery(), MEMBER_TIMEOUT_MS)
        statuses = [reply.members[0] for reply in replies.values() if reply.members]
        return [self.own_status(), *statuses] if self.members.me.id in ids else statuses
