"""Callers that verify every response they receive from the fleet."""

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

# How long a caller waits for the final result after the deadline that it sent to the router.
DEADLINE_GRACE_MS = 2_000
# Delay before a retry when the router sends no retry time or cannot be reached.
RETRY_PAUSE_MS = 100
CONNECT_TIMEOUT_S = 2.0
# Routers send a comment line each second on a stream without tokens.
STREAM_READ_TIMEOUT_MS = 10_000
TOKEN = re.compile(r"\d+:[0-9a-f]{8} ")
_NETWORK_ERRORS = (OSError, HTTPParseError)

__all__ = ["Caller", "Connections", "Outcome", "RequestSpec", "duration_histogram"]


@dataclass
class PartialResponse:
    """What has been received of a response, also over several connections.

    Times ending in `_at` are clock ms, `last_token_us` is monotonic.
    """

    spec: RequestSpec
    started_at: int
    tokens: int = 0
    first_token_at: int | None = None
    last_token_us: int = 0
    corrupt: bool = False
    request_id: str = ""
    resume_token: str = ""
    resumed: int = 0
    final: Outcome | None = None


class BrokenStream(Exception):  # noqa: N818 - names a state of the connection
    """The connection broke or its read timed out before the final event."""


@dataclass
class CachedAddresses:
    """Router addresses from a lookup; `valid_until` is in clock ms."""

    addresses: tuple[str, ...] = ()
    valid_until: int = 0


class Connections:
    """Pool of idle HTTP clients by address, shared by the callers of one process.

    Each client has a single connection. The library resends a GET once per connection of its
    pool, so a larger pool would repeat requests to a router that closes connections.
    """

    def __init__(
        self, read_timeout_ms: int = STREAM_READ_TIMEOUT_MS, buffered_read_timeout_ms: int = 0
    ):
        self.read_timeout_ms = read_timeout_ms
        self.buffered_read_timeout_ms = buffered_read_timeout_ms or read_timeout_ms
        self.idle: dict[tuple[str, bool], list[HTTPClient]] = {}

    @contextmanager
    def client_for(self, address: str, buffered: bool = False) -> Iterator[HTTPClient]:
        """Provide a client for `address`; its reads fail after the read timeout without a byte.

        A `buffered` response sends nothing before it is complete, so it has its own timeout.
        """
        idle = self.idle.setdefault((address, buffered), [])
        client = idle.pop() if idle else self._open(address, buffered)
        try:
            yield client
        except BaseException:
            # An interrupted request may still use the connection, so it isn't reused.
            client.close()
            raise
        idle.append(client)

    def close(self) -> None:
        """Close the idle clients; those in use are not affected."""
        for clients in self.idle.values():
            while clients:
                clients.pop().close()

    def _open(self, address: str, buffered: bool) -> HTTPClient:
        host, port = split_address(address)
        timeout = (self.buffered_read_timeout_ms if buffered else self.read_timeout_ms) / 1000
        return HTTPClient(host, port, connection_timeout=CONNECT_TIMEOUT_S, network_timeout=timeout)


