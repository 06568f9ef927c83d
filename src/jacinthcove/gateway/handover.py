"""Passes a request that has arrived whole on to another router, unparsed, and relays its answer.

This costs a fraction of serving the request. The other router gets the bytes of the caller with one
header more, and parses and checks them like those of its own callers. It closes the connection
after its answer, so the end of the connection is the end of the answer.
"""

import contextlib
from typing import Any

import gevent

from jacinthcove.clock import Clock
from jacinthcove.gateway.activeconfig import ActiveConfig
from jacinthcove.gateway.callererrors import CallerDisconnected
from jacinthcove.gateway.disconnects import has_disconnected, watch_disconnect
from jacinthcove.gateway.handovermessages import (
    BROKEN_OFF,
    TIMED_OUT,
    FailedRelay,
    PassedOn,
    host_and_path,
    mark_passed_on,
)
from jacinthcove.gateway.helpers import Helpers
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.observe.metrics import Counter
from jacinthcove.targets.sockets import TargetUnreachable, connect

RECEIVE_BYTES = 65_536
# A caller waits for this in vain if the helper has just lost its power.
CONNECT_TIMEOUT_MS = 200
# Each relay takes two file descriptors.
MAX_RELAYS = 800
# While an answer is relayed, events are collected for this part of the time by which they may be
# late, and sent on together.
PAUSE_FRACTION = 0.5
# A helper answers at the time limit of its route; this is for its answer to arrive.
LIMIT_SLACK_MS = 100


class Handover:
    """Lets other routers serve requests, and relays their answers to the callers.

    `event_delay_max_ms` is the time by which an event may reach its caller late. `passed_on` counts
    the requests.
    """

    def __init__(
        self,
        clock: Clock,
        helpers: Helpers,
        event_delay_max_ms: int,
        active_config: ActiveConfig,
        passed_on: Counter,
    ):
        self.clock = clock
        self.helpers = helpers
        self.pause_s = PAUSE_FRACTION * event_delay_max_ms / 1000
        self.active_config = active_config
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
            peer = connect(helper.address, CONNECT_TIMEOUT_MS)
            # Only the time limit of the whole answer counts from here on.
            peer.settimeout(None)
        except TargetUnreachable:
            self.helpers.record_unreachable(helper.router)
            return False
        limit_ms = self.active_config.time_limit_ms(*host_and_path(data))
        ends_at = received_at + limit_ms + LIMIT_SLACK_MS
        relays = self.relays.setdefault(helper.router, set())
        relays.add(peer)
        try:
            caller._sock.recv(len(data))
            # The loop reports late that a caller has left.
            if not has_disconnected(caller):
                self.passed_on.add()
                waited_ms = max(0, self.clock.now() - received_at)
                mark = PassedOn(waited_ms, self.active_config.version())
                self._relay(caller, peer, mark_passed_on(data, mark), ends_at)
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

    def _relay(self, caller: Any, peer: Any, request: bytes, ends_at: int) -> None:
        caller_left = CallerDisconnected("the caller closed its connection")
        try:
            with watch_disconnect(caller, caller_left):
                failure = self._relay_answer(caller, peer, request, ends_at)
                if failure is not None:
                    caller.sendall(failure.encode())
        except CallerDisconnected:
            return

    def _relay_answer(
        self, caller: Any, peer: Any, request: bytes, ends_at: int
    ) -> FailedRelay | None:
        """Relay until the helper closes its connection; return a failure if no answer has begun."""
        answered = False
        remaining_s = max(0, ends_at - self.clock.now()) / 1000
        with contextlib.suppress(OSError), gevent.Timeout(remaining_s, False):
            peer.sendall(request)
            while data := peer.recv(RECEIVE_BYTES):
                answered = True
                caller.sendall(data)
                gevent.sleep(self.pause_s)
        if answered:
            return None
        return TIMED_OUT if self.clock.now() >= ends_at else BROKEN_OFF
