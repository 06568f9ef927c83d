"""Answers to callers: server-sent event streams and whole JSON bodies."""

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
    """Tokens that a request consumed and produced."""

    input_tokens: int = 0
    output_tokens: int = 0

    def as_dict(self) -> dict[str, int]:
        """Return the JSON form."""
        return {"input_tokens": self.input_tokens, "output_tokens": self.output_tokens}


@dataclass(frozen=True)
class Answer:
    """The complete outcome of a request."""

    code: ResultCode
    output: Any = None
    usage: TokenUsage = TokenUsage()
    message: str = ""
    retry_after_ms: int | None = None

    @classmethod
    def of_refusal(cls, refusal: RequestRefused) -> "Answer":
        """Return the answer that tells a caller of a refusal."""
        return cls(refusal.code, message=refusal.message, retry_after_ms=refusal.retry_after_ms)

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form of a whole answer or a refusal."""
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
        """Return the JSON bytes of a whole answer or a refusal."""
        return orjson.dumps(self.as_dict())


class EventStream:
    """Writes one answer to a caller as server-sent events.

    The response begins with the first event, so that a refusal before it can still carry its own
    HTTP status. A caller that went away is remembered instead of raised: its request keeps running
    so that it can resume the stream elsewhere.
    """

    def __init__(self, begin: Callable[[], Callable[[bytes], Any]]):
        self.begin = begin
        self.write: Callable[[bytes], Any] | None = None
        self.caller_gone = False

    @property
    def begun(self) -> bool:
        """Return whether the response has begun."""
        return self.write is not None

    def start(self, request_id: str, resume_token: str) -> None:
        """Send the start event."""
        data = orjson.dumps({"request_id": request_id, "resume_token": resume_token})
        self._send(b"event: start\ndata: " + data + b"\n\n")

    def write_chunks(self, first_offset: int, data: list[bytes]) -> None:
        """Send consecutive chunks in one write; each has its JSON text in `data`."""
        if len(data) == 1:
            self._send(_CHUNK % (first_offset, data[0]))
        else:
            self._send(b"".join([_CHUNK % item for item in enumerate(data, first_offset)]))

    def idle(self) -> None:
        """Send a comment that keeps the connection alive."""
        self._send(KEEP_ALIVE)

    def end(self, offset: int, usage: TokenUsage) -> None:
        """Send the end marker; `offset` is the number of tokens of the whole answer."""
        data = {"code": int(ResultCode.OK), "offset": offset, "usage": usage.as_dict()}
        self._send(b"event: end\ndata: " + orjson.dumps(data) + b"\n\n")

    def error(self, answer: Answer) -> None:
        """Send an error event that ends the stream."""
        self._send(b"event: error\ndata: " + answer.encode() + b"\n\n")

    def _send(self, data: bytes) -> None:
        if self.caller_gone:
            return
        try:
            if self.write is None:
                self.write = self.begin()
            self.write(data)
        except OSError:
            self.caller_gone = True


class TextCollector:
    """Collects the chunks of an answer that is delivered whole."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def write_chunks(self, first_offset: int, data: list[bytes]) -> None:
        """Take consecutive chunks."""
        self.parts += data

    def idle(self) -> None:
        """Ignore a pause of the target."""

    def text(self) -> str:
        """Return the text so far; raises `TargetFailed` if a chunk is not readable."""
        try:
            return "".join([orjson.loads(part)["text"] for part in self.parts])
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise TargetFailed("the target sent a chunk without text") from error
