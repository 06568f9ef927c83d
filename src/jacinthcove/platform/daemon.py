"""The router process on the platform: builds, starts and stops its components."""

from dataclasses import replace

import gevent
import structlog

from jacinthcove.address import split_address
from jacinthcove.bytebudget import ByteBudget
from jacinthcove.clock import SystemClock
from jacinthcove.codes import ResultCode
from jacinthcove.coldstart.startcheck import StartCheck
from jacinthcove.entries.screen import ObjectScreen
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.activeconfig import RETRY_ELSEWHERE_MS, ActiveConfig
from jacinthcove.gateway.admission import Admission
from jacinthcove.gateway.application import GatewayApplication
from jacinthcove.gateway.attempts import AttemptObservers, AttemptRecorder
from jacinthcove.gateway.crashevidence import FirstEvents
from jacinthcove.gateway.crashexaminer import CrashExaminer
from jacinthcove.gateway.crashwitness import CrashWitness
from jacinthcove.gateway.directory import routers_for
from jacinthcove.gateway.enginestats import engine_stats
from jacinthcove.gateway.forward import Forwarder
from jacinthcove.gateway.gauges import RouterGauges
from jacinthcove.gateway.handover import Handover
from jacinthcove.gateway.helpers import Helpers
from jacinthcove.gateway.intake import Intake
from jacinthcove.gateway.loopdelay import LoopDelay
from jacinthcove.gateway.loopwork import LoopWork
from jacinthcove.gateway.model import GatewayRequest
from jacinthcove.gateway.overload import CallerRelief
from jacinthcove.gateway.permits import PermitExchange
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.plannedstop import PlannedStop
from jacinthcove.gateway.quarantine import Quarantine
from jacinthcove.gateway.retrybudget import WindowedRetryBudget
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.gateway.server import GatewayServer
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targetrates import TargetRates
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.ingress.budgets import Ingress
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.observe.arrivals import ArrivalLog
from jacinthcove.observe.decisions import DecisionLog
from jacinthcove.observe.metrics import Metrics
from jacinthcove.platform.codec import PlatformCodec
from jacinthcove.platform.dutywiring import Duties
from jacinthcove.platform.endpoints import Endpoints
from jacinthcove.platform.fleet import Fleet
from jacinthcove.platform.followers import (
    ConfigFollower,
    DrainFollower,
    RolloutFollower,
    TargetFollower,
)
from jacinthcove.platform.kindrules import kind_rules
from jacinthcove.platform.names import (
    CONFIG_KIND,
    DRAINED_DOMAINS_KIND,
    QUARANTINE_KIND,
    ROLLOUTS_KIND,
    TARGETS_KIND,
)
from jacinthcove.platform.quarantinestore import QuarantineFollower, StoredQuarantine
from jacinthcove.platform.settings import PlatformSettings
from jacinthcove.platform.startreport import ReportReader
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.platform.watchwaits import apply_times, watch_waits
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.kindwatch import Follower, KindWatch
from jacinthcove.store.relay import RelayedSource
from jacinthcove.targets.pool import ConnectionPool

log = structlog.get_logger()

STORE_TIMEOUT_MS = 800
# Taken off the revocation bound for requests that are already on their way to a target.
REVOKE_MARGIN_MS = 500
# Fractions of the fleet-wide limits that are used, so that delays do not push the fleet over them.
RETRY_RATIO_FRACTION = 0.8
RETRY_SLACK_FRACTION = 0.8
# Time within EXIT_MARGIN_MS of planned stops to answer requests that arrived just before the
# listener closed.
FINAL_RESPONSES_MS = 400
# A stopping router exits early only after no request arrived for this long.
QUIET_MS = 600
POLL_S = 0.05
# Each open request takes two file descriptors and about 30 KB of memory.
MAX_OPEN_REQUESTS = 1_200
OVERLOADED_RETRY_MS = 1_000
METRICS_PORT = 9464
INITIAL_STATE_POLL_S = 0.02


