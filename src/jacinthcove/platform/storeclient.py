"""Client of the platform's store, which holds objects by kind and name."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import gevent
import orjson
import structlog

from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.platform.names import OBJECTS_PATH, STATUS_PATH, STORE_ERA
from jacinthcove.store import lenientjson
from jacinthcove.store.connections import Connections, NoReply, Reply
from jacinthcove.store.kinds import (
    Change,
    HistoryGone,
    KindObject,
    Listing,
    StoreRevision,
    WatchResult,
)

log = structlog.get_logger()

MAX_ERA = 2**53
# Members of responses whose own members are read one by one if the response has an unreadable part.
CONTAINERS = frozenset(("items", "events", "object", "metadata"))
# The response of a watch may arrive this much later than its wait ends.
WATCH_SLACK_MS = 600


def _decode_object(data: Any) -> KindObject:
    metadata = data["metadata"]
    return KindObject(
        str(metadata["name"]),
        int(metadata["revision"]),
        data.get("spec"),
        data.get("status"),
        int(metadata.get("created_rev") or 0),
    )


def _let_others_run() -> None:
    gevent.sleep(0)


@dataclass(frozen=True)
class _Page:
    """The body of a response to a read, and the era that it belongs to."""

    data: Any
    era: int


class PlatformStoreClient:
    """Calls the store; every call raises `StoreUnavailable` when no usable response arrives.

    The effect of a write without a response is unknown. `calls` counts the calls by operation. Each
    kind is read on connections of its own, so that a duplicated response is never taken for that of
    another kind. `era` rises each time that the store comes back from an older copy; `on_restored`
    are called then.
    """

    def __init__(self, address: str, timeout_ms: int):
        self.timeout_ms = timeout_ms
        self.address = address
        self.connections = Connections(address, timeout_ms)
        self.read_connections: dict[str, Connections] = {}
        self.calls: Counter[str] = Counter()
        # None before the first response.
        self.era: int | None = None
        self.on_restored: list[Callable[[int], None]] = []

    def close(self) -> None:
        """Close all idle connections."""
        for connections in (self.connections, *self.read_connections.values()):
            connections.close()

    def list_all(self, kind: str) -> Listing:
        """Return all objects of `kind`, read page by page, at the revision of the first page."""
        objects: list[KindObject] = []
        revision: StoreRevision | None = None
        page_query: list[str] = []
        while True:
            page = self._read(kind, page_query)
            try:
                objects += [_decode_object(item) for item in page.data["items"]]
                if revision is None:
                    revision = StoreRevision(page.era, int(page.data["current_rev"]))
                more = bool(page.data.get("has_more"))
            except (KeyError, TypeError, ValueError) as error:
                raise StoreUnavailable(f"the list of {kind} is malformed: {error!r}") from error
            if page.era != revision.era:
                raise StoreUnavailable(f"the list of {kind} is from two copies of the store")
            if not more or not objects:
                return Listing(tuple(objects), revision)
            page_query = [f"after_rev={quote(objects[-1].name, safe='')}"]

    def watch(self, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        """Wait up to `wait_ms` for changes after `revision`; raises `HistoryGone` if too old."""
        query = [f"watch={revision.number}", f"wait_ms={wait_ms}"]
        page = self._read(kind, query, wait_ms)
        if page.era != revision.era:
            raise HistoryGone(f"the history of {kind} is that of another copy of the store")
        try:
            changes = [
                Change(_decode_object(event["object"]), bool(event["deleted"]))
                for event in page.data["events"]
            ]
            current = StoreRevision(page.era, int(page.data["current_rev"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailable(f"the changes of {kind} are malformed: {error!r}") from error
        if current < revision:
            raise StoreUnavailable(
                f"changes of {kind} at {current.number} are older than {revision.number}"
            )
        return WatchResult(changes, current, 0 if changes else wait_ms)

    def get(self, kind: str, name: str) -> KindObject | None:
        """Return one object, or None if it does not exist."""
        reply = self._call("get", "GET", f"{OBJECTS_PATH}{kind}/{quote(name, safe='')}")
        if reply.status == 404:
            return None
        found = _decode_object(self._decode_body(reply))
        if found.name != name:
            raise StoreUnavailable(f"the response for {kind}/{name} contains {found.name}")
        return found

    def create(self, kind: str, name: str, spec: Any) -> bool:
        """Create an object unless it exists; returns whether it is new."""
        body = orjson.dumps({"metadata": {"name": name}, "spec": spec})
        reply = self._call("create", "POST", f"{OBJECTS_PATH}{kind}", body)
        if reply.status == 409:
            return False
        self._check_written(reply, name)
        return True

    def ensure(self, kind: str, name: str, spec: Any) -> KindObject:
        """Create an object unless it exists; returns the stored one, with revision 0 if new."""
        if self.create(kind, name, spec):
            return KindObject(name, 0, spec)
        stored = self.get(kind, name)
        if stored is None:
            raise StoreUnavailable(f"{kind}/{name} could neither be created nor found")
        return stored

    def replace(self, kind: str, name: str, spec: Any, revision: int) -> int:
        """Replace the spec of an object; raises `Conflict` unless it still has `revision`.

        Returns the new revision, 0 if the response does not contain the object as written: it may
        be the duplicate of an earlier one.
        """
        metadata = {"name": name, "revision": revision}
        body = orjson.dumps({"metadata": metadata, "spec": spec})
        path = f"{OBJECTS_PATH}{kind}/{quote(name, safe='')}"
        reply = self._call("replace", "PUT", path, body)
        self._check_written(reply, name)
        return _written_revision(reply, name, spec)

    def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        reply = self._call("delete", "DELETE", f"{OBJECTS_PATH}{kind}/{quote(name, safe='')}")
        if reply.status not in (200, 204, 404):
            raise StoreUnavailable(f"the store returned status {reply.status}")

    def replace_status(self, kind: str, name: str, status: Any, revision: int) -> None:
        """Replace the status of an object; raises `Conflict` unless it still has `revision`."""
        metadata = {"name": name, "revision": revision}
        body = orjson.dumps({"metadata": metadata, "status": status})
        path = f"{OBJECTS_PATH}{kind}/{quote(name, safe='')}{STATUS_PATH}"
        self._check_written(self._call("replace_status", "PUT", path, body), name)

    def _read(self, kind: str, query: list[str], wait_ms: int = 0) -> _Page:
        path = f"{OBJECTS_PATH}{kind}" + (f"?{'&'.join(query)}" if query else "")
        call = "watch" if wait_ms else "list"
        if kind not in self.read_connections:
            self.read_connections[kind] = Connections(self.address, self.timeout_ms, max_idle=1)
        timeout_ms = wait_ms + WATCH_SLACK_MS if wait_ms else self.timeout_ms
        reply = self._call(
            call, "GET", path, pool=self.read_connections[kind], timeout_ms=timeout_ms
        )
        if reply.status == 410:
            raise HistoryGone(f"the history of {kind} is gone")
        return _Page(self._decode_body(reply), decode_era(reply))

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes = b"",
        pool: Connections | None = None,
        timeout_ms: int | None = None,
    ) -> Reply:
        self.calls[call] += 1
        headers = {"Content-Type": "application/json"} if body else None
        try:
            reply = (pool or self.connections).request(method, path, body, headers, timeout_ms)
        except NoReply as error:
            raise StoreUnavailable(str(error)) from error
        self._record_era(decode_era(reply))
        return reply

    def _record_era(self, era: int) -> None:
        """Record the era of a response; raises `StoreUnavailable` if it is from an older copy."""
        if self.era is not None and era < self.era:
            raise StoreUnavailable(f"a response of era {era} came after one of era {self.era}")
        before, self.era = self.era, era
        if before is not None and era > before:
            log.warning("store_restored", era=era, before=before)
            for listener in self.on_restored:
                listener(era)

    def _decode_body(self, reply: Reply) -> Any:
        if reply.status not in (200, 201):
            raise StoreUnavailable(f"the store returned status {reply.status}")
        try:
            return lenientjson.loads(reply.body, CONTAINERS, _let_others_run)
        except orjson.JSONDecodeError as error:
            raise StoreUnavailable(f"the response of the store is not JSON: {error}") from error

    def _check_written(self, reply: Reply, name: str) -> None:
        if reply.status == 409:
            raise Conflict(name, 0)
        if reply.status not in (200, 201):
            raise StoreUnavailable(f"the store returned status {reply.status}")


def _written_revision(reply: Reply, name: str, spec: Any) -> int:
    """Return the revision that the response to a write of `spec` names, 0 if it names none."""
    try:
        written = _decode_object(orjson.loads(reply.body))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return 0
    return written.revision if (written.name, written.spec) == (name, spec) else 0


def decode_era(reply: Reply) -> int:
    """Return the era that a response of the store names, 0 if it names none."""
    text = reply.headers.get(STORE_ERA.lower(), "0").strip()
    if not text.isascii() or not text.isdigit() or int(text) > MAX_ERA:
        raise StoreUnavailable(f"unreadable {STORE_ERA}: {text[:40]!r}")
    return int(text)
