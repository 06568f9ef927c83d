"""What follows an attempt: pure decisions, testable without a network."""

from dataclasses import dataclass
from enum import Enum

from jacinthcove.gateway.model import HttpRoute


class AttemptEnd(Enum):
    """How an attempt at a target ended."""

    COMPLETE = "complete"
    # The target's own failure, complete and signed; it counts as run.
    ANSWERED_FAILURE = "answered_failure"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    OTHER_TARGET = "other_target"
    # Nothing reached the caller, but the request may have run.
    BROKEN_BEFORE = "broken_before"
    # The caller already has part of the answer.
    BROKEN_MIDWAY = "broken_midway"

    @property
    def not_run(self) -> bool:
        """Return whether the request surely did not run."""
        return self in (AttemptEnd.UNREACHABLE, AttemptEnd.REJECTED, AttemptEnd.OTHER_TARGET)


class Step(Enum):
    """What to do next."""

    DONE = "done"
    RETRY = "retry"
    RESUME = "resume"
    DELIVER_FAILURE = "deliver_failure"
    REFUSE = "refuse"
    FAIL = "fail"
    ABORT = "abort"


# Failed connections cost no budget, as nothing arrived; more than this many are a sign of a cut.
MAX_UNREACHABLE = 4


@dataclass(frozen=True)
class Progress:
    """What has been tried so far; `sends` counts the targets that the request was sent to."""

    sends: int
    unreachable: int
    time_left: bool


def next_step(route: HttpRoute, end: AttemptEnd, progress: Progress) -> Step:
    """Return what follows, before the retry budget is asked."""
    if end is AttemptEnd.COMPLETE:
        return Step.DONE
    if end is AttemptEnd.UNREACHABLE:
        again = progress.time_left and progress.unreachable < MAX_UNREACHABLE
        return Step.RETRY if again else Step.REFUSE
    again = progress.time_left and progress.sends < route.max_attempts
    if end.not_run:
        return Step.RETRY if again else Step.REFUSE
    again = again and route.idempotent
    if end is AttemptEnd.BROKEN_MIDWAY:
        return Step.RESUME if again and route.resumable else Step.ABORT
    if again:
        return Step.RETRY
    return Step.DELIVER_FAILURE if end is AttemptEnd.ANSWERED_FAILURE else Step.FAIL


def without_budget(step: Step, end: AttemptEnd) -> Step:
    """Return what follows instead of a repeat for which the budget has no room."""
    if step is Step.RESUME:
        return Step.ABORT
    if step is not Step.RETRY:
        return step
    if end.not_run:
        return Step.REFUSE
    return Step.DELIVER_FAILURE if end is AttemptEnd.ANSWERED_FAILURE else Step.FAIL
