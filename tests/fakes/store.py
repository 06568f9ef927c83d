"""An in-memory store with scripted faults."""

from collections import deque
from collections.abc import Callable
from enum import Enum

from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.store import StoredObject


class Crash(BaseException):
    """The calling process stops at this point."""


class Fault(Enum):
    NONE = 0
    DOWN = 1  # the write does not take effect, no answer
    LOST = 2  # the write takes effect, no answer
    LATE = 3  # the write arrives later, no answer
    TWICE = 4  # the write takes effect and a duplicate arrives later
    CRASH_BEFORE = 5
    CRASH_AFTER = 6
    RACE = 7  # another router works right before the call arrives


class FakeStore:
    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.version = 0
        self.faults: deque[Fault] = deque()
        self.late: list[tuple[str, bytes, int]] = []
        self.down = False
        self.race: Callable[[], None] = lambda: None
        self.puts = 0

    def get(self, key: str) -> StoredObject | None:
        self._check()
        if self.faults and self.faults[0] is Fault.RACE:
            self.faults.popleft()
            self.race()
        return self.objects.get(key)

    def list(self, prefix: str) -> list[StoredObject]:
        self._check()
        return [item for key, item in sorted(self.objects.items()) if key.startswith(prefix)]

    def put(self, key: str, value: bytes, if_version: int) -> int:
        self._check()
        self.puts += 1
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.RACE:
            self.race()
        if fault is Fault.CRASH_BEFORE:
            raise Crash
        if fault in (Fault.LATE, Fault.TWICE):
            self.late.append((key, value, if_version))
        if fault in (Fault.DOWN, Fault.LATE):
            raise StoreUnavailable("no answer")
        version = self._apply(key, value, if_version)
        if fault is Fault.CRASH_AFTER:
            raise Crash
        if fault is Fault.LOST:
            raise StoreUnavailable("answer lost")
        return version

    def delete(self, key: str, if_version: int) -> None:
        self._check()
        self._match(key, if_version)
        del self.objects[key]

    def watch(self, key: str, after_version: int, timeout_ms: int) -> StoredObject | None:
        raise NotImplementedError

    def deliver(self) -> None:
        """Let every delayed write arrive."""
        late, self.late = self.late, []
        for key, value, if_version in late:
            try:
                self._apply(key, value, if_version)
            except Conflict:
                continue

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailable("outage")

    def _match(self, key: str, if_version: int) -> None:
        current = self.objects.get(key)
        if (current.version if current else 0) != if_version:
            raise Conflict(key, current.version if current else 0)

    def _apply(self, key: str, value: bytes, if_version: int) -> int:
        self._match(key, if_version)
        assert len(value) < 1_000_000
        self.version += 1
        self.objects[key] = StoredObject(key, value, self.version)
        return self.version
