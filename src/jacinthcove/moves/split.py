"""Splits the requests of a service between the versions of a move."""

import random
from collections.abc import Callable

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Move, MoveState

# A version without evidence may receive at most this share of its service's requests.
FIRST_STEP_MAX_SHARE = 0.05
# Credits are integers, because rounding errors of summed floats would change the share.
WHOLE_REQUEST = 1_000_000


def effective_share(move: Move, wall_ms: int) -> float:
    """Return the share of the new version at `wall_ms`; the first step is capped at 5%."""
    if move.state is MoveState.DONE:
        return 1.0
    if move.state is not MoveState.SHIFTING or not move.start_ms <= wall_ms < move.deadline_ms:
        return 0.0
    share = min(max(move.share, 0.0), 1.0)
    return min(share, FIRST_STEP_MAX_SHARE) if move.step == 0 else share


class VersionSplit:
    """Picks versions by error diffusion, so the share is exact for each service and route.

    Each request adds the share to the credit of its route, and a request to the new version costs
    1. `is_cut(move_id, route)` returns whether the new version is cut off from a route,
    `usable(service, version)` whether any target of a version takes work.

    With `router_id`, each route starts with a pseudo-random credit from [0, 1). If all started
    with 0, no router of a large fleet would use the new version before its own first 1 / share
    requests. In both cases a route sends at most ceil(share x total) requests to the new version.
    """

    def __init__(
        self,
        config: Callable[[], FleetConfig],
        clock: Clock,
        is_cut: Callable[[str, str], bool],
        usable: Callable[[str, str], bool],
        router_id: str = "",
    ):
        self.config = config
        self.clock = clock
        self.is_cut = is_cut
        self.usable = usable
        self.router_id = router_id
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
        return self.choose_by_credit(move, route, share)

    def choose_by_credit(self, move: Move, route: str, share: float) -> str:
        """Add `share` to the route's credit; use the new version if the credit reaches 1.

        If the version chosen so has no usable target, the other one is used if it has any.
        """
        self.reset_for_move(move)
        key = (move.service, route)
        credit = self.credits.get(key)
        if credit is None:
            credit = self.initial_credit(move, route)
        credit += int(share * WHOLE_REQUEST)
        take_new = credit >= WHOLE_REQUEST
        if take_new and not self.usable(move.service, move.to_version):
            take_new = False
        elif not take_new and not self.usable(move.service, move.from_version):
            take_new = self.usable(move.service, move.to_version)
        if take_new:
            self.credits[key] = max(credit - WHOLE_REQUEST, -WHOLE_REQUEST)
        else:
            # The limit prevents a burst after a time without usable targets.
            self.credits[key] = min(credit, WHOLE_REQUEST)
        return move.to_version if take_new else move.from_version

    def initial_credit(self, move: Move, route: str) -> int:
        """Return the credit with which a route starts; it is the same after every restart."""
        if not self.router_id:
            return 0
        seed = f"{self.router_id}/{move.service}/{route}/{move.id}"
        return random.Random(seed).randrange(WHOLE_REQUEST)

    def reset_for_move(self, move: Move) -> None:
        """Reset the credits of a service when it has another move than before."""
        if self.move_ids.get(move.service) == move.id:
            return
        self.move_ids[move.service] = move.id
        self.credits = {key: value for key, value in self.credits.items() if key[0] != move.service}
