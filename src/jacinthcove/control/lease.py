"""The lease of the active controller: an object in the store, renewed by conditional writes."""

import secrets
from dataclasses import dataclass

import gevent
import orjson

from jacinthcove.clock import Clock
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.store import Store, StoredObject

LEASE_KEY = "leases/controller"
# With three renewals per ttl, the lease survives two lost ones.
RENEWALS_PER_TTL = 3


@dataclass(frozen=True)
class LeaseRecord:
    """The content of the lease object; an empty holder means that the lease was released.

    `term` is a random id of the holder's process. `renewal` makes each written value unique, so
    that a process recognizes its own write. `fencing` is the fencing token.
    """

    holder: str
    address: str
    fencing: int
    ttl_ms: int
    term: str
    renewal: int


def encode_record(record: LeaseRecord) -> bytes:
    """Encode a record as the JSON value of the lease object."""
    return orjson.dumps(record)


def decode_record(value: bytes) -> LeaseRecord:
    """Decode the JSON value of the lease object."""
    return LeaseRecord(**orjson.loads(value))


class Lease:
    """The lease as one controller sees it.

    Call `step` a few times per ttl, or `start` to do so in the background. The ttl counts from
    before the write was sent, by this process's monotonic clock.
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
        self.version_seen_at = clock.now()
        self.expires_at = 0
        self.acquired_at = 0
        self.fencing = 0
        self.renewal = 0
        # Written values without a known outcome, with the time at which each was sent.
        self.unconfirmed: dict[bytes, int] = {}
        self.task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to acquire and renew the lease in the background."""
        self.task = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop renewing and release the lease."""
        if self.task is not None:
            self.task.kill()
            self.task = None
        self.release()

    def held(self) -> bool:
        """Return whether this process holds the lease right now."""
        return self.remaining_ms() > 0

    def remaining_ms(self) -> int:
        """Return how long this process certainly still holds the lease."""
        return max(0, self.expires_at - self.clock.now())

    def active_address(self) -> str:
        """Return the address of the last known holder, or an empty string."""
        return self.record.address if self.record is not None and self.record.holder else ""

    def step(self) -> bool:
        """Renew, read or take over the lease once; return whether it is held.

        No other controller takes over before this holder's own expiry, so a lost reply or a
        conflict does not end the lease early. The next step reads the object to learn the outcome.
        """
        try:
            if not self.held() or self.unconfirmed:
                self._read()
                self._resolve_unconfirmed()
            self._renew_or_acquire()
        except (Conflict, StoreUnavailable):
            return self.held()
        return self.held()

    def release(self) -> None:
        """Release the lease, so that another controller need not wait for the ttl."""
        if not self.held():
            return
        self._drop()
        empty = LeaseRecord("", "", self.fencing, 0, self.term, self._next_renewal())
        try:
            self.store.put(LEASE_KEY, encode_record(empty), self.version)
        except (Conflict, StoreUnavailable):
            return

    def _read(self) -> None:
        """Read the lease object and record when its version was first seen."""
        self._record_seen(self.store.get(LEASE_KEY))

    def _record_seen(self, item: StoredObject | None) -> None:
        version = item.version if item else 0
        if version == self.version and self.record is not None:
            return
        self.version = version
        self.version_seen_at = self.clock.now()
        self.record = decode_record(item.value) if item else None

    def _resolve_unconfirmed(self) -> None:
        """Find out from the object that was read whether an unconfirmed write took effect."""
        record = self.record
        if record is None or record.term != self.term or not record.holder:
            self._drop()
            return
        sent_at = self.unconfirmed.get(encode_record(record))
        if sent_at is not None:
            self._apply_write(record, sent_at)

    def _renew_or_acquire(self) -> None:
        """Renew a held lease; acquire one that is free or was this process's own before."""
        record = self.record
        if self.held():
            self._write(self.fencing)
        elif self._is_free() or (record is not None and record.term == self.term):
            self._write(max(self.fencing, record.fencing if record else 0) + 1)

    def _is_free(self) -> bool:
        record = self.record
        if record is None or not record.holder:
            return True
        return self.clock.now() - self.version_seen_at >= max(record.ttl_ms, 1)

    def _write(self, fencing: int) -> None:
        record = LeaseRecord(
            self.holder_id, self.address, fencing, self.ttl_ms, self.term, self._next_renewal()
        )
        value = encode_record(record)
        sent_at = self.clock.now()
        self.unconfirmed[value] = sent_at
        version = self.store.put(LEASE_KEY, value, self.version)
        self.version = version
        self.version_seen_at = self.clock.now()
        self.record = record
        self._apply_write(record, sent_at)

    def _apply_write(self, record: LeaseRecord, sent_at: int) -> None:
        self.unconfirmed.clear()
        if record.fencing != self.fencing or not self.acquired_at:
            self.acquired_at = self.clock.now()
        self.fencing = record.fencing
        self.expires_at = max(self.expires_at, sent_at + self.ttl_ms)

    def _drop(self) -> None:
        self.expires_at = 0
        self.unconfirmed.clear()

    def _next_renewal(self) -> int:
        self.renewal += 1
        return self.renewal

    def _run(self) -> None:
        while True:
            # Candidates read less often, because in a large fleet every VM runs one.
            period_ms = self.ttl_ms / RENEWALS_PER_TTL if self.step() else self.ttl_ms
            self.clock.sleep(period_ms)
