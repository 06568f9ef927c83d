"""One attempt at a target, and the interface of those that follow attempts."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from jacinthcove.gateway.choice import Choice
from jacinthcove.gateway.codec import ResponseHead
from jacinthcove.gateway.firstevents import FirstEventKey
from jacinthcove.gateway.retrypolicy import AttemptOutcome, NextAction

if TYPE_CHECKING:
    from jacinthcove.gateway.forward import ForwardedRequest


@dataclass
class Attempt:
    """One attempt at a target and its outcome; times are monotonic ms, 0 before the event."""

    choice: Choice
    end: AttemptOutcome = AttemptOutcome.BROKEN_BEFORE
    head: ResponseHead | None = None
    body: bytes = b""
    reason: str = ""
    chosen_at: int = 0
    sent_at: int = 0
    # The first event of a stream.
    first_event_at: int = 0
    ended_at: int = 0
    # The counter that the time to the first event belongs to (None: not counted), and the time
    # to expect at the load of the target.
    first_event_key: FirstEventKey | None = None
    expected_first_event_ms: float = 0.0

    @property
    def used_capacity(self) -> bool:
        """Return whether the target may have worked on the request."""
        return self.sent_at > 0 and not self.end.not_run


class AttemptObserver(Protocol):
    """Receives the events of each attempt at a target."""

    def on_sent(self, forwarded: "ForwardedRequest", attempt: "Attempt") -> None:
        """Handle a request that is about to be sent to its target."""

    def on_first_event(self, forwarded: "ForwardedRequest", attempt: "Attempt") -> None:
        """Handle the first event of a stream."""

    def on_ended(self, forwarded: "ForwardedRequest", attempt: "Attempt") -> None:
        """Handle the end of an attempt, also when the caller has disconnected."""

    def on_step_chosen(
        self, forwarded: "ForwardedRequest", attempt: "Attempt", step: NextAction
    ) -> None:
        """Handle the step chosen after an attempt; not called when the caller has disconnected."""
