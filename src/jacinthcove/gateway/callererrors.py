"""Why a request of a caller is not served as it came."""

from jacinthcove.codes import ResultCode
from jacinthcove.errors import JacinthcoveError, RequestRefused

# Delay after which a caller should send a large body again.
BODY_RETRY_MS = 1_000


class CallerDisconnected(JacinthcoveError):  # noqa: N818 - names an outcome
    """The caller closed its connection."""


class BodyNotRead(RequestRefused):  # noqa: N818
    """The body does not fit beside those of the other open requests."""

    def __init__(self) -> None:
        message = "the bodies of the open requests take too much memory"
        super().__init__(ResultCode.OVERLOADED, message, BODY_RETRY_MS)


class MalformedRequest(JacinthcoveError):  # noqa: N818
    """Bytes are not an acceptable request; `status` is sent and the connection closes."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status