class PlatformRouter:
    """Runs one router; `metrics_port` 0 picks a free port."""

    def __init__(self, settings: PlatformSettings, metrics_port: int = METRICS_PORT):
        self.settings = settings
        self.metrics_port = metrics_port
        self.clock = clock = SystemClock()
        self.metrics = Metrics()
        self.decisions = DecisionLog(clock, self.metrics)
        self.arrivals = ArrivalLog(clock, lambda: engine_stats(self.admission))
        bounds = settings.bounds
        screen = ObjectScreen(kind_rules(settings.memory_mb), self.metrics, clock)
        self.store_client = PlatformStoreClient(settings.store, STORE_TIMEOUT_MS, screen)
        self.active_config = ActiveConfig(
            clock, bounds.revoke_ms - REVOKE_MARGIN_MS, bounds.apply_ms
        )
        self.registry = TargetRegistry(clock)
        self.ledger = ShareLedger(clock, bounds.share_window_ms)
        self.rollouts = Rollouts(clock, self.registry)
        self.fleet = Fleet(
            settings,
            clock,
            self.store_client,
            self.registry,
            self.ledger,
            self.rollouts,
            lambda: self.application.open_requests,
            self.ready,
            lambda: self.loop_delay.is_late(),
            self._has_no_room,
            self.active_config.version,
        )
        self.admission = Admission(
            clock,
            self.registry,
            Placement(
                settings.failure_domain,
                self.fleet.cross_domain_delay_ms,
                limited=self.registry.has_stated_limit,
            ),
            self.ledger,
            TargetRates(
                clock,
                self.fleet.fleet_quota,
                bounds.cold_rate_limit,
                self.registry.stated_limits,
                self.registry.drained.returns,
                self.registry.last_word,
            ),
            self.decisions,
            self.rollouts,
        )
        self.active_config.listeners.append(self.admission.configure)
        self.budget = WindowedRetryBudget(
            clock,
            bounds.retry_window_ms,
            bounds.retry_ratio * RETRY_RATIO_FRACTION,
            self._retry_slack,
        )
        self.connections = ConnectionPool(clock, self.metrics)
        self.ingress = Ingress(clock, settings.ingress, self.metrics)
        self.answer_bytes = ByteBudget(settings.ingress.answer_bytes)
        first_events = FirstEvents(clock)
        self.quarantine = Quarantine(clock)
        self.examiner = CrashExaminer(
            clock, first_events, self.quarantine, StoredQuarantine(self.store_client)
        )
        codec = PlatformCodec()
        forwarder = Forwarder(
            clock,
            codec,
            self.admission,
            self.budget,
            self.connections,
            self._check_send,
            AttemptObservers(
                AttemptRecorder(clock, self.rollouts, self.active_config, self.decisions),
                CrashWitness(first_events, self.quarantine, self.examiner),
            ),
            self.answer_bytes,
            StartCheck(self.registry, self.admission.rates.cold, ReportReader(), self.metrics),
        )
        self.duties = Duties(settings, clock, self.metrics, self.store_client, self.admission)
        forwarder.on_answer_begun = self.duties.record_begun
        self.loop_delay = LoopDelay(clock, self._on_loop_delay)
        self.loop_work = LoopWork()
        self.intake = Intake(self.loop_delay, self.loop_work.take_fraction)
        self.gauges = RouterGauges(
            self.metrics, self.intake, self.active_config, self.answer_bytes, self.ingress.bodies
        )
        helpers = Helpers(clock, settings.id, settings.failure_domain, self.fleet.helpers)
        self.handover = handover = Handover(
            clock,
            helpers,
            bounds.event_delay_max_ms,
            self.active_config,
            self.metrics.counter("requests_passed_on_total"),
        )
        self.active_config.listeners.append(lambda config: helpers.forget())
        self.application = GatewayApplication(
            clock,
            self.active_config,
            codec,
            forwarder,
            self.metrics,
            self.decisions,
            self._refusal_for,
            self.ingress.bodies,
            self._closes_connections,
            self._on_request,
            self.intake.refusal,
            self.intake.helper_refusal,
            self.intake.passes_on,
            handover,
        )
        self.server = GatewayServer(settings.caller_listen, self.application, self.ingress.callers)
        self.endpoints = Endpoints(
            self.ready, self._directory_addresses, self.metrics, bounds.lookup_lifetime_max_ms
        )
        self.stop = PlannedStop(clock, bounds.grace_ms)
        self.relief = CallerRelief(clock)
        self.admission.is_late = self.loop_delay.is_late
        waits = watch_waits(bounds)
        self.changelogs = {kind: ChangeLog(clock, screen.rule(kind).kept_bytes) for kind in waits}
        dated = frozenset((CONFIG_KIND,))
        self.source = RelayedSource(
            clock, self.store_client, self.changelogs, bounds.apply_ms, dated, self.metrics, screen
        )
        self.source.apply_ms_by_kind = apply_times(bounds)
        followers: dict[str, Follower] = {
            CONFIG_KIND: ConfigFollower(self.active_config),
            TARGETS_KIND: TargetFollower(self.registry),
            DRAINED_DOMAINS_KIND: DrainFollower(self.registry.drained),
            ROLLOUTS_KIND: RolloutFollower(self.rollouts),
            QUARANTINE_KIND: QuarantineFollower(self.quarantine),
        }
        self.watches = [
            KindWatch(
                self.source, clock, kind, waits[kind], follower, self.changelogs[kind], screen
            )
            for kind, follower in followers.items()
        ]
        self.permits: PermitExchange | None = None
        self.store_client.on_restored.append(self._on_store_restored)
        self.fleet.listeners += [
            self.source.join,
            self.examiner.join,
            self.duties.join,
            self._start_permits,
            lambda members, peers: members.subscribe(handover.on_member),
        ]
        self.fleet.news = self.source

    def _start_permits(self, members: Members, peers: Peers) -> None:
        rule = self.admission.rates.stated
        self.permits = PermitExchange(self.clock, members, peers, self.registry, rule)
        self.admission.on_shortage = self.permits.record_shortage
        self.permits.start()

    def _on_store_restored(self, era: int) -> None:
        """List all kinds again; the watch that saw it first must not end itself."""
        for watch in self.watches:
            gevent.spawn(watch.restart, era)
        self.fleet.restore_registration()

    def start(self) -> None:
        """Serve at once; without a configuration every request is refused as not executed."""
        log.info("router_starting", settings=self.settings.id)
        for watch in self.watches:
            watch.start()
        self.loop_delay.start()
        self.loop_work.start()
        self.intake.start()
        self.connections.start()
        self.examiner.start()
        self.server.start()
        host, _ = split_address(self.settings.caller_listen)
        self.endpoints.start(
            self.settings.ready_listen,
            self.settings.directory_listen,
            f"{host}:{self.metrics_port}",
        )
        self.fleet.start()
        while not self._has_initial_state():
            gevent.sleep(INITIAL_STATE_POLL_S)
        log.info("router_serving", configuration_age_ms=self.active_config.age_ms())

    def close(self) -> None:
        """Leave the fleet, finish open requests, and stop before the grace period ends."""
        self.stop.begin()
        self.application.leaving = True
        self.duties.stop_acting()
        log.info("router_leaving", open_requests=self.application.open_requests)
        self.fleet.leave()
        while self.stop.left_ms() > 0 and not self._can_stop_early():
            gevent.sleep(POLL_S)
        self.server.stop_accepting()
        self._finish_responses()
        log.info("router_stopped", open_requests=self.application.open_requests)
        self.stop_now()

    def _finish_responses(self) -> None:
        """Wait until connections accepted just before the listener closed got their responses."""
        ends_at = self.clock.now() + FINAL_RESPONSES_MS
        # Requests that were already sent are read first; then connections without one are closed.
        gevent.sleep(POLL_S)
        self.server.close_idle()
        gevent.sleep(POLL_S)
        while self.server.busy() and self.clock.now() < ends_at:
            gevent.sleep(POLL_S)

    def stop_now(self) -> None:
        """Stop at once without finishing open requests."""
        self.server.stop_accepting()
        for part in (self.intake, self.loop_work, self.loop_delay, self.examiner, self.duties):
            part.close()
        if self.permits is not None:
            self.permits.close()
        self.fleet.close()
        for watch in self.watches:
            watch.close()
        for last in (self.connections, self.endpoints, self.store_client, self.arrivals):
            last.close()

    def reload(self, settings: PlatformSettings) -> None:
        """Apply changed bounds; addresses stay as they were at the start."""
        self.settings = replace(self.settings, bounds=settings.bounds)
        self.duties.reload(settings)
        self.stop.grace_ms = settings.bounds.grace_ms
        waits = watch_waits(settings.bounds)
        for watch in self.watches:
            watch.wait_ms = waits[watch.kind]
        self.source.apply_ms = self.active_config.apply_ms = settings.bounds.apply_ms
        self.source.apply_ms_by_kind = apply_times(settings.bounds)
        self.active_config.max_age_ms = settings.bounds.revoke_ms - REVOKE_MARGIN_MS
        self.admission.rates.cold.rate_limit = settings.bounds.cold_rate_limit
        self.budget.window_ms = settings.bounds.retry_window_ms
        self.budget.ratio = settings.bounds.retry_ratio * RETRY_RATIO_FRACTION

    def ready(self) -> bool:
        """Return whether callers should send requests to this router."""
        return (
            not self.stop.is_ordered
            and self._has_initial_state()
            and self.active_config.check_freshness()
            and not self.relief.is_relieved()
        )

    def _has_no_room(self) -> bool:
        """Return whether other routers should pass no requests on to this one."""
        return self.intake.is_full() or not self.active_config.is_current()

    def _closes_connections(self) -> bool:
        """Return whether callers should choose a router anew for their next requests."""
        others_serve = self.handover.open_relays() > 0
        return not self.ready() or others_serve or self.fleet.is_left_out()

    def _on_loop_delay(self, delay_ms: float) -> None:
        self.gauges.sample(delay_ms)
        self.relief.sample(self.fleet.is_left_out())

    def _has_initial_state(self) -> bool:
        return self.active_config.table is not None and all(watch.listed for watch in self.watches)

    def _can_stop_early(self) -> bool:
        quiet = self.clock.now() - self.application.last_request_at >= QUIET_MS
        return self.stop.callers_left() and quiet and not self.application.open_requests

    def _directory_addresses(self, domain: str) -> list[str]:
        candidates = self.fleet.candidates()
        if not candidates and self.ready() and self.fleet.joined:
            # All others report that they accept no callers; this one is better than none.
            candidates = self.fleet.alive_routers()
        return [item.address for item in routers_for(domain, candidates)]

    def _retry_slack(self) -> int:
        return self.fleet.fleet_quota.even_quota(
            self.settings.bounds.retry_slack * RETRY_SLACK_FRACTION
        )

    def _refusal_for(self, request: GatewayRequest) -> RequestRefused | None:
        if self.application.open_requests > MAX_OPEN_REQUESTS:
            message = "the router has too many open requests"
            return RequestRefused(ResultCode.OVERLOADED, message, OVERLOADED_RETRY_MS)
        if not self._has_initial_state():
            # Drains that began before this process started may not be known yet.
            message = "not all is known yet"
            return RequestRefused(ResultCode.CONFIGURATION_STALE, message, RETRY_ELSEWHERE_MS)
        return self.quarantine.refusal_for(request) or self.stop.refusal_for(request)

    def _check_send(self, request: GatewayRequest) -> None:
        """Raise `RequestRefused` if this router's state may be too old to send a request now."""
        self.intake.check_may_send()
        quarantined = self.quarantine.refusal_for(request)
        if quarantined is not None:
            raise quarantined
        self.active_config.require_fresh(request.workspace)

    def _on_request(self, request: GatewayRequest) -> None:
        if request.prompt.parts:
            self.arrivals.record_arrival(request.prompt.own_tokens, request.route.latency_goal_ms)
