"""Stores the accepted configuration and its history with conditional writes."""

import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace

import orjson

from jacinthcove.clock import Clock
from jacinthcove.config.checks import require_valid
from jacinthcove.config.document import decode, encode
from jacinthcove.config.model import FleetConfig
from jacinthcove.errors import ConfigurationError, Conflict, StoreUnavailable
from jacinthcove.store.store import Store, StoredObject

CURRENT_KEY = "config/current"
HISTORY_PREFIX = "config/history/"
# The object API limits a value to 1 MB.
MAX_BODY_BYTES = 1_000_000
MAX_HISTORY_REVISIONS = 1_000
# How long the outcome of a write without a reply is sought before `OutcomeUnknown`.
OUTCOME_TIMEOUT_MS = 5_000
OUTCOME_RETRY_MS = 200
# An edit that conflicts with another change is tried again on the newer configuration.
MAX_UPDATE_ATTEMPTS = 20
UPDATE_RETRY_MS = 20


class OutcomeUnknown(StoreUnavailable):
    """The store did not reply in time, so the change may have been accepted or not."""

    def __init__(self, revision: int, change_id: str):
        super().__init__(
            f"revision {revision} may have been accepted: the store does not answer;"
            f" look for change {change_id} when it does"
        )
        self.revision = revision
        self.change_id = change_id


def new_change_id() -> str:
    """Return a random id, unique to one change."""
    return uuid.uuid4().hex


@dataclass(frozen=True)
class Change:
    """Who made a revision and by which action; retries of one change share its `id`."""

    id: str = field(default_factory=new_change_id)
    author: str = ""
    action: str = ""
    wall_ms: int = 0


@dataclass(frozen=True)
class AcceptedConfig:
    """A revision as stored: its JSON `body`, and the `version` of the stored object."""

    config: FleetConfig
    change: Change
    body: bytes
    version: int


