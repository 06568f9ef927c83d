"""HTTP client for the platform's object API and VM list."""

import base64
from collections import Counter
from collections.abc import Mapping
from urllib.parse import quote

import orjson

from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.connections import Connections, NoReply, Reply
from jacinthcove.store.store import StoredObject
from jacinthcove.store.vms import VmList, decode_vms

# The store ends an idle watch at its time limit; the reply may arrive this much later.
WATCH_REPLY_MARGIN_MS = 1_000
_OK_STATUSES = (200, 201, 204)


class HttpStore:
    """A `Store` over HTTP; `calls` counts the calls by kind, including retried reads."""

    def __init__(self, address: str, timeout_ms: int = 1_000):
        self.connections = Connections(address, timeout_ms)
        # A watch occupies its connection for a long time, so watches use a separate pool.
        self.watch_connections = Connections(address, timeout_ms, max_idle=1)
        self.calls: Counter[str] = Counter()
        self.last_vms_body = b""
        self.last_vm_list = VmList()

    def close(self) -> None:
        """Close the idle connections of both pools."""
        self.connections.close()
        self.watch_connections.close()

    def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        reply = self._read("get", f"/objects/{quote(key)}")
        if reply.status == 404:
            return None
        return _parse_object(key, self._require_ok(reply))

    def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose key starts with `prefix`, ordered by key."""
        reply = self._require_ok(self._read("list", f"/objects?prefix={quote(prefix, safe='')}"))
        try:
            items = orjson.loads(reply.body)["objects"]
            found = [
                StoredObject(i["key"], base64.b64decode(i["value"]), i["version"]) for i in items
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailable(f"the list of {prefix} is malformed: {error}") from error
        return sorted(found, key=lambda item: item.key)

    def put(self, key: str, value: bytes, if_version: int) -> int:
        """Write if the version matches (0 creates) and return the new version; else `Conflict`."""
        reply = self._write("put", "PUT", key, value, if_version)
        return _require_version(self._require_ok(reply))

    def delete(self, key: str, if_version: int) -> None:
        """Delete if the version matches; else `Conflict`."""
        self._require_ok(self._write("delete", "DELETE", key, b"", if_version))

    def watch(self, key: str, after_version: int, timeout_ms: int) -> StoredObject | None:
        """Wait until the version is above `after_version`; None when `timeout_ms` passes."""
        self.calls["watch"] += 1
        path = f"/watch/{quote(key)}?after={after_version}&timeout_ms={timeout_ms}"
        try:
            reply = self.watch_connections.request(
                "GET", path, timeout_ms=timeout_ms + WATCH_REPLY_MARGIN_MS
            )
        except NoReply as error:
            raise StoreUnavailable(str(error)) from error
        if reply.status in (204, 304, 404):
            return None
        found = _parse_object(key, self._require_ok(reply))
        return found if found.version > after_version else None

    def fetch_vms(self) -> VmList:
        """Return the platform's VM list; raise `StoreUnavailable` without a usable reply."""
        reply = self._require_ok(self._read("vms", "/vms"))
        # Decoding thousands of VMs takes too long to repeat at every poll of an unchanged list.
        if reply.body != self.last_vms_body:
            try:
                self.last_vm_list = decode_vms(reply.body)
            except (KeyError, TypeError, ValueError) as error:
                raise StoreUnavailable(f"the VM list is malformed: {error}") from error
            self.last_vms_body = reply.body
        return self.last_vm_list

    def _read(self, kind: str, path: str) -> Reply:
        """Send a GET; retry once on a new connection if the first attempt got no reply."""
        self.calls[kind] += 1
        try:
            return self.connections.request("GET", path)
        except NoReply as error:
            if error.refused:
                raise StoreUnavailable(str(error)) from error
        self.calls[kind] += 1
        try:
            return self.connections.request("GET", path)
        except NoReply as error:
            raise StoreUnavailable(str(error)) from error

    def _write(self, kind: str, method: str, key: str, value: bytes, if_version: int) -> Reply:
        """Write without retrying; a repeated conditional write would conflict with itself."""
        self.calls[kind] += 1
        headers: Mapping[str, str] = {"If-Version": str(if_version)}
        try:
            reply = self.connections.request(method, f"/objects/{quote(key)}", value, headers)
        except NoReply as error:
            raise StoreUnavailable(str(error)) from error
        if reply.status == 409:
            raise Conflict(key, _version_or_zero(reply))
        return reply

    def _require_ok(self, reply: Reply) -> Reply:
        if reply.status not in _OK_STATUSES:
            raise StoreUnavailable(f"{self.connections.address} answered {reply.status}")
        return reply


def _parse_object(key: str, reply: Reply) -> StoredObject:
    return StoredObject(key, reply.body, _require_version(reply))


def _require_version(reply: Reply) -> int:
    version = _version_or_zero(reply)
    if version == 0:
        raise StoreUnavailable("the object API answered without a usable X-Version")
    return version


def _version_or_zero(reply: Reply) -> int:
    text = reply.headers.get("x-version", "")
    return int(text) if text.isascii() and text.isdigit() else 0
