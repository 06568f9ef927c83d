"""The router daemon: builds its components, and starts and stops them."""

import random
from base64 import b64encode
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Protocol

import gevent
import structlog
from gevent.event import Event

from jacinthcove.clock import Clock, SystemClock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import FleetConfig
from jacinthcove.config.settings import RouterSettings
from jacinthcove.delivery.claims import Claims
from jacinthcove.delivery.retry import Retries
from jacinthcove.errors import RequestRefused
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.documents import CONFIG, VMS, Document
from jacinthcove.mesh.gossip import GossipedDocuments
from jacinthcove.mesh.links import PeerLinks
from jacinthcove.mesh.members import Membership
from jacinthcove.mesh.peers import Member, Members, MemberState, Peers
from jacinthcove.mesh.platformwatcher import (
    CONFIG_KEY,
    PlatformWatcher,
    config_document,
    follow_vm_list,
    vms_document,
)
from jacinthcove.mesh.prober import Prober
from jacinthcove.mesh.status import StatusService
from jacinthcove.mesh.transport import open_listener
from jacinthcove.observe.metrics import Metrics
from jacinthcove.router.api import CallerApi
from jacinthcove.router.appliedstate import AppliedState
from jacinthcove.router.idempotency import KeyedRequests
from jacinthcove.router.lookup import Lookup
from jacinthcove.router.request import CallerRequest, RequestLimits
from jacinthcove.router.response import CallerResponse, EventStream
from jacinthcove.router.resume import StreamResumer
from jacinthcove.router.runner import RequestRunner
from jacinthcove.router.versions import VersionManager
from jacinthcove.scheduling.dispatch import MeshDispatch
from jacinthcove.scheduling.estimate import CostEstimator
from jacinthcove.scheduling.placement import Placement
from jacinthcove.scheduling.shard import ShardStats
from jacinthcove.scheduling.ticket import Dispatch
from jacinthcove.store.client import HttpStore
from jacinthcove.targets.table import TargetTable

log = structlog.get_logger()

JOIN_TIMEOUT_S = 5.0
# Requests that callers sent before they learned that the router leaves arrive within this time.
IDLE_BEFORE_CLOSE_MS = 500
CLAIMS_CLOSE_MS = 5_000
DRAIN_POLL_S = 0.05
RETRY_ELSEWHERE_MS = 0


class RunningDispatch(Dispatch, Protocol):
    """The lifecycle and status operations of a dispatch, besides those of `Dispatch`."""

    placement: Placement

    def start(self) -> None:
        """Start the background work."""

    def close(self) -> None:
        """Stop the background work."""

    def drain(self) -> None:
        """Grant no more slots; requests in flight keep running."""

    def stats(self) -> tuple[ShardStats, ...]:
        """Return the state of the shards that this router owns."""


# Arguments: the clock, the members, the peers, a getter of the active configuration and the target
# table.
DispatchFactory = Callable[
    [Clock, Members, Peers, Callable[[], FleetConfig], TargetTable], RunningDispatch
]