def duration_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in microseconds, up to ten minutes."""
    return HdrHistogram(1, 600_000_000, 3)


class Caller:
    """Sends requests of one workspace and verifies the responses.

    With `seeds_only`, a caller uses its seed addresses and does no lookup. `delay_ms` is the
    simulated one-way delay to the routers. `gaps` records the times between tokens in
    microseconds. `on_tokens` is called with the number of new tokens and, for the first ones, the
    input tokens of the request (else 0). With `resend_lost`, a request whose connection broke is
    sent again if that is safe.
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
        seeds_only: bool = False,
        delay_ms: float = 0.0,
        seed: int = 0,
        on_tokens: Callable[[int, int], None] | None = None,
        resend_lost: bool = False,
    ):
        self.workspace = workspace
        self.key = key
        self.clock = clock or SystemClock()
        self.connections = connections or Connections()
        self.gaps = duration_histogram() if gaps is None else gaps
        self.seeds_only = seeds_only
        self.delay_ms = delay_ms
        self.random = Random(f"{workspace}/{seed}")
        # A caller prefers its first address; a random order spreads callers over the routers.
        self.seeds = tuple(self._shuffled(seeds))
        self.lookup_cache: dict[str, CachedAddresses] = {}
        self.on_tokens = on_tokens
        self.resend_lost = resend_lost
        self.received_tokens = 0

    def addresses(self, service: str) -> tuple[str, ...]:
        """Return router addresses for `service`; looks them up when the cached ones have expired.

        When no seed responds, returns the expired addresses or, without any, the seeds.
        """
        if self.seeds_only:
            return self.seeds
        cached = self.lookup_cache.setdefault(service, CachedAddresses())
        if self.clock.now() < cached.valid_until:
            return cached.addresses
        for seed in self._shuffled(self.seeds):
            try:
                data = self._lookup(seed, service)
            except (*_NETWORK_ERRORS, ValueError, KeyError):
                continue
            cached.addresses = tuple(data["addresses"]) or cached.addresses
            cached.valid_until = self.clock.now() + int(data["lifetime_ms"])
            break
        return cached.addresses or self.seeds

    def call(self, spec: RequestSpec) -> Outcome:
        """Send one request and retry it until it has a final result or its deadline has passed."""
        started_at = self.clock.now()
        ends_at = started_at + spec.deadline_ms
        retries = resends = 0
        avoid = ""
        while True:
            address = self._choose_address(spec.service, avoid)
            partial = PartialResponse(spec, started_at)
            outcome = self._attempt(partial, address, ends_at)
            pause = outcome.retry_after_ms
            pause = RETRY_PAUSE_MS if pause is None else pause
            retry = outcome.result_class is ResultClass.NOT_RUN and _is_retryable(outcome.code)
            resend = outcome.lost and self.resend_lost and spec.safe_to_resend
            if not (retry or resend) or self.clock.now() + pause >= ends_at:
                total_ms = self.clock.now() - started_at
                return replace(outcome, retries=retries, resends=resends, total_ms=total_ms)
            retries += retry
            resends += resend
            avoid = address
            self.clock.sleep(pause)

    def _attempt(self, partial: PartialResponse, address: str, ends_at: int) -> Outcome:
        remaining_ms = max(1, ends_at - self.clock.now())
        attempt_timeout = gevent.Timeout((remaining_ms + DEADLINE_GRACE_MS) / 1000)
        attempt_timeout.start()
        try:
            return self._with_received(partial, self._send_request(partial, address, remaining_ms))
        except gevent.Timeout as expired:
            if expired is not attempt_timeout:
                raise
            return self._lost_outcome(partial, "no final result by the deadline")
        finally:
            attempt_timeout.close()

    def _send_request(self, partial: PartialResponse, address: str, deadline_ms: int) -> Outcome:
        spec = partial.spec
        headers = {**self._headers(), "Content-Type": "application/json"}
        if spec.key:
            headers["Idempotency-Key"] = spec.key
        self.clock.sleep(self.delay_ms)
        body = spec.body(deadline_ms)
        with self.connections.client_for(address, not spec.streamed) as client:
            try:
                response = client.request("POST", "/v1/requests", body, headers)
            except ConnectionRefusedError:
                self._drop_address(address)
                return Outcome(result_class=ResultClass.NOT_RUN, message="refused")
            except _NETWORK_ERRORS as error:
                self._drop_address(address)
                return self._lost_outcome(partial, f"no answer: {error!r}")
            try:
                return self._read_response(partial, response)
            except BrokenStream as error:
                reason = str(error)
        self._drop_address(address)
        return self._resume(partial, address, reason)

    def _read_response(self, partial: PartialResponse, response: Any) -> Outcome:
        try:
            if str(response.get("content-type", "")).startswith("text/event-stream"):
                return self._read_stream(partial, response)
            return self._read_buffered(partial, orjson.loads(bytes(response.read())))
        except _NETWORK_ERRORS as error:
            raise BrokenStream(repr(error)) from error
        except (ValueError, KeyError) as error:
            return self._lost_outcome(partial, f"unreadable answer: {error}")
        finally:
            # Closes the connection if it has unread bytes, else returns it to the pool.
            response.release()

    def _read_stream(self, partial: PartialResponse, response: Any) -> Outcome:
        for event in read_events(response):
            data = orjson.loads(event.data) if event.data else {}
            if event.kind == "start":
                partial.request_id = data["request_id"]
                partial.resume_token = data["resume_token"]
            elif event.kind == "chunk":
                self._record_tokens(partial, int(event.id), data["text"])
            elif event.kind == "end":
                code = ResultCode(data.get("code", ResultCode.OK))
                short = int(data["offset"]) != partial.tokens
                outcome = self._to_outcome(partial, code, data)
                return replace(outcome, truncated=outcome.truncated or short)
            elif event.kind == "error":
                return self._to_outcome(partial, ResultCode(data["code"]), data)
        raise BrokenStream("no end marker")

    def _record_tokens(self, partial: PartialResponse, offset: int, text: str) -> None:
        now = time.monotonic_ns() // 1000
        count = len(TOKEN.findall(text))
        expected = response_text(partial.spec.nonce, offset, offset + count)
        if text != expected or offset != partial.tokens:
            partial.corrupt = True
        partial.tokens = max(partial.tokens, offset + count)
        self.received_tokens += count
        if self.on_tokens is not None:
            first = partial.first_token_at is None
            self.on_tokens(count, partial.spec.input_tokens if first else 0)
        if partial.first_token_at is None:
            partial.first_token_at = self.clock.now()
        else:
            self.gaps.record_value(max(1, now - partial.last_token_us))
        partial.last_token_us = now

    def _resume(self, partial: PartialResponse, failed_address: str, reason: str) -> Outcome:
        while partial.resume_token:
            address = self._choose_address(partial.spec.service, failed_address)
            path = f"/v1/streams/{partial.resume_token}?offset={partial.tokens}"
            partial.resumed += 1
            self.clock.sleep(self.delay_ms)
            try:
                with self.connections.client_for(address) as client:
                    outcome = self._read_response(
                        partial, client.request("GET", path, b"", self._headers())
                    )
                if outcome.result_class is not ResultClass.NOT_RUN:
                    return outcome
                # Only the resumption was rejected; the request itself has run.
                reason = f"resumption refused: {outcome.code} {outcome.message}"
                if not _is_retryable(outcome.code):
                    break
                self.clock.sleep(outcome.retry_after_ms or RETRY_PAUSE_MS)
            except (*_NETWORK_ERRORS, BrokenStream) as error:
                reason = str(error)
                self._drop_address(address)
                failed_address = address
                self.clock.sleep(RETRY_PAUSE_MS)
        return self._lost_outcome(partial, reason)

    def _read_buffered(self, partial: PartialResponse, data: dict[str, Any]) -> Outcome:
        code = ResultCode(data["code"])
        if code not in (ResultCode.OK, ResultCode.REPLAYED):
            return self._to_outcome(partial, code, data)
        output = data.get("output")
        if partial.spec.engine:
            text = output.get("text", "") if isinstance(output, dict) else str(output or "")
            self._record_tokens(partial, 0, text)
        elif not isinstance(output, dict) or output.get("nonce") != partial.spec.nonce:
            partial.corrupt = True
        return self._to_outcome(partial, code, data)

    def _to_outcome(
        self, partial: PartialResponse, code: ResultCode, data: dict[str, Any]
    ) -> Outcome:
        done = code in (ResultCode.OK, ResultCode.REPLAYED)
        expected = partial.spec.max_tokens if partial.spec.engine else 0
        return Outcome(
            code=code,
            result_class=CODES[code].result_class,
            message=str(data.get("message", "")),
            retry_after_ms=data.get("retry_after_ms"),
            truncated=done and partial.tokens < expected,
        )

    def _lost_outcome(self, partial: PartialResponse, reason: str) -> Outcome:
        return self._with_received(partial, Outcome(message=reason, lost=True))

    def _with_received(self, partial: PartialResponse, outcome: Outcome) -> Outcome:
        first = (
            None if partial.first_token_at is None else partial.first_token_at - partial.started_at
        )
        return replace(
            outcome,
            request_id=partial.request_id,
            first_token_ms=None if first is None else first + round(self.delay_ms),
            tokens=partial.tokens,
            resumed=partial.resumed,
            corrupt=partial.corrupt,
        )

    def _choose_address(self, service: str, avoid: str) -> str:
        addresses = self.addresses(service)
        others = [address for address in addresses if address != avoid]
        others = others or [address for address in self.seeds if address != avoid]
        return (others or list(addresses))[0]

    def _lookup(self, seed: str, service: str) -> dict[str, Any]:
        path = f"/v1/lookup?service={service}"
        with self.connections.client_for(seed) as client:
            response = client.request("GET", path, b"", self._headers())
            return orjson.loads(bytes(response.read()))

    def _drop_address(self, address: str) -> None:
        for cached in self.lookup_cache.values():
            if address in cached.addresses:
                cached.addresses = tuple(item for item in cached.addresses if item != address)
                cached.valid_until = 0

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.key}"}

    def _shuffled(self, items: Iterable[str]) -> list[str]:
        shuffled = list(items)
        self.random.shuffle(shuffled)
        return shuffled


def _is_retryable(code: ResultCode | None) -> bool:
    """Return whether a retry can succeed; for example, a malformed request never can."""
    return code is None or code >= ResultCode.QUEUE_FULL and code < ResultCode.TOKEN_INVALID
