"""One attempt to run a request on the target of a grant."""

import contextlib

import orjson

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.delivery.relay import Progress, StreamMissing, StreamRelay
from jacinthcove.delivery.resume import ResumeToken, encode_token
from jacinthcove.errors import JacinthcoveError, NotAdmitted, TargetFailed
from jacinthcove.router.request import CallerRequest
from jacinthcove.router.response import CallerResponse, EventStream, TextCollector, TokenUsage
from jacinthcove.router.results import AttemptResult
from jacinthcove.scheduling.estimate import engine_units, plain_units
from jacinthcove.scheduling.ticket import Dispatch, GrantedTarget, Usage
from jacinthcove.targets.client import BufferedResponse, TargetRequest, fetch
from jacinthcove.targets.sockets import TargetUnreachable

DEFAULT_OUTPUT_TOKENS = 256
BYTES_PER_TOKEN = 4
CANCEL_STALL_MS = 1_000
TOKEN_LIFETIME_AFTER_DEADLINE_MS = 60_000


class DeadlinePassed(JacinthcoveError):  # noqa: N818
    """The caller's deadline passed while the target was running the request."""


def engine_body(request: CallerRequest, version: str) -> bytes:
    """Return the body of `POST /v1/completions` for `request`."""
    payload = request.payload if isinstance(request.payload, dict) else {}
    output_tokens = request.output_tokens or DEFAULT_OUTPUT_TOKENS
    return orjson.dumps(
        {
            "request_id": request.id,
            "route": request.route.name,
            "model_version": version,
            "prompt": payload.get("prompt", ""),
            "input_tokens": input_tokens(request),
            "max_tokens": payload.get("max_tokens", output_tokens),
            "prefix_key": request.prefix_key,
            "stream": True,
        }
    )


def input_tokens(request: CallerRequest) -> int:
    """Return the prompt length hinted by the caller in tokens, or an estimate from its size."""
    if request.input_tokens:
        return request.input_tokens
    prompt = request.payload.get("prompt", "") if isinstance(request.payload, dict) else ""
    return len(prompt) // BYTES_PER_TOKEN + 1


