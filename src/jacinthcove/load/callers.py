"""Callers that verify every answer they receive from the fleet."""

import re
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import gevent
import orjson
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from hdrh.histogram import HdrHistogram

from jacinthcove.address import split_address
from jacinthcove.clock import Clock, SystemClock
from jacinthcove.codes import CODES, ResultClass, ResultCode
from jacinthcove.load.events import read_events
from jacinthcove.load.requests import Outcome, RequestSpec
from jacinthcove.standins.text import response_text

# Time a caller waits for the final result beyond the deadline that it gave to the router.
DEADLINE_GRACE_MS = 2_000
# Pause before another attempt when the router names no time or cannot be reached.
RETRY_PAUSE_MS = 100
CONNECT_TIMEOUT_S = 2.0
# Routers send a comment line every second on a stream without tokens.
STREAM_SILENCE_MS = 10_000
TOKEN = re.compile(r"\d+:[0-9a-f]{8} ")
_NETWORK_ERRORS = (OSError, HTTPParseError)

__all__ = ["Caller", "Connections", "Outcome", "RequestSpec", "gap_histogram"]


@dataclass
class Answer:
    """The answer to one attempt as far as it has arrived."""

    spec: RequestSpec
    started_at: int
    tokens: int = 0
    first_at: int | None = None
    last_us: int = 0
    corrupt: bool = False
    request_id: str = ""
    resume_token: str = ""
    resumed: int = 0
    final: Outcome | None = None


class BrokenStream(Exception):  # noqa: N818 - names a state of the connection
    """The connection broke or fell silent before the final event."""


@dataclass
class Addresses:
    """Looked-up router addresses with the time until which they may be used."""

    addresses: tuple[str, ...] = ()
    valid_until: int = 0


class Connections:
    """Idle HTTP clients by address, shared by the callers of one process.

    Each client has one connection: the library resends a GET once per connection of its pool, so
    a large pool would send many repeats to a router that closes connections.
    """

    def __init__(self, silence_ms: int = STREAM_SILENCE_MS, whole_silence_ms: int = 0):
        self.silence_ms = silence_ms
        self.whole_silence_ms = whole_silence_ms or silence_ms
        self.idle: dict[tuple[str, bool], list[HTTPClient]] = {}

    @contextmanager
    def use(self, address: str, whole: bool = False) -> Iterator[HTTPClient]:
        """Lend a client of `address`; its reads fail after the silence time without a byte.

        A `whole` answer is silent until it is there, so it has a time of its own.
        """
        idle = self.idle.setdefault((address, whole), [])
        client = idle.pop() if idle else self._open(address, whole)
        try:
            yield client
        except BaseException:
            # An interrupted client may still hold its connection, so it is not lent again.
            client.close()
            raise
        idle.append(client)

    def close(self) -> None:
        """Close idle connections."""
        for clients in self.idle.values():
            while clients:
                clients.pop().close()

    def _open(self, address: str, whole: bool) -> HTTPClient:
        host, port = split_address(address)
        timeout = (self.whole_silence_ms if whole else self.silence_ms) / 1000
        return HTTPClient(host, port, connection_timeout=CONNECT_TIMEOUT_S, network_timeout=timeout)


def gap_histogram() -> HdrHistogram:
    """Return a histogram of times in microseconds, up to ten minutes."""
    return HdrHistogram(1, 600_000_000, 3)


