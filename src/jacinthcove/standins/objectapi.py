"""An in-memory version of the platform's object API and VM list."""

from base64 import b64encode
from collections import Counter, deque
from dataclasses import dataclass, replace
from typing import Any

import orjson
from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.standins.faults import FaultControl, Faults
from jacinthcove.standins.server import (
    Request,
    Response,
    Standin,
    dropped_connection_error,
    error_response,
    json_response,
)
from jacinthcove.store.vms import VmList, decode_vms, encode_vms

MAX_WATCH_MS = 60_000


@dataclass(frozen=True)
class ObjectApiSettings:
    """Settings of the object API; the default rates are the limits the platform documents."""

    writes_per_second: int = 300
    reads_per_second: int = 2_000
    max_value_bytes: int = 1_000_000
    vm_lag_ms: int = 1_000
    seed: int = 0


class RateLimiter:
    """A token bucket with a burst of one second's calls."""

    def __init__(self, clock: Clock, per_second: int):
        self.clock = clock
        self.per_second = per_second
        self.available_calls = float(per_second)
        self.filled_at = clock.now()

    def try_acquire(self) -> bool:
        """Return whether a call is within the rate, and count it if so."""
        now = self.clock.now()
        refill = (now - self.filled_at) * self.per_second / 1000
        self.available_calls = min(float(self.per_second), self.available_calls + refill)
        self.filled_at = now
        if self.available_calls < 1:
            return False
        self.available_calls -= 1
        return True