class ConfigStore:
    """Reads and replaces the fleet configuration in the store.

    A revision is stored under `config/current` by one conditional write, so of several concurrent
    operators exactly one succeeds. Before a revision N is replaced, it is copied to
    `config/history/N`. A writer that lost the reply can therefore always find out whose change
    became revision N.
    """

    def __init__(self, store: Store, clock: Clock, outcome_timeout_ms: int = OUTCOME_TIMEOUT_MS):
        self.store = store
        self.clock = clock
        self.outcome_timeout_ms = outcome_timeout_ms
        self.last_accepted = _decode_stored(None)

    def current(self) -> FleetConfig:
        """Return the accepted configuration, or an empty one of revision 0."""
        return self.accepted().config

    def accepted(self) -> AcceptedConfig:
        """Return the accepted configuration with its change; may raise `StoreUnavailable`."""
        stored = self.store.get(CURRENT_KEY)
        # The move driver reads twice a second, and decoding 5,200 workspaces takes 25 to 60 ms, so
        # an unchanged object is not decoded again.
        if stored is None or (stored.version, stored.value) != (
            self.last_accepted.version,
            self.last_accepted.body,
        ):
            self.last_accepted = _decode_stored(stored)
        return self.last_accepted

    def get_revision(self, revision: int) -> AcceptedConfig | None:
        """Return a revision, or None if it does not exist or was pruned from the history."""
        current = self.accepted()
        if revision == current.config.revision:
            return current
        found = self.store.get(f"{HISTORY_PREFIX}{revision}")
        return _decode_stored(found) if found is not None else None

    def history(self, limit: int = 20) -> list[AcceptedConfig]:
        """Return up to `limit` revisions, newest first, up to the first missing one."""
        newest = self.accepted()
        found = [newest] if newest.config.revision else []
        for revision in range(newest.config.revision - 1, 0, -1):
            stored = self.store.get(f"{HISTORY_PREFIX}{revision}")
            if len(found) >= limit or stored is None:
                break
            found.append(_decode_stored(stored))
        return found

    def submit(
        self, config: FleetConfig, expected_revision: int, change: Change | None = None
    ) -> int:
        """Replace revision `expected_revision` by `config` and return the new revision.

        Raises `ConfigurationError` or `Conflict` if the change is rejected, `OutcomeUnknown` if it
        may have been accepted, and any other `StoreUnavailable` if it was not written.
        """
        require_valid(config)
        change = replace(change or Change(), wall_ms=self.clock.wall())
        config = replace(config, revision=expected_revision + 1)
        body = _encode(config, change)
        if len(body) > MAX_BODY_BYTES:
            raise ConfigurationError(
                f"the configuration takes {len(body)} bytes; the store takes {MAX_BODY_BYTES}"
            )
        new = AcceptedConfig(config, change, body, 0)
        self._write_and_confirm(new)
        self._update_history(new)
        return config.revision

    def update(
        self, edit: Callable[[FleetConfig], FleetConfig], change: Change | None = None
    ) -> int:
        """Apply `edit` to the newest configuration and return the revision that contains it.

        Retries after conflicts. An edit that changes nothing is not written. Raises like `submit`.
        """
        change = change or Change()
        for attempt in range(MAX_UPDATE_ATTEMPTS):
            config = self.current()
            edited = edit(config)
            if edited == config:
                return config.revision
            try:
                return self.submit(edited, config.revision, change)
            except Conflict:
                if attempt == MAX_UPDATE_ATTEMPTS - 1:
                    raise
                self.clock.sleep(UPDATE_RETRY_MS)
        raise AssertionError("unreachable")

    def _write_and_confirm(self, new: AcceptedConfig) -> None:
        """Write until the outcome is known; the version condition makes retries harmless."""
        gives_up_at = self.clock.now() + self.outcome_timeout_ms
        write_sent = False
        while True:
            try:
                stored = self.accepted()
                if stored.config.revision != new.config.revision - 1:
                    self._require_own_change(new, stored)
                    return
                self._copy_to_history(stored)
                write_sent = True
                if self._write_if_version(new, stored.version):
                    return
            except StoreUnavailable as error:
                if self.clock.now() >= gives_up_at:
                    if not write_sent:
                        raise
                    raise OutcomeUnknown(new.config.revision, new.change.id) from error
                self.clock.sleep(OUTCOME_RETRY_MS)

    def _write_if_version(self, new: AcceptedConfig, version: int) -> bool:
        """Write `new`; return False on a conflict, which an own earlier attempt may have caused."""
        try:
            self.store.put(CURRENT_KEY, new.body, version)
        except Conflict:
            return False
        return True

    def _require_own_change(self, new: AcceptedConfig, stored: AcceptedConfig) -> None:
        """Raise `Conflict` unless the revision of `new` was written by the same change."""
        winner: AcceptedConfig | None = stored
        if stored.config.revision != new.config.revision:
            found = self.store.get(f"{HISTORY_PREFIX}{new.config.revision}")
            winner = _decode_stored(found) if found is not None else None
        if winner is None or winner.change.id != new.change.id:
            raise Conflict(CURRENT_KEY, stored.config.revision)

    def _copy_to_history(self, accepted: AcceptedConfig) -> None:
        """Copy a revision to the history unless it is already there."""
        key = f"{HISTORY_PREFIX}{accepted.config.revision}"
        if accepted.config.revision == 0 or self.store.get(key) is not None:
            return
        try:
            self.store.put(key, accepted.body, 0)
        except Conflict:
            pass

    def _update_history(self, new: AcceptedConfig) -> None:
        """Add the accepted revision to the history and delete the one that exceeds its limit."""
        try:
            self._copy_to_history(new)
            old = self.store.get(f"{HISTORY_PREFIX}{new.config.revision - MAX_HISTORY_REVISIONS}")
            if old is not None:
                self.store.delete(old.key, old.version)
        except (StoreUnavailable, Conflict):
            # Not fatal: the next change copies this revision before it replaces it.
            pass


def _encode(config: FleetConfig, change: Change) -> bytes:
    tree = orjson.loads(encode(config))
    tree["change"] = asdict(change)
    return orjson.dumps(tree, option=orjson.OPT_SORT_KEYS)


def _decode_stored(stored: StoredObject | None) -> AcceptedConfig:
    if stored is None:
        return AcceptedConfig(FleetConfig(), Change(id=""), b"", 0)
    config = decode(stored.value)
    change = Change(**orjson.loads(stored.value).get("change", {"id": ""}))
    return AcceptedConfig(config, change, stored.value, stored.version)
