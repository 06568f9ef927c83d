"""The other routers: registration in the store, the mesh, and the size of the fleet."""

import random
import secrets
from collections.abc import Callable
from typing import Any

import gevent
import structlog

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.gateway.coldlimit import WINDOW_MS
from jacinthcove.gateway.digests import KindNewsBoard, NoNews
from jacinthcove.gateway.directory import Candidate
from jacinthcove.gateway.fleetparts import SETTLE_MS, FleetParts
from jacinthcove.gateway.loadexchange import LoadExchange
from jacinthcove.gateway.loadreports import PERIOD_MS
from jacinthcove.gateway.partexchange import PartsExchange
from jacinthcove.gateway.rolloutdriver import RolloutDriver
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetBook
from jacinthcove.mesh.links import PeerLinks
from jacinthcove.mesh.members import Membership
from jacinthcove.mesh.peers import Member, Members, MemberState, Peers
from jacinthcove.mesh.prober import Prober
from jacinthcove.mesh.status import StatusService
from jacinthcove.mesh.transport import open_listener
from jacinthcove.platform.followers import StoredRollouts
from jacinthcove.platform.names import ROUTERS_KIND, SECRETS_KIND
from jacinthcove.platform.objects import PlatformObjects
from jacinthcove.platform.settings import PlatformSettings
from jacinthcove.router.versions import VersionControl
from jacinthcove.scheduling import rendezvous
from jacinthcove.store.kinds import KindObject

log = structlog.get_logger()

MESH_SECRET = "mesh"
RETRY_PAUSE_S = 0.5
JOIN_TIMEOUT_S = 1.0
# Probes open streams to all members in turn; heartbeats on each of them would be most of the mesh.
WATCHED_STREAM_S = 3.0


