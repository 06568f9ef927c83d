"""Records attempts at targets: evidence about versions, and decision log entries."""

from jacinthcove.clock import Clock
from jacinthcove.gateway.activeconfig import ActiveConfig
from jacinthcove.gateway.attempt import Attempt, AttemptObserver
from jacinthcove.gateway.firstevents import OVERDUE_SLOWDOWN, FirstEventKey, slowdown
from jacinthcove.gateway.forward import ForwardedRequest
from jacinthcove.gateway.results import version_result
from jacinthcove.gateway.retrypolicy import AttemptOutcome, NextAction
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.observe.decisions import DecisionLog


class AttemptObservers:
    """Passes the events of each attempt on to several observers, in order."""

    def __init__(self, *observers: AttemptObserver):
        self.observers = observers

    def on_sent(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Pass on a request that is about to be sent to its target."""
        for observer in self.observers:
            observer.on_sent(forwarded, attempt)

    def on_first_event(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Pass on the first event of a stream."""
        for observer in self.observers:
            observer.on_first_event(forwarded, attempt)

    def on_ended(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Pass on the end of an attempt."""
        for observer in self.observers:
            observer.on_ended(forwarded, attempt)

    def on_step_chosen(
        self, forwarded: ForwardedRequest, attempt: Attempt, step: NextAction
    ) -> None:
        """Pass on the step chosen after an attempt."""
        for observer in self.observers:
            observer.on_step_chosen(forwarded, attempt, step)


class AttemptRecorder:
    """Feeds the outcome of each attempt to rollouts and the decision log of a router."""

    def __init__(
        self, clock: Clock, rollouts: Rollouts, active_config: ActiveConfig, decisions: DecisionLog
    ):
        self.clock = clock
        self.rollouts = rollouts
        self.active_config = active_config
        self.decisions = decisions

    def on_sent(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Count a request to a service that has a rollout in progress."""
        target = attempt.choice.target
        # A target that has just started is slow regardless of its version.
        if target.cold_until > attempt.sent_at:
            return
        record = target.record
        route = forwarded.request.route.name
        attempt.first_event_key = self.rollouts.first_event_key(
            record.service, route, record.version
        )
        if attempt.first_event_key is not None:
            attempt.expected_first_event_ms = self._expected_first_event_ms(attempt)
            self.rollouts.first_events.record_sent(attempt.first_event_key)

    def on_first_event(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Count the time to the first event."""
        del forwarded
        if attempt.first_event_key is not None:
            self._record_slowdown(attempt.first_event_key, attempt, attempt.first_event_at)

    def on_ended(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Count an attempt that had no event: as a slowdown if complete or overdue, else failed."""
        del forwarded
        key = attempt.first_event_key
        if key is None or attempt.first_event_at:
            return
        waited_ms = attempt.ended_at - attempt.sent_at
        broken = attempt.end in (AttemptOutcome.BROKEN_BEFORE, AttemptOutcome.BROKEN_MIDWAY)
        overdue = (
            broken and slowdown(waited_ms, attempt.expected_first_event_ms) >= OVERDUE_SLOWDOWN
        )
        if overdue or attempt.end is AttemptOutcome.COMPLETE:
            self._record_slowdown(key, attempt, attempt.ended_at)
        else:
            self.rollouts.first_events.record_failed(key)

    def on_step_chosen(
        self, forwarded: ForwardedRequest, attempt: Attempt, step: NextAction
    ) -> None:
        """Record the result as evidence about the version and log the attempt."""
        record = attempt.choice.target.record
        version_label = self.rollouts.version_label(record.service, record.version)
        result = version_result(forwarded, attempt, version_label)
        if result is not None:
            self.rollouts.record(result)
        self._log(forwarded, attempt, step)

    def _record_slowdown(self, key: FirstEventKey, attempt: Attempt, event_at: int) -> None:
        ratio = slowdown(event_at - attempt.sent_at, attempt.expected_first_event_ms)
        self.rollouts.first_events.record_slowdown(key, ratio)

    def _expected_first_event_ms(self, attempt: Attempt) -> float:
        """Return the expected time to the first event at the speed of other versions' targets."""
        choice = attempt.choice
        record, load = choice.target.record, choice.target.load
        speed = (
            self.rollouts.median_speed_of_others(record.service, record.version)
            or load.tokens_per_ms
        )
        return (choice.wait_ms * load.tokens_per_ms + choice.unread_tokens) / speed

    def _log(self, forwarded: ForwardedRequest, attempt: Attempt, step: NextAction) -> None:
        request, target = forwarded.request, attempt.choice.target
        now = self.clock.now()
        first_event_ms = max(0, forwarded.first_event_at - request.received_at)
        routine = step is NextAction.DONE and first_event_ms <= request.route.latency_goal_ms
        routine = routine and target.cold_until <= now
        log_decision = self.decisions.log_success if routine else self.decisions.log_decision
        log_decision(
            "request_attempted",
            request_id=request.id,
            route=request.route.name,
            workspace=request.workspace,
            target=target.record.id,
            target_revision=target.revision,
            target_version=target.record.version,
            attempt=len(forwarded.attempts),
            end=attempt.end.value,
            reason=attempt.reason,
            expected_wait_ms=round(attempt.choice.wait_ms),
            running=attempt.choice.running,
            unread_tokens=attempt.choice.unread_tokens,
            fetched_tokens=attempt.choice.fetched_tokens,
            reread_tokens=attempt.choice.reread_tokens,
            tokens_per_ms=round(target.load.tokens_per_ms, 1),
            error_rate=round(target.error_rate, 2),
            configuration_version=self.active_config.version(),
            configuration_age_ms=self.active_config.age_ms(),
            goal_ms=request.route.latency_goal_ms,
            chosen_ms=max(0, attempt.chosen_at - request.received_at),
            sent_ms=max(0, attempt.sent_at - request.received_at),
            first_event_ms=first_event_ms,
            total_ms=now - request.received_at,
            outcome=step.value,
        )
