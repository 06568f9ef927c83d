"""What routers say to each other and to callers when one passes a request on to another."""

import re
from dataclasses import dataclass

from jacinthcove.gateway.codec import Headers
from jacinthcove.gateway.shedding import HEAD_END

# How many ms another router has had a request that it passed on. A caller who sends this header
# only shortens its own time limit.
WAITED_HEADER = "Jacinthcove-Waited-Ms"
_WAITED_MS = re.compile(r"[0-9]{1,9}")
_MARK = f"\r\n{WAITED_HEADER}: ".encode()
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


def mark_passed_on(data: bytes, waited_ms: int) -> bytes:
    """Return a request with the header that tells how long this router has had it."""
    request_line, _, rest = data.partition(_LINE_END)
    return b"%b%b%d\r\n%b" % (request_line, _MARK, max(0, waited_ms), rest)


def take_waited_ms(headers: Headers) -> tuple[Headers, int | None]:
    """Return the headers of a request without the mark, and how long another router has had it.

    The time is None if no router has passed the request on.
    """
    found = [value for name, value in headers if name == WAITED_HEADER]
    if not found:
        return headers, None
    rest = tuple(item for item in headers if item[0] != WAITED_HEADER)
    return rest, int(found[0]) if _WAITED_MS.fullmatch(found[0]) else 0


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
