"""A router that starts or was cut off learns from another one which targets hold which parts.

Answers restarts and partitions under load: reports tell only what is sent from now on, so without
this such a router sends prompts away from the targets that hold their shared parts, and these are
read again.
"""

import random

import structlog

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.errors import PeerUnavailable
from jacinthcove.gateway.targets import TargetRegistry, TargetState
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import PARTS_PULL
from jacinthcove.mesh.peers import Members, Peers

log = structlog.get_logger()

# Reports come several times a second; after a longer silence some were missed.
SILENCE_MS = 1_500
CALL_TIMEOUT_MS = 600
MAX_ASKED = 3
# Parts that were not used for longer are hardly kept anywhere.
MAX_AGE_MS = 30_000


class PartsExchange:
    """Asks for the known parts after a silence, and answers the routers that ask."""

    def __init__(self, clock: Clock, members: Members, peers: Peers, registry: TargetRegistry):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.registry = registry
        self.heard_at: int | None = None
        self.pulling = BackgroundTask(self.pull)
        peers.register(PARTS_PULL, self.answer)

    def close(self) -> None:
        """Stop asking."""
        self.pulling.close()

    def note_heard(self) -> None:
        """Note a report of another router; the first one after a silence starts a question."""
        now = self.clock.now()
        missed = self.heard_at is None or now - self.heard_at >= SILENCE_MS
        self.heard_at = now
        if missed and not self.pulling.is_running():
            self.pulling.start()

    def pull(self) -> int:
        """Ask until a router knows any parts; return how many were learned."""
        for member_id in self._candidates():
            try:
                table = self.peers.call(member_id, PARTS_PULL, pb.PartsPull(), CALL_TIMEOUT_MS)
            except PeerUnavailable as error:
                log.info("parts_not_learned", router=member_id, reason=str(error))
                continue
            learned = self.take(table)
            if learned:
                log.info("parts_learned", router=member_id, parts=learned)
                return learned
        return 0

    def answer(self, sender: str, message: pb.PartsPull) -> pb.PartsTable:
        """Return the parts that were used of late."""
        del sender, message
        return pb.PartsTable(
            targets=[self._known(state) for state in self.registry.states.values()]
        )

    def take(self, table: pb.PartsTable) -> int:
        """Take another router's table; return the number of its parts that are of use here."""
        now = self.clock.now()
        learned = 0
        for item in table.targets:
            state = self.registry.states.get(item.target_id)
            if state is None or state.record.started_at != item.started_at:
                continue
            ages = zip(item.parts, item.ages_ms, strict=False)
            state.merge_parts({part: now - age for part, age in ages})
            learned += len(item.parts)
        return learned

    def _known(self, state: TargetState) -> pb.TargetParts:
        now = self.clock.now()
        recent = {
            part: now - used_at
            for part, used_at in state.recent_parts.items()
            if now - used_at < MAX_AGE_MS
        }
        return pb.TargetParts(
            target_id=state.record.id,
            started_at=state.record.started_at,
            parts=recent.keys(),
            ages_ms=recent.values(),
        )

    def _candidates(self) -> list[str]:
        """Return routers to ask, those of this failure domain first."""
        me = self.members.me
        others = [member for member in self.members.alive() if member.id != me.id]
        random.shuffle(others)
        others.sort(key=lambda member: member.failure_domain != me.failure_domain)
        return [member.id for member in others[:MAX_ASKED]]