class ObjectApi(Standin):
    """Serves `/objects`, `/watch`, `/vms`, `/counters` and `/faults`.

    All keys share one version counter, so a key that is deleted and created again gets a higher
    version than before. A watch counts as one read. `/counters`, `/faults` and changes of the VM
    list are for tests and count towards no rate.
    """

    def __init__(self, address: str, settings: ObjectApiSettings, clock: Clock | None = None):
        super().__init__(address, clock)
        self.settings = settings
        self.faults = FaultControl(self.clock, settings.seed, self._on_faults_changed)
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.last_version = 0
        self.watchers: dict[str, set[Event]] = {}
        self.writes = RateLimiter(self.clock, settings.writes_per_second)
        self.reads = RateLimiter(self.clock, settings.reads_per_second)
        self.counters: Counter[str] = Counter()
        self.vm_history: deque[tuple[int, VmList]] = deque([(self.clock.now(), VmList())])

    def handle_request(self, request: Request) -> Response:
        """Dispatch one request; only calls of the platform's API are rate limited."""
        if request.path == "/faults":
            return self.faults.handle_request(request)
        if request.path == "/counters":
            return json_response(self.counters)
        if request.path.startswith("/vms") and request.method != "GET":
            return self._change_vms(request)
        return self._handle_limited(request)

    def _handle_limited(self, request: Request) -> Response:
        kind, handler = self._handler(request)
        if handler is None:
            return error_response(404, f"no such call: {request.method} {request.path}")
        if self.faults.delay_and_check_outage():
            self.counters["outage"] += 1
            return error_response(503, "outage")
        self.counters[kind] += 1
        is_write = kind in ("put", "delete")
        if not (self.writes if is_write else self.reads).try_acquire():
            self.counters["limited"] += 1
            return error_response(429, "rate limit")
        response = handler(request)
        if is_write and self.faults.loses_response():
            self.counters["answers_lost"] += 1
            raise dropped_connection_error()
        return response

    def _handler(self, request: Request) -> tuple[str, Any]:
        method, path = request.method, request.path
        if path == "/vms":
            return "vms", self._list_vms
        if path == "/objects" and method == "GET":
            return "list", self._list
        if path.startswith("/objects/"):
            handlers = {"GET": self._get, "PUT": self._put, "DELETE": self._delete}
            return method.lower(), handlers.get(method)
        if path.startswith("/watch/") and method == "GET":
            return "watch", self._watch
        return "", None

    def _get(self, request: Request) -> Response:
        return self._object_response(request.path.removeprefix("/objects/"))

    def _object_response(self, key: str) -> Response:
        if key not in self.objects:
            return error_response(404, f"{key} does not exist")
        version, value = self.objects[key]
        return Response(200, value, {"X-Version": str(version)})

    def _list(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "")
        items = [
            {"key": key, "version": version, "value": b64encode(value).decode()}
            for key, (version, value) in sorted(self.objects.items())
            if key.startswith(prefix)
        ]
        return json_response({"objects": items})

    def _put(self, request: Request) -> Response:
        key = request.path.removeprefix("/objects/")
        if len(request.body) > self.settings.max_value_bytes:
            return error_response(413, f"a value has at most {self.settings.max_value_bytes} bytes")
        conflict = self._conflict(key, request)
        if conflict is not None:
            return conflict
        self.last_version += 1
        self.objects[key] = (self.last_version, request.body)
        self._wake_watchers(key)
        return json_response({"version": self.last_version}, X_Version=str(self.last_version))

    def _delete(self, request: Request) -> Response:
        key = request.path.removeprefix("/objects/")
        conflict = self._conflict(key, request)
        if conflict is not None:
            return conflict
        self.objects.pop(key, None)
        return json_response({})

    def _conflict(self, key: str, request: Request) -> Response | None:
        if "if-version" not in request.headers:
            return error_response(400, "If-Version is missing")
        current = self.objects[key][0] if key in self.objects else 0
        if int(request.headers["if-version"]) == current:
            return None
        self.counters["conflict"] += 1
        return error_response(409, f"{key} is at version {current}", X_Version=str(current))

    def _watch(self, request: Request) -> Response:
        key = request.path.removeprefix("/watch/")
        after = request.integer("after", 0)
        deadline_ms = self.clock.now() + min(request.integer("timeout_ms", 0), MAX_WATCH_MS)
        changed = Event()
        self.watchers.setdefault(key, set()).add(changed)
        try:
            while True:
                changed.clear()
                if self.faults.faults.outage:
                    return error_response(503, "outage")
                if key in self.objects and self.objects[key][0] > after:
                    return self._object_response(key)
                remaining_ms = deadline_ms - self.clock.now()
                if remaining_ms <= 0:
                    return Response(204)
                self.clock.wait(changed, remaining_ms)
        finally:
            self.watchers[key].discard(changed)
            if not self.watchers[key]:
                del self.watchers[key]

    def _wake_watchers(self, key: str) -> None:
        for changed in self.watchers.get(key, ()):
            changed.set()

    def _on_faults_changed(self, faults: Faults) -> None:
        for key in self.watchers:
            self._wake_watchers(key)

    def _list_vms(self, request: Request) -> Response:
        visible_until_ms = self.clock.now() - self.settings.vm_lag_ms
        while len(self.vm_history) > 1 and self.vm_history[1][0] <= visible_until_ms:
            self.vm_history.popleft()
        return Response(
            200, encode_vms(self.vm_history[0][1]), {"Content-Type": "application/json"}
        )

    def _change_vms(self, request: Request) -> Response:
        current = self.vm_history[-1][1]
        vm_id = request.path.removeprefix("/vms").removeprefix("/")
        others = tuple(vm for vm in current.vms if vm.id != vm_id)
        try:
            if request.method == "POST" and not vm_id:
                vms = _parse_vms(request.json()["vms"])
            elif request.method == "PUT" and vm_id:
                vms = others + _parse_vms([{**request.json(), "id": vm_id}])
            elif request.method == "DELETE" and vm_id:
                vms = others
            else:
                return error_response(405, "use POST /vms, PUT /vms/ID or DELETE /vms/ID")
        except KeyError as error:
            return error_response(400, f"{error.args[0]} is missing")
        changed = replace(current, revision=current.revision + 1, vms=vms)
        self.vm_history.append((self.clock.now(), changed))
        return json_response({"revision": changed.revision})


def _parse_vms(items: list[dict[str, Any]]) -> tuple[Any, ...]:
    return decode_vms(orjson.dumps({"revision": 0, "vms": items})).vms
