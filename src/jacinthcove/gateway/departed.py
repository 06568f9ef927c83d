"""Targets that were removed, in case that an older copy of the store still lists them."""

from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from jacinthcove.clock import Clock
from jacinthcove.gateway.targetrecord import ListedTarget
from jacinthcove.store.kinds import Gap

log = structlog.get_logger()

# The store removes the entry of a target that no longer writes to it within this time.
HELD_MS = 6_000
# Above this number, the targets removed first are forgotten.
MAX_REMOVED = 4_096


@dataclass(frozen=True)
class HeldTarget:
    """An entry that is not used until boot ms `until`."""

    entry: ListedTarget
    until: int


class DepartedTargets:
    """Holds entries of an older copy back that are those of removed targets.

    A target whose entry is still there after `HELD_MS` is alive.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        # The last entries of removed targets, by id, oldest first.
        self.removed: dict[str, ListedTarget] = {}
        self.held: dict[str, HeldTarget] = {}

    def record(self, entry: ListedTarget) -> None:
        """Record the last entry of a target that is removed."""
        self.removed.pop(entry.record.id, None)
        self.removed[entry.record.id] = entry
        if len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]

    def forget(self, target_id: str) -> None:
        """Forget that a target was removed, because it has written its entry again."""
        self.held.pop(target_id, None)
        self.removed.pop(target_id, None)

    def release(self, target_id: str) -> None:
        """Stop holding an entry, because it was deleted."""
        self.held.pop(target_id, None)

    def filter_list(self, entries: Iterable[ListedTarget], gap: Gap) -> list[ListedTarget]:
        """Return the entries of a complete list to use now, and hold back the others."""
        self.held.clear()
        usable = []
        for entry in entries:
            if gap is Gap.OLDER_COPY and self._is_outdated(entry):
                log.info("target_entry_outdated", target=entry.record.id, revision=entry.revision)
                self.held[entry.record.id] = HeldTarget(entry, self.clock.boot() + HELD_MS)
            else:
                usable.append(entry)
        return usable

    def take_ready(self) -> list[ListedTarget]:
        """Return the entries that were held long enough, and stop holding them."""
        now = self.clock.boot()
        ready = [item.entry for item in self.held.values() if item.until <= now]
        for entry in ready:
            del self.held[entry.record.id]
        return ready

    def _is_outdated(self, entry: ListedTarget) -> bool:
        removed = self.removed.get(entry.record.id)
        return (
            removed is not None
            and removed.record.started_at == entry.record.started_at
            and entry.revision <= removed.revision
        )
