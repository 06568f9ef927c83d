"""Gathering the status of all live members through one delegate per failure domain."""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from gevent.pool import Pool

from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import STATUS_QUERY
from jacinthcove.mesh.peers import Members, Peers

MEMBER_TIMEOUT_MS = 1_000
DELEGATE_TIMEOUT_MS = 8_000
DELEGATE_ATTEMPTS = 3
# Below the connection limit, so that a gathering does not close the streams in use.
CONCURRENT_QUERIES = 32


@dataclass(frozen=True)
class Gathered:
    """Statuses by answering member, and the live members that did not answer."""

    statuses: tuple[pb.MemberStatus, ...]
    missing: tuple[str, ...]


class StatusService:
    """Answers and gathers status; `own` returns the status of this router."""

    def __init__(
        self,
        members: Members,
        peers: Peers,
        own: Callable[[], pb.MemberStatus],
        rng: random.Random | None = None,
    ):
        self.members = members
        self.peers = peers
        self.own = own
        self.rng = rng or random.Random()
        peers.register(STATUS_QUERY, self.answer)

    def answer(self, sender: str, query: pb.StatusQuery) -> pb.StatusReply:
        """Answer for this router, or for the live members of the failure domain asked for."""
        if not query.failure_domain:
            return pb.StatusReply(members=[self.own()])
        alive = self.members.alive()
        ids = [m.id for m in alive if m.failure_domain == query.failure_domain]
        return pb.StatusReply(members=self._ask_members(ids))

    def gather(self) -> Gathered:
        """Ask one delegate per failure domain; takes as long as the slowest domain."""
        domains: dict[str, list[str]] = defaultdict(list)
        for member in self.members.alive():
            domains[member.failure_domain].append(member.id)
        calls = [gevent.spawn(self._ask_domain, name, ids) for name, ids in domains.items()]
        gevent.joinall(calls)
        statuses = {s.member_id: s for call in calls for s in call.value or ()}
        live = {member_id for ids in domains.values() for member_id in ids}
        missing = tuple(sorted(live - statuses.keys()))
        return Gathered(tuple(statuses[key] for key in sorted(statuses)), missing)

    def _ask_domain(self, failure_domain: str, ids: list[str]) -> list[pb.MemberStatus]:
        for delegate in self._delegates(ids):
            query = pb.StatusQuery(failure_domain=failure_domain)
            try:
                reply = self.peers.call(delegate, STATUS_QUERY, query, DELEGATE_TIMEOUT_MS)
            except PeerUnavailable:
                continue
            return list(reply.members)
        return []

    def _delegates(self, ids: list[str]) -> list[str]:
        # This router needs no call to ask its own failure domain.
        if self.members.me.id in ids:
            return [self.members.me.id]
        return self.rng.sample(ids, min(DELEGATE_ATTEMPTS, len(ids)))

    def _ask_members(self, ids: Iterable[str]) -> list[pb.MemberStatus]:
        pool = Pool(CONCURRENT_QUERIES)
        return [status for status in pool.imap_unordered(self._ask, ids) if status is not None]

    def _ask(self, member_id: str) -> pb.MemberStatus | None:
        if member_id == self.members.me.id:
            return self.own()
        try:
            reply = self.peers.call(member_id, STATUS_QUERY, pb.StatusQuery(), MEMBER_TIMEOUT_MS)
        except PeerUnavailable:
            return None
        return reply.members[0] if reply.members else None
