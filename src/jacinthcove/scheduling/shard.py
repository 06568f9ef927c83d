"""The scheduler of one shard: grants slots of its targets to tickets of its fair queue."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

import structlog
from gevent.event import Event

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig
from jacinthcove.scheduling.accounts import Accounts
from jacinthcove.scheduling.fairqueue import FairQueue, QueuedTicket
from jacinthcove.scheduling.placement import Shard
from jacinthcove.scheduling.ticket import Usage
from jacinthcove.targets.state import TargetState

log = structlog.get_logger()

# One slot in 8 is reserved for short tickets, at targets that allow at least 4 slots.
SLOTS_PER_RESERVED_SLOT = 8
RESERVE_MIN_SLOTS = 4
# The reserve ends this long after the last short ticket, so that capacity does not stay idle
# when no workspace sends short requests.
RESERVE_HOLD_MS = 2_000
# The grant loop also runs without an event, because limits and the fraction of visible routers
# change without one.
GRANT_LOOP_MS = 250
RETRY_MIN_MS = 200
RETRY_MAX_MS = 30_000


@dataclass
class Slot:
    """A slot of a target in use, from the grant until the end of the request is known.

    `state` is the target state that counts the slot; a target that is owned again later gets a new
    one. `reserved` is the amount reserved in the workspace's account. Times are in
    monotonic ms: `valid_until` is when the grant expires, and `last_contact_at` is when a usage
    report or a reply of the entry router last arrived.
    """

    id: int
    ticket: QueuedTicket
    state: TargetState
    reserved: float
    granted_at: int
    last_contact_at: int
    valid_until: int
    usage: Usage = field(default_factory=lambda: Usage(0.0))
    accepted: bool = False


@dataclass(frozen=True)
class TargetStats:
    """The state of one target, for metrics and the status API."""

    id: str
    usable: bool
    in_flight: int
    allowed: int
    limit: float


@dataclass(frozen=True)
class ShardStats:
    """The state of one shard, for metrics and the status API.

    `levels` contains the backlogged workspaces with their levels.
    """

    shard: str
    queued: int
    free: int
    in_flight: int
    targets: tuple[TargetStats, ...]
    levels: tuple[tuple[str, float], ...]


class ShardScheduler:
    """Grants slots of the shard's targets to the workspace with the lowest level.

    `deliver_grant` sends a grant to its entry router and must not block. `slot_ids` yields ids
    that stay unique when this router restarts.
    """

    def __init__(
        self,
        shard: Shard,
        targets: Mapping[str, TargetState],
        accounts: Accounts,
        clock: Clock,
        config: Callable[[], FleetConfig],
        visible_fraction: Callable[[], float],
        deliver_grant: Callable[["ShardScheduler", Slot], None],
        slot_ids: Iterator[int],
    ):
        self.shard = shard
        self.targets = targets
        self.accounts = accounts
        self.clock = clock
        self.config = config
        self.visible_fraction = visible_fraction
        self.deliver_grant = deliver_grant
        self.slot_ids = slot_ids
        self.service = shard.pool.service
        self.queue = FairQueue(lambda workspace: accounts.level(self.service, workspace))
        self.slots: dict[int, Slot] = {}
        self.closed = False
        self._backlogged: set[str] = set()
        self._reserve_until = 0
        self._mean_slot_ms = 0.0
        self._wake = Event()
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start the grant loop."""
        self._task.start()

    def close(self) -> list[QueuedTicket]:
        """Stop granting and return the queued tickets; slots in use are kept."""
        self.closed = True
        self._task.close()
        tickets = list(self.queue.tickets.values())
        for ticket in tickets:
            self.queue.remove(ticket.id)
        self._update_backlogged()
        return tickets

    def wake(self) -> None:
        """Run the grant loop now."""
        self._wake.set()

    def can_serve(self, ticket: QueuedTicket) -> bool:
        """Return whether any target of the shard may serve `ticket`, now or later."""
        return any(
            name not in ticket.avoid and state.target.accepts_requests
            for name, state in self._target_states()
        )

    def offer(self, ticket: QueuedTicket, bounded: bool = True, at_front: bool = False) -> None:
        """Queue `ticket` and grant free slots.

        With `bounded`, raises `QueueFull` at the workspace's limit. Tickets that were queued
        before, here or at another shard, are offered without it.
        """
        if any(slot.ticket.id == ticket.id for slot in self.slots.values() if not slot.accepted):
            return
        workspace = self.config().workspaces.get(ticket.workspace)
        max_queued = workspace.max_queued if workspace is not None and bounded else None
        if ticket.short:
            self._reserve_until = self.clock.now() + RESERVE_HOLD_MS
        self.queue.add(ticket, max_queued, at_front)
        self.grant_free_slots(moved=not bounded)

    def cancel(self, ticket_id: str) -> bool:
        """Remove a queued ticket; return whether it was queued."""
        found = self.queue.remove(ticket_id) is not None
        if found:
            self._update_backlogged()
        return found

    def take_tickets(self, count: int, max_level: float) -> list[QueuedTicket]:
        """Remove and return tickets for a shard that pulls them."""
        taken = self.queue.take_tickets(count, max_level)
        self._update_backlogged()
        return taken

    def grant_free_slots(self, moved: bool = False) -> None:
        """Grant free slots to queued tickets; `moved` says that a ticket was pulled."""
        if self.closed:
            return
        self.queue.remove_expired(self.clock.now())
        while self.queue.tickets and self._grant_one():
            pass
        self._update_backlogged(moved)

    def free_slots(self) -> int:
        """Return the number of free slots that are not reserved for short tickets."""
        return sum(self._free_slots_of(state, short=False) for _, state in self._target_states())

    def capacity(self) -> int:
        """Return the number of slots, free or in use, of usable targets."""
        return sum(self._allowed(state) for _, state in self._target_states() if state.usable)

    def on_usage(self, slot_id: int, usage: Usage) -> bool:
        """Charge new usage of a slot and free it at the end; return whether the slot is known."""
        slot = self.slots.get(slot_id)
        if slot is None:
            return False
        now = self.clock.now()
        slot.last_contact_at = now
        slot.accepted = True
        before = slot.usage
        ticket = slot.ticket
        # Reports can arrive out of order. Usage is cumulative, so the higher value is newer.
        if usage.used > before.used:
            self.accounts.charge(self.service, ticket.workspace, usage.used - before.used)
        if usage.used >= before.used or usage.ended:
            slot.usage = usage
            slot.state.on_usage(before, usage, ticket.route)
            self._set_reservation(
                slot, 0.0 if usage.ended else max(0.0, ticket.estimate - usage.used)
            )
        if usage.ended:
            self._mean_slot_ms += 0.1 * (now - slot.granted_at - self._mean_slot_ms)
            self.free(slot_id)
        return True

    def free(self, slot_id: int) -> Slot | None:
        """Free a slot whose request has ended or will not run; return None if it is unknown."""
        slot = self.slots.pop(slot_id, None)
        if slot is None:
            return None
        self._set_reservation(slot, 0.0)
        slot.state.release(slot.ticket.short)
        self.wake()
        return slot

    def adopt(self, slot: Slot) -> None:
        """Count a slot again that was freed while its request still runs."""
        self.slots[slot.id] = slot
        slot.state.occupy(slot.ticket.short, self._allowed(slot.state))

    def retry_after_ms(self) -> int:
        """Return the expected time until the current queue is served, in ms."""
        slots = max(1, self.capacity())
        wait = (self._mean_slot_ms or 1_000) * len(self.queue) / slots
        return int(min(RETRY_MAX_MS, max(RETRY_MIN_MS, wait)))

    def stats(self) -> ShardStats:
        """Return the state of the shard, for metrics and the status API."""
        targets = tuple(
            TargetStats(
                name, state.usable, state.in_flight, self._allowed(state), state.limit.value
            )
            for name, state in self._target_states()
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
            self.clock.wait(self._wake, GRANT_LOOP_MS)
            self._wake.clear()
            self.grant_free_slots()

    def _target_states(self) -> Iterator[tuple[str, TargetState]]:
        for name in self.shard.targets:
            state = self.targets.get(name)
            if state is not None:
                yield name, state

    def _allowed(self, state: TargetState) -> int:
        return state.limit.allowed(self.visible_fraction())

    def _free_slots_of(self, state: TargetState, short: bool) -> int:
        if not state.usable:
            return 0
        allowed = self._allowed(state)
        free = max(0, allowed - state.in_flight)
        if short or allowed < RESERVE_MIN_SLOTS or self.clock.now() >= self._reserve_until:
            return free
        reserved = max(1, allowed // SLOTS_PER_RESERVED_SLOT)
        long_in_flight = state.in_flight - state.short_in_flight
        return min(free, max(0, allowed - reserved - long_in_flight))

    def _grant_one(self) -> bool:
        # Without a free slot return before the queue is searched, however long it is.
        free_slots = {
            name: (self._free_slots_of(state, short=False), self._free_slots_of(state, short=True))
            for name, state in self._target_states()
        }
        if not any(short_free for _, short_free in free_slots.values()):
            return False

        def choices(ticket: QueuedTicket) -> list[str]:
            return [
                name
                for name, free in free_slots.items()
                if free[1 if ticket.short else 0] > 0 and name not in ticket.avoid
            ]

        ticket = self.queue.first_fitting(lambda candidate: bool(choices(candidate)))
        if ticket is None:
            return False
        self.queue.remove(ticket.id)
        self._grant(ticket, *self._choose_target(ticket, choices(ticket)))
        return True

    def _choose_target(self, ticket: QueuedTicket, names: list[str]) -> tuple[TargetState, str]:
        states = [self.targets[name] for name in names]
        if ticket.prefix_key:
            cached = [
                state for state in states if state.affinity.probably_caches(ticket.prefix_key)
            ]
            if cached:
                return min(cached, key=self._load_key), "prefix"
        return min(states, key=self._load_key), "least loaded"

    def _load_key(self, state: TargetState) -> tuple[float, str]:
        return state.in_flight / max(1, self._allowed(state)), state.target.id

    def _grant(self, ticket: QueuedTicket, state: TargetState, reason: str) -> None:
        now = self.clock.now()
        self.accounts.advance_virtual_time(self.service, ticket.workspace)
        state.occupy(ticket.short, self._allowed(state))
        state.affinity.add_prefix(ticket.prefix_key)
        slot = Slot(
            id=next(self.slot_ids),
            ticket=ticket,
            state=state,
            reserved=self.accounts.reserve(self.service, ticket.workspace, ticket.estimate),
            granted_at=now,
            last_contact_at=now,
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
        self.deliver_grant(self, slot)

    def _set_reservation(self, slot: Slot, units: float) -> None:
        workspace = slot.ticket.workspace
        self.accounts.release_reservation(self.service, workspace, slot.reserved)
        slot.reserved = self.accounts.reserve(self.service, workspace, units) if units else 0.0

    def _update_backlogged(self, moved: bool = False) -> None:
        backlogged = set(self.queue.workspaces())
        for workspace in backlogged - self._backlogged:
            self.accounts.add_backlogged_shard(self.service, workspace, moved)
        for workspace in self._backlogged - backlogged:
            self.accounts.remove_backlogged_shard(self.service, workspace)
        self._backlogged = backlogged
