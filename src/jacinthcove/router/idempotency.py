"""Requests with an idempotency key: a claim on the key makes each of them run at most once.

A later request with the same key gets the stored outcome.
"""

from collections.abc import Callable

import orjson

from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.delivery.claims import Claim, ClaimKind, ClaimResult, Claims, ClaimUsage
from jacinthcove.errors import RequestRefused
from jacinthcove.router.request import CallerRequest
from jacinthcove.router.response import CallerResponse, TokenUsage
from jacinthcove.router.runner import content_hash

IN_PROGRESS_RETRY_AFTER_MS = 1_000


class KeyedRequests:
    """Claims the key of a request before it runs and stores the outcome afterwards."""

    def __init__(self, claims: Claims):
        self.claims = claims

    def run(self, request: CallerRequest, execute: Callable[[], CallerResponse]) -> CallerResponse:
        """Claim the key and execute, or return the state of the request that holds the key."""
        workspace, key = request.workspace.name, request.idempotency_key
        try:
            result = self.claims.claim(
                workspace, key, content_hash(request), request.id, request.deadline
            )
        except RequestRefused as refusal:
            return CallerResponse.from_refusal(refusal)
        if result.kind is not ClaimKind.GRANTED or result.claim is None:
            return stored_response(result)
        response = CallerResponse(ResultCode.INTERNAL, message="the router failed")
        try:
            response = execute()
        finally:
            self._settle(result.claim, response)
        return response

    def status(self, workspace: str, key: str) -> CallerResponse:
        """Return the state or stored outcome of the request that claimed the key."""
        result = self.claims.lookup(workspace, key)
        if result is None:
            return CallerResponse(
                ResultCode.UNKNOWN_KEY, message="no request with this key is known"
            )
        return stored_response(result)

    def _settle(self, claim: Claim, response: CallerResponse) -> None:
        if result_class(response.code) is ResultClass.NOT_RUN:
            self.claims.release(claim)
            return
        usage = ClaimUsage(response.usage.input_tokens, response.usage.output_tokens)
        output = b"" if response.output is None else orjson.dumps(response.output)
        self.claims.finish(claim, response.code, output, usage)


def stored_response(result: ClaimResult) -> CallerResponse:
    """Return the response for a key that an earlier request claimed."""
    outcome = result.outcome
    if result.kind is ClaimKind.REPLAY and outcome is not None:
        output = orjson.loads(outcome.output) if outcome.output else None
        usage = TokenUsage(outcome.usage.input_tokens, outcome.usage.output_tokens)
        code = ResultCode.REPLAYED if outcome.code is ResultCode.OK else outcome.code
        message = "" if output is not None else "the stored outcome was too large to keep"
        return CallerResponse(code, output, usage, message)
    if result.kind is ClaimKind.KEY_REUSED:
        message = "the idempotency key belongs to a request with other content"
        return CallerResponse(ResultCode.KEY_REUSED, message=message)
    if result.kind is ClaimKind.IN_PROGRESS:
        message = "a request with this idempotency key is running"
        return CallerResponse(
            ResultCode.IN_PROGRESS, message=message, retry_after_ms=IN_PROGRESS_RETRY_AFTER_MS
        )
    message = "an earlier request with this idempotency key has no known outcome"
    return CallerResponse(ResultCode.OUTCOME_UNKNOWN, message=message)
