"""The result of placing a request: the chosen target, or why there is none."""

from dataclasses import dataclass
from enum import Enum

from jacinthcove.gateway.targets import TargetState


class RejectReason(Enum):
    """Why no target was chosen; the value appears in the log."""

    NO_TARGET = "no_target"
    FULL = "full"
    # Set by admission: each target has a limit, and this router has used its quotas.
    RATE_LIMITED = "rate_limited"
    # No target with capacity would finish before the caller's deadline.
    TOO_SLOW = "too_slow"
    # Set by admission: the workspace has used its share while other workspaces wait.
    OVER_SHARE = "over_share"


@dataclass(frozen=True)
class Choice:
    """A target that may get the request, with the inputs of the decision.

    - `unread_tokens`: prompt tokens that the target has to prefill.
    - `memory_tokens`: memory that the request will use, without shared parts.
    - `wait_ms`, `running`, `used_tokens`: wait, in-flight requests and used memory at the target.
    - `fetched_tokens`: missing shared tokens that the engine at `fetch_from` should provide.
    - `reread_tokens`: missing shared tokens that the target prefills without being their owner.
    - `holder_saves_ms`: copy cost that is saved by waiting for a holder of the parts that has no
      capacity now; 0 if there is none.
    """

    target: TargetState
    unread_tokens: int
    memory_tokens: int
    wait_ms: float
    running: int
    used_tokens: int = 0
    fetched_tokens: int = 0
    reread_tokens: int = 0
    fetch_from: str = ""
    holder_saves_ms: float = 0.0

    @property
    def has_all_parts(self) -> bool:
        """Return whether no part is copied or prefilled again.

        This also holds for the owner of missing parts, which prefills them first.
        """
        return not (self.fetched_tokens or self.reread_tokens)
