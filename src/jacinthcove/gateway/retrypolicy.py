"""Retry policy: decides what follows an attempt, as pure functions without network access."""

from dataclasses import dataclass
from enum import Enum

from jacinthcove.gateway.model import HttpRoute


class AttemptOutcome(Enum):
    """How an attempt at a target ended."""

    COMPLETE = "complete"
    # The target itself returned a complete, signed failure; the request counts as executed.
    ANSWERED_FAILURE = "answered_failure"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    OTHER_TARGET = "other_target"
    # The connection broke before the caller received anything; the request may have run.
    BROKEN_BEFORE = "broken_before"
    # The connection broke after the caller received part of the response.
    BROKEN_MIDWAY = "broken_midway"

    @property
    def not_run(self) -> bool:
        """Return whether the request certainly did not run, so that a retry is always safe."""
        return self in (
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.REJECTED,
            AttemptOutcome.OTHER_TARGET,
        )


class NextAction(Enum):
    """What to do with a request after an attempt.

    `REFUSE` tells the caller that the request did not run, `FAIL` that it may have run, and `ABORT`
    breaks off a response that the caller has in part.
    """

    DONE = "done"
    RETRY = "retry"
    RESUME = "resume"
    DELIVER_FAILURE = "deliver_failure"
    REFUSE = "refuse"
    FAIL = "fail"
    ABORT = "abort"


# Failed connections use no retry budget, because nothing reached a target. This many suggest that
# this router is partitioned off, so it gives up.
MAX_UNREACHABLE = 4


@dataclass(frozen=True)
class AttemptProgress:
    """The attempts so far: `sends` to a target, and `unreachable` ones that failed to connect."""

    sends: int
    unreachable: int
    time_left: bool


def next_action(route: HttpRoute, outcome: AttemptOutcome, progress: AttemptProgress) -> NextAction:
    """Return what follows an attempt with `outcome`, without regard to the retry budget."""
    if outcome is AttemptOutcome.COMPLETE:
        return NextAction.DONE
    if outcome is AttemptOutcome.UNREACHABLE:
        may_retry = progress.time_left and progress.unreachable < MAX_UNREACHABLE
        return NextAction.RETRY if may_retry else NextAction.REFUSE
    may_retry = progress.time_left and progress.sends < route.max_attempts
    if outcome.not_run:
        return NextAction.RETRY if may_retry else NextAction.REFUSE
    may_retry = may_retry and route.idempotent
    if outcome is AttemptOutcome.BROKEN_MIDWAY:
        return NextAction.RESUME if may_retry and route.resumable else NextAction.ABORT
    if may_retry:
        return NextAction.RETRY
    return (
        NextAction.DELIVER_FAILURE
        if outcome is AttemptOutcome.ANSWERED_FAILURE
        else NextAction.FAIL
    )


def without_retry_budget(action: NextAction, outcome: AttemptOutcome) -> NextAction:
    """Return what replaces `action` if the retry budget is exhausted; only retries change."""
    if action is NextAction.RESUME:
        return NextAction.ABORT
    if action is not NextAction.RETRY:
        return action
    if outcome.not_run:
        return NextAction.REFUSE
    return (
        NextAction.DELIVER_FAILURE
        if outcome is AttemptOutcome.ANSWERED_FAILURE
        else NextAction.FAIL
    )
