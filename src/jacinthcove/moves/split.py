"""The share of a service's requests that goes to the new version of a move."""

import random
from collections.abc import Callable

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Move, MoveState

# A version without evidence may receive at most this share of its service's requests.
FIRST_STEP_MAX_SHARE = 0.05
# Credits are whole numbers, because sums of fractions drift away from the exact share.
WHOLE_REQUEST = 1_000_000


def effective_share(move: Move, wall_ms: int) -> float:
    """Return the share of `move` in force at `wall_ms`; the first step is capped at 5%."""
    if move.state is MoveState.DONE:
        return 1.0
    if move.state is not MoveState.SHIFTING or not move.start_ms <= wall_ms < move.deadline_ms:
        return 0.0
    share = min(max(move.share, 0.0), 1.0)
    return min(share, FIRST_STEP_MAX_SHARE) if move.step == 0 else share


class VersionSplit:
    """Picks versions by error diffusion, so the share is exact for each service and route.

    `is_cut(move_id, route)` tells whether the new version is cut on a route, `usable(service,
    version)` whether any target of a version takes work.

    With `origin`, the router's id, each route starts with a credit drawn from [0, 1). From zero
    credit no router of a large fleet would send a request to the new version before it has had
    1 / share requests itself. Either way a route has at most ceil(share x total) new requests.
    """

    def __init__(
        self,
        config: Callable[[], FleetConfig],
        clock: Clock,
        is_cut: Callable[[str, str], bool],
        usable: Callable[[str, str], bool],
        origin: str = "",
    ):
        self.config = config
        self.clock = clock
        self.is_cut = is_cut
        self.usable = usable
        self.origin = origin
        self.credits: dict[tuple[str, str], int] = {}
        self.move_ids: dict[str, str] = {}

    def choose(self, service: str, route: str) -> str:
        """Return the version for the next request of `route`; KeyError for an unknown service."""
        config = self.config()
        move = config.active_move(service)
        if move is None:
            return config.services[service].version
        share = 0.0 if self.is_cut(move.id, route) else effective_share(move, self.clock.wall())
        if share <= 0.0:
            return move.from_version
        return self.split(move, route, share)

    def split(self, move: Move, route: str, share: float) -> str:
        """Add the share to the route's credit; a whole credit buys one request of the new one."""
        self.forget_other_moves(move)
        key = (move.service, route)
        credit = self.credits.get(key)
        if credit is None:
            credit = self.first_credit(move, route)
        credit += int(share * WHOLE_REQUEST)
        take_new = credit >= WHOLE_REQUEST
        if take_new and not self.usable(move.service, move.to_version):
            take_new = False
        elif not take_new and not self.usable(move.service, move.from_version):
            take_new = self.usable(move.service, move.to_version)
        if take_new:
            self.credits[key] = max(credit - WHOLE_REQUEST, -WHOLE_REQUEST)
        else:
            # Credit from a time without usable targets is not spent in a burst later.
            self.credits[key] = min(credit, WHOLE_REQUEST)
        return move.to_version if take_new else move.from_version

    def first_credit(self, move: Move, route: str) -> int:
        """Return the credit with which a route starts, the same after every restart."""
        if not self.origin:
            return 0
        seed = f"{self.origin}/{move.service}/{route}/{move.id}"
        return random.Random(seed).randrange(WHOLE_REQUEST)

    def forget_other_moves(self, move: Move) -> None:
        """Start from the first credit when a service has another move than before."""
        if self.move_ids.get(move.service) == move.id:
            return
        self.move_ids[move.service] = move.id
        self.credits = {key: value for key, value in self.credits.items() if key[0] != move.service}