class Caller:
    """Sends requests of one workspace and verifies the answers.

    `pinned` callers use their seed addresses only and do no lookup. `delay_ms` is the simulated
    one-way delay to the routers. `gaps` receives the times between tokens in microseconds,
    `on_tokens` each number of new tokens with the input tokens that they make due. With
    `repeat_lost` a request whose connection broke is sent again if that is safe.
    """

    def __init__(
        self,
        workspace: str,
        key: str,
        seeds: Sequence[str],
        *,
        clock: Clock | None = None,
        connections: Connections | None = None,
        gaps: HdrHistogram | None = None,
        pinned: bool = False,
        delay_ms: float = 0.0,
        seed: int = 0,
        on_tokens: Callable[[int, int], None] | None = None,
        repeat_lost: bool = False,
    ):
        self.workspace = workspace
        self.key = key
        self.clock = clock or SystemClock()
        self.connections = connections or Connections()
        self.gaps = gap_histogram() if gaps is None else gaps
        self.pinned = pinned
        self.delay_ms = delay_ms
        self.random = Random(f"{workspace}/{seed}")
        # The first address is used first, so a random order spreads callers over the routers.
        self.seeds = tuple(self._shuffled(seeds))
        self.known: dict[str, Addresses] = {}
        self.on_tokens = on_tokens
        self.repeat_lost = repeat_lost
        self.received_tokens = 0

    def addresses(self, service: str) -> tuple[str, ...]:
        """Return router addresses for `service`, looked up again when their lifetime is over.

        When no seed answers, the addresses known before are used, or else the seeds.
        """
        if self.pinned:
            return self.seeds
        known = self.known.setdefault(service, Addresses())
        if self.clock.now() < known.valid_until:
            return known.addresses
        for seed in self._shuffled(self.seeds):
            try:
                data = self._lookup(seed, service)
            except (*_NETWORK_ERRORS, ValueError, KeyError):
                continue
            known.addresses = tuple(data["addresses"]) or known.addresses
            known.valid_until = self.clock.now() + int(data["lifetime_ms"])
            break
        return known.addresses or self.seeds

    def call(self, spec: RequestSpec) -> Outcome:
        """Send one request until it has a result or its deadline is over."""
        started_at = self.clock.now()
        ends_at = started_at + spec.deadline_ms
        retries = repeated = 0
        avoid = ""
        while True:
            address = self._address(spec.service, avoid)
            answer = Answer(spec, started_at)
            outcome = self._attempt(answer, address, ends_at)
            pause = outcome.retry_after_ms
            pause = RETRY_PAUSE_MS if pause is None else pause
            again = outcome.result_class is ResultClass.NOT_RUN and _worth_retry(outcome.code)
            lost = outcome.lost and self.repeat_lost and spec.repeatable
            if not (again or lost) or self.clock.now() + pause >= ends_at:
                total_ms = self.clock.now() - started_at
                return replace(outcome, retries=retries, repeated=repeated, total_ms=total_ms)
            retries += again
            repeated += lost
            avoid = address
            self.clock.sleep(pause)

    def _attempt(self, answer: Answer, address: str, ends_at: int) -> Outcome:
        remaining_ms = max(1, ends_at - self.clock.now())
        limit = gevent.Timeout((remaining_ms + DEADLINE_GRACE_MS) / 1000)
        limit.start()
        try:
            return self._settle(answer, self._exchange(answer, address, remaining_ms))
        except gevent.Timeout as expired:
            if expired is not limit:
                raise
            return self._lost(answer, "no final result by the deadline")
        finally:
            limit.close()

    def _exchange(self, answer: Answer, address: str, deadline_ms: int) -> Outcome:
        spec = answer.spec
        headers = {**self._headers(), "Content-Type": "application/json"}
        if spec.key:
            headers["Idempotency-Key"] = spec.key
        self.clock.sleep(self.delay_ms)
        body = spec.body(deadline_ms)
        with self.connections.use(address, not spec.streamed) as client:
            try:
                response = client.request("POST", "/v1/requests", body, headers)
            except ConnectionRefusedError:
                self._forget(address)
                return Outcome(result_class=ResultClass.NOT_RUN, message="refused")
            except _NETWORK_ERRORS as error:
                self._forget(address)
                return self._lost(answer, f"no answer: {error!r}")
            try:
                return self._read(answer, response)
            except BrokenStream as error:
                reason = str(error)
        self._forget(address)
        return self._resume(answer, address, reason)

    def _read(self, answer: Answer, response: Any) -> Outcome:
        try:
            if str(response.get("content-type", "")).startswith("text/event-stream"):
                return self._read_stream(answer, response)
            return self._whole(answer, orjson.loads(bytes(response.read())))
        except _NETWORK_ERRORS as error:
            raise BrokenStream(repr(error)) from error
        except (ValueError, KeyError) as error:
            return self._lost(answer, f"unreadable answer: {error}")
        finally:
            # Closes a connection with unread bytes, and returns any other to the pool.
            response.release()

    def _read_stream(self, answer: Answer, response: Any) -> Outcome:
        for event in read_events(response):
            data = orjson.loads(event.data) if event.data else {}
            if event.kind == "start":
                answer.request_id = data["request_id"]
                answer.resume_token = data["resume_token"]
            elif event.kind == "chunk":
                self._take(answer, int(event.id), data["text"])
            elif event.kind == "end":
                code = ResultCode(data.get("code", ResultCode.OK))
                short = int(data["offset"]) != answer.tokens
                outcome = self._result(answer, code, data)
                return replace(outcome, truncated=outcome.truncated or short)
            elif event.kind == "error":
                return self._result(answer, ResultCode(data["code"]), data)
        raise BrokenStream("no end marker")

    def _take(self, answer: Answer, offset: int, text: str) -> None:
        now = time.monotonic_ns() // 1000
        count = len(TOKEN.findall(text))
        expected = response_text(answer.spec.nonce, offset, offset + count)
        if text != expected or offset != answer.tokens:
            answer.corrupt = True
        answer.tokens = max(answer.tokens, offset + count)
        self.received_tokens += count
        if self.on_tokens is not None:
            first = answer.first_at is None
            self.on_tokens(count, answer.spec.input_tokens if first else 0)
        if answer.first_at is None:
            answer.first_at = self.clock.now()
        else:
            self.gaps.record_value(max(1, now - answer.last_us))
        answer.last_us = now

    def _resume(self, answer: Answer, broken: str, reason: str) -> Outcome:
        while answer.resume_token:
            address = self._address(answer.spec.service, broken)
            path = f"/v1/streams/{answer.resume_token}?offset={answer.tokens}"
            answer.resumed += 1
            self.clock.sleep(self.delay_ms)
            try:
                with self.connections.use(address) as client:
                    outcome = self._read(answer, client.request("GET", path, b"", self._headers()))
                if outcome.result_class is not ResultClass.NOT_RUN:
                    return outcome
                # Only the resumption was refused; the request itself has run.
                reason = f"resumption refused: {outcome.code} {outcome.message}"
                if not _worth_retry(outcome.code):
                    break
                self.clock.sleep(outcome.retry_after_ms or RETRY_PAUSE_MS)
            except (*_NETWORK_ERRORS, BrokenStream) as error:
                reason = str(error)
                self._forget(address)
                broken = address
                self.clock.sleep(RETRY_PAUSE_MS)
        return self._lost(answer, reason)

    def _whole(self, answer: Answer, data: dict[str, Any]) -> Outcome:
        code = ResultCode(data["code"])
        if code not in (ResultCode.OK, ResultCode.REPLAYED):
            return self._result(answer, code, data)
        output = data.get("output")
        if answer.spec.engine:
            text = output.get("text", "") if isinstance(output, dict) else str(output or "")
            self._take(answer, 0, text)
        elif not isinstance(output, dict) or output.get("nonce") != answer.spec.nonce:
            answer.corrupt = True
        return self._result(answer, code, data)

    def _result(self, answer: Answer, code: ResultCode, data: dict[str, Any]) -> Outcome:
        done = code in (ResultCode.OK, ResultCode.REPLAYED)
        expected = answer.spec.max_tokens if answer.spec.engine else 0
        return Outcome(
            code=code,
            result_class=CODES[code].result_class,
            message=str(data.get("message", "")),
            retry_after_ms=data.get("retry_after_ms"),
            truncated=done and answer.tokens < expected,
        )

    def _lost(self, answer: Answer, reason: str) -> Outcome:
        return self._settle(answer, Outcome(message=reason, lost=True))

    def _settle(self, answer: Answer, outcome: Outcome) -> Outcome:
        first = None if answer.first_at is None else answer.first_at - answer.started_at
        return replace(
            outcome,
            request_id=answer.request_id,
            first_token_ms=None if first is None else first + round(self.delay_ms),
            tokens=answer.tokens,
            resumed=answer.resumed,
            corrupt=answer.corrupt,
        )

    def _address(self, service: str, avoid: str) -> str:
        addresses = self.addresses(service)
        others = [address for address in addresses if address != avoid]
        others = others or [address for address in self.seeds if address != avoid]
        return (others or list(addresses))[0]

    def _lookup(self, seed: str, service: str) -> dict[str, Any]:
        path = f"/v1/lookup?service={service}"
        with self.connections.use(seed) as client:
            response = client.request("GET", path, b"", self._headers())
            return orjson.loads(bytes(response.read()))

    def _forget(self, address: str) -> None:
        for known in self.known.values():
            if address in known.addresses:
                known.addresses = tuple(item for item in known.addresses if item != address)
                known.valid_until = 0

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.key}"}

    def _shuffled(self, items: Iterable[str]) -> list[str]:
        shuffled = list(items)
        self.random.shuffle(shuffled)
        return shuffled


def _worth_retry(code: ResultCode | None) -> bool:
    """Return whether another attempt can succeed; a malformed request stays malformed."""
    return code is None or code >= ResultCode.QUEUE_FULL and code < ResultCode.TOKEN_INVALID
