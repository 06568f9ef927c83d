"""Passes a request that has arrived whole on to another router, unparsed, and relays its answer.

This costs a fraction of serving the request. The other router gets the bytes of the caller with one
header more, and parses and checks them like those of its own callers. It closes the connection
after its answer, so the end of the connection is the end of the answer.
"""

import contextlib
import re
from collections.abc import Callable
from typing import Any

import gevent

from jacinthcove.clock import Clock
from jacinthcove.gateway.callererrors import CallerDisconnected
from jacinthcove.gateway.codec import Headers
from jacinthcove.gateway.disconnects import has_disconnected, watch_disconnect
from jacinthcove.gateway.helpers import Helpers
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.observe.metrics import Counter
from jacinthcove.targets.sockets import TargetUnreachable, connect

# How many ms another router has had a request that it passed on. A caller who sends this header
# only shortens its own time limit.
WAITED_HEADER = "Jacinthcove-Waited-Ms"
RECEIVE_BYTES = 65_536
# Each relay takes two file descriptors.
MAX_RELAYS = 800
# While an answer is relayed, events are collected for this part of the time by which they may be
# late, and sent on together.
PAUSE_FRACTION = 0.5
_WAITED_MS = re.compile(r"[0-9]{1,9}")
_MARK = f"\r\n{WAITED_HEADER}: ".encode()
_LINE_END = b"\r\n"
# An answer to an older version may end with its connection, which shows no breaking off.
_VERSION = b" HTTP/1.1"
_NO_ANSWER_BODY = b"the router that had the request broke off\n"
_NO_ANSWER = (
    b"HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Type: text/plain\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(_NO_ANSWER_BODY), _NO_ANSWER_BODY)
)


def may_pass_on(data: bytes) -> bool:
    """Return whether a request, given as received, may go to another router.

    One that comes from another router may not, so no request travels on and on.
    """
    line_end = data.find(_LINE_END)
    return data.endswith(_VERSION, 0, line_end) and not data.startswith(_MARK, line_end)


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


class Handover:
    """Lets other routers serve requests, and relays their answers to the callers.

    `event_delay_max_ms` is the time by which an event may reach its caller late. `time_limit_ms`
    returns the longest time that an answer may take. `passed_on` counts the requests.
    """

    def __init__(
        self,
        clock: Clock,
        helpers: Helpers,
        event_delay_max_ms: int,
        time_limit_ms: Callable[[], int],
        passed_on: Counter,
    ):
        self.clock = clock
        self.helpers = helpers
        self.pause_s = PAUSE_FRACTION * event_delay_max_ms / 1000
        self.time_limit_ms = time_limit_ms
        self.passed_on = passed_on
        # The connections to helpers that relay an answer, by router.
        self.relays: dict[str, set[Any]] = {}

    def pass_on(self, caller: Any, data: bytes, open_requests: int) -> bool:
        """Let another router answer a request; return False, with nothing sent, if none can.

        `caller` is the gevent socket on which `data`, one whole request, waits to be read.
        `open_requests` are those of this router.
        """
        received_at = self.clock.now()
        if self.open_relays() >= MAX_RELAYS:
            return False
        helper = self.helpers.choose(open_requests, self.relays)
        if helper is None:
            return False
        try:
            peer = connect(helper.address)
            # Only the time limit of the whole answer counts from here on.
            peer.settimeout(None)
        except TargetUnreachable:
            self.helpers.record_unreachable(helper.router)
            return False
        relays = self.relays.setdefault(helper.router, set())
        relays.add(peer)
        try:
            caller._sock.recv(len(data))
            # The loop reports late that a caller has left.
            if not has_disconnected(caller):
                self.passed_on.add()
                self._relay(caller, peer, mark_passed_on(data, self.clock.now() - received_at))
        except OSError:
            # The caller has reset its connection.
            return True
        finally:
            relays.discard(peer)
            peer.close()
        return True

    def open_relays(self) -> int:
        """Return the number of answers that are being relayed."""
        return sum(len(relays) for relays in self.relays.values())

    def on_member(self, member: Member) -> None:
        """Break off the relays of a router that has died; its connections may stay silent."""
        if member.state is MemberState.DEAD:
            for peer in self.relays.pop(member.id, set()):
                peer.close()

    def _relay(self, caller: Any, peer: Any, request: bytes) -> None:
        caller_left = CallerDisconnected("the caller closed its connection")
        try:
            with watch_disconnect(caller, caller_left):
                if not self._relay_answer(caller, peer, request):
                    caller.sendall(_NO_ANSWER)
        except CallerDisconnected:
            return

    def _relay_answer(self, caller: Any, peer: Any, request: bytes) -> bool:
        """Relay until the helper closes its connection; return whether any answer has begun."""
        answered = False
        with (
            contextlib.suppress(OSError),
            gevent.Timeout(self.time_limit_ms() / 1000, False),
        ):
            peer.sendall(request)
            while data := peer.recv(RECEIVE_BYTES):
                answered = True
                caller.sendall(data)
                gevent.sleep(self.pause_s)
        return answered
