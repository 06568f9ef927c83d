"""Answers to callers: server-sent event streams and whole JSON bodies."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from jacinthcove.codes import ResultCode, result_class

KEEP_ALIVE = b": keep-alive\n\n"


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

    def chunk(self, offset: int, data: bytes) -> None:
        """Send the chunk at `offset`; `data` is its JSON text."""
        self._send(b"event: chunk\nid: %d\ndata: %b\n\n" % (offset, data))

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
        self.parts: list[str] = []

    def chunk(self, offset: int, data: bytes) -> None:
        """Take the chunk at `offset`."""
        self.parts.append(orjson.loads(data)["text"])

    def idle(self) -> None:
        """Ignore a pause of the target."""

    def text(self) -> str:
        """Return the text so far."""
        return "".join(self.parts)
