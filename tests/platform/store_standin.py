"""A stand-in of the platform's store for tests, with revisions, watches and faults."""

from urllib.parse import parse_qs

import gevent
import orjson
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from jacinthcove.platform.names import OBJECTS_PATH, STATUS_PATH, STORE_ERA

PAGE = 3
SOON_S = 5.0


def eventually(check):
    """Wait until `check()` is true; fails after `SOON_S`."""
    with gevent.Timeout(SOON_S, AssertionError("did not happen in time")):
        while not check():
            gevent.sleep(0.01)


class StoreStandin:
    """Serves objects by kind and name; `fault(environ)` may delay a call or return its response."""

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.objects = {}
        self.history = []
        self.compacted_revision = 0
        self.changed = Event()
        self.calls = []
        self.fault = lambda environ: None
        self.server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def start(self):
        self.server.start()

    def close(self):
        self.server.stop(timeout=0.1)

    def respond_later(self, environ, delay_s):
        """Execute a call but delay its response, so that the caller gives up first."""
        self._respond(environ)
        gevent.sleep(delay_s)
        return 500, None

    def put(self, kind, name, spec):
        """Create an object or replace its spec, as the operator or a target does."""
        old = self.objects.get((kind, name))
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        metadata["created_rev"] = old["metadata"]["created_rev"] if old else self.revision
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._record_change(kind, item, False)
        return item

    def remove(self, kind, name):
        """Delete an object."""
        self.revision += 1
        item = self.objects.pop((kind, name))
        self._record_change(kind, item, True)

    def forget(self):
        """Drop the history, so that watches of older revisions fail with 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        self._notify_watches()

    def copy(self):
        """Return a copy of what the store holds, to come back from."""
        return self.revision, dict(self.objects), list(self.history)

    def restore(self, copy):
        """Come back from a copy: revisions since are given out again in a new era."""
        self.revision, objects, history = copy
        self.objects, self.history = dict(objects), list(history)
        self.era += 1
        self._notify_watches()

    def _record_change(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self._notify_watches()

    def _notify_watches(self):
        event, self.changed = self.changed, Event()
        event.set()

    def _serve(self, environ, start_response):
        self.calls.append((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        status, body = self.fault(environ) or self._respond(environ)
        data = b"" if body is None else orjson.dumps(body)
        headers = [("Content-Length", str(len(data))), (STORE_ERA, str(self.era))]
        start_response(f"{status} x", headers)
        return [data]

    def _respond(self, environ):
        method = environ["REQUEST_METHOD"]
        kind, _, name = environ["PATH_INFO"].removeprefix(OBJECTS_PATH).partition("/")
        query = {key: values[0] for key, values in parse_qs(environ["QUERY_STRING"]).items()}
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, None)
        if method == "GET" and "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        if method == "GET":
            return self._list(kind, query.get("after_rev", ""))
        if method == "DELETE":
            return self._delete(kind, name)
        body = orjson.loads(environ["wsgi.input"].read())
        if name.endswith(STATUS_PATH):
            return self._write_status(kind, name.removesuffix(STATUS_PATH), body)
        return self._write(method, kind, name, body)

    def _list(self, kind, after):
        found = sorted(name for k, name in self.objects if k == kind and name > after)
        items = [self.objects[kind, name] for name in found[:PAGE]]
        more = len(found) > PAGE
        return 200, {"items": items, "has_more": more, "current_rev": self.revision}

    def _watch(self, kind, revision, wait_ms):
        if not self.compacted_revision <= revision <= self.revision:
            return 410, None
        era = self.era
        with gevent.Timeout(wait_ms / 1000, False):
            while True:
                changed = self.changed
                events = [e for at, k, e in self.history if at > revision and k == kind]
                if events:
                    return 200, {"events": events, "current_rev": self.revision}
                if revision < self.compacted_revision or self.era != era:
                    return 410, None
                changed.wait()
        return 200, {"events": [], "current_rev": self.revision}

    def _delete(self, kind, name):
        if (kind, name) not in self.objects:
            return 404, None
        self.remove(kind, name)
        return 200, None

    def _write_status(self, kind, name, body):
        old = self.objects.get((kind, name))
        if old is None:
            return 404, None
        if body["metadata"].get("revision") != old["metadata"]["revision"]:
            return 409, old
        item = self.put(kind, name, old["spec"])
        item["status"] = body["status"]
        return 200, item

    def _write(self, method, kind, name, body):
        metadata = body["metadata"]
        if method == "POST":
            name = metadata["name"]
            old = self.objects.get((kind, name))
            return (409, old) if old else (201, self.put(kind, name, body["spec"]))
        old = self.objects.get((kind, name))
        if old is None:
            return 404, None
        if metadata.get("revision", old["metadata"]["revision"]) != old["metadata"]["revision"]:
            return 409, old
        return 200, self.put(kind, name, body["spec"])
