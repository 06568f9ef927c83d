"""Resuming and cancelling streams by their signed token."""

from collections.abc import Callable

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import Limits
from jacinthcove.delivery.relay import Progress, StreamMissing, StreamRelay
from jacinthcove.delivery.resume import ResumeToken, decode_token
from jacinthcove.errors import NotAdmitted, RequestRefused, TargetFailed
from jacinthcove.router.answer import Answer, EventStream, TokenUsage
from jacinthcove.targets.client import TargetRequest, fetch

CANCEL_STALL_MS = 2_000


def _ignore_progress(progress: Progress) -> None:
    """Ignore progress: the owner of the target charges the stream by its original grant."""


class StreamResumer:
    """Continues streams that were started through any router of the fleet."""

    def __init__(self, clock: Clock, fleet_key: Callable[[], str]):
        self.clock = clock
        self.fleet_key = fleet_key

    def resume(self, workspace: str, text: str, offset: int, stream: EventStream) -> Answer:
        """Relay the stream named by the token from `offset` to its end."""
        token = self._token(workspace, text)
        stream.start(token.request_id, text)
        relay = StreamRelay(
            self.clock, token.target_address, stream, Limits().stall_ms, _ignore_progress, offset
        )
        try:
            progress = relay.resume(token.stream_id)
        except StreamMissing as error:
            return Answer(ResultCode.STREAM_GONE, message=str(error))
        except (TargetFailed, NotAdmitted) as error:
            return Answer(ResultCode.STREAM_BROKEN, message=str(error))
        return Answer(ResultCode.OK, usage=TokenUsage(output_tokens=progress.next_offset))

    def cancel(self, workspace: str, text: str) -> Answer:
        """Cancel the stream named by the token."""
        token = self._token(workspace, text)
        path = f"/v1/streams/{token.stream_id}"
        request = TargetRequest(token.target_address, "DELETE", path, stall_ms=CANCEL_STALL_MS)
        try:
            answer = fetch(request)
        except (TargetFailed, NotAdmitted) as error:
            return Answer(ResultCode.TARGET_FAILED, message=str(error))
        if answer.status == 404:
            return Answer(ResultCode.STREAM_GONE, message="the target no longer has the stream")
        return Answer(ResultCode.OK, output={"cancelled": True})

    def _token(self, workspace: str, text: str) -> ResumeToken:
        token = decode_token(text, self.fleet_key(), self.clock.wall())
        if token.workspace != workspace:
            message = "the resume token belongs to another workspace"
            raise RequestRefused(ResultCode.TOKEN_INVALID, message)
        return token
