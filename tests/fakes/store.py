"""An in-memory store whose next calls fail as scripted."""

from collections import deque
from collections.abc import Callable
from enum import Enum

from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.store import StoredObject


class Crash(BaseException):
    """Stands for a crash of the calling process at this point."""


class Fault(Enum):
    NONE = 0
    DOWN = 1  # the write has no effect and gets no reply
    LOST = 2  # the write takes effect but gets no reply
    LATE = 3  # the write arrives later and gets no reply
    TWICE = 4  # the write takes effect, and a duplicate arrives later
    CRASH_BEFORE = 5
    CRASH_AFTER = 6
    RACE = 7  # another process acts right before the call arrives


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
        self._require_up()
        if self.faults and self.faults[0] is Fault.RACE:
            self.faults.popleft()
            self.race()
        return self.objects.get(key)

    def list(self, prefix: str) -> list[StoredObject]:
        self._require_up()
        return [item for key, item in sorted(self.objects.items()) if key.startswith(prefix)]

    def put(self, key: str, value: bytes, if_version: int) -> int:
        self._require_up()
        self.puts += 1
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.RACE:
            self.race()
        if fault is Fault.CRASH_BEFORE:
            raise Crash
        if fault in (Fault.LATE, Fault.TWICE):
            self.late.append((key, value, if_version))
        if fault in (Fault.DOWN, Fault.LATE):
            raise StoreUnavailable("no reply")
        version = self._apply(key, value, if_version)
        if fault is Fault.CRASH_AFTER:
            raise Crash
        if fault is Fault.LOST:
            raise StoreUnavailable("reply lost")
        return version

    def delete(self, key: str, if_version: int) -> None:
        self._require_up()
        self._require_version(key, if_version)
        del self.objects[key]

    def watch(self, key: str, after_version: int, timeout_ms: int) -> StoredObject | None:
        raise NotImplementedError

    def deliver(self) -> None:
        """Apply every delayed write whose version still matches."""
        late, self.late = self.late, []
        for key, value, if_version in late:
            try:
                self._apply(key, value, if_version)
            except Conflict:
                continue

    def _require_up(self) -> None:
        if self.down:
            raise StoreUnavailable("outage")

    def _require_version(self, key: str, if_version: int) -> None:
        current = self.objects.get(key)
        if (current.version if current else 0) != if_version:
            raise Conflict(key, current.version if current else 0)

    def _apply(self, key: str, value: bytes, if_version: int) -> int:
        self._require_version(key, if_version)
        assert len(value) < 1_000_000
        self.version += 1
        self.objects[key] = StoredObject(key, value, self.version)
        return self.version
