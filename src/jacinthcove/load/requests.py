"""What a caller asks for and what it sees of the answer."""

from dataclasses import dataclass
from typing import Any

import orjson

from jacinthcove.codes import ResultClass, ResultCode


@dataclass(frozen=True)
class RequestSpec:
    """One request of a caller; `nonce` is unique and marks the answer as its own.

    For engines the nonce is the prompt and `max_tokens` the length of the answer; the hint may
    differ from it. For plain services it comes back in the output. `key` is the idempotency key.
    """

    service: str
    route: str
    nonce: str
    engine: bool = True
    input_tokens: int = 0
    max_tokens: int = 0
    hinted_tokens: int = 0
    prefix_key: str = ""
    work_ms: int = 0
    order_id: str = ""
    key: str = ""
    stream: bool = True
    deadline_ms: int = 60_000

    @property
    def streamed(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.stream and self.engine

    @property
    def repeatable(self) -> bool:
        """Return whether the caller may send the request again after a broken connection."""
        return bool(self.key) or not self.order_id

    def body(self, deadline_ms: int) -> bytes:
        """Return the JSON body of `POST /v1/requests`."""
        payload: dict[str, Any]
        if self.engine:
            payload = {
                "prompt": self.nonce,
                "input_tokens": self.input_tokens,
                "max_tokens": self.max_tokens,
            }
        else:
            payload = {"nonce": self.nonce, "work_ms": self.work_ms}
            if self.order_id:
                payload["order_id"] = self.order_id
        hints = {"input_tokens": self.input_tokens, "output_tokens": self.hinted_tokens}
        body = {
            "service": self.service,
            "route": self.route,
            "payload": payload,
            "hints": hints,
            "deadline_ms": deadline_ms,
            "stream": self.streamed,
        }
        if self.prefix_key:
            body["prefix_key"] = self.prefix_key
        return orjson.dumps(body)


@dataclass(frozen=True)
class Outcome:
    """What a caller saw of one request.

    `code` is None when no router could be reached, and when no final result arrived; in the second
    case `lost` is True. `truncated` marks an answer that
    was reported as done but is shorter than asked for, `corrupt` one with text that is not the
    caller's own. `retries` counts attempts after not-run results, `repeated` those after a broken
    connection. `total_ms` and `first_token_ms` count from the first attempt.
    """

    code: ResultCode | None = None
    result_class: ResultClass = ResultClass.MAY_HAVE_RUN
    message: str = ""
    retry_after_ms: int | None = None
    request_id: str = ""
    first_token_ms: int | None = None
    total_ms: int = 0
    tokens: int = 0
    resumed: int = 0
    retries: int = 0
    repeated: int = 0
    lost: bool = False
    truncated: bool = False
    corrupt: bool = False

    @property
    def complete(self) -> bool:
        """Return whether the whole answer to the caller's own request arrived."""
        done = self.code in (ResultCode.OK, ResultCode.REPLAYED)
        return done and not (self.truncated or self.corrupt)
