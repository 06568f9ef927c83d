"""Membership of this router in the fleet: registration in the store, and the mesh."""

import random
from collections.abc import Callable
from typing import Any

import gevent
import structlog

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.coldstart.turnedcold import COLD_WINDOW_MS
from jacinthcove.errors import StoreUnavailable
from jacinthcove.gateway.digests import NoStoreNews, StoreNewsRelay
from jacinthcove.gateway.directory import Candidate
from jacinthcove.gateway.fleetquota import SETTLE_MS, FleetQuota
from jacinthcove.gateway.loadexchange import LoadExchange
from jacinthcove.gateway.loadreports import PERIOD_MS
from jacinthcove.gateway.partexchange import PartsExchange
from jacinthcove.gateway.rolloutdriver import RolloutDriver
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.mesh.links import PeerLinks
from jacinthcove.mesh.members import Membership
from jacinthcove.mesh.peers import Member, Members, MemberState, Peers
from jacinthcove.mesh.prober import Prober
from jacinthcove.mesh.status import StatusService
from jacinthcove.mesh.transport import open_listener
from jacinthcove.platform.followers import StoredRollouts
from jacinthcove.platform.names import SECRETS_KIND
from jacinthcove.platform.registration import Registration, mesh_address
from jacinthcove.platform.settings import PlatformSettings
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.router.versions import VersionManager
from jacinthcove.scheduling import rendezvous

log = structlog.get_logger()

RETRY_PAUSE_S = 0.5
JOIN_TIMEOUT_S = 1.0
# After an older copy of the store the routers write their registrations within this time, and this
# many of them the mesh key.
RESTORE_SPREAD_S = 1.0
KEY_WRITERS = 2
# A peer stream has heartbeats for this long after its last message. Probes open streams to all
# members in turn, so permanent heartbeats would be most of the mesh traffic.
WATCHED_STREAM_S = 3.0


