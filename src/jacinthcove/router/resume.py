"""Resumes and cancels streams by their signed resume tokens."""

from collections.abc import Callable

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import Limits
from jacinthcove.delivery.relay import Progress, StreamMissing, StreamRelay
from jacinthcove.delivery.resume import ResumeToken, decode_token
from jacinthcove.errors import NotAdmitted, RequestRefused, TargetFailed
from jacinthcove.router.response import CallerResponse, EventStream, TokenUsage
from jacinthcove.targets.client import TargetRequest, fetch

CANCEL_STALL_MS = 2_000


def _ignore_progress(progress: Progress) -> None:
    """Ignore progress: the owner of the target charges the stream to its original grant."""


class StreamResumer:
    """Resumes and cancels streams that were started through any router of the fleet."""

    def __init__(self, clock: Clock, fleet_key: Callable[[], str]):
        self.clock = clock
        self.fleet_key = fleet_key

    def resume(self, workspace: str, text: str, offset: int, stream: EventStream) -> CallerResponse:
        """Relay the stream that the token identifies, from `offset` to its end."""
        token = self._token(workspace, text)
        stream.start(token.request_id, text)
        relay = StreamRelay(
            self.clock, token.target_address, stream, Limits().stall_ms, _ignore_progress, offset
        )
        try:
            progress = relay.resume(token.stream_id)
        except StreamMissing as error:
            return CallerResponse(ResultCode.STREAM_GONE, message=str(error))
        except (TargetFailed, NotAdmitted) as error:
            return CallerResponse(ResultCode.STREAM_BROKEN, message=str(error))
        return CallerResponse(ResultCode.OK, usage=TokenUsage(output_tokens=progress.next_offset))

    def cancel(self, workspace: str, text: str) -> CallerResponse:
        """Cancel the stream that the token identifies on its target."""
        token = self._token(workspace, text)
        path = f"/v1/streams/{token.stream_id}"
        request = TargetRequest(token.target_address, "DELETE", path, stall_ms=CANCEL_STALL_MS)
        try:
            response = fetch(request)
        except (TargetFailed, NotAdmitted) as error:
            return CallerResponse(ResultCode.TARGET_FAILED, message=str(error))
        if response.status == 404:
            return CallerResponse(
                ResultCode.STREAM_GONE, message="the target no longer has the stream"
            )
        return CallerResponse(ResultCode.OK, output={"cancelled": True})

    def _token(self, workspace: str, text: str) -> ResumeToken:
        token = decode_token(text, self.fleet_key(), self.clock.wall())
        if token.workspace != workspace:
            message = "the resume token belongs to another workspace"
            raise RequestRefused(ResultCode.TOKEN_INVALID, message)
        return token
