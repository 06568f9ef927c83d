"""The scheduler of one shard: a fair queue in front of the slots of its targets."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

import structlog
from gevent.event import Event

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig
from jacinthcove.scheduling.accounts import Accounts
from jacinthcove.scheduling.fair import FairQueue, QueuedTicket
from jacinthcove.scheduling.placement import Shard
from jacinthcove.scheduling.ticket import Usage
from jacinthcove.targets.state import TargetState

log = structlog.get_logger()

# One slot in 8 of limits of 4 or more is for short tickets.
RESERVE_PART = 8
RESERVE_MIN_LIMIT = 4
# The reserve is kept this long after the last short ticket, then every slot serves any ticket:
# capacity must not stay idle where nobody sends short requests.
RESERVE_HOLD_MS = 2_000
# Limits and the fraction of visible routers change without an event.
WAKE_MS = 250
RETRY_MIN_MS = 200
RETRY_MAX_MS = 30_000


@dataclass
class Slot:
    """One use of a target's slot, from the grant until its end is known.

    It keeps the state that counts it, because a target that is lost and owned again gets a new one.
    """

    id: int
    ticket: QueuedTicket
    state: TargetState
    held: float
    granted_at: int
    heard_at: int
    valid_until: int
    usage: Usage = field(default_factory=lambda: Usage(0.0))
    accepted: bool = False


@dataclass(frozen=True)
class TargetStats:
    """The state of one target for metrics."""

    id: str
    usable: bool
    in_flight: int
    allowed: int
    limit: float


@dataclass(frozen=True)
class ShardStats:
    """The state of one shard for metrics; `levels` holds the backlogged workspaces."""

    shard: str
    queued: int
    free: int
    in_flight: int
    targets: tuple[TargetStats, ...]
    levels: tuple[tuple[str, float], ...]


class ShardScheduler:
    """Grants slots of the shard's targets to the workspace with the least level.

    `deliver` hands a granted slot to the entry router; it must not block. `slot_ids` yields ids
    that are unique over restarts of this router.
    """

    def __init__(
        self,
        shard: Shard,
        targets: Mapping[str, TargetState],
        accounts: Accounts,
        clock: Clock,
        config: Callable[[], FleetConfig],
        visible: Callable[[], float],
        deliver: Callable[["ShardScheduler", Slot], None],
        slot_ids: Iterator[int],
    ):
        self.shard = shard
        self.targets = targets
        self.accounts = accounts
        self.clock = clock
        self.config = config
        self.visible = visible
        self.deliver = deliver
        self.slot_ids = slot_ids
        self.service = shard.pool.service
        self.queue = FairQueue(lambda workspace: accounts.level(self.service, workspace))
        self.slots: dict[int, Slot] = {}
        self.closed = False
        self._waiting: set[str] = set()
        self._short_until = 0
        self._hold_ms = 0.0
        self._wake = Event()
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start the grant loop."""
        self._task.start()

    def close(self) -> list[QueuedTicket]:
        """Stop granting and return the queued tickets; slots in use stay until they end."""
        self.closed = True
        self._task.close()
        tickets = list(self.queue.tickets.values())
        for ticket in tickets:
            self.queue.remove(ticket.id)
        self._note_waiting()
        return tickets

    def wake(self) -> None:
        """Let the grant loop look again."""
        self._wake.set()

    def takes(self, ticket: QueuedTicket) -> bool:
        """Return whether some target of the shard may ever serve `ticket`."""
        return any(
            name not in ticket.avoid and state.target.accepts_requests
            for name, state in self._states()
        )

    def offer(self, ticket: QueuedTicket, bounded: bool = True, first: bool = False) -> None:
        """Queue `ticket` and grant it if a slot is free; raises `QueueFull`."""
        if any(slot.ticket.id == ticket.id for slot in self.slots.values() if not slot.accepted):
            return
        workspace = self.config().workspaces.get(ticket.workspace)
        bound = workspace.max_queued if workspace is not None and bounded else None
        if ticket.short:
            self._short_until = self.clock.now() + RESERVE_HOLD_MS
        self.queue.add(ticket, bound, first)
        self.pump(moved=not bounded)

    def cancel(self, ticket_id: str) -> bool:
        """Remove a queued ticket; return whether it was queued."""
        found = self.queue.remove(ticket_id) is not None
        if found:
            self._note_waiting()
        return found

    def take(self, count: int, max_level: float) -> list[QueuedTicket]:
        """Remove tickets for a shard that pulls them."""
        taken = self.queue.take(count, max_level)
        self._note_waiting()
        return taken

    def pump(self, moved: bool = False) -> None:
        """Grant while a slot is free and a ticket fits; `moved` says that a ticket was pulled."""
        if self.closed:
            return
        self.queue.expire(self.clock.now())
        while self.queue.tickets and self._grant_one():
            pass
        self._note_waiting(moved)

    def free_slots(self) -> int:
        """Return the number of slots that a long ticket could take now."""
        return sum(self._free(state, short=False) for _, state in self._states())

    def capacity(self) -> int:
        """Return the number of slots of usable targets."""
        return sum(self._allowed(state) for _, state in self._states() if state.usable)

    def on_usage(self, slot_id: int, usage: Usage) -> bool:
        """Charge the progress of a slot, free it at the end; return whether it was known."""
        slot = self.slots.get(slot_id)
        if slot is None:
            return False
        now = self.clock.now()
        slot.heard_at = now
        slot.accepted = True
        before = slot.usage
        ticket = slot.ticket
        # Reports can overtake each other; the cumulative values then say which one is newer.
        if usage.used > before.used:
            self.accounts.use(self.service, ticket.workspace, usage.used - before.used)
        if usage.used >= before.used or usage.ended:
            slot.usage = usage
            slot.state.on_usage(before, usage, ticket.route)
            self._hold(slot, 0.0 if usage.ended else max(0.0, ticket.estimate - usage.used))
        if usage.ended:
            self._hold_ms += 0.1 * (now - slot.granted_at - self._hold_ms)
            self.free(slot_id)
        return True

    def free(self, slot_id: int) -> Slot | None:
        """Free a slot; the caller knows that its request ended or never runs."""
        slot = self.slots.pop(slot_id, None)
        if slot is None:
            return None
        self._hold(slot, 0.0)
        slot.state.release(slot.ticket.short)
        self.wake()
        return slot

    def adopt(self, slot: Slot) -> None:
        """Count a request that runs on a slot this router had freed."""
        self.slots[slot.id] = slot
        slot.state.occupy(slot.ticket.short, self._allowed(slot.state))

    def retry_after_ms(self) -> int:
        """Return when a refused caller may find room again."""
        slots = max(1, self.capacity())
        wait = (self._hold_ms or 1_000) * len(self.queue) / slots
        return int(min(RETRY_MAX_MS, max(RETRY_MIN_MS, wait)))

    def stats(self) -> ShardStats:
        """Return the state for metrics."""
        targets = tuple(
            TargetStats(
                name, state.usable, state.in_flight, self._allowed(state), state.limit.value
            )
            for name, state in self._states()
        )
        return ShardStats(
            shard=self.shard.name,
            queued=len(self.queue),
            free=self.free_slots(),
            in_flight=len(self.slots),
            targets=targets,
            levels=tuple((name, self.queue.level(name)) for name in self.queue.workspaces()),
        )

    def _run(self) -> None:
        while not self.closed:
            self.clock.wait(self._wake, WAKE_MS)
            self._wake.clear()
            self.pump()

    def _states(self) -> Iterator[tuple[str, TargetState]]:
        for name in self.shard.targets:
            state = self.targets.get(name)
            if state is not None:
                yield name, state

    def _allowed(self, state: TargetState) -> int:
        return state.limit.allowed(self.visible())

    def _free(self, state: TargetState, short: bool) -> int:
        if not state.usable:
            return 0
        allowed = self._allowed(state)
        free = max(0, allowed - state.in_flight)
        if short or allowed < RESERVE_MIN_LIMIT or self.clock.now() >= self._short_until:
            return free
        reserved = max(1, allowed // RESERVE_PART)
        long_in_flight = state.in_flight - state.short_in_flight
        return min(free, max(0, allowed - reserved - long_in_flight))

    def _grant_one(self) -> bool:
        # Without a free slot no ticket is looked at, however long the queue is.
        room = {
            name: (self._free(state, short=False), self._free(state, short=True))
            for name, state in self._states()
        }
        if not any(short_room for _, short_room in room.values()):
            return False

        def choices(ticket: QueuedTicket) -> list[str]:
            return [
                name
                for name, free in room.items()
                if free[1 if ticket.short else 0] > 0 and name not in ticket.avoid
            ]

        ticket = self.queue.pick(lambda candidate: bool(choices(candidate)))
        if ticket is None:
            return False
        self.queue.remove(ticket.id)
        self._grant(ticket, *self._choose(ticket, choices(ticket)))
        return True

    def _choose(self, ticket: QueuedTicket, names: list[str]) -> tuple[TargetState, str]:
        states = [self.targets[name] for name in names]
        if ticket.prefix_key:
            cached = [
                state for state in states if state.affinity.probably_caches(ticket.prefix_key)
            ]
            if cached:
                return min(cached, key=self._load), "prefix"
        return min(states, key=self._load), "least loaded"

    def _load(self, state: TargetState) -> tuple[float, str]:
        return state.in_flight / max(1, self._allowed(state)), state.target.id

    def _grant(self, ticket: QueuedTicket, state: TargetState, reason: str) -> None:
        now = self.clock.now()
        self.accounts.note_grant(self.service, ticket.workspace)
        state.occupy(ticket.short, self._allowed(state))
        state.affinity.add_prefix(ticket.prefix_key)
        slot = Slot(
            id=next(self.slot_ids),
            ticket=ticket,
            state=state,
            held=self.accounts.hold(self.service, ticket.workspace, ticket.estimate),
            granted_at=now,
            heard_at=now,
            valid_until=now,
        )
        self.slots[slot.id] = slot
        log.info(
            "grant",
            request_id=ticket.id,
            workspace=ticket.workspace,
            target=state.target.id,
            shard=self.shard.name,
            reason=reason,
        )
        self.deliver(self, slot)

    def _hold(self, slot: Slot, units: float) -> None:
        workspace = slot.ticket.workspace
        self.accounts.unhold(self.service, workspace, slot.held)
        slot.held = self.accounts.hold(self.service, workspace, units) if units else 0.0

    def _note_waiting(self, moved: bool = False) -> None:
        waiting = set(self.queue.workspaces())
        for workspace in waiting - self._waiting:
            self.accounts.backlogged(self.service, workspace, moved)
        for workspace in self._waiting - waiting:
            self.accounts.relieved(self.service, workspace)
        self._waiting = waiting
