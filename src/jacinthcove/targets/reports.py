"""Polls the load reports and cache events of the targets that a router owns."""

from collections.abc import Callable
from contextlib import suppress

import gevent
import orjson
from geventhttpclient import HTTPClient

from jacinthcove.address import split_address
from jacinthcove.background import BackgroundTask
from jacinthcove.targets.cacheevents import CacheEventReader
from jacinthcove.targets.state import LoadReport, TargetState

POLL_MS = 500
CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
# Cache events are only hints, so they are polled less often than load reports.
POLLS_PER_CACHE_POLL = 4
# After this many responses in a row without valid events the target is assumed to have none, like a
# plain service.
MAX_UNUSABLE_CACHE_POLLS = 3


def decode_report(body: bytes) -> LoadReport:
    """Decode the response to `GET /load`; raises `ValueError` if it is malformed."""
    try:
        data = orjson.loads(body)
        return LoadReport(
            boot_id=str(data["boot_id"]),
            running=int(data["running"]),
            waiting=int(data["waiting"]),
            version=str(data["version"]),
            leaving=bool(data.get("leaving", False)),
            cold=bool(data.get("cold", False)),
        )
    except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError) as error:
        raise ValueError(f"malformed load report: {error!r}") from error


class LoadPoller:
    """One greenlet per target that polls `GET /load`.

    `on_change` is called after each received report and after each refused connection.
    """

    def __init__(self, state: TargetState, on_change: Callable[[], None], poll_ms: int = POLL_MS):
        self.state = state
        self.on_change = on_change
        self.poll_ms = poll_ms
        self.cache_events = CacheEventReader(state.affinity)
        self.unusable_cache_polls = 0
        self.polls = 0
        self._client: HTTPClient | None = None
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start polling in the background."""
        self._task.start()

    def close(self) -> None:
        """Stop polling and close the connection."""
        self._task.close()
        self._close_client()

    def poll(self) -> None:
        """Poll the load report once, and every fourth time the cache events too."""
        try:
            self.state.on_report(decode_report(self._fetch("/load")))
        except ConnectionRefusedError:
            self._close_client()
            self.state.on_unreachable()
        except (OSError, ValueError):
            # The next poll opens a new connection. The report goes stale if the failures continue.
            self._close_client()
            return
        self.on_change()
        self.polls += 1
        if self.polls % POLLS_PER_CACHE_POLL == 0:
            self.poll_cache_events()

    def poll_cache_events(self) -> None:
        """Poll the cache events once, unless the target appears to have none."""
        if self.unusable_cache_polls >= MAX_UNUSABLE_CACHE_POLLS:
            return
        try:
            self.cache_events.apply_response(self._fetch(self.cache_events.next_path()))
            self.unusable_cache_polls = 0
        except OSError:
            self._close_client()
        except ValueError:
            self.unusable_cache_polls += 1

    def _run(self) -> None:
        while True:
            self.poll()
            gevent.sleep(self.poll_ms / 1000)

    def _fetch(self, path: str) -> bytes:
        if self._client is None:
            host, port = split_address(self.state.target.address)
            self._client = HTTPClient(
                host,
                port,
                concurrency=1,
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=READ_TIMEOUT_S,
            )
        response = self._client.get(path)
        try:
            body = bytes(response.read())
        finally:
            response.release()
        if response.status_code != 200:
            raise ValueError(f"{path} has status {response.status_code}")
        return body

    def _close_client(self) -> None:
        client, self._client = self._client, None
        if client is not None:
            with suppress(OSError):
                client.close()
