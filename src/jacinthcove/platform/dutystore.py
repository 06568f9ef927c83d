"""Objects of the duties in the platform's store."""

from typing import Any

from jacinthcove.duties.lease import StoredValue
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.platform.names import DUTIES_KIND
from jacinthcove.platform.storeclient import PlatformStoreClient

LEASE_OBJECT = "lease"
REPORTS_OBJECT = "usage-reports"


class DutyObject:
    """One object of the duties; implements `DutyStore`."""

    def __init__(self, store_client: PlatformStoreClient, name: str):
        self.store_client = store_client
        self.name = name

    def era(self) -> int:
        """Return the era of the last response, without a call."""
        return self.store_client.era or 0

    def read(self) -> StoredValue:
        """Return the object."""
        era = self.era()
        found = self.store_client.get(DUTIES_KIND, self.name)
        self._require_era(era)
        if found is None:
            return StoredValue(era, 0, None)
        return StoredValue(era, found.revision, found.spec)

    def write(self, value: Any, replaced: StoredValue) -> int:
        """Replace a version of the object, revision 0 to create it; raises `Conflict`.

        Returns the new revision, 0 if the store did not confirm it; then it has to be read.
        """
        self._require_era(replaced.era)
        if replaced.revision:
            written = self.store_client.replace(DUTIES_KIND, self.name, value, replaced.revision)
        else:
            created = self.store_client.ensure(DUTIES_KIND, self.name, value)
            if created.revision:
                raise Conflict(self.name, created.revision)
            written = 0
        self._require_era(replaced.era)
        return written

    def _require_era(self, era: int) -> None:
        """Raise `StoreUnavailable` if the era changed since a call began.

        The response may then be of either copy, and revisions of two copies do not compare.
        """
        if self.era() != era:
            raise StoreUnavailable(f"the era changed from {era} to {self.era()} during a call")
