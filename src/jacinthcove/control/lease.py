"""The controller's lease, an object in the store that is renewed by conditional writes."""

import secrets
from dataclasses import dataclass

import gevent
import orjson

from jacinthcove.clock import Clock
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.store import Store, StoredObject

LEASE_KEY = "leases/controller"
# Three renewals fit in one ttl, so two lost ones do not end the lease.
RENEWALS_PER_TTL = 3


@dataclass(frozen=True)
class LeaseRecord:
    """The content of the lease object; an empty holder means that the lease was given back.

    `term` names one tenure of a holder process, `renewal` makes each written value unique.
    """

    holder: str
    address: str
    fencing: int
    ttl_ms: int
    term: str
    renewal: int


def encode_record(record: LeaseRecord) -> bytes:
    """Encode the content of the lease object."""
    return orjson.dumps(record)


def decode_record(value: bytes) -> LeaseRecord:
    """Decode the content of the lease object."""
    return LeaseRecord(**orjson.loads(value))


class Lease:
    """One controller's view of the lease.

    Call `step` a few times per ttl, or `start` to do so in the background. The lease counts from
    before a write was sent, by this process's monotonic clock.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        holder_id: str,
        ttl_ms: int,
        address: str = "",
        term: str = "",
    ):
        self.store = store
        self.clock = clock
        self.holder_id = holder_id
        self.ttl_ms = ttl_ms
        self.address = address
        self.term = term or secrets.token_hex(8)
        self.record: LeaseRecord | None = None
        self.version = 0
        self.changed_at = clock.now()
        self.expires_at = 0
        self.acquired_at = 0
        self.fencing = 0
        self.renewal = 0
        self.uncertain: dict[bytes, int] = {}
        self.task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Acquire and renew the lease in the background."""
        self.task = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop renewing and give the lease back."""
        if self.task is not None:
            self.task.kill()
            self.task = None
        self.release()

    def held(self) -> bool:
        """Return whether this process holds the lease right now."""
        return self.remaining_ms() > 0

    def remaining_ms(self) -> int:
        """Return the time for which this process surely holds the lease."""
        return max(0, self.expires_at - self.clock.now())

    def active_address(self) -> str:
        """Return the address of the controller last seen as holder, or an empty string."""
        return self.record.address if self.record is not None and self.record.holder else ""

    def step(self) -> bool:
        """Renew, observe or take over the lease once; return whether it is held.

        Nobody takes over before the time that this holder counts has passed, so neither a lost
        answer nor a conflict shortens it; reading back tells what happened.
        """
        try:
            if not self.held() or self.uncertain:
                self._observe()
                self._settle()
            self._try_to_write()
        except (Conflict, StoreUnavailable):
            return self.held()
        return self.held()

    def release(self) -> None:
        """Give the lease back, so that another controller need not wait for the ttl."""
        if not self.held():
            return
        self._lose()
        empty = LeaseRecord("", "", self.fencing, 0, self.term, self._next_renewal())
        try:
            self.store.put(LEASE_KEY, encode_record(empty), self.version)
        except (Conflict, StoreUnavailable):
            return

    def _observe(self) -> None:
        """Read the object and note when its version was first seen."""
        self._see(self.store.get(LEASE_KEY))

    def _see(self, item: StoredObject | None) -> None:
        version = item.version if item else 0
        if version == self.version and self.record is not None:
            return
        self.version = version
        self.changed_at = self.clock.now()
        self.record = decode_record(item.value) if item else None

    def _settle(self) -> None:
        """Learn from the object read back whether a write without an answer took effect."""
        record = self.record
        if record is None or record.term != self.term or not record.holder:
            self._lose()
            return
        sent_at = self.uncertain.get(encode_record(record))
        if sent_at is not None:
            self._take_effect(record, sent_at)

    def _try_to_write(self) -> None:
        """Renew a held lease; take one that is free, or ours from an earlier time."""
        record = self.record
        if self.held():
            self._write(self.fencing)
        elif self._is_free() or (record is not None and record.term == self.term):
            self._write(max(self.fencing, record.fencing if record else 0) + 1)

    def _is_free(self) -> bool:
        record = self.record
        if record is None or not record.holder:
            return True
        return self.clock.now() - self.changed_at >= max(record.ttl_ms, 1)

    def _write(self, fencing: int) -> None:
        record = LeaseRecord(
            self.holder_id, self.address, fencing, self.ttl_ms, self.term, self._next_renewal()
        )
        value = encode_record(record)
        sent_at = self.clock.now()
        self.uncertain[value] = sent_at
        version = self.store.put(LEASE_KEY, value, self.version)
        self.version = version
        self.changed_at = self.clock.now()
        self.record = record
        self._take_effect(record, sent_at)

    def _take_effect(self, record: LeaseRecord, sent_at: int) -> None:
        self.uncertain.clear()
        if record.fencing != self.fencing or not self.acquired_at:
            self.acquired_at = self.clock.now()
        self.fencing = record.fencing
        self.expires_at = max(self.expires_at, sent_at + self.ttl_ms)

    def _lose(self) -> None:
        self.expires_at = 0
        self.uncertain.clear()

    def _next_renewal(self) -> int:
        self.renewal += 1
        return self.renewal

    def _run(self) -> None:
        while True:
            # A candidate reads less often, because every VM of a large fleet runs one.
            period = self.ttl_ms / RENEWALS_PER_TTL if self.step() else self.ttl_ms
            self.clock.sleep(period)