class Router:
    """One router daemon; `dispatch` creates the dispatch that assigns targets to requests."""

    def __init__(self, settings: RouterSettings, dispatch: DispatchFactory = MeshDispatch):
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.state = AppliedState()
        self.stopping = False
        self.serving = Event()
        self.store = HttpStore(settings.store, settings.store_timeout_ms)
        me = Member(
            settings.id, settings.mesh_listen, settings.caller_listen, settings.failure_domain
        )
        self.members = Membership(me, self.clock)
        self.links = PeerLinks(
            self.members, open_listener(settings.mesh_listen), settings.fleet_key.encode()
        )
        self.documents = GossipedDocuments(self.members, self.links)
        self.prober = Prober(self.members, self.links, settings.seeds, self.documents)
        self.watch = PlatformWatcher(self.members, self.documents, self.store, self.store.fetch_vms)
        self.table = TargetTable()
        self.dispatch = dispatch(self.clock, self.members, self.links, self.config, self.table)
        self.versions = VersionManager(
            self.clock, self.config, self.members, self.links, self.target_count
        )
        self.status_service = StatusService(self.members, self.links, self.member_status)
        self.claims = Claims(self.store, self.clock, settings.id)
        self.keyed = KeyedRequests(self.claims)
        self.runner = RequestRunner(
            self.clock,
            self.dispatch,
            self.versions,
            CostEstimator(),
            self.versions,
            self.fleet_key,
            Retries(self.clock),
        )
        self.resumer = StreamResumer(self.clock, self.fleet_key)
        lookup = Lookup(self.members, self.config, self.owners_of, random.Random())
        self.api = CallerApi(
            self.clock,
            self.state,
            lookup,
            self,
            self.metrics,
            settings.caller_listen,
            RequestLimits(settings.max_deadline_ms, settings.max_body_bytes),
            settings.max_requests,
        )
        self.api.gate.add_gauges(self.metrics)

    def config(self) -> FleetConfig:
        """Return the active configuration of this router."""
        return self.state.config

    def fleet_key(self) -> str:
        """Return the key that signs resume tokens."""
        return self.settings.fleet_key or self.state.config.fleet_key

    def start(self) -> None:
        """Join the fleet, load the configuration and the target list, and serve callers."""
        self.links.start()
        self.prober.join(JOIN_TIMEOUT_S)
        self.prober.start()
        self.watch.start()
        self.state.config_listeners.append(self.table.update_config)
        self.state.vms_listeners.append(self.table.update_vms)
        follow_vm_list(self.documents, self.members)
        self.documents.bootstrap(CONFIG, self._stored_config)
        self.documents.bootstrap(VMS, lambda: vms_document(self.store.fetch_vms()))
        self.state.follow_documents(self.documents)
        self.claims.start()
        self.dispatch.start()
        self.versions.start()
        self.api.start()
        self.serving.set()
        log.info("router_serving", revision=self.state.config.revision)

    def close(self) -> None:
        """Leave the fleet, wait for requests in flight, and stop."""
        self.stopping = True
        if self.serving.is_set():
            log.info("router_leaving", open_requests=self.api.open_requests)
            self.api.drain_connections()
            self.prober.leave()
            self.dispatch.drain()
            # Callers may use the addresses of an earlier lookup until its lifetime ends.
            self.clock.sleep(self.state.config.lookup_lifetime_ms)
            self._finish_requests()
            self.api.close()
            self.claims.close(self.clock.now() + CLAIMS_CLOSE_MS)
            self.versions.close()
            self.dispatch.close()
        self.watch.close()
        self.prober.close()
        self.links.close()
        self.store.close()
        log.info("router_stopped")

    def _stored_config(self) -> Document | None:
        stored = self.store.get(CONFIG_KEY)
        return None if stored is None else config_document(stored)

    def _finish_requests(self) -> None:
        deadline = self.clock.now() + self.settings.stop_timeout_ms
        while not self._is_idle() and self.clock.now() < deadline:
            gevent.sleep(DRAIN_POLL_S)
        if self.api.open_requests:
            log.warning("requests_cut_off", open_requests=self.api.open_requests)

    def _is_idle(self) -> bool:
        idle_ms = self.clock.now() - self.api.last_request_at
        return not self.api.open_requests and idle_ms >= IDLE_BEFORE_CLOSE_MS

    def handle(self, request: CallerRequest, stream: EventStream | None) -> CallerResponse:
        """Run a request and return its final response."""
        if not request.idempotency_key:
            return self.runner.run(request, stream)
        return self.keyed.run(request, lambda: self.runner.run(request, stream))

    def resume(
        self, workspace: str, token: str, offset: int, stream: EventStream
    ) -> CallerResponse:
        """Relay a stream from token `offset` to its end."""
        return self.resumer.resume(workspace, token, offset, stream)

    def cancel(self, workspace: str, token: str) -> CallerResponse:
        """Cancel a stream on its target."""
        return self.resumer.cancel(workspace, token)

    def keyed_status(self, workspace: str, key: str) -> CallerResponse:
        """Return the state or stored outcome of a request with an idempotency key."""
        return self.keyed.status(workspace, key)

    def refusal(self) -> RequestRefused | None:
        """Return why new requests are refused, or None if they are accepted."""
        if self.stopping:
            message = "the router is shutting down; ask another one"
            return RequestRefused(ResultCode.ROUTER_STOPPING, message, RETRY_ELSEWHERE_MS)
        domain = self.state.config.failure_domains.get(self.settings.failure_domain)
        if domain is not None and domain.drained:
            message = f"failure domain {domain.name} is drained; ask another router"
            return RequestRefused(ResultCode.ROUTER_STOPPING, message, RETRY_ELSEWHERE_MS)
        return None

    def owners_of(self, workspace: str, service: str) -> list[str]:
        """Return the distinct ids of the members that own the workspace's shards of a service."""
        version = self.state.config.services[service].version
        shards = self.dispatch.placement.shards_of(workspace, service, version)
        return list(dict.fromkeys(shard.owner for shard in shards))

    def target_count(self, service: str, version: str) -> int:
        """Return the number of targets of a version, or 0 if none of its shards is open."""
        if not self.dispatch.placement.open_shard_names(service, version):
            return 0
        return self.table.count(service, version)

    def member_status(self) -> pb.MemberStatus:
        """Return the status that this router contributes to the fleet status."""
        return self.versions.member_status(self.state.config.revision)

    def fleet(self) -> dict[str, Any]:
        """Return the status of every live router, for the controller."""
        gathered = self.status_service.gather()
        # Encoding 3,000 statuses as JSON would block every stream for 0.15 s.
        statuses = pb.StatusReply(members=gathered.statuses).SerializeToString()
        return {"statuses": b64encode(statuses).decode(), "missing": list(gathered.missing)}

    def status(self) -> dict[str, Any]:
        """Return the data of the status page for operators."""
        known = [self.members.me, *self.members.others(*MemberState)]
        members = [
            {
                "id": member.id,
                "address": member.caller_address,
                "failure_domain": member.failure_domain,
                "state": member.state.name.lower(),
                "incarnation": member.incarnation,
            }
            for member in known
        ]
        traffic = self.links.traffic()
        return {
            "id": self.settings.id,
            "revision": self.state.config.revision,
            "vms_revision": self.state.vms.revision,
            "stopping": self.stopping,
            "open_requests": self.api.open_requests,
            "members": members,
            "shards": [asdict(shard) for shard in self.dispatch.stats()],
            "control_bytes": {"sent": traffic.sent, "received": traffic.received},
            "store_calls": dict(self.store.calls),
            "documents": {
                kind: document.revision
                for kind in (CONFIG, VMS)
                if (document := self.documents.get(kind)) is not None
            },
        }
