"""What becomes of the attempts at targets: evidence about versions, and lines of the log."""

from jacinthcove.clock import Clock
from jacinthcove.gateway.beliefs import Beliefs
from jacinthcove.gateway.decisions import AttemptEnd, Step
from jacinthcove.gateway.firstevents import OVERDUE_SLOWDOWN, FirstEventKey, slowdown
from jacinthcove.gateway.forward import Attempt, Forwarding
from jacinthcove.gateway.results import version_result
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.observe.decisions import DecisionLog


class AttemptRecorder:
    """Implements `AttemptObserver` for a router."""

    def __init__(self, clock: Clock, rollouts: Rollouts, beliefs: Beliefs, decisions: DecisionLog):
        self.clock = clock
        self.rollouts = rollouts
        self.beliefs = beliefs
        self.decisions = decisions

    def sent(self, forwarding: Forwarding, attempt: Attempt) -> None:
        """Count a request to a version under way."""
        target = attempt.choice.target
        # A target that has just started is slow whatever its version.
        if target.cold_until > attempt.sent_at:
            return
        record = target.record
        route = forwarding.request.route.name
        attempt.counts_for = self.rollouts.first_event_key(record.service, route, record.version)
        if attempt.counts_for is not None:
            attempt.expected_ms = self._expected_ms(attempt)
            self.rollouts.first_events.note_sent(attempt.counts_for)

    def first_event(self, forwarding: Forwarding, attempt: Attempt) -> None:
        """Count how soon an answer began."""
        del forwarding
        if attempt.counts_for is not None:
            self._note(attempt.counts_for, attempt, attempt.first_event_at)

    def ended(self, forwarding: Forwarding, attempt: Attempt) -> None:
        """Count an attempt that had no event."""
        del forwarding
        key = attempt.counts_for
        if key is None or attempt.first_event_at:
            return
        waited_ms = attempt.ended_at - attempt.sent_at
        broken = attempt.end in (AttemptEnd.BROKEN_BEFORE, AttemptEnd.BROKEN_MIDWAY)
        overdue = broken and slowdown(waited_ms, attempt.expected_ms) >= OVERDUE_SLOWDOWN
        if overdue or attempt.end is AttemptEnd.COMPLETE:
            self._note(key, attempt, attempt.ended_at)
        else:
            self.rollouts.first_events.note_failed(key)

    def followed(self, forwarding: Forwarding, attempt: Attempt, step: Step) -> None:
        """Take the result as evidence and write it down."""
        record = attempt.choice.target.record
        label = self.rollouts.label(record.service, record.version)
        result = version_result(forwarding, attempt, label)
        if result is not None:
            self.rollouts.record(result)
        self._log(forwarding, attempt, step)

    def _note(self, key: FirstEventKey, attempt: Attempt, at: int) -> None:
        slow = slowdown(at - attempt.sent_at, attempt.expected_ms)
        self.rollouts.first_events.note_slowdown(key, slow)

    def _expected_ms(self, attempt: Attempt) -> float:
        """Return the time to the first event at the speed of the other versions' targets."""
        choice = attempt.choice
        record, load = choice.target.record, choice.target.load
        speed = self.rollouts.usual_speed(record.service, record.version) or load.tokens_per_ms
        return (choice.wait_ms * load.tokens_per_ms + choice.unread_tokens) / speed

    def _log(self, forwarding: Forwarding, attempt: Attempt, step: Step) -> None:
        request, target = forwarding.request, attempt.choice.target
        now = self.clock.now()
        first_event_ms = max(0, forwarding.first_event_at - request.received_at)
        plain = step is Step.DONE and first_event_ms <= request.route.latency_goal_ms
        plain = plain and target.cold_until <= now
        write = self.decisions.log_success if plain else self.decisions.log_decision
        write(
            "request_attempted",
            request_id=request.id,
            route=request.route.name,
            workspace=request.workspace,
            target=target.record.id,
            target_revision=target.revision,
            target_version=target.record.version,
            attempt=len(forwarding.attempts),
            end=attempt.end.value,
            reason=attempt.reason,
            expected_wait_ms=round(attempt.choice.wait_ms),
            running=attempt.choice.running,
            unread_tokens=attempt.choice.unread_tokens,
            fetched_tokens=attempt.choice.fetched_tokens,
            reread_tokens=attempt.choice.reread_tokens,
            tokens_per_ms=round(target.load.tokens_per_ms, 1),
            error_rate=round(target.error_rate, 2),
            configuration_age_ms=self.beliefs.age_ms(),
            goal_ms=request.route.latency_goal_ms,
            chosen_ms=max(0, attempt.chosen_at - request.received_at),
            sent_ms=max(0, attempt.sent_at - request.received_at),
            first_event_ms=first_event_ms,
            total_ms=now - request.received_at,
            outcome=step.value,
        )
