"""Known targets, and this router's view of the health, load and cache of each."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from operator import itemgetter

import structlog

from jacinthcove.clock import Clock
from jacinthcove.coldstart.coldtimes import ColdStatement, ColdTimes
from jacinthcove.coldstart.lastword import LastWord
from jacinthcove.coldstart.turnedcold import QUIET_MS
from jacinthcove.gateway.departed import DepartedTargets
from jacinthcove.gateway.drains import DrainedDomains
from jacinthcove.gateway.load import NO_DISTANCES, ReuseDistances, TargetLoad
from jacinthcove.gateway.statedlimits import StatedLimits
from jacinthcove.gateway.targetrecord import ListedTarget, TargetRecord, find_superseded, is_older
from jacinthcove.store.kinds import Gap

log = structlog.get_logger()

# A target whose entry expired during a store outage stays usable for this time. Targets register
# again within about two seconds of the store's return.
LAPSED_GRACE_MS = 1_700
# Backoff after a failed connection; it doubles with each consecutive failure up to the maximum.
UNREACHABLE_PAUSE_MS = 400
UNREACHABLE_MAX_PAUSE_MS = 2_000
# Backoff after a target rejected a request because it was full; it doubles with each consecutive
# rejection up to the maximum.
FULL_PAUSE_MS = 150
FULL_MAX_PAUSE_MS = 1_200
# Weight of one response in the moving average of a target's error rate.
ERROR_WEIGHT = 0.1
# Limits of the tables below; the oldest entries are removed first.
MAX_PARTS = 4_096
MAX_LEAVING = 4_096


@dataclass(eq=False)
class TargetState:
    """A target as this router sees it; equal only to itself.

    Times are in monotonic ms; `lapsed_at` is in boot clock ms and None while the entry exists.
    """

    record: TargetRecord
    revision: int
    load: TargetLoad
    cold_until: int = 0
    # No requests are sent before this time while it is cold, because it turned cold as it ran.
    quiet_until: int = 0
    lapsed_at: int | None = None
    unreachable_until: int = 0
    connect_failures: int = 0
    # The start before the known one; what is said about it is outdated. 0: none.
    previous_started_at: int = 0
    # The start that its entry names; the target or another router may have named a later one.
    entry_started_at: int = 0
    # No requests are sent before this time, because the target was full or asked for a pause.
    paused_until: int = 0
    # Consecutive requests that it rejected because it was full.
    rejected_count: int = 0
    error_rate: float = 0.0
    # Ids of shared prompt parts that the target has read, with the time of last use, oldest first.
    recent_parts: dict[str, int] = field(default_factory=dict)
    # The same for the parts in requests of this router only.
    sent_parts: dict[str, int] = field(default_factory=dict)
    # Incremented by each change of `recent_parts`.
    parts_version: int = 0
    reuse_distances: ReuseDistances = NO_DISTANCES

    @property
    def entry_record(self) -> TargetRecord:
        """Return the record with the start that the entry of the target names."""
        if self.entry_started_at == self.record.started_at:
            return self.record
        return replace(self.record, started_at=self.entry_started_at)

    def is_outdated(self, entry_start: int) -> bool:
        """Return whether an entry that names this start says nothing about the known one."""
        repeated = entry_start == self.entry_started_at != self.record.started_at
        return repeated or entry_start == self.previous_started_at != 0

    def forget_start(self) -> None:
        """Forget what belongs to a start of the target that has ended."""
        self.load = TargetLoad(self.load.clock)
        self.recent_parts.clear()
        self.sent_parts.clear()
        self.parts_version += 1
        self.error_rate = 0.0
        self.paused_until = self.unreachable_until = self.quiet_until = 0
        self.connect_failures = self.rejected_count = 0

    def record_parts(self, parts: Iterable[str], own: bool = False) -> None:
        """Record the parts that a request uses; `own` if this router sends the request."""
        now = self.load.clock.now()
        self.parts_version += 1
        for table in (self.recent_parts, self.sent_parts) if own else (self.recent_parts,):
            for part in parts:
                table.pop(part, None)
                table[part] = now
            while len(table) > MAX_PARTS:
                del table[next(iter(table))]

    def merge_parts(self, used_at: Mapping[str, int]) -> None:
        """Merge another router's parts with the times of their last use."""
        merged = dict(self.recent_parts)
        for part, time in used_at.items():
            merged[part] = max(time, merged.get(part, time))
        newest = sorted(merged.items(), key=itemgetter(1))[-MAX_PARTS:]
        self.recent_parts.clear()
        self.recent_parts.update(newest)
        self.parts_version += 1

    def parts_sent_since(self, time: int) -> list[str]:
        """Return the parts in requests that this router sent at `time` or later, newest first."""
        found = []
        for part in reversed(self.sent_parts):
            if self.sent_parts[part] < time:
                break
            found.append(part)
        return found

    def record_result(self, failed: bool) -> None:
        """Record the result of a request that the target executed."""
        self.rejected_count = 0
        self.error_rate += ERROR_WEIGHT * (float(failed) - self.error_rate)
        self.connect_failures = 0
        self.unreachable_until = 0

    def record_connect_failure(self, now: int) -> None:
        """Record a failed connection and pause the target, with exponential backoff."""
        pause = min(UNREACHABLE_PAUSE_MS << self.connect_failures, UNREACHABLE_MAX_PAUSE_MS)
        self.connect_failures = min(self.connect_failures + 1, 8)
        self.unreachable_until = now + pause

    def record_full(self, now: int, jitter: float) -> None:
        """Record a request rejected because the target was full, and pause the target.

        `jitter`, from [0, 1), keeps routers from returning at the same time.
        """
        pause = min(FULL_PAUSE_MS << self.rejected_count, FULL_MAX_PAUSE_MS)
        self.rejected_count = min(self.rejected_count + 1, 8)
        self.paused_until = max(self.paused_until, now + round(pause * (0.5 + jitter)))

    def record_address_reused(self, now: int) -> None:
        """Pause the target after another target answered at its address."""
        self.unreachable_until = now + UNREACHABLE_MAX_PAUSE_MS

    def pause_for(self, now: int, retry_after_ms: int) -> None:
        """Pause the target for `retry_after_ms`, as it asked this router to do."""
        self.paused_until = max(self.paused_until, now + retry_after_ms)
        log.info("target_refuses", target=self.record.id, retry_after_ms=retry_after_ms)