class EngineAttempt:
    """Runs a completion on an engine and relays its token stream to the caller."""

    def __init__(
        self,
        clock: Clock,
        dispatch: Dispatch,
        fleet_key: str,
        request: CallerRequest,
        grant: GrantedTarget,
        stream: EventStream | None,
    ):
        self.clock = clock
        self.dispatch = dispatch
        self.fleet_key = fleet_key
        self.request = request
        self.grant = grant
        self.stream = stream
        self.collector = TextCollector()
        self.relay = StreamRelay(
            clock, grant.address, self, request.service.limits.stall_ms, self._on_progress
        )

    def run(self) -> AttemptResult:
        """Run the attempt; never raises for a failure of the target."""
        try:
            body = engine_body(self.request, self.grant.version)
            response = self._buffered_response(self.relay.run(body, self._on_stream))
        except TargetUnreachable as error:
            response = CallerResponse(ResultCode.NOT_ADMITTED, message=str(error))
            return AttemptResult(response, unreachable=True)
        except NotAdmitted as error:
            return AttemptResult(CallerResponse(ResultCode.NOT_ADMITTED, message=str(error)))
        except DeadlinePassed:
            self._cancel()
            message = "the deadline passed while the target worked"
            return self._result(CallerResponse(ResultCode.DEADLINE_DURING_RUN, message=message))
        except StreamMissing as error:
            return self._result(CallerResponse(ResultCode.STREAM_BROKEN, message=str(error)))
        except TargetFailed as error:
            broken = self.relay.progress.next_offset > 0
            code = ResultCode.STREAM_BROKEN if broken else ResultCode.TARGET_FAILED
            return self._result(CallerResponse(code, message=str(error)))
        return self._result(response)

    def write_chunks(self, first_offset: int, data: list[bytes]) -> None:
        """Send consecutive chunks to the caller, or buffer them if it does not stream."""
        if self.stream is not None:
            self.stream.write_chunks(first_offset, data)
        else:
            self.collector.write_chunks(first_offset, data)

    def idle(self) -> None:
        """Keep the caller's connection alive while the target is silent."""
        self._check_deadline()
        if self.stream is not None:
            self.stream.idle()

    def _on_stream(self, stream_id: str) -> None:
        if self.stream is None:
            return
        request = self.request
        lifetime_ms = max(0, request.deadline - self.clock.now()) + TOKEN_LIFETIME_AFTER_DEADLINE_MS
        token = ResumeToken(
            target_id=self.grant.target_id,
            target_address=self.grant.address,
            stream_id=stream_id,
            workspace=request.workspace.name,
            request_id=request.id,
            offset_base=0,
            expires_wall=self.clock.wall() + lifetime_ms,
        )
        self.stream.start(request.id, encode_token(token, self.fleet_key))

    def _on_progress(self, progress: Progress) -> None:
        self._check_deadline()
        self.dispatch.report(
            self.grant,
            Usage(
                used=self._used(),
                first_token_ms=progress.first_token_ms,
                token_ms_sum=progress.token_ms_sum,
                tokens=progress.next_offset,
            ),
        )

    def _check_deadline(self) -> None:
        if self.clock.now() >= self.request.deadline:
            raise DeadlinePassed("the caller's deadline passed")

    def _used(self) -> float:
        return engine_units(input_tokens(self.request), self.relay.progress.next_offset)

    def _cancel(self) -> None:
        """Cancel the stream, so that the target stops working on an unwanted response."""
        path = f"/v1/streams/{self.relay.progress.stream_id}"
        with contextlib.suppress(NotAdmitted, TargetFailed):
            fetch(TargetRequest(self.grant.address, "DELETE", path, stall_ms=CANCEL_STALL_MS))

    def _buffered_response(self, progress: Progress) -> CallerResponse:
        usage = TokenUsage(input_tokens(self.request), progress.next_offset)
        output = None if self.stream is not None else {"text": self.collector.text()}
        return CallerResponse(ResultCode.OK, output, usage)

    def _result(self, response: CallerResponse) -> AttemptResult:
        progress = self.relay.progress
        return AttemptResult(
            response,
            self._used(),
            progress.first_token_ms,
            progress.token_ms_sum,
            progress.next_offset,
            delivered=self.stream is not None and progress.next_offset > 0,
            target_lost=progress.target_lost,
        )


class PlainAttempt:
    """Runs an operation on a plain service, which responds with one JSON body."""

    def __init__(self, clock: Clock, request: CallerRequest, grant: GrantedTarget):
        self.clock = clock
        self.request = request
        self.grant = grant
        self.started = clock.now()

    def run(self) -> AttemptResult:
        """Run the attempt; never raises for a failure of the target."""
        body = orjson.dumps({"request_id": self.request.id, "payload": self.request.payload})
        remaining_ms = max(1, self.request.deadline - self.started)
        path = f"/v1/operations/{self.request.route.name}"
        try:
            buffered = fetch(TargetRequest(self.grant.address, "POST", path, body, remaining_ms))
        except TargetUnreachable as error:
            response = CallerResponse(ResultCode.NOT_ADMITTED, message=str(error))
            return AttemptResult(response, unreachable=True)
        except NotAdmitted as error:
            return AttemptResult(CallerResponse(ResultCode.NOT_ADMITTED, message=str(error)))
        except TargetFailed as error:
            expired = self.clock.now() >= self.request.deadline
            code = ResultCode.DEADLINE_DURING_RUN if expired else ResultCode.TARGET_FAILED
            return self._result(CallerResponse(code, message=str(error)))
        return self._result(self._operation_response(buffered))

    def _operation_response(self, buffered: BufferedResponse) -> CallerResponse:
        try:
            output = buffered.json()
        except TargetFailed as error:
            return CallerResponse(ResultCode.TARGET_FAILED, message=str(error))
        if buffered.status >= 400:
            message = "the target rejected the input"
            return CallerResponse(ResultCode.TARGET_REJECTED, output, message=message)
        return CallerResponse(ResultCode.OK, output)

    def _result(self, response: CallerResponse) -> AttemptResult:
        elapsed_ms = self.clock.now() - self.started
        return AttemptResult(response, plain_units(elapsed_ms), first_token_ms=elapsed_ms)
