"""Client of the platform's store of objects by kind and name."""

from collections import Counter
from typing import Any
from urllib.parse import quote

import orjson

from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.platform.names import OBJECTS_PATH, STATUS_PATH
from jacinthcove.store.connections import Connections, NoReply, Reply
from jacinthcove.store.kinds import Change, HistoryGone, KindObject, Listing, WatchResult

# An answer to a waiting watch needs this much time on top of its wait.
WATCH_SLACK_MS = 600


def _object(data: Any) -> KindObject:
    metadata = data["metadata"]
    return KindObject(
        str(metadata["name"]),
        int(metadata["revision"]),
        data.get("spec"),
        data.get("status"),
        int(metadata.get("created_rev") or 0),
    )


class PlatformObjects:
    """Calls of the store; each raises `StoreUnavailable` when no usable answer arrives.

    The effect of a write without an answer is unknown. `calls` counts calls by kind. Each kind is
    read on connections of its own, so that an answer which comes twice is never taken for that of
    another kind.
    """

    def __init__(self, address: str, timeout_ms: int):
        self.timeout_ms = timeout_ms
        self.address = address
        self.connections = Connections(address, timeout_ms)
        self.reads: dict[str, Connections] = {}
        self.calls: Counter[str] = Counter()

    def close(self) -> None:
        """Close the idle connections."""
        for connections in (self.connections, *self.reads.values()):
            connections.close()

    def list_all(self, kind: str) -> Listing:
        """Return all objects of `kind`."""
        objects: list[KindObject] = []
        revision: int | None = None
        after: list[str] = []
        while True:
            data = self._read(kind, after)
            try:
                objects += [_object(item) for item in data["items"]]
                revision = int(data["current_rev"]) if revision is None else revision
                more = bool(data.get("has_more"))
            except (KeyError, TypeError, ValueError) as error:
                raise StoreUnavailable(f"the list of {kind} is malformed: {error!r}") from error
            if not more or not objects:
                return Listing(tuple(objects), revision)
            after = [f"after_rev={quote(objects[-1].name, safe='')}"]

    def watch(self, kind: str, revision: int, wait_ms: int) -> WatchResult:
        """Wait for changes after `revision`, `wait_ms` at most; may raise `HistoryGone`."""
        query = [f"watch={revision}", f"wait_ms={wait_ms}"]
        data = self._read(kind, query, wait_ms)
        try:
            changes = [
                Change(_object(event["object"]), bool(event["deleted"])) for event in data["events"]
            ]
            current = int(data["current_rev"])
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailable(f"the changes of {kind} are malformed: {error!r}") from error
        if current < revision:
            raise StoreUnavailable(f"news of {kind} at {current} are older than {revision}")
        return WatchResult(changes, current, 0 if changes else wait_ms)

    def get(self, kind: str, name: str) -> KindObject | None:
        """Return one object, or None."""
        reply = self._call("get", "GET", f"{OBJECTS_PATH}{kind}/{quote(name, safe='')}")
        if reply.status == 404:
            return None
        found = _object(self._decoded(reply))
        if found.name != name:
            raise StoreUnavailable(f"the answer about {kind}/{name} is about {found.name}")
        return found

    def ensure(self, kind: str, name: str, spec: Any) -> KindObject:
        """Create an object unless it exists; returns the stored one."""
        body = orjson.dumps({"metadata": {"name": name}, "spec": spec})
        reply = self._call("create", "POST", f"{OBJECTS_PATH}{kind}", body)
        if reply.status != 409:
            self._written(reply, name)
            return KindObject(name, 0, spec)
        known = self.get(kind, name)
        if known is None:
            raise StoreUnavailable(f"{kind}/{name} exists but is not found")
        return known

    def replace(self, kind: str, name: str, spec: Any, revision: int) -> None:
        """Replace an object of a known revision; raises `Conflict` if it has another one."""
        metadata = {"name": name, "revision": revision}
        body = orjson.dumps({"metadata": metadata, "spec": spec})
        path = f"{OBJECTS_PATH}{kind}/{quote(name, safe='')}"
        self._written(self._call("replace", "PUT", path, body), name)

    def replace_status(self, kind: str, name: str, status: Any, revision: int) -> None:
        """Replace the status of an object of a known revision; raises `Conflict`."""
        metadata = {"name": name, "revision": revision}
        body = orjson.dumps({"metadata": metadata, "status": status})
        path = f"{OBJECTS_PATH}{kind}/{quote(name, safe='')}{STATUS_PATH}"
        self._written(self._call("replace_status", "PUT", path, body), name)

    def _read(self, kind: str, query: list[str], wait_ms: int = 0) -> Any:
        path = f"{OBJECTS_PATH}{kind}" + (f"?{'&'.join(query)}" if query else "")
        call = "watch" if wait_ms else "list"
        if kind not in self.reads:
            self.reads[kind] = Connections(self.address, self.timeout_ms, max_idle=1)
        timeout_ms = wait_ms + WATCH_SLACK_MS if wait_ms else self.timeout_ms
        reply = self._call(call, "GET", path, pool=self.reads[kind], timeout_ms=timeout_ms)
        if reply.status == 410:
            raise HistoryGone(f"the history of {kind} is gone")
        return self._decoded(reply)

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
            return (pool or self.connections).request(method, path, body, headers, timeout_ms)
        except NoReply as error:
            raise StoreUnavailable(str(error)) from error

    def _decoded(self, reply: Reply) -> Any:
        if reply.status not in (200, 201):
            raise StoreUnavailable(f"the store answered {reply.status}")
        try:
            return orjson.loads(reply.body)
        except orjson.JSONDecodeError as error:
            raise StoreUnavailable(f"the store's answer is not JSON: {error}") from error

    def _written(self, reply: Reply, name: str) -> None:
        if reply.status == 409:
            raise Conflict(name, 0)
        if reply.status not in (200, 201):
            raise StoreUnavailable(f"the store answered {reply.status}")
