"""Turns the outcome of one attempt into evidence about the version of its target."""

from jacinthcove.codes import ResultCode
from jacinthcove.gateway.attempt import Attempt
from jacinthcove.gateway.forward import ForwardedRequest
from jacinthcove.gateway.retrypolicy import AttemptOutcome
from jacinthcove.router.results import VersionResult

_CODES = {
    AttemptOutcome.COMPLETE: ResultCode.OK,
    AttemptOutcome.ANSWERED_FAILURE: ResultCode.TARGET_REJECTED,
    AttemptOutcome.BROKEN_BEFORE: ResultCode.TARGET_FAILED,
    AttemptOutcome.BROKEN_MIDWAY: ResultCode.STREAM_BROKEN,
}


def version_result(
    forwarded: ForwardedRequest, attempt: Attempt, label: str
) -> VersionResult | None:
    """Return the result as evidence about version `label`, or None if it is no evidence.

    A target that has just started is slow regardless of its version. A request that did not run
    says how loaded a target is, not how good its version is.
    """
    target = attempt.choice.target
    code = _CODES.get(attempt.end)
    if code is None or target.cold_until > attempt.sent_at:
        return None
    first_token_at = attempt.first_event_at or attempt.ended_at
    output_tokens = forwarded.request.prompt.output_tokens if attempt.first_event_at else 0
    return VersionResult(
        service=forwarded.service,
        route=forwarded.request.route.name,
        version=label,
        code=code,
        first_token_ms=first_token_at - attempt.sent_at,
        token_ms_sum=attempt.ended_at - first_token_at,
        # The evidence counts the tokens after the first.
        tokens=output_tokens,
        sent_at=attempt.sent_at,
        target=target.record.id,
        target_lost=target.connect_failures > 0,
    )
