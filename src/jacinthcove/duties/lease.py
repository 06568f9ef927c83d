"""The lease that decides which router performs the duties.

Load: one object in the store, renewed three times per TTL by the holder. The other candidates learn
of renewals from the holder's notices and call the store only when these stop. Each failure that
leaves the holder in doubt (a lost answer, a frozen or suspended VM, a store that is away or rejects
this router) ends its grant by its own boot clock, before any other router may acquire the lease.
"""

import secrets
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, Protocol

import structlog

from jacinthcove.clock import Clock
from jacinthcove.errors import Conflict, StoreUnavailable

log = structlog.get_logger()

# With three renewals per TTL, the lease survives two lost ones.
RENEWALS_PER_TTL = 3
# The holder stops acting this fraction of the TTL early, and observers wait this fraction longer,
# which covers a call on its way to the platform and clocks of different speed. Each later candidate
# waits one more such fraction, so that their writes seldom conflict.
MARGIN_FRACTION = 0.1
# An observer that hears of no renewal reads the store after this fraction of the TTL.
SILENCE_FRACTION = 0.5
# A router that the platform does not answer leaves the lease to others for this many TTLs.
RESIGNED_TTLS = 5
# The era is in the bits above these; a token is an exact number in JSON.
NUMBER_BITS = 32
MAX_TOKEN = 2**53 - 1


@dataclass(frozen=True)
class Grant:
    """The permission to perform duties until `expires_at` (boot ms)."""

    holder: str
    token: int
    expires_at: int


class Grants(Protocol):
    """Says whether this router performs the duties now."""

    def grant(self) -> Grant | None:
        """Return the current grant, or None while this router must not act."""


@dataclass(frozen=True)
class LeaseRecord:
    """The content of the lease object.

    `term` is a random id of the holder's process. `renewal` makes each written value unique, so
    that a process recognizes its own write.
    """

    holder: str
    token: int
    ttl_ms: int
    term: str
    renewal: int


@dataclass(frozen=True)
class StoredValue:
    """A value read from the store, with its era; revision 0 and no value if it does not exist."""

    era: int
    revision: int
    value: Any


class DutyStore(Protocol):
    """One object in a store with conditional writes; all calls raise `StoreUnavailable`.

    It says that the outcome of a write is unknown, also if the era changed during the call.
    """

    def era(self) -> int:
        """Return the era of the last response, without a call."""

    def read(self) -> StoredValue:
        """Return the object."""

    def write(self, value: Any, replaced: StoredValue) -> int:
        """Replace a version of the object, revision 0 to create it; raises `Conflict`.

        Returns the new revision, 0 if the store did not confirm it; then it has to be read.
        """


