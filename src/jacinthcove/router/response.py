"""Responses to callers, as server-sent event streams or as one JSON body."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from jacinthcove.codes import ResultCode, result_class
from jacinthcove.errors import RequestRefused, TargetFailed

KEEP_ALIVE = b": keep-alive\n\n"
_CHUNK = b"event: chunk\nid: %d\ndata: %b\n\n"


@dataclass(frozen=True)
class TokenUsage:
    """Token counts of one request, as reported to the caller."""

    input_tokens: int = 0
    output_tokens: int = 0

    def as_dict(self) -> dict[str, int]:
        """Return the `usage` object of the response."""
        return {"input_tokens": self.input_tokens, "output_tokens": self.output_tokens}


@dataclass(frozen=True)
class CallerResponse:
    """The final response to a request: result code, output and token usage."""

    code: ResultCode
    output: Any = None
    usage: TokenUsage = TokenUsage()
    message: str = ""
    retry_after_ms: int | None = None

    @classmethod
    def from_refusal(cls, refusal: RequestRefused) -> "CallerResponse":
        """Return the response for a request that was refused."""
        return cls(refusal.code, message=refusal.message, retry_after_ms=refusal.retry_after_ms)

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON object of a complete response or a refusal."""
        data: dict[str, Any] = {
            "code": int(self.code),
            "name": self.code.name.lower(),
            "class": result_class(self.code).value,
        }
        if self.message:
            data["message"] = self.message
        if self.retry_after_ms is not None:
            data["retry_after_ms"] = self.retry_after_ms
        if self.output is not None:
            data["output"] = self.output
            data["usage"] = self.usage.as_dict()
        return data

    def encode(self) -> bytes:
        """Return the JSON bytes of a complete response or a refusal."""
        return orjson.dumps(self.as_dict())


class EventStream:
    """Writes one response to a caller as server-sent events.

    The HTTP response starts with the first event, so a refusal before that still gets its own HTTP
    status. When the caller disconnects, `caller_disconnected` is set and nothing is raised. The
    request keeps running, so the caller can resume the stream through another router.
    """

    def __init__(self, open_response: Callable[[], Callable[[bytes], Any]]):
        self.open_response = open_response
        self.write: Callable[[bytes], Any] | None = None
        self.caller_disconnected = False

    @property
    def has_started(self) -> bool:
        """Return whether the status line and the headers have been sent."""
        return self.write is not None

    def start(self, request_id: str, resume_token: str) -> None:
        """Send the start event with the token that resumes the stream."""
        data = orjson.dumps({"request_id": request_id, "resume_token": resume_token})
        self._send(b"event: start\ndata: " + data + b"\n\n")

    def write_chunks(self, first_offset: int, data: list[bytes]) -> None:
        """Send consecutive chunks in one write; `data` has the JSON text of each chunk."""
        if len(data) == 1:
            self._send(_CHUNK % (first_offset, data[0]))
        else:
            self._send(b"".join([_CHUNK % item for item in enumerate(data, first_offset)]))

    def idle(self) -> None:
        """Send a comment that keeps the connection alive."""
        self._send(KEEP_ALIVE)

    def end(self, offset: int, usage: TokenUsage) -> None:
        """Send the end event; `offset` is the token count of the complete response."""
        data = {"code": int(ResultCode.OK), "offset": offset, "usage": usage.as_dict()}
        self._send(b"event: end\ndata: " + orjson.dumps(data) + b"\n\n")

    def error(self, response: CallerResponse) -> None:
        """Send an error event, which is the last event of the stream."""
        self._send(b"event: error\ndata: " + response.encode() + b"\n\n")

    def _send(self, data: bytes) -> None:
        if self.caller_disconnected:
            return
        try:
            if self.write is None:
                self.write = self.open_response()
            self.write(data)
        except OSError:
            self.caller_disconnected = True


class TextCollector:
    """Buffers the chunks of a response that is sent as one JSON body."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def write_chunks(self, first_offset: int, data: list[bytes]) -> None:
        """Buffer consecutive chunks."""
        self.parts += data

    def idle(self) -> None:
        """Ignore that the target sent nothing for a while."""

    def text(self) -> str:
        """Return the text received so far; raises `TargetFailed` if a chunk is malformed."""
        try:
            return "".join([orjson.loads(part)["text"] for part in self.parts])
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise TargetFailed("the target sent a chunk without text") from error
