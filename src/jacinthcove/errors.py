"""The exception types of the package."""

from jacinthcove.codes import ResultCode


class JacinthcoveError(Exception):
    """Base of all errors raised by this package."""


class RequestRefused(JacinthcoveError):  # noqa: N818 - names an outcome, not a defect
    """A request ends with a result code instead of a response from a target."""

    def __init__(self, code: ResultCode, message: str, retry_after_ms: int | None = None):
        super().__init__(message)
        self.code = code
        self.message = message
        self.retry_after_ms = retry_after_ms


class ConfigurationError(JacinthcoveError):
    """A configuration or setting is invalid; the message lists every problem."""


class Conflict(JacinthcoveError):  # noqa: N818 - the store's term for a failed condition
    """A conditional write found a version other than the expected one."""

    def __init__(self, key: str, current_version: int):
        super().__init__(f"{key} is at version {current_version}")
        self.key = key
        self.current_version = current_version


class StoreUnavailable(JacinthcoveError):  # noqa: N818
    """The store did not answer a call; whether a write took effect is unknown."""


class NoRouterKnows(StoreUnavailable):
    """No router that was asked has recent word of the store."""


class PeerUnavailable(JacinthcoveError):  # noqa: N818
    """A peer did not answer a call in time."""


class NotAdmitted(JacinthcoveError):  # noqa: N818
    """A target rejected a request without running it."""


class TargetFailed(JacinthcoveError):  # noqa: N818
    """A target failed after it may have started a request."""
