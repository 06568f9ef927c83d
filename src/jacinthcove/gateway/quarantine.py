"""What crashes engines: combinations of marks; requests that bear all marks of one are refused.

The marks of a request are its shared prompt parts and the digest of the request itself. Most
combinations have one mark.
"""

from collections.abc import Collection

import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.crashmarks import Combination, crash_marks
from jacinthcove.gateway.model import GatewayRequest
from jacinthcove.store.kinds import Gap

log = structlog.get_logger()

# A combination is refused for this time, as the engines may be repaired meanwhile.
QUARANTINE_MS = 600_000


class Quarantine:
    """The combinations in quarantine: those in the store, and those that the routers just found.

    Times are in boot ms, because the store keeps a combination while this VM is suspended.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.stored_since: dict[Combination, int] = {}
        # Found by a router and not in the store yet.
        self.unstored_since: dict[Combination, int] = {}
        # When combinations left the store.
        self.released_at: dict[Combination, int] = {}
        # Released, and in the store again because it came back from an older copy.
        self.outdated: set[Combination] = set()

    def __contains__(self, combination: Combination) -> bool:
        return combination in self.stored_since or combination in self.unstored_since

    def __len__(self) -> int:
        return len(self.stored_since) + len(self.unstored_since)

    def replace_stored(self, combinations: Collection[Combination], gap: Gap = Gap.NONE) -> None:
        """Replace the combinations that the store lists.

        Those that an older copy lacks are to be stored again, and those that it still has although
        they were released are to be deleted again.
        """
        older_copy = gap is Gap.OLDER_COPY
        for combination in self.stored_since.keys() - set(combinations):
            if older_copy:
                log.warning("prompt_parts_kept", parts=sorted(combination))
                self.unstored_since[combination] = self.stored_since.pop(combination)
            else:
                self.remove_stored(combination)
        self.outdated.clear()
        self._forget_old_releases()
        for combination in combinations:
            if older_copy and combination in self.released_at:
                self.outdated.add(combination)
            else:
                self.add_stored(combination)

    def add_stored(self, combination: Combination) -> None:
        """Record that the store lists a combination."""
        if combination not in self.stored_since:
            log.warning("prompt_parts_quarantined", parts=sorted(combination))
        found_at = self.unstored_since.pop(combination, self.clock.boot())
        self.stored_since.setdefault(combination, found_at)
        self.released_at.pop(combination, None)
        self.outdated.discard(combination)

    def remove_stored(self, combination: Combination) -> None:
        """Record that the store lists a combination no more."""
        self.outdated.discard(combination)
        if self.stored_since.pop(combination, None) is not None:
            log.info("prompt_parts_released", parts=sorted(combination))
            self._forget_old_releases()
            self.released_at[combination] = self.clock.boot()

    def add_found(self, combination: Combination) -> None:
        """Record a combination that a router found; it counts until the store lists it."""
        if combination not in self:
            log.warning("prompt_parts_found", parts=sorted(combination))
            self.unstored_since[combination] = self.clock.boot()

    def remove_found(self, combination: Combination) -> None:
        """Forget a combination that was found and that the store does not list."""
        self.unstored_since.pop(combination, None)

    def unstored(self) -> list[Combination]:
        """Return the combinations that were found and that the store does not list yet."""
        since = self.clock.boot() - QUARANTINE_MS
        for combination in [item for item, at in self.unstored_since.items() if at <= since]:
            self.remove_found(combination)
        return list(self.unstored_since)

    def expired(self) -> list[Combination]:
        """Return the combinations whose quarantine is over, to be deleted from the store."""
        since = self.clock.boot() - QUARANTINE_MS
        return [combination for combination, at in self.stored_since.items() if at <= since]

    def _forget_old_releases(self) -> None:
        since = self.clock.boot() - QUARANTINE_MS
        self.released_at = {item: at for item, at in self.released_at.items() if at > since}

    def combinations(self) -> list[Combination]:
        """Return all combinations in quarantine."""
        return [*self.stored_since, *self.unstored_since]

    def find(self, marks: Combination) -> list[Combination]:
        """Return the combinations in quarantine of which all marks are among `marks`."""
        return [combination for combination in self.combinations() if combination <= marks]

    def refusal_for(self, request: GatewayRequest) -> RequestRefused | None:
        """Return a refusal with a code that means not executed if a combination matches."""
        if not self.stored_since and not self.unstored_since:
            return None
        found = self.find(crash_marks(request))
        if not found:
            return None
        message = f"engines crash at requests with the marks {', '.join(sorted(found[0]))}"
        return RequestRefused(ResultCode.PART_QUARANTINED, message, self._left_ms(found[0]))

    def _left_ms(self, combination: Combination) -> int:
        since = self.stored_since.get(combination, self.unstored_since.get(combination, 0))
        return max(0, since + QUARANTINE_MS - self.clock.boot())
