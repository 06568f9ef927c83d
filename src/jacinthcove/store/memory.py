"""An in-memory `Store` with fault injection, for tests."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.store import StoredObject


@dataclass(frozen=True)
class HeldWrite:
    """A write that is delayed in transit and takes effect when it is released."""

    key: str
    value: bytes
    if_version: int


class MemoryStore:
    """A `Store` that keeps every written version; watches return at once.

    `outage` fails every call. The next `lose_answers` writes take effect but get no reply, the
    next `lose_requests` writes have no effect and get no reply, and the next `hold_writes` writes
    get no reply and take effect in `release_writes`, if their condition still holds then.
    `on_call(kind, key)` runs before each call.
    """

    def __init__(self, on_call: Callable[[str, str], None] | None = None):
        self.objects: dict[str, StoredObject] = {}
        self.written: dict[str, list[StoredObject]] = {}
        self.calls: Counter[str] = Counter()
        self.outage = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.hold_writes = 0
        self.held_writes: list[HeldWrite] = []
        self.on_call = on_call
        self.last_version = 0

    def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        self._begin_call("get", key)
        return self.objects.get(key)

    def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose key starts with `prefix`, ordered by key."""
        self._begin_call("list", prefix)
        return [item for key, item in sorted(self.objects.items()) if key.startswith(prefix)]

    def put(self, key: str, value: bytes, if_version: int) -> int:
        """Write if the version matches (0 creates) and return the new version; else `Conflict`."""
        self._begin_call("put", key)
        self._lose_request()
        if self.hold_writes:
            self.hold_writes -= 1
            self.held_writes.append(HeldWrite(key, value, if_version))
            raise StoreUnavailable("the write is delayed")
        version = self.apply(key, value, if_version)
        self._lose_reply()
        return version

    def delete(self, key: str, if_version: int) -> None:
        """Delete if the version matches; else `Conflict`."""
        self._begin_call("delete", key)
        self._lose_request()
        self._require_version(key, if_version)
        self.objects.pop(key, None)
        self._lose_reply()

    def watch(self, key: str, after_version: int, timeout_ms: int) -> StoredObject | None:
        """Return the object at once if its version is above `after_version`, else None."""
        self._begin_call("watch", key)
        found = self.objects.get(key)
        return found if found is not None and found.version > after_version else None

    def versions(self, key: str) -> tuple[StoredObject, ...]:
        """Return every version of `key` ever written, oldest first, including overwritten ones."""
        return tuple(self.written.get(key, ()))

    def version(self, key: str) -> int:
        """Return the version of `key`, 0 if it does not exist."""
        return self.objects[key].version if key in self.objects else 0

    def release_writes(self) -> None:
        """Apply the held writes whose conditions still hold."""
        held, self.held_writes = self.held_writes, []
        for write in held:
            try:
                self.apply(write.key, write.value, write.if_version)
            except Conflict:
                continue

    def apply(self, key: str, value: bytes, if_version: int) -> int:
        """Write without fault injection; raise `Conflict` if the version does not match."""
        self._require_version(key, if_version)
        self.last_version += 1
        stored = StoredObject(key, value, self.last_version)
        self.objects[key] = stored
        self.written.setdefault(key, []).append(stored)
        return stored.version

    def _require_version(self, key: str, if_version: int) -> None:
        if if_version != self.version(key):
            raise Conflict(key, self.version(key))

    def _begin_call(self, kind: str, key: str) -> None:
        if self.on_call is not None:
            self.on_call(kind, key)
        self.calls[kind] += 1
        if self.outage:
            raise StoreUnavailable("outage")

    def _lose_request(self) -> None:
        if self.lose_requests:
            self.lose_requests -= 1
            raise StoreUnavailable("the request was lost")

    def _lose_reply(self) -> None:
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailable("the reply was lost")