class TargetRegistry:
    """The targets of all services, updated from complete lists and single changes of the store."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.states: dict[str, TargetState] = {}
        self.by_service: dict[str, list[TargetState]] = {}
        self.drained = DrainedDomains(clock)
        # Ids of targets at whose address another target has started since.
        self.superseded: frozenset[str] = frozenset()
        # Start times, by id, of targets that announced in a response that they leave. The store may
        # report this late or never, and a removed entry can return, so the announcement is kept
        # when the state of the target is removed.
        self.leaving_starts: dict[str, int] = {}
        self.departed = DepartedTargets(clock)
        self.stated_limits = StatedLimits(clock)
        self.cold_times = ColdTimes(clock)
        self.last_word = LastWord(clock)

    def replace_all(self, entries: Iterable[ListedTarget], gap: Gap) -> None:
        """Replace all entries by a complete list.

        If it comes after a gap, missing targets get a grace period.
        """
        seen = set()
        for entry in self.departed.filter_list(entries, gap):
            seen.add(entry.record.id)
            self._put(entry.record, entry.revision)
        for target_id in self.states.keys() - seen:
            self._drop(self.states[target_id], gap is not Gap.NONE, "not listed")
        self._index()

    def put(self, record: TargetRecord, revision: int) -> None:
        """Add or update one entry."""
        self._put(record, revision)
        self._index()

    def _put(self, record: TargetRecord, revision: int) -> None:
        self.departed.forget(record.id)
        state = self.states.get(record.id)
        if state is not None and is_older(record, state.record):
            record = replace(record, leaving=True)
        same_start = state is not None and state.record.key == record.key
        entry_start, is_news = record.started_at, False
        if state is None or state.record.address != record.address:
            state = TargetState(record, revision, TargetLoad(self.clock))
            self.states[record.id] = state
            log.info("target_added", target=record.id, service=record.service, revision=revision)
        elif state.is_outdated(entry_start):
            record, entry_start = replace(state.record, cold_for_ms=0), state.entry_started_at
        elif state.record.started_at != record.started_at:
            log.info("target_restarted", target=record.id, revision=revision)
            state.previous_started_at = state.record.started_at
            state.forget_start()
        elif state.entry_started_at != entry_start:
            # From here on the entry says how long the target is cold, not the usual time.
            state.cold_until, is_news = 0, True
        if record.leaving and not state.record.leaving:
            log.info("target_leaving", target=record.id, revision=revision)
        self._forget_leaving(state.record, record)
        state.record, state.revision, state.lapsed_at = record, revision, None
        state.entry_started_at = entry_start
        if record.cold_for_ms > 0 or is_news:
            cold = ColdStatement(record.started_at, revision, record.cold_for_ms)
            self.cold_times.record(record.id, cold, record.cold_for_ms, "entry")
        self._update_cold_until(state, same_start and not is_news)

    def record_start(self, target_id: str, started_at: int, cold_ms: int) -> None:
        """Record that a target itself says that it has started again, at `started_at` (wall ms).

        It counts as cold for `cold_ms` from now on, as its entry does not say yet how long it is.
        """
        state = self.states.get(target_id)
        if state is None or state.record.started_at == started_at:
            return
        self.cold_times.record(target_id, ColdStatement(started_at, 0, cold_ms), cold_ms, "target")
        self._restart(state, started_at, "target")

    def record_cold_report(self, target_id: str, cold: ColdStatement, left_ms: int) -> None:
        """Record that another router knows a target to be cold for `left_ms`.

        A start that is later than the known one counts as a restart, but not one that has ended.
        """
        state = self.states.get(target_id)
        if state is None:
            self.cold_times.record_report(target_id, cold, left_ms)
            return
        if cold.started_at == state.previous_started_at != 0:
            return
        if cold.started_at < state.record.started_at:
            return
        self.cold_times.record_report(target_id, cold, left_ms)
        if cold.started_at > state.record.started_at:
            self._restart(state, cold.started_at, "report")
        else:
            self._update_cold_until(state, same_start=True)

    def _restart(self, state: TargetState, started_at: int, source: str) -> None:
        """Record a later start of a target than its entry names."""
        target_id = state.record.id
        log.info("target_said_restarted", target=target_id, started_at=started_at, source=source)
        state.forget_start()
        self.leaving_starts.pop(target_id, None)
        state.previous_started_at = state.record.started_at
        state.record = replace(state.record, started_at=started_at, leaving=False)
        self._update_cold_until(state, same_start=False)
        self._index()

    def _update_cold_until(self, state: TargetState, same_start: bool) -> None:
        """Apply what is known of a target's coldness; `same_start`: it ran before, maybe warm.

        A target that does not name its start may have started again.
        """
        record, now = state.record, self.clock.now()
        known_until = self.cold_times.until(record.id, record.started_at)
        turned_cold = same_start and record.started_at and state.cold_until <= now < known_until
        state.cold_until = max(state.cold_until, known_until)
        if turned_cold and not self.drained.was_drained(record.failure_domain):
            state.quiet_until = now + QUIET_MS
            log.info("target_turned_cold", target=record.id, cold_ms=known_until - now)

    def delete(self, target_id: str, store_was_away: bool) -> None:
        """Remove an entry; after a store outage the target gets a grace period."""
        self.departed.release(target_id)
        state = self.states.get(target_id)
        if state is not None:
            self._drop(state, store_was_away, "removed")
            self._index()

    def mark_leaving(self, target_id: str, started_at: int) -> None:
        """Record that a target announced that it leaves.

        This is final for the start of the target at `started_at`, but not for a later start.
        """
        if self.leaving_starts.get(target_id) == started_at:
            return
        state = self.states.get(target_id)
        if state is not None and state.record.started_at != started_at:
            return
        self.leaving_starts[target_id] = started_at
        if len(self.leaving_starts) > MAX_LEAVING:
            del self.leaving_starts[next(iter(self.leaving_starts))]
        log.info("target_said_leaving", target=target_id, started_at=started_at)

    def has_stated_limit(self, state: TargetState) -> bool:
        """Return whether a target states a limit on its requests at present."""
        record = state.record
        return self.stated_limits.per_s(record.id, record.started_at) is not None

    def _forget_leaving(self, before: TargetRecord, record: TargetRecord) -> None:
        """Remove the announcement of a target that has returned or started again."""
        started_at = self.leaving_starts.get(record.id)
        if started_at is None:
            return
        returned = before.leaving and not record.leaving
        if returned or record.started_at != started_at:
            del self.leaving_starts[record.id]

    def usable(self, service: str) -> list[TargetState]:
        """Return the targets of a service to which new requests may be sent."""
        now = self.clock.boot()
        return [
            item for item in self.by_service.get(service, ()) if self._accepts_requests(item, now)
        ]

    def _accepts_requests(self, state: TargetState, boot_now: int) -> bool:
        return (
            not state.record.leaving
            and state.record.id not in self.leaving_starts
            and state.record.id not in self.superseded
            and state.record.failure_domain not in self.drained
            and (state.lapsed_at is None or boot_now - state.lapsed_at < LAPSED_GRACE_MS)
        )

    def draining_targets(self, service: str) -> list[TargetState]:
        """Return the targets that get no new requests but can still hand cached parts to others.

        They are leaving or in a drained failure domain. Targets that have lapsed or cannot be
        reached are left out, because they have probably stopped.
        """
        now, boot_now = self.clock.now(), self.clock.boot()
        return [
            state
            for state in self.by_service.get(service, ())
            if state.lapsed_at is None
            and state.unreachable_until <= now
            and state.record.id not in self.superseded
            and not self._accepts_requests(state, boot_now)
        ]

    def may_send(self, state: TargetState) -> bool:
        """Return whether a request may still be sent to a target that was chosen earlier."""
        if state.paused_until > self.clock.now():
            return False
        return state in self.usable(state.record.service)

    def paused_for_ms(self, service: str) -> int:
        """Return the time until a usable target ends its pause, 0 if one is not paused."""
        now = self.clock.now()
        usable = self.usable(service)
        return max(0, min((state.paused_until for state in usable), default=now) - now)

    def expire(self) -> None:
        """Remove targets whose grace period is over, and use those that were held long enough."""
        now = self.clock.boot()
        ready = self.departed.take_ready()
        for entry in ready:
            self._put(entry.record, entry.revision)
        over = [
            target_id
            for target_id, state in self.states.items()
            if state.lapsed_at is not None and now - state.lapsed_at >= LAPSED_GRACE_MS
        ]
        for target_id in over:
            self._remove(target_id, "lapsed")
        if over or ready:
            self._index()

    def _drop(self, state: TargetState, store_was_away: bool, reason: str) -> None:
        """Remove a target without an entry, at once or after the grace period."""
        if store_was_away and not state.record.leaving:
            self._lapse(state)
        else:
            self._remove(state.record.id, reason)

    def _lapse(self, state: TargetState) -> None:
        if state.lapsed_at is None:
            state.lapsed_at = self.clock.boot()
            log.info("target_lapsed", target=state.record.id)

    def _remove(self, target_id: str, reason: str) -> None:
        state = self.states.pop(target_id)
        self.departed.record(ListedTarget(state.entry_record, state.revision))
        log.info("target_removed", target=target_id, reason=reason)

    def _index(self) -> None:
        index: dict[str, list[TargetState]] = {}
        for target_id in sorted(self.states):
            state = self.states[target_id]
            index.setdefault(state.record.service, []).append(state)
        self.by_service = index
        self.superseded = find_superseded([state.entry_record for state in self.states.values()])
