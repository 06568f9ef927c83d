"""Orders the engines that the decision wants, while this router holds the duties."""

import structlog

from jacinthcove.clock import Clock
from jacinthcove.duties.calls import Backoff, CallBudget, DutyCallFailed, DutyCalls
from jacinthcove.duties.lease import Grants
from jacinthcove.gateway.model import GatewayService
from jacinthcove.observe.metrics import Metrics
from jacinthcove.scaling.decision import Observation, ScalingDecision
from jacinthcove.scaling.observations import Observer

log = structlog.get_logger()

SCALE_DUTY = "scale"
PERIOD_MS = 500
# A step takes about 3 us per engine and reporting router, so with more engines there are fewer.
ENGINES_PER_STEP_MS = 5


class EngineOrders:
    """Sends an order for each number that the platform has not confirmed; `step` often."""

    def __init__(
        self,
        clock: Clock,
        grants: Grants,
        observer: Observer,
        calls: DutyCalls,
        budget: CallBudget,
        metrics: Metrics,
    ):
        self.clock = clock
        self.grants = grants
        self.observer = observer
        self.calls = calls
        self.budget = budget
        self.metrics = metrics
        self.token: int | None = None
        self.decisions: dict[str, ScalingDecision] = {}
        # What the platform has confirmed under this grant, by service and failure domain.
        self.confirmed: dict[tuple[str, str], int] = {}
        self.backoffs: dict[tuple[str, str], Backoff] = {}

    def period_ms(self) -> float:
        """Return the time between two steps."""
        return max(PERIOD_MS, len(self.observer.registry.states) / ENGINES_PER_STEP_MS)

    def step(self) -> None:
        """Decide and order if this router holds the duties."""
        self.observer.record_existing()
        grant = self.grants.grant()
        if grant is None:
            self.token = None
            self.backoffs.clear()
            return
        if grant.token != self.token:
            self.token = grant.token
            self.decisions.clear()
            self.confirmed.clear()
            self.backoffs.clear()
        services = self.observer.scaled_services()
        for name in self.decisions.keys() - {service.name for service in services}:
            del self.decisions[name]
        for service in services:
            self._order(service)

    def silent_ms(self) -> int:
        """Return for how long the platform has answered no order."""
        return min((item.silent_ms() for item in self.backoffs.values()), default=0)

    def _order(self, service: GatewayService) -> None:
        assert service.scaling is not None
        decision = self.decisions.get(service.name)
        if decision is None:
            existing = self.observer.existing(service.name)
            decision = self.decisions[service.name] = ScalingDecision(service.scaling, existing)
        decision.bounds = service.scaling
        seen = self.observer.observe(service)
        desired = decision.decide(seen)
        for domain in sorted(decision.ordered):
            key = (service.name, domain)
            if self.confirmed.get(key) != desired[domain]:
                self._send(key, desired[domain], seen)

    def _send(self, key: tuple[str, str], desired: int, seen: Observation) -> None:
        backoff = self.backoffs.setdefault(key, Backoff(self.clock))
        if not backoff.is_over() or not self.budget.try_take():
            return
        service, domain = key
        try:
            self.calls.order_engines(self.grants.grant, service, domain, desired)
        except DutyCallFailed as error:
            backoff.record_failure(error.answered)
            outcome = "not_sent" if error.not_sent else "failed"
            log.info("engines_not_ordered", service=service, domain=domain, reason=str(error))
        else:
            backoff.record_success()
            self.confirmed[key] = desired
            outcome = "done"
            self.metrics.gauge("engines_desired", service=service, domain=domain).set(desired)
            engines = seen.domains.get(domain)
            log.info(
                "engines_ordered",
                service=service,
                domain=domain,
                desired=desired,
                existing=engines.existing if engines is not None else 0,
                asked_per_s=round(seen.demand.asked),
                begun_per_s=round(seen.demand.begun),
                late_fraction=round(seen.demand.late_fraction, 2),
            )
        self.metrics.counter("duty_calls_total", duty=SCALE_DUTY, outcome=outcome).add()