class Fleet:
    """Finds the other routers and keeps the load exchange with them."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        objects: PlatformObjects,
        book: TargetBook,
        ledger: ShareLedger,
        rollouts: Rollouts,
        open_requests: Callable[[], int],
        takes_callers: Callable[[], bool],
        is_late: Callable[[], bool],
    ):
        self.settings = settings
        self.clock = clock
        self.objects = objects
        self.book = book
        self.ledger = ledger
        self.rollouts = rollouts
        self.open_requests = open_requests
        self.takes_callers = takes_callers
        self.is_late = is_late
        # Until then this router knows of none but itself.
        self.joined = False
        me = Member(
            settings.id, settings.mesh_listen, settings.caller_listen, settings.failure_domain
        )
        self.members = Membership(me, clock)
        self.listed: frozenset[str] = frozenset()
        self.parts_of_limits = FleetParts(clock, me.id)
        # Monotonic ms from which the others count with this router, None before it is registered.
        self.counted_from: int | None = None
        # Whether this process may have been the first to register this router.
        self.may_be_new = False
        # Told once that the other routers can be reached.
        self.listeners: list[Callable[[Members, Peers], None]] = []
        self.links: PeerLinks | None = None
        self.prober: Prober | None = None
        self.exchange: LoadExchange | None = None
        self.parts: PartsExchange | None = None
        self.news: KindNewsBoard = NoNews()
        self.versions: VersionControl | None = None
        self.driver: RolloutDriver | None = None
        self.task = BackgroundTask(self._join)

    def start(self) -> None:
        """Join the other routers in the background; serving does not wait for it."""
        self.task.start()

    def leave(self) -> None:
        """Tell the others that this router leaves."""
        if self.prober is not None:
            self.prober.leave()

    def close(self) -> None:
        """Leave the mesh."""
        self.task.close()
        for part in (
            self.driver,
            self.versions,
            self.exchange,
            self.parts,
            self.prober,
            self.links,
        ):
            if part is not None:
                part.close()

    def tick(self) -> None:
        """Follow the routers that share the limits, those out of reach included."""
        self.book.expire()
        if self.counted_from is not None and self.clock.now() >= self.counted_from:
            self.parts_of_limits.note(
                self.listed | self.members.table.keys() | {self.members.me.id}
            )

    def far_age_ms(self) -> float:
        """Return how much older than usual reports from other failure domains may be."""
        return self.exchange.far_period_ms - PERIOD_MS if self.exchange is not None else 0.0

    def candidates(self) -> list[Candidate]:
        """Return the routers that callers should come to; none before the others are known."""
        if self.exchange is None or not self.joined:
            return []
        left_out = self.exchange.crowded() | self.exchange.away()
        if not self.takes_callers():
            left_out |= {self.members.me.id}
        return [item for item in self.everyone() if item.router not in left_out]

    def left_out(self) -> bool:
        """Return whether this router has more callers than it can carry and others have room."""
        return self.exchange is not None and self.exchange.is_crowded()

    def everyone(self) -> list[Candidate]:
        """Return the routers that are alive, this one included."""
        loads = self.exchange.open_requests() if self.exchange is not None else {}
        return [
            Candidate(member.id, member.caller_address, member.failure_domain, loads.get(member.id))
            for member in self.members.alive()
            if member.state is MemberState.ALIVE
        ]

    def _join(self) -> None:
        key = self._until_available(self._mesh_key)
        socket = open_listener(self.settings.mesh_listen)
        self.links = PeerLinks(
            self.members, socket, key.encode(), heartbeat_window_s=WATCHED_STREAM_S
        )
        self.links.start()
        seeds = self._until_available(self._register)
        self.prober = Prober(self.members, self.links, seeds)
        self.prober.start()
        self.exchange = LoadExchange(
            self.clock, self.members, self.links, self.book, self.ledger, self.tick
        )
        self.exchange.reporter.open_requests = self.open_requests
        self.exchange.reporter.takes_callers = self.takes_callers
        self.exchange.reporter.is_late = self.is_late
        self.exchange.news = self.news
        self.parts = PartsExchange(self.clock, self.members, self.links, self.book)
        self.exchange.on_heard = self.parts.note_heard
        self.exchange.start()
        self._start_rollouts(self.links)
        self.prober.join(JOIN_TIMEOUT_S)
        self.joined = True
        for listener in self.listeners:
            listener(self.members, self.links)
        log.info("mesh_joined", members=len(self.members.alive()), listed=len(self.listed))

    def _start_rollouts(self, links: PeerLinks) -> None:
        self.versions = self.rollouts.join(self.members, links)
        self.versions.start()
        statuses = StatusService(self.members, links, self.rollouts.member_status)
        self.driver = RolloutDriver(
            self.clock,
            self.rollouts,
            StoredRollouts(self.objects),
            lambda: statuses.gather().statuses,
            self._rank_for,
        )
        self.driver.start()

    def _rank_for(self, service: str) -> int:
        """Return this router's place among those that look after a service, the same for all."""
        ids = rendezvous.ranked(service, [member.id for member in self.members.alive()])
        me = self.members.me.id
        return ids.index(me) if me in ids else len(ids)

    def _until_available(self, step: Any) -> Any:
        while True:
            try:
                return step()
            except StoreUnavailable as error:
                log.warning("mesh_join_delayed", reason=str(error))
                gevent.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.0))

    def _mesh_key(self) -> str:
        """Return the key of the fleet, made by whichever router came first."""
        known = self.objects.ensure(SECRETS_KIND, MESH_SECRET, {"key": secrets.token_hex(16)})
        return str(known.spec["key"])

    def _register(self) -> list[str]:
        """Register this router and return the mesh addresses of the others."""
        me = self.members.me
        spec = {"mesh": me.mesh_address, "domain": me.failure_domain}
        mine = self._ensure_registered(spec)
        if mine.spec != spec:
            try:
                self.objects.replace(ROUTERS_KIND, me.id, spec, mine.revision)
            except Conflict:
                raise StoreUnavailable("another writer changed the registration") from None
        listing = self.objects.list_all(ROUTERS_KIND)
        known_after_ms = SETTLE_MS if self.may_be_new else WINDOW_MS
        self.counted_from = self.clock.now() + known_after_ms
        self.listed = frozenset(item.name for item in listing.objects)
        found = [str(item.spec["mesh"]) for item in listing.objects if item.name != me.id]
        return list(dict.fromkeys([*self.settings.seeds, *found]))

    def _ensure_registered(self, spec: dict[str, str]) -> KindObject:
        try:
            mine = self.objects.ensure(ROUTERS_KIND, self.members.me.id, spec)
        except StoreUnavailable:
            self.may_be_new = True
            raise
        self.may_be_new = self.may_be_new or not mine.revision
        return mine
