"""The gauges of a router: its lateness, its configuration, and what it keeps in memory."""

from jacinthcove.bytebudget import ByteBudget
from jacinthcove.gateway.activeconfig import ActiveConfig
from jacinthcove.gateway.intake import Intake
from jacinthcove.ingress.account import BodyAccount
from jacinthcove.observe.metrics import Metrics


class RouterGauges:
    """Sets the gauges of one router; `sample` is called several times per second."""

    def __init__(
        self,
        metrics: Metrics,
        intake: Intake,
        active_config: ActiveConfig,
        answer_bytes: ByteBudget,
        body_bytes: BodyAccount,
    ):
        self.metrics = metrics
        self.intake = intake
        self.active_config = active_config
        self.answer_bytes = answer_bytes
        self.body_bytes = body_bytes

    def sample(self, delay_ms: float) -> None:
        """Set all gauges; `delay_ms` is how late the event loop is."""
        gauge = self.metrics.gauge
        gauge("loop_delay_ms").set(delay_ms)
        gauge("configuration_version").set(self.active_config.version())
        gauge("configuration_age_ms").set(self.active_config.age_ms() or 0)
        gauge("passed_on_fraction").set(self.intake.passed_fraction)
        gauge("answer_bytes_highest").set(self.answer_bytes.highest_bytes)
        gauge("body_bytes_highest").set(self.body_bytes.highest_bytes)
        gauge("bodies_refused").set(self.body_bytes.refusals)
        gauge("answers_evicted").set(self.answer_bytes.evictions)
