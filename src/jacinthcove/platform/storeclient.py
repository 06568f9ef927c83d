"""Client of the platform's store, which holds objects by kind and name."""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import gevent
import orjson
import structlog

from jacinthcove.entries.scanner import MalformedTextError
from jacinthcove.entries.screen import MAX_NAME_CHARS, KeptList, ObjectScreen, object_bytes
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.platform.names import OBJECTS_PATH, STATUS_PATH, STORE_ERA
from jacinthcove.platform.replies import CONTAINERS, ObjectsReader, decode_object
from jacinthcove.store import lenientjson
from jacinthcove.store.connections import Connections, NoReply, Reply, ReplyBody
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
# The response of a watch may arrive this much later than its wait ends.
WATCH_SLACK_MS = 600
# A response with one object, which is `value_bytes` at most, and what stands around it.
MAX_OBJECT_REPLY_BYTES = 1_280 * 1024
# The changes of one response that are kept; of more, the list is read again.
MAX_CHANGES_BYTES = 4 * 1024 * 1024
# Work on a piece of a response after which others run no longer than for one pass of the loop.
SHORT_WORK_S = 0.002
LAST_CHARACTER = "\U0010ffff"


def _let_others_run() -> None:
    gevent.sleep(0)


class _Pacer:
    """Leaves the event loop to others for as long as the work on a piece has taken."""

    def __init__(self) -> None:
        self.began_at = time.perf_counter()

    def pause(self) -> None:
        worked_s = time.perf_counter() - self.began_at
        gevent.sleep(worked_s if worked_s > SHORT_WORK_S else 0)
        self.began_at = time.perf_counter()


@dataclass(frozen=True)
class _Page:
    """The members of a response to a read beside its objects, and the era that it belongs to."""

    members: Mapping[str, Any]
    era: int