def decode_record(value: Any) -> LeaseRecord | None:
    """Return a stored record, or None if there is none or it is malformed."""
    try:
        return LeaseRecord(
            holder=str(value["holder"]),
            token=int(value["token"]),
            ttl_ms=int(value["ttl_ms"]),
            term=str(value["term"]),
            renewal=int(value["renewal"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


class DutyLease:
    """The lease as one router sees it; `step` is called three times per TTL.

    Unlike the lease of the controllers (`control/lease.py`) it counts by the boot clock, is never
    released early, and any record, also a missing one, is waited out for a whole TTL: an older copy
    of the store may lack the record of a holder that still acts.
    """

    def __init__(
        self,
        store: DutyStore,
        clock: Clock,
        holder: str,
        ttl_ms: int,
        rank: Callable[[], int | None],
        notify: Callable[[StoredValue], None] = lambda seen: None,
    ):
        self.store = store
        self.clock = clock
        self.holder = holder
        self.ttl_ms = ttl_ms
        # This router's place among the candidates, 0 first; None if it is none of them.
        self.rank = rank
        # Tells the other candidates of a version of the record.
        self.notify = notify
        self.term = secrets.token_hex(8)
        self.seen: StoredValue | None = None
        # Boot ms from which this process knew of the seen version, and last heard that it is valid.
        self.seen_at = 0
        self.heard_at = 0
        self.read_at = 0
        self.era = 0
        self.expires_at = 0
        self.token = 0
        self.renewal = 0
        # Written records without a known outcome, with the boot ms at which each was sent.
        self.unconfirmed: dict[LeaseRecord, int] = {}
        # Whether the lease was held at the last step.
        self.acting = False
        self.stopped = False
        self.resigned_until = 0

    def grant(self) -> Grant | None:
        """Return the grant, or None once less than the safety margin is left."""
        ends_at = self.expires_at - round(self.ttl_ms * MARGIN_FRACTION)
        if self.stopped or self.clock.boot() >= ends_at or self.store.era() != self.era:
            return None
        return Grant(self.holder, self.token, ends_at)

    def stop(self) -> None:
        """Stop acting for good; the lease is not released, so others wait for its end."""
        self.stopped = True

    def resign(self) -> None:
        """Let the lease run out and leave it to others for a while."""
        now = self.clock.boot()
        if now >= self.resigned_until:
            log.warning("duty_lease_resigned", token=self.token)
            self.resigned_until = now + RESIGNED_TTLS * self.ttl_ms

    def period_ms(self) -> int:
        """Return the time between two calls of `step`."""
        return max(1, self.ttl_ms // RENEWALS_PER_TTL)

    def step(self) -> None:
        """Renew, read or acquire the lease, as far as this router is a candidate."""
        rank = self.rank()
        resigned = self.clock.boot() < self.resigned_until
        if rank is not None and not self.stopped and not resigned:
            self._step(rank)
        if self.acting and not self._held():
            self.acting = False
            log.warning("duty_lease_lost", token=self.token)

    def _step(self, rank: int) -> None:
        try:
            if self.store.era() != self.era:
                self._drop("the store came back from an older copy")
            if not self._held() or self.unconfirmed:
                if not self._held() and not self._needs_read(rank):
                    return
                self._read()
            self._renew_or_acquire(rank)
        except Conflict:
            # The version is not the seen one, so the next step has to read it.
            self.seen = None
        except StoreUnavailable as error:
            log.info("duty_lease_unconfirmed", reason=str(error))

    def on_notice(self, seen: StoredValue) -> None:
        """Take over from another router which version of the record it has written."""
        if self.seen is None or self._held():
            return
        newer = seen.era == self.era == self.seen.era and seen.revision > self.seen.revision
        if newer:
            self._see(seen)
        if newer or (seen.era, seen.revision) == (self.seen.era, self.seen.revision):
            self.heard_at = self.clock.boot()

    def _held(self) -> bool:
        return self.clock.boot() < self.expires_at

    def _needs_read(self, rank: int) -> bool:
        """Return whether a router that does not hold the lease should read it now."""
        if self.seen is None or self.unconfirmed:
            return True
        now = self.clock.boot()
        if now - self.heard_at < self.ttl_ms * SILENCE_FRACTION:
            return False
        # Only the first candidate that hears nothing reads in each step.
        return rank <= 1 or now - self.read_at >= self.ttl_ms

    def _read(self) -> None:
        seen = self.store.read()
        self.read_at = self.clock.boot()
        if seen.era != self.era:
            self._drop("the store came back from an older copy")
            self.era = seen.era
        known = self.seen
        if known is None or (known.era, known.revision) != (seen.era, seen.revision):
            self._see(seen)
        self._resolve_unconfirmed()

    def _see(self, seen: StoredValue) -> None:
        self.seen = seen
        self.seen_at = self.clock.boot()

    def _resolve_unconfirmed(self) -> None:
        """Find out from the object that was read whether an unconfirmed write took effect."""
        record = self._record()
        if record is None or record.term != self.term:
            self.unconfirmed.clear()
            if self._held():
                self._drop("another router holds it")
            return
        sent_at = self.unconfirmed.get(record)
        if sent_at is not None:
            self._confirm(record, sent_at)

    def _record(self) -> LeaseRecord | None:
        return decode_record(self.seen.value) if self.seen is not None else None

    def _renew_or_acquire(self, rank: int) -> None:
        seen = self.seen
        if seen is None:
            return
        if self._held():
            self._write(seen, self.token)
            return
        record = self._record()
        ttl_ms = max(self.ttl_ms, record.ttl_ms if record else 0)
        wait_ms = ttl_ms * (1 + MARGIN_FRACTION * (1 + rank))
        if self.clock.boot() - self.seen_at >= wait_ms:
            self._write(seen, self._next_token(seen, record))

    def _next_token(self, seen: StoredValue, record: LeaseRecord | None) -> int:
        """Return a token for the replacement of a version.

        The revisions of an era only rise and each version is replaced once, so no other router gets
        the same token, even if a late write has brought back the record of an earlier era.
        """
        token = (seen.era << NUMBER_BITS) + seen.revision + 1
        if record is not None:
            token = max(token, record.token + 1)
        token = max(token, self.token + 1)
        if seen.revision + 1 >= 1 << NUMBER_BITS or token > MAX_TOKEN:
            raise StoreUnavailable(f"no fencing token after era {seen.era}, {seen.revision}")
        return token

    def _write(self, seen: StoredValue, token: int) -> None:
        self.renewal += 1
        record = LeaseRecord(self.holder, token, self.ttl_ms, self.term, self.renewal)
        sent_at = self.clock.boot()
        self.unconfirmed[record] = sent_at
        value = asdict(record)
        revision = self.store.write(value, seen)
        if not revision:
            self._read()
            return
        self._see(StoredValue(seen.era, revision, value))
        self._confirm(record, sent_at)

    def _confirm(self, record: LeaseRecord, sent_at: int) -> None:
        """Count a write that took effect, from before it was sent."""
        self.unconfirmed.clear()
        acquired = record.token != self.token
        self.token = record.token
        self.expires_at = max(self.expires_at, sent_at + record.ttl_ms)
        if not self._held():
            return
        if acquired or not self.acting:
            log.info("duty_lease_acquired", token=self.token, era=self.era)
        self.acting = True
        if self.seen is not None:
            self.notify(self.seen)

    def _drop(self, reason: str) -> None:
        if self._held():
            log.info("duty_lease_dropped", token=self.token, reason=reason)
        self.expires_at = 0
        self.unconfirmed.clear()
        self.seen = None
