"""What one attempt says about the version of its target."""

from jacinthcove.codes import ResultCode
from jacinthcove.gateway.decisions import AttemptEnd
from jacinthcove.gateway.forward import Attempt, Forwarding
from jacinthcove.router.results import VersionResult

_CODES = {
    AttemptEnd.COMPLETE: ResultCode.OK,
    AttemptEnd.ANSWERED_FAILURE: ResultCode.TARGET_REJECTED,
    AttemptEnd.BROKEN_BEFORE: ResultCode.TARGET_FAILED,
    AttemptEnd.BROKEN_MIDWAY: ResultCode.STREAM_BROKEN,
}


def version_result(forwarding: Forwarding, attempt: Attempt, label: str) -> VersionResult | None:
    """Return the result as evidence about version `label`, or None if it says nothing.

    A target that has just started is slow whatever its version. A request that did not run says
    how full a target is.
    """
    target = attempt.choice.target
    code = _CODES.get(attempt.end)
    if code is None or target.cold_until > attempt.sent_at:
        return None
    first_at = attempt.first_event_at or attempt.ended_at
    output_tokens = forwarding.request.prompt.output_tokens if attempt.first_event_at else 0
    return VersionResult(
        service=forwarding.service,
        route=forwarding.request.route.name,
        version=label,
        code=code,
        first_token_ms=first_at - attempt.sent_at,
        token_ms_sum=attempt.ended_at - first_at,
        # The record counts the tokens after the first.
        tokens=output_tokens,
        sent_at=attempt.sent_at,
        target=target.record.id,
        target_lost=target.connect_failures > 0,
    )
