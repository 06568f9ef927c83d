"""Gossip of documents: pushes to a few peers, and pulls when a probe shows a newer revision."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

import gevent
import structlog

from jacinthcove.errors import PeerUnavailable, StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.documents import Document
from jacinthcove.mesh.fanout import other_ids
from jacinthcove.mesh.kinds import DOCUMENTS_PULL, DOCUMENTS_PUSH
from jacinthcove.mesh.patches import (
    DigestMismatch,
    decode_push,
    digest,
    make_full_push,
    make_patch_push,
)
from jacinthcove.mesh.peers import Members, Peers

MAX_RECENT_BODIES = 16
PUSH_FANOUT = 3
# Of a larger body without a patch only the revision is pushed, and receivers pull the body.
MAX_PUSHED_BYTES = 32 * 1024
PULL_TIMEOUT_MS = 3_000
BOOTSTRAP_PEERS = 3
BOOTSTRAP_TIMEOUT_S = 4.0
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 5.0

ReadStore = Callable[[], Document | None]


def send_to_random_members(
    members: Members,
    peers: Peers,
    kind: str,
    message: Any,
    fanout: int,
    rng: random.Random | None = None,
) -> None:
    """Send `message` one-way to `fanout` random live members; it may be lost."""
    others = other_ids(members)
    for router in (rng or random.Random()).sample(others, min(fanout, len(others))):
        peers.send(router, kind, message)


class GossipedDocuments:
    """Implements `Documents` by gossip over `peers`; probes carry the revisions."""

    def __init__(self, members: Members, peers: Peers, rng: random.Random | None = None):
        self.members = members
        self.peers = peers
        self.rng = rng or random.Random()
        self.current: dict[str, Document] = {}
        self.recent_bodies: dict[str, OrderedDict[int, bytes]] = {}
        self.cached_patches: dict[tuple[str, int], pb.DocumentPush | None] = {}
        self.received_patches: dict[str, pb.DocumentPush] = {}
        self.pulling: set[str] = set()
        self.callbacks: dict[str, list[Callable[[Document], None]]] = {}
        self.log = structlog.get_logger()
        peers.register(DOCUMENTS_PULL, self.handle_pull)
        peers.register(DOCUMENTS_PUSH, self.handle_push)

    def get(self, kind: str) -> Document | None:
        """Return the newest known document of `kind`, or None."""
        return self.current.get(kind)

    def subscribe(self, kind: str, callback: Callable[[Document], None]) -> None:
        """Call `callback` with each document of `kind` that is newer than the known one."""
        self.callbacks.setdefault(kind, []).append(callback)

    def offer(self, document: Document) -> bool:
        """Store and distribute `document` if it is newer; return whether it was."""
        known = self.current.get(document.kind)
        if document.revision <= (known.revision if known else 0):
            return False
        self._store_document(document)
        self.log.info(
            "document_revision_taken",
            member=self.members.me.id,
            kind=document.kind,
            revision=document.revision,
        )
        gevent.spawn(self._push_to_peers, document, known)
        for callback in self.callbacks.get(document.kind, ()):
            try:
                callback(document)
            except Exception:
                self.log.exception("document_callback_failed", kind=document.kind)
        return True

    def revisions(self) -> list[pb.DocumentRevision]:
        """Return the revision of each document that this router has, for probes."""
        return [
            pb.DocumentRevision(kind=d.kind, revision=d.revision) for d in self.current.values()
        ]

    def pull_newer(self, member_id: str, revisions: Iterable[pb.DocumentRevision]) -> None:
        """Start pulling documents of which the member has a newer revision."""
        for item in revisions:
            if item.revision > self._revision(item.kind) and item.kind not in self.pulling:
                self.pulling.add(item.kind)
                gevent.spawn(self._pull_once, member_id, item.kind)

    def pull(self, member_id: str, kind: str) -> int:
        """Fetch the member's document and store it if newer; return its revision, 0 for none.

        A patch that does not apply is replaced by the full body. Raises `PeerUnavailable`, and
        `DigestMismatch` if the full body is corrupt too.
        """
        push = self._request_document(member_id, kind, self._revision(kind))
        if push.revision > self._revision(kind):
            try:
                document = self._decode(push)
            except DigestMismatch as error:
                self.log.warning("document_pulled_whole", member=member_id, reason=str(error))
                push = self._request_document(member_id, kind, 0)
                document = self._decode(push)
            self._accept_push(push, document)
        return push.revision

    def handle_pull(self, sender: str, pull: pb.DocumentPull) -> pb.DocumentPush:
        """Return a patch or full body newer than `have_revision`; revision 0 for no document."""
        document = self.current.get(pull.kind)
        if document is None:
            return pb.DocumentPush(kind=pull.kind)
        if pull.have_revision >= document.revision:
            return pb.DocumentPush(kind=pull.kind, revision=document.revision)
        return self._patch_from(document, pull.have_revision) or make_full_push(document)

    def handle_push(self, sender: str, push: pb.DocumentPush) -> None:
        """Store a pushed document, or pull it from the sender if the push cannot be decoded."""
        if push.revision <= self._revision(push.kind):
            return
        try:
            self._accept_push(push, self._decode(push))
        except DigestMismatch:
            newer = pb.DocumentRevision(kind=push.kind, revision=push.revision)
            self.pull_newer(sender, [newer])

    def bootstrap(self, kind: str, read_store: ReadStore) -> Document | None:
        """Return the highest revision among up to three peers and the store, None if empty.

        Retries until at least one of them responds. A peer without the document does not count,
        because it may be starting too; an empty store counts.
        """
        retry_s = FIRST_RETRY_S
        while not self._query_sources(kind, read_store):
            self.log.warning("no_source_for_document", kind=kind, member=self.members.me.id)
            gevent.sleep(retry_s * self.rng.uniform(0.5, 1.5))
            retry_s = min(retry_s * 2, MAX_RETRY_S)
        return self.get(kind)

    def _accept_push(self, push: pb.DocumentPush, document: Document) -> None:
        # The received patch is forwarded, so that not every router has to compute it.
        if push.patch_from:
            self.received_patches[document.kind] = push
        self.offer(document)

    def _query_sources(self, kind: str, read_store: ReadStore) -> bool:
        others = other_ids(self.members)
        chosen = self.rng.sample(others, min(BOOTSTRAP_PEERS, len(others)))
        calls = [gevent.spawn(self._pull_from, member_id, kind) for member_id in chosen]
        calls.append(gevent.spawn(self._read_from_store, read_store))
        gevent.joinall(calls, timeout=BOOTSTRAP_TIMEOUT_S)
        answered = any(call.value for call in calls)
        gevent.killall(calls, block=False)
        return answered

    def _pull_from(self, member_id: str, kind: str) -> bool:
        try:
            return self.pull(member_id, kind) > 0
        except (PeerUnavailable, DigestMismatch):
            return False

    def _read_from_store(self, read_store: ReadStore) -> bool:
        try:
            document = read_store()
        except StoreUnavailable:
            return False
        if document is not None:
            self.offer(document)
        return True

    def _revision(self, kind: str) -> int:
        document = self.current.get(kind)
        return document.revision if document else 0

    def _store_document(self, document: Document) -> None:
        self.current[document.kind] = document
        bodies = self.recent_bodies.setdefault(document.kind, OrderedDict())
        bodies[document.revision] = document.body
        while len(bodies) > MAX_RECENT_BODIES:
            bodies.popitem(last=False)
        for key in [k for k in self.cached_patches if k[0] == document.kind]:
            del self.cached_patches[key]

    def _decode(self, push: pb.DocumentPush) -> Document:
        bodies = self.recent_bodies.get(push.kind)
        return decode_push(push, bodies.get(push.patch_from) if bodies else None)

    def _patch_from(self, document: Document, from_revision: int) -> pb.DocumentPush | None:
        key = (document.kind, from_revision)
        received = self.received_patches.get(document.kind)
        if received and (received.patch_from, received.revision) == (
            from_revision,
            document.revision,
        ):
            return received
        if key not in self.cached_patches:
            old_body = self.recent_bodies[document.kind].get(from_revision)
            patch = None if old_body is None else make_patch_push(document, from_revision, old_body)
            if self.current[document.kind] is not document:
                return patch
            self.cached_patches[key] = patch
        return self.cached_patches[key]

    def _request_document(self, member_id: str, kind: str, have_revision: int) -> pb.DocumentPush:
        pull = pb.DocumentPull(kind=kind, have_revision=have_revision)
        push: pb.DocumentPush = self.peers.call(member_id, DOCUMENTS_PULL, pull, PULL_TIMEOUT_MS)
        return push

    def _pull_once(self, member_id: str, kind: str) -> None:
        try:
            self._pull_from(member_id, kind)
        finally:
            self.pulling.discard(kind)

    def _push_to_peers(self, document: Document, known: Document | None) -> None:
        push = self._patch_from(document, known.revision) if known else None
        if push is None and len(document.body) <= MAX_PUSHED_BYTES:
            push = make_full_push(document)
        elif push is None:
            push = pb.DocumentPush(
                kind=document.kind, revision=document.revision, digest=digest(document.body)
            )
        send_to_random_members(
            self.members, self.peers, DOCUMENTS_PUSH, push, PUSH_FANOUT, self.rng
        )
