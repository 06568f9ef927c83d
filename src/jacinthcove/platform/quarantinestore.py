"""Keeps combinations of prompt parts in quarantine in the platform's store, each as one object."""

from hashlib import blake2b
from typing import Any

import orjson
import structlog

from jacinthcove.gateway.crashmarks import Combination
from jacinthcove.gateway.quarantine import Quarantine
from jacinthcove.platform.names import QUARANTINE_KIND
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.store.kinds import Change, Gap, KindObject, Listing

log = structlog.get_logger()

# The parts of the longest prompts.
MAX_PARTS = 4_096


def object_name(combination: Combination) -> str:
    """Return the name of a combination's object; callers choose the part ids, so it is a hash."""
    return blake2b(orjson.dumps(sorted(combination)), digest_size=16).hexdigest()


class StoredQuarantine:
    """Writes combinations to the store; implements `QuarantineStore`."""

    def __init__(self, store_client: PlatformStoreClient):
        self.store_client = store_client

    def put(self, combination: Combination) -> None:
        """Add a combination unless it is kept already; raises `StoreUnavailable`."""
        spec = {"parts": sorted(combination)}
        self.store_client.create(QUARANTINE_KIND, object_name(combination), spec)

    def delete(self, combination: Combination) -> None:
        """Remove a combination if it is kept; raises `StoreUnavailable`."""
        self.store_client.delete(QUARANTINE_KIND, object_name(combination))


class QuarantineFollower:
    """Keeps the quarantine up to date; a malformed object is logged and ignored."""

    def __init__(self, quarantine: Quarantine):
        self.quarantine = quarantine
        self.combination_by_name: dict[str, Combination] = {}

    def on_list(self, listing: Listing, gap: Gap) -> None:
        """Replace the known combinations by the listed ones."""
        found = {item.name: parts for item in listing.objects if (parts := _decode(item))}
        self.combination_by_name = found
        self.quarantine.replace_stored(found.values(), gap)

    def on_change(self, change: Change, in_outage: bool) -> None:
        """Apply one change."""
        del in_outage
        name = change.object.name
        before = self.combination_by_name.pop(name, None)
        parts: Combination = frozenset() if change.deleted else _decode(change.object)
        if before is not None and before != parts:
            self.quarantine.remove_stored(before)
        if parts:
            self.combination_by_name[name] = parts
            self.quarantine.add_stored(parts)

    def on_confirmed(self, known_at: int) -> None:
        """Do nothing: no decision depends on the age of this state."""


def decode_parts(spec: Any) -> Combination:
    """Return the parts that an object names; raises `ValueError` if it is malformed."""
    parts = spec.get("parts") if isinstance(spec, dict) else None
    if not isinstance(parts, list) or not all(isinstance(part, str) for part in parts):
        raise ValueError("its parts are no list of texts")
    if not parts or len(parts) > MAX_PARTS:
        raise ValueError(f"it names {len(parts)} parts")
    return frozenset(parts)


def _decode(item: KindObject) -> Combination:
    """Return the parts of an object, none if it is malformed."""
    try:
        return decode_parts(item.spec)
    except ValueError as error:
        log.warning("quarantine_object_malformed", name=item.name, reason=str(error))
        return frozenset()
