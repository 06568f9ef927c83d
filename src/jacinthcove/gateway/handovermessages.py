"""What routers say to each other and to callers when one passes a request on to another."""

import re
from dataclasses import dataclass

from jacinthcove.gateway.codec import Headers
from jacinthcove.gateway.shedding import HEAD_END

# How many ms another router has had a request that it passed on, and the version of its
# configuration. A caller who sends this header only shortens its own time limit or is refused.
MARK_HEADER = "Jacinthcove-Waited-Ms"
_MARK_VALUE = re.compile(r"([0-9]{1,9});version=([0-9]{1,18})")
_MARK = f"\r\n{MARK_HEADER}: ".encode()
_LINE_END = b"\r\n"
# An answer to an older version may end with its connection, which shows no breaking off.
_VERSION = b" HTTP/1.1"
_HOST = re.compile(rb"\r\nhost:[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)", re.IGNORECASE)


def may_pass_on(data: bytes) -> bool:
    """Return whether a request, given as received, may go to another router.

    One that comes from another router may not, so no request travels on and on.
    """
    return data.endswith(_VERSION, 0, data.find(_LINE_END)) and not is_passed_on(data)


def is_passed_on(data: bytes) -> bool:
    """Return whether a request, given as received, comes from another router."""
    return data.startswith(_MARK, data.find(_LINE_END))


def host_and_path(data: bytes) -> tuple[str, str]:
    """Return host and path of a request, given as received; the host is empty if it names none."""
    request_line, _, _ = data.partition(_LINE_END)
    target = request_line.partition(b" ")[2].partition(b" ")[0]
    host = _HOST.search(data, len(request_line), data.find(HEAD_END) + len(HEAD_END))
    path = target.partition(b"?")[0].decode("latin-1")
    return host[1].decode("latin-1") if host else "", path


@dataclass(frozen=True)
class PassedOn:
    """What a router says of a request that it passes on.

    It has had the request for `waited_ms`, and `configuration` is the version in force there.
    """

    waited_ms: int
    configuration: int


UNREADABLE_MARK = PassedOn(0, 0)


def mark_passed_on(data: bytes, mark: PassedOn) -> bytes:
    """Return a request with the header that tells what this router says of it."""
    request_line, _, rest = data.partition(_LINE_END)
    value = b"%d;version=%d" % (mark.waited_ms, mark.configuration)
    return b"%b%b%b\r\n%b" % (request_line, _MARK, value, rest)


def take_mark(headers: Headers) -> tuple[Headers, PassedOn | None]:
    """Return the headers of a request without the mark, and what the mark says.

    The mark is None if no router has passed the request on.
    """
    found = [value for name, value in headers if name == MARK_HEADER]
    if not found:
        return headers, None
    rest = tuple(item for item in headers if item[0] != MARK_HEADER)
    value = _MARK_VALUE.fullmatch(found[0])
    return rest, PassedOn(int(value[1]), int(value[2])) if value else UNREADABLE_MARK


@dataclass(frozen=True)
class FailedRelay:
    """The answer of this router to a request that the helper has not begun to answer."""

    status: int
    reason: str
    text: str

    def encode(self) -> bytes:
        """Return the whole response, which closes the connection."""
        lines = [
            f"HTTP/1.1 {self.status} {self.reason}",
            "Connection: close",
            "Content-Type: text/plain",
            f"Content-Length: {len(self.text)}",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n" + self.text).encode()


BROKEN_OFF = FailedRelay(502, "Bad Gateway", "the router that had the request broke off\n")
TIMED_OUT = FailedRelay(504, "Gateway Timeout", "the time limit of the route has passed\n")