class Fleet:
    """Finds the other routers and exchanges load reports, store changes and rollouts."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        store_client: PlatformStoreClient,
        registry: TargetRegistry,
        ledger: ShareLedger,
        rollouts: Rollouts,
        open_requests: Callable[[], int],
        accepts_callers: Callable[[], bool],
        is_late: Callable[[], bool],
        is_full: Callable[[], bool],
        configuration: Callable[[], int],
    ):
        self.settings = settings
        self.clock = clock
        self.store_client = store_client
        self.registry = registry
        self.ledger = ledger
        self.rollouts = rollouts
        self.open_requests = open_requests
        self.accepts_callers = accepts_callers
        self.is_late = is_late
        self.is_full = is_full
        self.configuration = configuration
        # While this is False, the router knows no other router.
        self.joined = False
        me = Member(
            settings.id, settings.mesh_listen, settings.caller_listen, settings.failure_domain
        )
        self.members = Membership(me, clock)
        self.registration = Registration(store_client, me)
        self.registered_ids: frozenset[str] = frozenset()
        self.fleet_quota = FleetQuota(clock, me.id)
        # Monotonic ms from which all routers count this one to divide fleet-wide limits. None until
        # it is registered.
        self.counted_from_ms: int | None = None
        # Called once when the other routers can be reached.
        self.listeners: list[Callable[[Members, Peers], None]] = []
        self.links: PeerLinks | None = None
        self.prober: Prober | None = None
        self.exchange: LoadExchange | None = None
        self.parts: PartsExchange | None = None
        self.news: StoreNewsRelay = NoStoreNews()
        self.versions: VersionManager | None = None
        self.driver: RolloutDriver | None = None
        self.task = BackgroundTask(self._join)
        self.restore_task = BackgroundTask(self._restore_registration)

    def start(self) -> None:
        """Join the mesh in the background; serving does not wait for it."""
        self.task.start()

    def leave(self) -> None:
        """Announce to the other routers that this one leaves."""
        if self.prober is not None:
            self.prober.leave()

    def restore_registration(self) -> None:
        """Write what an older copy of the store lacks about this router; returns at once."""
        if self.counted_from_ms is not None:
            self.restore_task.close()
            self.restore_task.start()

    def close(self) -> None:
        """Stop all exchange with other routers and close the mesh links."""
        self.task.close()
        self.restore_task.close()
        for component in (
            self.driver,
            self.versions,
            self.exchange,
            self.parts,
            self.prober,
            self.links,
        ):
            if component is not None:
                component.close()

    def tick(self) -> None:
        """Update which routers share the fleet-wide limits, unreachable ones included."""
        self.registry.expire()
        if self.counted_from_ms is not None and self.clock.now() >= self.counted_from_ms:
            self.fleet_quota.set_routers(
                self.registered_ids | self.members.table.keys() | {self.members.me.id}
            )

    def cross_domain_delay_ms(self) -> float:
        """Return how many ms older than same-domain reports those of other domains may be."""
        return (
            self.exchange.cross_domain_period_ms - PERIOD_MS if self.exchange is not None else 0.0
        )

    def candidates(self) -> list[Candidate]:
        """Return the routers to name in the directory; empty before this router has joined."""
        if self.exchange is None or not self.joined:
            return []
        excluded = self.exchange.callers.overloaded() | self.exchange.callers.not_accepting()
        if not self.accepts_callers():
            excluded |= {self.members.me.id}
        return [item for item in self.alive_routers() if item.router not in excluded]

    def helpers(self) -> list[Candidate]:
        """Return the routers that may serve requests of this one; empty before it has joined."""
        if self.exchange is None or not self.joined:
            return []
        with_room = self.exchange.callers.with_room(self.configuration())
        return [item for item in self.alive_routers() if item.router in with_room]

    def is_left_out(self) -> bool:
        """Return whether this router is overloaded while others have room for its callers."""
        return self.exchange is not None and self.exchange.callers.is_crowded()

    def alive_routers(self) -> list[Candidate]:
        """Return all routers in the state ALIVE, this one included."""
        loads = self.exchange.callers.open_requests() if self.exchange is not None else {}
        return [
            Candidate(member.id, member.caller_address, member.failure_domain, loads.get(member.id))
            for member in self.members.alive()
            if member.state is MemberState.ALIVE
        ]

    def _join(self) -> None:
        key = self._retry_until_available(self.registration.load_key)
        socket = open_listener(self.settings.mesh_listen)
        self.links = PeerLinks(
            self.members, socket, key.encode(), heartbeat_window_s=WATCHED_STREAM_S
        )
        self.news.serve(self.links)
        self.links.start()
        seeds = self._retry_until_available(self._register)
        self.prober = Prober(self.members, self.links, seeds)
        self.prober.start()
        self.exchange = LoadExchange(
            self.clock, self.members, self.links, self.registry, self.ledger, self.tick
        )
        self.exchange.reporter.open_requests = self.open_requests
        self.exchange.reporter.accepts_callers = self.accepts_callers
        self.exchange.reporter.is_late = self.is_late
        self.exchange.reporter.is_full = self.is_full
        self.exchange.reporter.configuration = self.configuration
        self.exchange.news = self.news
        self.parts = PartsExchange(self.clock, self.members, self.links, self.registry)
        self.exchange.on_report_received = self.parts.record_report_received
        self.exchange.start()
        self._start_rollouts(self.links)
        self.prober.join(JOIN_TIMEOUT_S)
        self.joined = True
        for listener in self.listeners:
            listener(self.members, self.links)
        log.info("mesh_joined", members=len(self.members.alive()), listed=len(self.registered_ids))

    def _start_rollouts(self, links: PeerLinks) -> None:
        self.versions = self.rollouts.join(self.members, links)
        self.versions.start()
        statuses = StatusService(self.members, links, self.rollouts.member_status)
        self.driver = RolloutDriver(
            self.clock,
            self.rollouts,
            StoredRollouts(self.store_client),
            lambda: statuses.gather().statuses,
            self._service_rank,
        )
        self.driver.start()

    def _service_rank(self, service: str) -> int:
        """Return this router's rank (0 first) to drive rollouts of a service; all routers agree."""
        ids = rendezvous.ranked(service, [member.id for member in self.members.alive()])
        me = self.members.me.id
        return ids.index(me) if me in ids else len(ids)

    def _retry_until_available(self, step: Any) -> Any:
        while True:
            try:
                return step()
            except StoreUnavailable as error:
                log.warning("mesh_join_delayed", reason=str(error))
                gevent.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.0))

    def _register(self) -> list[str]:
        """Register this router and return the mesh addresses of the others."""
        registered = self.registration.register()
        first_start = self.registration.may_be_first_start
        counted_after_ms = SETTLE_MS if first_start else COLD_WINDOW_MS
        self.counted_from_ms = self.clock.now() + counted_after_ms
        self.registered_ids = frozenset(item.name for item in registered)
        others = [item for item in registered if item.name != self.members.me.id]
        found = [address for item in others if (address := mesh_address(item))]
        seeds = list(dict.fromkeys([*self.settings.seeds, *found]))
        self.news.record_start(first_start, len({*seeds, self.members.me.mesh_address}))
        return seeds

    def _restore_registration(self) -> None:
        gevent.sleep(random.uniform(0, RESTORE_SPREAD_S))
        ids = rendezvous.ranked(SECRETS_KIND, [member.id for member in self.members.alive()])
        includes_key = self.members.me.id in ids[:KEY_WRITERS]
        self._retry_until_available(lambda: self.registration.restore(includes_key))
