"""Lists a kind at another router, page by page, instead of at the store.

Answers the load of a start and of the end of an outage, when every router needs all objects at
once. Any router gives what it has, with its revision and age, and the asker decides on its use.
"""

from jacinthcove.clock import Clock
from jacinthcove.entries.screen import KeptList, ObjectScreen
from jacinthcove.errors import StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import STORE_LIST_PULL
from jacinthcove.mesh.peers import Peers
from jacinthcove.store.kinds import Listing, StoreRevision
from jacinthcove.store.relaycodec import decode_objects

PAGE_TIMEOUT_MS = 400


def pull_listing(
    clock: Clock,
    peers: Peers,
    router: str,
    kind: str,
    at_least: StoreRevision,
    max_age_ms: int,
    screen: ObjectScreen | None = None,
) -> Listing:
    """Return all objects of a kind from another router, at the revision of the first page.

    Raises `PeerUnavailable`, or `StoreUnavailable` if what it has is before `at_least` or too old.
    Later pages may be newer, as in a list of the store: the changes since the revision follow.
    """
    kept = KeptList(screen or ObjectScreen(), kind)
    last_name = ""
    first: StoreRevision | None = None
    known_at = clock.boot()
    while True:
        message = pb.StoreListPull(kind=kind, after=last_name)
        page = peers.call(router, STORE_LIST_PULL, message, PAGE_TIMEOUT_MS)
        revision = StoreRevision(page.era, page.revision)
        if page.unknown:
            raise StoreUnavailable(f"{router} does not have the objects of {kind}")
        if first is None:
            if revision < at_least:
                raise StoreUnavailable(f"{router} has an older state of {kind} than was known")
            if page.age_ms >= max_age_ms:
                raise StoreUnavailable(f"{router} has had no word of {kind} for {page.age_ms} ms")
            first = revision
            known_at -= page.age_ms
        if revision.era != first.era or revision < first:
            raise StoreUnavailable(f"the objects of {kind} changed their copy between pages")
        for item in decode_objects(page):
            last_name = item.name
            kept.add(item)
        if not page.more or not page.objects:
            return Listing(tuple(kept.objects), first, known_at)
