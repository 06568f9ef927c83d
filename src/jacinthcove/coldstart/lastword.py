"""When this router last heard of the targets, from the store or from another router.

A router that is cut off from all of them still reaches targets and callers. It cannot learn that a
target turns cold, so it takes none for warm.
"""

from jacinthcove.clock import Clock

# Reports of other routers come each 0.1 to 0.75 s, and some are lost.
MAX_SILENCE_MS = 1_500


class LastWord:
    """The time of the last word; nothing is lost before the first one."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.heard_at: int | None = None

    def record(self, heard_at: int) -> None:
        """Record word that was current at boot ms `heard_at`."""
        self.heard_at = max(heard_at, self.heard_at or 0)

    def is_lost(self) -> bool:
        """Return whether there was no word for so long that this router may be cut off."""
        return self.heard_at is not None and self.clock.boot() - self.heard_at > MAX_SILENCE_MS
