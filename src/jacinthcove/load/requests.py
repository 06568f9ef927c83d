"""Description of a caller's request and of its outcome."""

from dataclasses import dataclass
from typing import Any

import orjson

from jacinthcove.codes import ResultClass, ResultCode


@dataclass(frozen=True)
class RequestSpec:
    """One request of a caller; its unique `nonce` shows whether a response belongs to it.

    Engines get the nonce as the prompt and derive the tokens from it; `max_tokens` is the length
    of the response, and the hint `hinted_tokens` may differ from it. Plain services return the
    nonce in their output. `key` is the idempotency key.
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
        """Return whether the response is a stream of server-sent events."""
        return self.stream and self.engine

    @property
    def safe_to_resend(self) -> bool:
        """Return whether the request may be sent again when it is unknown if it has run."""
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
    """What a caller received for one request.

    `code` is None when no router could be reached or no final result arrived; `lost` is True in
    the second case only. `truncated` marks a response that was reported as done but is shorter
    than requested, `corrupt` one with text other than the caller's own. `retries` counts attempts
    after not-run results, `resends` those after a broken connection. `total_ms` and
    `first_token_ms` count from the first attempt.
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
    resends: int = 0
    lost: bool = False
    truncated: bool = False
    corrupt: bool = False

    @property
    def complete(self) -> bool:
        """Return whether the response arrived whole and belongs to the caller's request."""
        done = self.code in (ResultCode.OK, ResultCode.REPLAYED)
        return done and not (self.truncated or self.corrupt)
