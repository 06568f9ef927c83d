"""Builds and runs the duties of one router at a time, if the settings name any."""

import gevent
import orjson
import structlog

from jacinthcove.background import BackgroundTask, run_step
from jacinthcove.clock import Clock
from jacinthcove.duties.agreedtime import AgreedTime
from jacinthcove.duties.calls import CallBudget
from jacinthcove.duties.candidates import candidates, own_rank
from jacinthcove.duties.countexchange import CountExchange
from jacinthcove.duties.lease import DutyLease, StoredValue
from jacinthcove.duties.usagereport import USAGE_DUTY, ReportSettings, UsageReporter
from jacinthcove.duties.windowcounts import WindowCounts
from jacinthcove.gateway.admission import Admission
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import DUTY_LEASE
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.observe.metrics import Metrics
from jacinthcove.platform.dutycalls import HttpDutyCalls
from jacinthcove.platform.dutystore import LEASE_OBJECT, REPORTS_OBJECT, DutyObject
from jacinthcove.platform.settings import DutySettings, PlatformSettings
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.scaling.observations import Observer
from jacinthcove.scaling.orders import SCALE_DUTY, EngineOrders

log = structlog.get_logger()

STEP_S = 0.25
MIN_PAUSE_MS = 50


class Duties:
    """The duties as this router takes part in them; without any, nothing runs.

    `join` starts them once the other routers can be reached.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        metrics: Metrics,
        store_client: PlatformStoreClient,
        admission: Admission,
    ):
        self.settings: DutySettings = settings.duties
        self.clock = clock
        self.metrics = metrics
        self.store_client = store_client
        self.admission = admission
        self.router = settings.id
        self.calls = HttpDutyCalls(self.settings.address, clock) if self.settings.address else None
        self.budget = CallBudget(clock, self.settings.calls_per_s)
        self.time = AgreedTime(clock)
        self.counts = WindowCounts(self.time, settings.id, self.settings.usage_window_ms)
        self.members: Members | None = None
        self.lease: DutyLease | None = None
        self.exchange: CountExchange | None = None
        self.reporter: UsageReporter | None = None
        self.orders: EngineOrders | None = None
        self.tasks: list[BackgroundTask] = []

    def record_begun(self, workspace: str) -> None:
        """Count a request whose answer begins now, if usage is reported."""
        if self.settings.performs(USAGE_DUTY):
            self.counts.record_begun(workspace)

    def join(self, members: Members, peers: Peers) -> None:
        """Start the duties that the settings name."""
        reports, orders = (self.settings.performs(duty) for duty in (USAGE_DUTY, SCALE_DUTY))
        if self.calls is None or not (reports or orders):
            return
        self.members = members
        self.lease = self._make_lease(members, peers)
        self.tasks.append(BackgroundTask(self._run_lease))
        if reports:
            self._start_reports(members, peers, self.lease, self.calls)
            self.tasks.append(BackgroundTask(self._run_reports))
        if orders:
            self._make_orders(members, self.lease, self.calls)
            self.tasks.append(BackgroundTask(self._run_orders))
        for task in self.tasks:
            task.start()
        log.info("duties_started", duties=sorted(self.settings.duties))

    def stop_acting(self) -> None:
        """Make no more calls; the lease is not released, and counts are still sent."""
        if self.lease is not None:
            self.lease.stop()

    def close(self) -> None:
        """Stop all tasks."""
        self.stop_acting()
        for task in self.tasks:
            task.close()
        if self.exchange is not None:
            self.exchange.close()

    def reload(self, settings: PlatformSettings) -> None:
        """Apply changed bounds; the address, the duties and the windows stay as they were."""
        self.budget.per_s = settings.duties.calls_per_s
        if self.lease is not None:
            self.lease.ttl_ms = settings.duties.lease_ms
        if self.reporter is not None:
            window_ms = self.counts.window_ms
            self.reporter.settings = ReportSettings(window_ms, settings.duties.usage_late_ms)
            self.reporter.lease_ms = settings.duties.lease_ms

    def _make_lease(self, members: Members, peers: Peers) -> DutyLease:
        def notify(seen: StoredValue) -> None:
            message = pb.DutyLeaseNotice(
                era=seen.era, revision=seen.revision, record=orjson.dumps(seen.value)
            )
            for candidate in candidates(members):
                if candidate != members.me.id:
                    peers.send(candidate, DUTY_LEASE, message)

        def on_notice(sender: str, message: pb.DutyLeaseNotice) -> None:
            del sender
            record = orjson.loads(message.record)
            lease.on_notice(StoredValue(message.era, message.revision, record))

        store = DutyObject(self.store_client, LEASE_OBJECT)
        lease = DutyLease(
            store,
            self.clock,
            self.router,
            self.settings.lease_ms,
            lambda: own_rank(members),
            notify,
        )
        peers.register(DUTY_LEASE, on_notice)
        self.metrics.gauge("duty_holder").read = lambda: float(lease.grant() is not None)
        return lease

    def _start_reports(
        self, members: Members, peers: Peers, lease: DutyLease, calls: HttpDutyCalls
    ) -> None:
        self.exchange = CountExchange(self.clock, members, peers, self.time, self.counts)
        self.reporter = UsageReporter(
            self.clock,
            lease,
            DutyObject(self.store_client, REPORTS_OBJECT),
            calls,
            self.budget,
            self.exchange,
            ReportSettings(self.counts.window_ms, self.settings.usage_late_ms),
            self.settings.lease_ms,
            self.metrics,
        )
        self.exchange.start()

    def _run_lease(self) -> None:
        while self.lease is not None:
            started_at = self.clock.boot()
            run_step(self.lease.step)
            # Slow answers of the store must not make renewals rare.
            left_ms = self.lease.period_ms() - (self.clock.boot() - started_at)
            gevent.sleep(max(MIN_PAUSE_MS, left_ms) / 1_000)

    def _make_orders(self, members: Members, lease: DutyLease, calls: HttpDutyCalls) -> None:
        observer = Observer(
            self.clock,
            self.admission.registry,
            self.admission.ledger,
            lambda: self.admission.services.values(),
            lambda: len(members.alive()),
        )
        self.orders = EngineOrders(self.clock, lease, observer, calls, self.budget, self.metrics)

    def _resign_after(self, silent_ms: int) -> None:
        """Leave the duties to another router if the platform does not answer this one."""
        if self.lease is None or self.members is None or silent_ms < self.lease.ttl_ms:
            return
        if len(candidates(self.members)) > 1:
            self.lease.resign()

    def _run_reports(self) -> None:
        while self.reporter is not None:
            run_step(self.reporter.step)
            self._resign_after(self.reporter.backoff.silent_ms())
            gevent.sleep(STEP_S)

    def _run_orders(self) -> None:
        while self.orders is not None:
            run_step(self.orders.step)
            self._resign_after(self.orders.silent_ms())
            gevent.sleep(self.orders.period_ms() / 1_000)
