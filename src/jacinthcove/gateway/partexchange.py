"""Copies from another router, after a start or a partition, which prompt parts targets have cached.

A part is a cacheable block of a prompt prefix. Load reports contain only the parts sent since the
last report. Without the copy, a router that starts or was partitioned off under load would send
prompts to targets that lack their shared parts, and these would have to be prefilled again.
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

# Reports arrive several times per second, so some were lost in a gap of this length.
MAX_REPORT_GAP_MS = 1_500
CALL_TIMEOUT_MS = 600
# Routers that are asked in turn until one knows any parts.
MAX_ASKED = 3
# Targets have probably evicted parts that were unused for longer than this.
MAX_PART_AGE_MS = 30_000


class PartsExchange:
    """Pulls the table of cached parts after a gap in the reports, and serves it to others."""

    def __init__(self, clock: Clock, members: Members, peers: Peers, registry: TargetRegistry):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.registry = registry
        self.last_report_at: int | None = None
        self.pull_task = BackgroundTask(self.pull)
        peers.register(PARTS_PULL, self.serve_table)

    def close(self) -> None:
        """Abort a pull that is running."""
        self.pull_task.close()

    def record_report_received(self) -> None:
        """Record that a report has arrived; the first one after a gap starts a pull."""
        now = self.clock.now()
        after_gap = self.last_report_at is None or now - self.last_report_at >= MAX_REPORT_GAP_MS
        self.last_report_at = now
        if after_gap and not self.pull_task.is_running():
            self.pull_task.start()

    def pull(self) -> int:
        """Ask routers in turn until one knows any parts; return the number of parts learned."""
        for member_id in self._candidates():
            try:
                table = self.peers.call(member_id, PARTS_PULL, pb.PartsPull(), CALL_TIMEOUT_MS)
            except PeerUnavailable as error:
                log.info("parts_not_learned", router=member_id, reason=str(error))
                continue
            learned = self.merge_table(table)
            if learned:
                log.info("parts_learned", router=member_id, parts=learned)
                return learned
        return 0

    def serve_table(self, sender: str, message: pb.PartsPull) -> pb.PartsTable:
        """Return the recently used parts by target; handles `PARTS_PULL`."""
        del sender, message
        return pb.PartsTable(
            targets=[self._encode_recent(state) for state in self.registry.states.values()]
        )

    def merge_table(self, table: pb.PartsTable) -> int:
        """Merge another router's table; return the number of parts that were merged.

        Skips targets that are unknown here or have restarted, as a restart empties their cache.
        """
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

    def _encode_recent(self, state: TargetState) -> pb.TargetParts:
        now = self.clock.now()
        recent = {
            part: now - used_at
            for part, used_at in state.recent_parts.items()
            if now - used_at < MAX_PART_AGE_MS
        }
        return pb.TargetParts(
            target_id=state.record.id,
            started_at=state.record.started_at,
            parts=recent.keys(),
            ages_ms=recent.values(),
        )

    def _candidates(self) -> list[str]:
        """Return random routers to ask, those of the same failure domain first."""
        me = self.members.me
        others = [member for member in self.members.alive() if member.id != me.id]
        random.shuffle(others)
        others.sort(key=lambda member: member.failure_domain != me.failure_domain)
        return [member.id for member in others[:MAX_ASKED]]
