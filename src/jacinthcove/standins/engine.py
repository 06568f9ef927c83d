"""Simulates the HTTP API of a model engine, with faults in its event streams."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import replace
from typing import Any
from uuid import uuid4

import gevent
import orjson

from jacinthcove.clock import Clock
from jacinthcove.errors import NotAdmitted
from jacinthcove.standins.batch import Batch, EngineSettings, Stream
from jacinthcove.standins.faults import FaultControl, Faults
from jacinthcove.standins.orders import LOAD_VERSION, Order
from jacinthcove.standins.server import (
    Request,
    Response,
    dropped_connection_error,
    error_response,
    json_response,
)
from jacinthcove.standins.target import TargetStandin
from jacinthcove.standins.text import response_text, token_text

MAX_STREAMS = 2_000
SILENT_STREAM_MS = 120_000


class Engine(TargetStandin):
    """A simulated model engine that serves its API on one address."""

    def __init__(self, address: str, settings: EngineSettings, clock: Clock | None = None):
        super().__init__(address, clock, settings.version, settings.checks_fencing)
        self.settings = settings
        self.faults = FaultControl(self.clock, settings.seed, self._on_faults_changed)
        self.batch = Batch(settings, self.clock, self.faults)
        self.role = ""
        self.streams: OrderedDict[str, Stream] = OrderedDict()
        self.prompt_runs: Counter[str] = Counter()
        self.load_reports: deque[tuple[int, dict[str, Any]]] = deque()
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Accept connections, run the batch and sample the load."""
        super().start()
        self.greenlets = [gevent.spawn(self.batch.run), gevent.spawn(self._sample_load)]

    def close(self) -> None:
        """Close all connections and stop the batch."""
        super().close()
        gevent.killall(self.greenlets)

    def restart(self) -> None:
        """Simulate a restart: drop streams and cache, start cold and take a new boot id."""
        self.boot_id = uuid4().hex
        self.streams.clear()
        self.load_reports.clear()
        self.batch.reset()

    def handle_call(self, request: Request) -> Response | None:
        """Handle completions, streams and cache events."""
        path = request.path
        if path == "/v1/completions" and request.method == "POST":
            return self._handle_completion(request.json())
        if path.startswith("/v1/streams/"):
            return self._handle_stream_call(request)
        if path == "/cache-events":
            return self._cache_events(request)
        return None

    def other_runs(self) -> dict[str, Counter[str]]:
        """Return how often each prompt ran."""
        return {"prompts": self.prompt_runs}

    def on_order(self, order: Order) -> None:
        """Execute an order in a greenlet of its own."""
        gevent.spawn(self._execute_order, order)

    def load_report(self) -> dict[str, Any]:
        """Return the newest report that is at least `load_lag_ms` old, with its age."""
        visible_until_ms = self.clock.now() - self.settings.load_lag_ms
        while len(self.load_reports) > 1 and self.load_reports[1][0] <= visible_until_ms:
            self.load_reports.popleft()
        taken_at, report = (
            self.load_reports[0] if self.load_reports else (self.clock.now(), self._current_load())
        )
        return {**report, "age_ms": self.clock.now() - taken_at}

    def _current_load(self) -> dict[str, Any]:
        return {
            "boot_id": self.boot_id,
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "version": self.version,
            "leaving": self.faults.faults.leaving,
            "cold": self.batch.is_cold(),
        }

    def _sample_load(self) -> None:
        while True:
            self.load_reports.append((self.clock.now(), self._current_load()))
            self.load_report()
            gevent.sleep(max(self.settings.load_lag_ms / 4, 50) / 1000)

    def _handle_completion(self, body: dict[str, Any]) -> Response:
        if "request_id" not in body:
            raise ValueError("request_id is missing")
        try:
            stream = self._admit(body)
        except NotAdmitted as error:
            return error_response(503, str(error), X_Not_Admitted="1")
        if self.batch.is_collapsed() or self.faults.fails(
            stream.route, self.batch.admitted_count() + 1
        ):
            return error_response(500, "the engine failed")
        self.streams[stream.id] = stream
        while len(self.streams) > MAX_STREAMS:
            self.streams.popitem(last=False)
        self.batch.add(stream)
        headers = {"X-Stream-Id": stream.id, "Content-Type": "text/event-stream"}
        if body.get("stream", True):
            return Response(200, self._events(stream, 0, resumed=False), headers)
        return self._whole_response(stream)

    def _admit(self, body: dict[str, Any]) -> Stream:
        faults, settings = self.faults.faults, self.settings
        if faults.leaving or faults.not_admitted:
            raise NotAdmitted("the engine is leaving" if faults.leaving else "not admitted")
        if body.get("model_version") not in (None, "", self.version):
            raise NotAdmitted(f"the engine serves version {self.version}")
        if self.batch.admitted_count() >= settings.max_batch + settings.max_waiting:
            raise NotAdmitted("the engine is full")
        stream = Stream(body)
        self.request_runs[stream.request_id] += 1
        self.prompt_runs[stream.text_seed] += 1
        return stream

    def _whole_response(self, stream: Stream) -> Response:
        while not stream.ended:
            stream.updated.clear()
            stream.updated.wait()
        if stream.failed:
            return error_response(500, "the engine failed")
        text = response_text(stream.text_seed, 0, stream.produced)
        return json_response({"text": text, "output_tokens": stream.produced})

    def _handle_stream_call(self, request: Request) -> Response:
        stream = self.streams.get(request.path.removeprefix("/v1/streams/"))
        if stream is None:
            return error_response(404, "no such stream")
        if request.method == "DELETE":
            if not stream.ended:
                self.batch.cancel(stream)
            return json_response({"produced": stream.produced})
        if stream.failed:
            return error_response(410, "the stream failed or was cancelled")
        headers = {"X-Stream-Id": stream.id, "Content-Type": "text/event-stream"}
        offset = request.integer("offset", 0)
        if not 0 <= offset <= stream.max_tokens:
            raise ValueError(f"offset {offset} is outside the stream")
        return Response(200, self._events(stream, offset, resumed=True), headers)

    def _events(self, stream: Stream, offset: int, resumed: bool) -> Iterator[bytes]:
        sent = 0
        delayed_event = b""
        while True:
            stream.updated.clear()
            if stream.failed:
                raise dropped_connection_error()
            if offset >= stream.produced and stream.ended:
                break
            if offset >= stream.produced:
                stream.updated.wait()
                continue
            faults = self.faults.faults
            if not resumed or faults.on_resume:
                if faults.silent_after is not None and sent >= faults.silent_after:
                    gevent.sleep(SILENT_STREAM_MS / 1000)
                    raise dropped_connection_error()
                if faults.cut_after is not None and sent >= faults.cut_after:
                    raise dropped_connection_error()
            data = orjson.dumps({"text": token_text(stream.text_seed, offset)})
            event = b"id: %d\ndata: %b\n\n" % (offset, data)
            offset += 1
            sent += 1
            if not delayed_event and self.faults.draw(faults.reorder_rate):
                delayed_event = event
                continue
            yield event
            if self.faults.draw(faults.duplicate_rate):
                yield event
            if delayed_event:
                yield delayed_event
                delayed_event = b""
        if delayed_event:
            yield delayed_event
        data = orjson.dumps({"output_tokens": stream.produced, "offset": stream.produced})
        yield b"event: end\ndata: %b\n\n" % data

    def _cache_events(self, request: Request) -> Response:
        after = request.integer("after", 0)
        visible_until_ms = self.clock.now() - self.settings.cache_event_lag_ms
        events = [
            event
            for event in self.batch.cache_events
            if event["seq"] > after and event["at_ms"] <= visible_until_ms
        ]
        return json_response({"boot_id": self.boot_id, "events": events})

    def _execute_order(self, order: Order) -> None:
        if order.kind != LOAD_VERSION:
            self.role = order.role or order.version
            return
        if order.version == self.version:
            return
        duration_ms = self.settings.load_version_ms
        if order.time_limit_ms and duration_ms > order.time_limit_ms:
            return
        gevent.sleep(duration_ms / 1000)
        self.version = order.version
        self.batch.reset_warmup()

    def _on_faults_changed(self, faults: Faults) -> None:
        if faults.restart:
            self.faults.faults = replace(faults, restart=False)
            self.restart()
