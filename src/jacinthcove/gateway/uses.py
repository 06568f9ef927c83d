"""What workspaces asked for and got in the recent window, as routers tell it to each other.

Routers tell the sums of the window as they are, not what was added: a lost report, a restart or
another router that collects then costs one period, and nothing is counted twice.
"""

from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, fields

from jacinthcove.clock import Clock
from jacinthcove.mesh import mesh_pb2 as pb

TICK_MS = 250
# Ticks over which it is looked whether answers begin late.
LATELY_TICKS = 4
# What a router told is forgotten after this time without word from it.
SUM_LIFETIME_MS = 1_500


@dataclass
class Use:
    """Tokens of one workspace over the window.

    `given` are those sent to targets that did not turn them away, `begun` those of answers that
    began, `begun_lately` and `late_lately` all of these and the late ones of the last ticks.
    """

    asked: int = 0
    given: int = 0
    begun: int = 0
    begun_lately: int = 0
    late_lately: int = 0

    def add(self, other: "Use", sign: int = 1) -> None:
        """Add the tokens of `other`, or take them away with a `sign` of -1."""
        for name in _COUNTS:
            setattr(self, name, getattr(self, name) + sign * getattr(other, name))

    def add_older(self, other: "Use") -> None:
        """Add the tokens of an older tick, which are not those of late."""
        self.asked += other.asked
        self.given += other.given
        self.begun += other.begun


_COUNTS = tuple(item.name for item in fields(Use))

Uses = dict[str, Use]


def encode_use(workspace: str, use: Use) -> pb.WorkspaceUse:
    """Encode the tokens of a workspace; a message holds no negative ones."""
    counts = {f"{name}_tokens": max(0, getattr(use, name)) for name in _COUNTS}
    return pb.WorkspaceUse(workspace=workspace, **counts)


def decode_use(message: pb.WorkspaceUse) -> Use:
    """Decode the tokens of a workspace."""
    return Use(*(getattr(message, f"{name}_tokens") for name in _COUNTS))


def add_uses(total: Uses, more: Mapping[str, Use], sign: int = 1) -> None:
    """Add the tokens of each workspace to `total`."""
    for workspace, use in more.items():
        total.setdefault(workspace, Use()).add(use, sign)


class OwnUses:
    """The window of this router's own requests."""

    def __init__(self, clock: Clock, window_ms: int):
        self.clock = clock
        self.window_ms = window_ms
        self.fresh: Uses = defaultdict(Use)
        self.ticks: deque[tuple[int, Uses]] = deque()
        # The sum of the ticks, without the fresh tokens.
        self.closed: Uses = {}

    def tick(self) -> None:
        """Close a period of `TICK_MS`."""
        now = self.clock.now()
        self.ticks.append((now, self.fresh))
        self.fresh = defaultdict(Use)
        while self.ticks and self.ticks[0][0] <= now - self.window_ms:
            self.ticks.popleft()
        self.closed = {}
        older = len(self.ticks) - LATELY_TICKS
        for number, (_, uses) in enumerate(self.ticks):
            if number >= older:
                add_uses(self.closed, uses)
                continue
            for workspace, use in uses.items():
                self.closed.setdefault(workspace, Use()).add_older(use)

    def sum(self) -> Uses:
        """Return the tokens of the window by workspace."""
        total: Uses = {}
        add_uses(total, self.closed)
        add_uses(total, self.fresh)
        return total


@dataclass
class _Told:
    uses: Uses
    at: int


class OtherUses:
    """The windows of other routers, by the router that told them."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.told: dict[str, _Told] = {}

    def take(self, source: str, uses: Mapping[str, Use]) -> None:
        """Take the workspaces of `source` that changed."""
        told = self.told.setdefault(source, _Told({}, 0))
        told.at = self.clock.now()
        told.uses.update(uses)

    def replace(self, source: str, uses: Uses) -> None:
        """Take all workspaces of `source`."""
        self.told[source] = _Told(uses, self.clock.now())

    def forget(self, source: str) -> None:
        """Drop what a router told."""
        self.told.pop(source, None)

    def sum(self, sources: frozenset[str] | None = None) -> Uses:
        """Return the tokens of all routers, or of `sources`, that were heard of late."""
        since = self.clock.now() - SUM_LIFETIME_MS
        self.told = {source: told for source, told in self.told.items() if told.at >= since}
        total: Uses = {}
        for source, told in self.told.items():
            if sources is None or source in sources:
                add_uses(total, told.uses)
        return total
