"""Encodes what routers tell each other about the store."""

from jacinthcove.entries.screen import ObjectScreen
from jacinthcove.errors import StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.store.encodedjson import EncodedJson, encode_json
from jacinthcove.store.kinds import Change, KindObject, StoreRevision, WatchResult
from jacinthcove.store.snapshot import Snapshot


def encode_result(result: WatchResult) -> pb.StoreNews:
    """Encode a watch result for another router."""
    return pb.StoreNews(
        revision=result.revision.number,
        era=result.revision.era,
        age_ms=result.relay_age_ms,
        changes=[_encode_change(change) for change in result.changes],
    )


def decode_result(
    message: pb.StoreNews, kind: str = "", screen: ObjectScreen | None = None
) -> WatchResult:
    """Decode another router's watch result; raises `StoreUnavailable` if there is no usable one."""
    if message.unknown:
        raise StoreUnavailable("the other router does not watch the store at present")
    revision = StoreRevision(message.era, message.revision)
    screen = screen or ObjectScreen()
    changes = [screen.admit_change(kind, _decode_change(item)) for item in message.changes]
    return WatchResult(changes, revision, relay_age_ms=message.age_ms)


def encode_page(snapshot: Snapshot, after: str, now: int) -> pb.StoreListPage:
    """Encode the objects of a snapshot after a name; `now` is boot milliseconds."""
    if snapshot.revision is None:
        return pb.StoreListPage(unknown=True)
    page = snapshot.page(after)
    return pb.StoreListPage(
        revision=snapshot.revision.number,
        era=snapshot.revision.era,
        age_ms=max(0, now - snapshot.known_at),
        objects=[_encode_change(Change(item, False)) for item in page.objects],
        more=page.more,
    )


def decode_objects(message: pb.StoreListPage) -> list[KindObject]:
    """Return the objects of a page with their values still encoded, for a screen to admit."""
    return [_decode_change(item).object for item in message.objects]


def _encode_change(change: Change) -> pb.StoreChange:
    item = change.object
    return pb.StoreChange(
        name=item.name,
        revision=item.revision,
        created_revision=item.created_revision,
        spec=encode_json(item.spec),
        status=encode_json(item.status),
        # Whoever receives it finds out that it is odd.
        deleted=change.deleted and not change.odd,
    )


def _decode_change(message: pb.StoreChange) -> Change:
    item = KindObject(
        message.name,
        message.revision,
        EncodedJson(message.spec),
        EncodedJson(message.status),
        message.created_revision,
    )
    return Change(item, message.deleted)
