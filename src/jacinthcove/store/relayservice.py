"""Serves what this router knows of the store to other routers."""

from collections.abc import Mapping

from jacinthcove.clock import Clock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import STORE_LIST_PULL, STORE_PULL
from jacinthcove.mesh.peers import Peers
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.kinds import StoreRevision
from jacinthcove.store.relaycodec import encode_page, encode_result

# Longest wait of a pull for changes.
PULL_WAIT_MS = 1_000


class RelayService:
    """Replies to pulls of changes and of lists from the logs of all kinds."""

    def __init__(self, clock: Clock, logs: Mapping[str, ChangeLog]):
        self.clock = clock
        self.logs = logs

    def register(self, peers: Peers) -> None:
        """Start to serve other routers."""
        peers.register(STORE_PULL, self.serve_pull)
        peers.register(STORE_LIST_PULL, self.serve_list)

    def kind_news(self) -> list[pb.KindNews]:
        """Return the revisions of the kinds that this router watches in the store itself."""
        now = self.clock.boot()
        return [
            pb.KindNews(
                kind=kind,
                revision=log.changed_revision.number,
                era=log.changed_revision.era,
                age_ms=max(0, now - log.known_at),
            )
            for kind, log in self.logs.items()
            if log.watches_store
        ]

    def serve_pull(self, sender: str, message: pb.StorePull) -> pb.StoreNews:
        """Serve the changes of a kind to another router; `unknown` tells it to ask the store."""
        del sender
        changes = self.logs.get(message.kind)
        if changes is None:
            return pb.StoreNews(unknown=True)
        try:
            revision = StoreRevision(message.era, message.revision)
            result = changes.since(revision, min(message.wait_ms, PULL_WAIT_MS))
        except StoreUnavailable:
            same_era = changes.watches_store and changes.revision.era == message.era
            list_again = same_era and revision < changes.base_revision
            return pb.StoreNews(unknown=True, era=changes.revision.era, list_again=list_again)
        return encode_result(result)

    def serve_list(self, sender: str, message: pb.StoreListPull) -> pb.StoreListPage:
        """Serve the objects of a kind to another router."""
        del sender
        if message.kind not in self.logs:
            return pb.StoreListPage(unknown=True)
        return encode_page(self.logs[message.kind].snapshot, message.after, self.clock.boot())
