"""Calls of several other routers at once."""

from collections.abc import Iterable
from typing import Any

import structlog
from gevent.pool import Pool

from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh.peers import Members, Peers

log = structlog.get_logger()

# Below the connection limit, so that a call of all members does not close streams in use.
CONCURRENT_CALLS = 32


def other_ids(members: Members) -> list[str]:
    """Return the ids of the other routers that are alive or suspect."""
    return [member.id for member in members.alive() if member.id != members.me.id]


def call_all(
    peers: Peers,
    ids: Iterable[str],
    kind: str,
    message: Any,
    timeout_ms: int,
    concurrency: int = CONCURRENT_CALLS,
) -> dict[str, Any]:
    """Send `message` to each router and return the replies of those that answer, by id."""
    replies: dict[str, Any] = {}

    def call(router: str) -> None:
        try:
            replies[router] = peers.call(router, kind, message, timeout_ms)
        except PeerUnavailable as error:
            log.debug("router_not_reached", router=router, kind=kind, reason=str(error))

    pool = Pool(concurrency)
    for router in ids:
        pool.spawn(call, router)
    pool.join()
    return replies
