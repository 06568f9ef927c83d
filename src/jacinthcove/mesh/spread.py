"""Documents that reach every router by pushes to a few peers and pulls on probes."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

import gevent
import structlog

from jacinthcove.errors import PeerUnavailable, StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.documents import Document
from jacinthcove.mesh.kinds import DOCUMENTS_PULL, DOCUMENTS_PUSH
from jacinthcove.mesh.patches import DigestMismatch, digest, patch_push, read_push, whole_push
from jacinthcove.mesh.peers import Members, Peers

KEPT_BODIES = 16
PUSH_FANOUT = 3
# A larger body without a patch is announced by its revision only, and receivers pull it.
MAX_PUSHED_BYTES = 32 * 1024
PULL_TIMEOUT_MS = 3_000
BOOTSTRAP_PEERS = 3
BOOTSTRAP_TIMEOUT_S = 4.0
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 5.0

ReadStore = Callable[[], Document | None]


def broadcast(
    members: Members,
    peers: Peers,
    kind: str,
    message: Any,
    fanout: int,
    rng: random.Random | None = None,
) -> None:
    """Send `message` one-way to `fanout` random live members; it may be lost."""
    others = [m for m in members.alive() if m.id != members.me.id]
    for member in (rng or random.Random()).sample(others, min(fanout, len(others))):
        peers.send(member.id, kind, message)


class SpreadDocuments:
    """`Documents` that spread over `peers`; probing carries the revisions."""

    def __init__(self, members: Members, peers: Peers, rng: random.Random | None = None):
        self.members = members
        self.peers = peers
        self.rng = rng or random.Random()
        self.current: dict[str, Document] = {}
        self.bodies: dict[str, OrderedDict[int, bytes]] = {}
        self.patches: dict[tuple[str, int], pb.DocumentPush | None] = {}
        self.received: dict[str, pb.DocumentPush] = {}
        self.pulling: set[str] = set()
        self.callbacks: dict[str, list[Callable[[Document], None]]] = {}
        self.log = structlog.get_logger()
        peers.register(DOCUMENTS_PULL, self.answer_pull)
        peers.register(DOCUMENTS_PUSH, self.take_push)

    def get(self, kind: str) -> Document | None:
        """Return the newest known document of `kind`, or None."""
        return self.current.get(kind)

    def subscribe(self, kind: str, callback: Callable[[Document], None]) -> None:
        """Call `callback` with every newer document of `kind`."""
        self.callbacks.setdefault(kind, []).append(callback)

    def offer(self, document: Document) -> bool:
        """Take and spread `document` if it is newer than the known one; return whether it was."""
        known = self.current.get(document.kind)
        if document.revision <= (known.revision if known else 0):
            return False
        self._keep(document)
        self.log.info(
            "document_revision_taken",
            member=self.members.me.id,
            kind=document.kind,
            revision=document.revision,
        )
        gevent.spawn(self._push, document, known)
        for callback in self.callbacks.get(document.kind, ()):
            try:
                callback(document)
            except Exception:
                self.log.exception("document_callback_failed", kind=document.kind)
        return True

    def revisions(self) -> list[pb.DocumentRevision]:
        """Return the revisions held here, for probes."""
        return [
            pb.DocumentRevision(kind=d.kind, revision=d.revision) for d in self.current.values()
        ]

    def compare(self, member_id: str, revisions: Iterable[pb.DocumentRevision]) -> None:
        """Start to pull what the member holds newer."""
        for item in revisions:
            if item.revision > self._revision(item.kind) and item.kind not in self.pulling:
                self.pulling.add(item.kind)
                gevent.spawn(self._pull_once, member_id, item.kind)

    def pull(self, member_id: str, kind: str) -> int:
        """Fetch and take the member's document; returns its revision there, 0 for none.

        Raises `PeerUnavailable`.
        """
        push = self._ask(member_id, kind, self._revision(kind))
        if push.revision > self._revision(kind):
            try:
                document = self._read(push)
            except DigestMismatch as error:
                self.log.warning("document_pulled_whole", member=member_id, reason=str(error))
                push = self._ask(member_id, kind, 0)
                document = self._read(push)
            self._take(push, document)
        return push.revision

    def answer_pull(self, sender: str, pull: pb.DocumentPull) -> pb.DocumentPush:
        """Answer with what is newer than `have_revision`; revision 0 means no document."""
        document = self.current.get(pull.kind)
        if document is None:
            return pb.DocumentPush(kind=pull.kind)
        if pull.have_revision >= document.revision:
            return pb.DocumentPush(kind=pull.kind, revision=document.revision)
        return self._patch(document, pull.have_revision) or whole_push(document)

    def take_push(self, sender: str, push: pb.DocumentPush) -> None:
        """Take a pushed document, or pull it from the sender when the push is not enough."""
        if push.revision <= self._revision(push.kind):
            return
        try:
            self._take(push, self._read(push))
        except DigestMismatch:
            notice = pb.DocumentRevision(kind=push.kind, revision=push.revision)
            self.compare(sender, [notice])

    def bootstrap(self, kind: str, read_store: ReadStore) -> Document | None:
        """Take the highest revision among up to three peers and the store.

        Waits until at least one of them answers. A peer that holds no document does not count as
        an answer, because it may be starting too; an empty store does.
        """
        retry_s = FIRST_RETRY_S
        while not self._ask_all(kind, read_store):
            self.log.warning("no_source_for_document", kind=kind, member=self.members.me.id)
            gevent.sleep(retry_s * self.rng.uniform(0.5, 1.5))
            retry_s = min(retry_s * 2, MAX_RETRY_S)
        return self.get(kind)

    def _take(self, push: pb.DocumentPush, document: Document) -> None:
        # Passing the sender's patch on saves making it anew at every router.
        if push.patch_from:
            self.received[document.kind] = push
        self.offer(document)

    def _ask_all(self, kind: str, read_store: ReadStore) -> bool:
        others = [m.id for m in self.members.alive() if m.id != self.members.me.id]
        chosen = self.rng.sample(others, min(BOOTSTRAP_PEERS, len(others)))
        calls = [gevent.spawn(self._answers, member_id, kind) for member_id in chosen]
        calls.append(gevent.spawn(self._store_answers, read_store))
        gevent.joinall(calls, timeout=BOOTSTRAP_TIMEOUT_S)
        answered = any(call.value for call in calls)
        gevent.killall(calls, block=False)
        return answered

    def _answers(self, member_id: str, kind: str) -> bool:
        try:
            return self.pull(member_id, kind) > 0
        except (PeerUnavailable, DigestMismatch):
            return False

    def _store_answers(self, read_store: ReadStore) -> bool:
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

    def _keep(self, document: Document) -> None:
        self.current[document.kind] = document
        bodies = self.bodies.setdefault(document.kind, OrderedDict())
        bodies[document.revision] = document.body
        while len(bodies) > KEPT_BODIES:
            bodies.popitem(last=False)
        for key in [k for k in self.patches if k[0] == document.kind]:
            del self.patches[key]

    def _read(self, push: pb.DocumentPush) -> Document:
        bodies = self.bodies.get(push.kind)
        return read_push(push, bodies.get(push.patch_from) if bodies else None)

    def _patch(self, document: Document, from_revision: int) -> pb.DocumentPush | None:
        key = (document.kind, from_revision)
        received = self.received.get(document.kind)
        if received and (received.patch_from, received.revision) == (
            from_revision,
            document.revision,
        ):
            return received
        if key not in self.patches:
            old_body = self.bodies[document.kind].get(from_revision)
            made = None if old_body is None else patch_push(document, from_revision, old_body)
            if self.current[document.kind] is not document:
                return made
            self.patches[key] = made
        return self.patches[key]

    def _ask(self, member_id: str, kind: str, have_revision: int) -> pb.DocumentPush:
        pull = pb.DocumentPull(kind=kind, have_revision=have_revision)
        push: pb.DocumentPush = self.peers.call(member_id, DOCUMENTS_PULL, pull, PULL_TIMEOUT_MS)
        return push

    def _pull_once(self, member_id: str, kind: str) -> None:
        try:
            self._answers(member_id, kind)
        finally:
            self.pulling.discard(kind)

    def _push(self, document: Document, known: Document | None) -> None:
        push = self._patch(document, known.revision) if known else None
        if push is None and len(document.body) <= MAX_PUSHED_BYTES:
            push = whole_push(document)
        elif push is None:
            push = pb.DocumentPush(
                kind=document.kind, revision=document.revision, digest=digest(document.body)
            )
        broadcast(self.members, self.peers, DOCUMENTS_PUSH, push, PUSH_FANOUT, self.rng)
