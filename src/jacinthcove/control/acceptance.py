"""Accepts configurations with conditional writes to the store."""

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
# The object API takes values up to 1 MB.
MAX_BODY_BYTES = 1_000_000
HISTORY_KEPT = 1_000
SETTLE_MS = 5_000
SETTLE_PERIOD_MS = 200
MAX_UPDATE_ATTEMPTS = 20
UPDATE_PERIOD_MS = 20


class OutcomeUnknown(StoreUnavailable):
    """The store did not say in time whether a change was accepted."""

    def __init__(self, revision: int, change_id: str):
        super().__init__(
            f"revision {revision} may have been accepted: the store does not answer;"
            f" look for change {change_id} when it does"
        )
        self.revision = revision
        self.change_id = change_id


def new_change_id() -> str:
    """Return a unique id for a change."""
    return uuid.uuid4().hex


@dataclass(frozen=True)
class Change:
    """Who made a revision and why; a repeated `id` names the same change."""

    id: str = field(default_factory=new_change_id)
    author: str = ""
    action: str = ""
    wall_ms: int = 0


@dataclass(frozen=True)
class Accepted:
    """An accepted revision as stored; `version` is that of the stored object."""

    config: FleetConfig
    change: Change
    body: bytes
    version: int


class Acceptance:
    """Reads and replaces the configuration in the store.

    A revision is stored under `config/current` by one conditional write, so of several racing
    operators one succeeds. Before it is replaced, it is copied to `config/history/N`; a writer
    whose answer was lost can therefore always learn whose change became revision N.
    """

    def __init__(self, store: Store, clock: Clock, settle_ms: int = SETTLE_MS):
        self.store = store
        self.clock = clock
        self.settle_ms = settle_ms
        self.last = _accepted(None)

    def current(self) -> FleetConfig:
        """Return the accepted configuration, revision 0 if there is none yet."""
        return self.accepted().config

    def accepted(self) -> Accepted:
        """Return the accepted configuration with its change; raise `StoreUnavailable`."""
        stored = self.store.get(CURRENT_KEY)
        # The move driver reads twice a second, and decoding 5,200 workspaces takes 25 to 60 ms.
        if stored is None or (stored.version, stored.value) != (self.last.version, self.last.body):
            self.last = _accepted(stored)
        return self.last

    def at(self, revision: int) -> Accepted | None:
        """Return a revision, or None if it does not exist or is no longer kept."""
        current = self.accepted()
        if revision == current.config.revision:
            return current
        found = self.store.get(f"{HISTORY_PREFIX}{revision}")
        return _accepted(found) if found is not None else None

    def history(self, limit: int = 20) -> list[Accepted]:
        """Return up to `limit` revisions, the newest first."""
        newest = self.accepted()
        found = [newest] if newest.config.revision else []
        for revision in range(newest.config.revision - 1, 0, -1):
            stored = self.store.get(f"{HISTORY_PREFIX}{revision}")
            if len(found) >= limit or stored is None:
                break
            found.append(_accepted(stored))
        return found

    def submit(
        self, config: FleetConfig, expected_revision: int, change: Change | None = None
    ) -> int:
        """Replace revision `expected_revision` by `config` and return the new revision.

        Raises `ConfigurationError` or `Conflict` if the change is refused, `OutcomeUnknown` if it
        may be in force, and another `StoreUnavailable` if it was not written.
        """
        require_valid(config)
        change = replace(change or Change(), wall_ms=self.clock.wall())
        config = replace(config, revision=expected_revision + 1)
        body = _encode(config, change)
        if len(body) > MAX_BODY_BYTES:
            raise ConfigurationError(
                f"the configuration takes {len(body)} bytes; the store takes {MAX_BODY_BYTES}"
            )
        new = Accepted(config, change, body, 0)
        self._settle(new)
        self._tidy(new)
        return config.revision

    def update(
        self, edit: Callable[[FleetConfig], FleetConfig], change: Change | None = None
    ) -> int:
        """Apply `edit` to the newest configuration and return the revision that contains it.

        Repeats after conflicts; an edit without effect writes nothing. Raises as `submit` does.
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
                self.clock.sleep(UPDATE_PERIOD_MS)
        raise AssertionError("unreachable")

    def _settle(self, new: Accepted) -> None:
        """Write until the outcome is certain; the condition makes repeated writes harmless."""
        gives_up_at = self.clock.now() + self.settle_ms
        sent = False
        while True:
            try:
                stored = self.accepted()
                if stored.config.revision != new.config.revision - 1:
                    self._require_own(new, stored)
                    return
                self._keep(stored)
                sent = True
                if self._put(new, stored.version):
                    return
            except StoreUnavailable as error:
                if self.clock.now() >= gives_up_at:
                    if not sent:
                        raise
                    raise OutcomeUnknown(new.config.revision, new.change.id) from error
                self.clock.sleep(SETTLE_PERIOD_MS)

    def _put(self, new: Accepted, version: int) -> bool:
        """Write `new`; False if the stored version changed, whoever changed it."""
        try:
            self.store.put(CURRENT_KEY, new.body, version)
        except Conflict:
            return False
        return True

    def _require_own(self, new: Accepted, stored: Accepted) -> None:
        """Raise `Conflict` unless the revision of `new` was written by this very change."""
        winner: Accepted | None = stored
        if stored.config.revision != new.config.revision:
            found = self.store.get(f"{HISTORY_PREFIX}{new.config.revision}")
            winner = _accepted(found) if found is not None else None
        if winner is None or winner.change.id != new.change.id:
            raise Conflict(CURRENT_KEY, stored.config.revision)

    def _keep(self, accepted: Accepted) -> None:
        """Copy a revision to the history unless it is there."""
        key = f"{HISTORY_PREFIX}{accepted.config.revision}"
        if accepted.config.revision == 0 or self.store.get(key) is not None:
            return
        try:
            self.store.put(key, accepted.body, 0)
        except Conflict:
            pass

    def _tidy(self, new: Accepted) -> None:
        """Add the accepted revision to the history and drop the one that is no longer kept."""
        try:
            self._keep(new)
            old = self.store.get(f"{HISTORY_PREFIX}{new.config.revision - HISTORY_KEPT}")
            if old is not None:
                self.store.delete(old.key, old.version)
        except (StoreUnavailable, Conflict):
            # The next change copies the revision before it replaces it.
            pass


def _encode(config: FleetConfig, change: Change) -> bytes:
    tree = orjson.loads(encode(config))
    tree["change"] = asdict(change)
    return orjson.dumps(tree, option=orjson.OPT_SORT_KEYS)


def _accepted(stored: StoredObject | None) -> Accepted:
    if stored is None:
        return Accepted(FleetConfig(), Change(id=""), b"", 0)
    config = decode(stored.value)
    change = Change(**orjson.loads(stored.value).get("change", {"id": ""}))
    return Accepted(config, change, stored.value, stored.version)