class PlatformStoreClient:
    """Calls the store; every call raises `StoreUnavailable` when no usable response arrives.

    The effect of a write without a response is unknown. `calls` counts the calls by operation. Each
    kind is read on connections of its own, so that a duplicated response is never taken for that of
    another kind. `era` rises each time that the store comes back from an older copy; `on_restored`
    are called then.
    """

    def __init__(self, address: str, timeout_ms: int, screen: ObjectScreen | None = None):
        self.timeout_ms = timeout_ms
        self.screen = screen or ObjectScreen()
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
        """Return the objects of `kind`, read page by page, at the revision of the first page."""
        kept = KeptList(self.screen, kind)
        last_name = ""

        def on_object(part: Any) -> None:
            nonlocal last_name
            item = decode_object(part)
            last_name = item.name
            kept.add(item)

        revision: StoreRevision | None = None
        page_query: list[str] = []
        while True:
            name_before, last_name = last_name, ""
            try:
                page = self._read(kind, page_query, on_object)
                if "items" not in page.members:
                    raise KeyError("items")
                if revision is None:
                    revision = StoreRevision(page.era, int(page.members["current_rev"]))
            except (KeyError, TypeError, ValueError) as error:
                raise StoreUnavailable(f"the list of {kind} is malformed: {error!r}") from error
            if page.era != revision.era:
                raise StoreUnavailable(f"the list of {kind} is from two copies of the store")
            if not page.members.get("has_more") or not last_name or last_name == name_before:
                return Listing(tuple(kept.objects), revision)
            page_query = [f"after_rev={quote(_page_start(last_name), safe='')}"]

    def watch(self, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        """Wait up to `wait_ms` for changes after `revision`; raises `HistoryGone` if too old.

        Also raises `HistoryGone` if there are more changes than this router keeps at a time.
        """
        changes: list[Change] = []
        changed_bytes = 0

        def on_event(part: Any) -> None:
            nonlocal changed_bytes
            found = Change(decode_object(part["object"]), bool(part["deleted"]))
            changes.append(self.screen.admit_change(kind, found))
            changed_bytes += object_bytes(changes[-1].object)
            if changed_bytes > MAX_CHANGES_BYTES:
                raise HistoryGone(f"the changes of {kind} take more than {MAX_CHANGES_BYTES} bytes")

        query = [f"watch={revision.number}", f"wait_ms={wait_ms}"]
        try:
            page = self._read(kind, query, on_event, wait_ms)
            if "events" not in page.members:
                raise KeyError("events")
            current = StoreRevision(page.era, int(page.members["current_rev"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailable(f"the changes of {kind} are malformed: {error!r}") from error
        if page.era != revision.era:
            raise HistoryGone(f"the history of {kind} is that of another copy of the store")
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
        found = decode_object(self._decode_body(reply))
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

    def _read(
        self, kind: str, query: list[str], on_part: Callable[[Any], None], wait_ms: int = 0
    ) -> _Page:
        """Read a response with many objects; `on_part` gets each of them as it comes in."""
        path = f"{OBJECTS_PATH}{kind}" + (f"?{'&'.join(query)}" if query else "")
        if kind not in self.read_connections:
            self.read_connections[kind] = Connections(self.address, self.timeout_ms, max_idle=1)
        timeout_ms = wait_ms + WATCH_SLACK_MS if wait_ms else self.timeout_ms
        self.calls["watch" if wait_ms else "list"] += 1

        def receive(reply: Reply, body: ReplyBody) -> tuple[Reply, _Page]:
            era = decode_era(reply)
            self._record_era(era)
            is_ok = reply.status == 200
            return reply, _Page(self._read_objects(kind, body, on_part) if is_ok else {}, era)

        try:
            reply, page = self.read_connections[kind].receive(
                "GET", path, receive, timeout_ms=timeout_ms
            )
        except NoReply as error:
            raise StoreUnavailable(str(error)) from error
        if reply.status == 410:
            raise HistoryGone(f"the history of {kind} is gone")
        _require_ok(reply)
        return page

    def _read_objects(
        self, kind: str, body: ReplyBody, on_part: Callable[[Any], None]
    ) -> Mapping[str, Any]:
        pacer = _Pacer()

        def read() -> bytes:
            pacer.pause()
            return body.read()

        try:
            return ObjectsReader(read, self.screen.rule(kind).max_value_bytes, on_part).read()
        except MalformedTextError as error:
            raise StoreUnavailable(f"the response of the store is not JSON: {error}") from error

    def _call(self, call: str, method: str, path: str, body: bytes = b"") -> Reply:
        self.calls[call] += 1
        headers = {"Content-Type": "application/json"} if body else None
        try:
            reply = self.connections.request(
                method, path, body, headers, max_bytes=MAX_OBJECT_REPLY_BYTES
            )
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
        _require_ok(reply)
        try:
            return lenientjson.loads(reply.body, CONTAINERS, _let_others_run)
        except orjson.JSONDecodeError as error:
            raise StoreUnavailable(f"the response of the store is not JSON: {error}") from error

    def _check_written(self, reply: Reply, name: str) -> None:
        if reply.status == 409:
            raise Conflict(name, 0)
        _require_ok(reply)


def _require_ok(reply: Reply) -> None:
    if reply.status not in (200, 201):
        raise StoreUnavailable(f"the store returned status {reply.status}")


def _page_start(last_name: str) -> str:
    """Return the name after which the next page of a list starts; a long one is not sent whole."""
    if len(last_name) <= MAX_NAME_CHARS:
        return last_name
    return last_name[:MAX_NAME_CHARS] + LAST_CHARACTER


def _written_revision(reply: Reply, name: str, spec: Any) -> int:
    """Return the revision that the response to a write of `spec` names, 0 if it names none."""
    try:
        written = decode_object(orjson.loads(reply.body))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return 0
    return written.revision if (written.name, written.spec) == (name, spec) else 0


def decode_era(reply: Reply) -> int:
    """Return the era that a response of the store names, 0 if it names none."""
    text = reply.headers.get(STORE_ERA.lower(), "0").strip()
    if not text.isascii() or not text.isdigit() or int(text) > MAX_ERA:
        raise StoreUnavailable(f"unreadable {STORE_ERA}: {text[:40]!r}")
    return int(text)
