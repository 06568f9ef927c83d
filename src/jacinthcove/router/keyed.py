"""Keyed requests: claimed before they run, answered from the stored outcome afterwards."""

from collections.abc import Callable

import orjson

from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.delivery.claims import Claim, ClaimKind, ClaimResult, Claims, ClaimUsage
from jacinthcove.errors import RequestRefused
from jacinthcove.router.answer import Answer, TokenUsage
from jacinthcove.router.request import CallerRequest
from jacinthcove.router.runner import content_hash

IN_PROGRESS_RETRY_AFTER_MS = 1_000


class KeyedRequests:
    """Runs requests with an idempotency key at most once."""

    def __init__(self, claims: Claims):
        self.claims = claims

    def run(self, request: CallerRequest, execute: Callable[[], Answer]) -> Answer:
        """Claim the key and execute, or return what is known about an earlier request."""
        workspace, key = request.workspace.name, request.idempotency_key
        try:
            result = self.claims.claim(
                workspace, key, content_hash(request), request.id, request.deadline
            )
        except RequestRefused as refusal:
            return Answer.of_refusal(refusal)
        if result.kind is not ClaimKind.GRANTED or result.claim is None:
            return stored_answer(result)
        answer = Answer(ResultCode.INTERNAL, message="the router failed")
        try:
            answer = execute()
        finally:
            self._settle(result.claim, answer)
        return answer

    def status(self, workspace: str, key: str) -> Answer:
        """Return what is known about a keyed request."""
        result = self.claims.lookup(workspace, key)
        if result is None:
            return Answer(ResultCode.UNKNOWN_KEY, message="no request with this key is known")
        return stored_answer(result)

    def _settle(self, claim: Claim, answer: Answer) -> None:
        if result_class(answer.code) is ResultClass.NOT_RUN:
            self.claims.release(claim)
            return
        usage = ClaimUsage(answer.usage.input_tokens, answer.usage.output_tokens)
        output = b"" if answer.output is None else orjson.dumps(answer.output)
        self.claims.finish(claim, answer.code, output, usage)


def stored_answer(result: ClaimResult) -> Answer:
    """Return the answer for a key that an earlier request claimed."""
    outcome = result.outcome
    if result.kind is ClaimKind.REPLAY and outcome is not None:
        output = orjson.loads(outcome.output) if outcome.output else None
        usage = TokenUsage(outcome.usage.input_tokens, outcome.usage.output_tokens)
        code = ResultCode.REPLAYED if outcome.code is ResultCode.OK else outcome.code
        message = "" if output is not None else "the stored outcome was too large to keep"
        return Answer(code, output, usage, message)
    if result.kind is ClaimKind.KEY_REUSED:
        message = "the idempotency key belongs to a request with other content"
        return Answer(ResultCode.KEY_REUSED, message=message)
    if result.kind is ClaimKind.IN_PROGRESS:
        message = "a request with this idempotency key is running"
        return Answer(
            ResultCode.IN_PROGRESS, message=message, retry_after_ms=IN_PROGRESS_RETRY_AFTER_MS
        )
    message = "an earlier request with this idempotency key has no known outcome"
    return Answer(ResultCode.OUTCOME_UNKNOWN, message=message)
