"""The calls of the holder of the duties to the platform, with its name and fencing token."""

import socket
import struct
from collections.abc import Mapping
from typing import Any

import gevent
import orjson
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from jacinthcove.clock import Clock
from jacinthcove.duties.calls import DutyCallFailed, Guard
from jacinthcove.platform.names import DUTY_HOLDER, FENCING_TOKEN, SCALE_PATH, USAGE_PATH
from jacinthcove.targets.sockets import TargetUnreachable, connect

CALL_TIMEOUT_MS = 1_000
MAX_RESPONSE_BYTES = 65_536
OK = 200
# Closes a connection at once and drops what was not delivered. The kernel would otherwise deliver
# a call when a link heals, seconds after the grant has ended.
ABORT = struct.pack("ii", 1, 0)


class HttpDutyCalls:
    """Makes each call on a connection of its own; implements `DutyCalls`."""

    def __init__(self, address: str, clock: Clock):
        self.address = address
        self.clock = clock

    def report_usage(self, guard: Guard, window: int, counts: Mapping[str, int]) -> None:
        """Report the requests of a window by workspace; raises `DutyCallFailed`."""
        self._post(guard, USAGE_PATH, {"window_id": window, "counts": dict(counts)})

    def order_engines(self, guard: Guard, service: str, domain: str, desired: int) -> None:
        """Order the engines of a service in a failure domain; raises `DutyCallFailed`."""
        self._post(guard, SCALE_PATH, {"service": service, "zone": domain, "desired": desired})

    def _post(self, guard: Guard, path: str, content: Any) -> None:
        body = orjson.dumps(content)
        grant = guard()
        if grant is None:
            raise DutyCallFailed("the grant has ended", not_sent=True)
        try:
            left_ms = grant.expires_at - self.clock.boot()
            sock = connect(self.address, max(1, min(CALL_TIMEOUT_MS, left_ms)))
        except TargetUnreachable as error:
            raise DutyCallFailed(str(error), not_sent=True) from error
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            # Opening the connection may have taken long, also because the VM was suspended.
            grant = guard()
            if grant is None:
                raise DutyCallFailed("the grant has ended", not_sent=True)
            left_ms = grant.expires_at - self.clock.boot()
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {self.address}\r\n"
                f"{DUTY_HOLDER}: {grant.holder}\r\n{FENCING_TOKEN}: {grant.token}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            timeout_s = max(1, min(CALL_TIMEOUT_MS, left_ms)) / 1_000
            with gevent.Timeout(timeout_s, TimeoutError("no answer in time")):
                sock.sendall(head.encode() + body)
                status = _read_status(sock)
        except (OSError, HTTPParseError) as error:
            raise DutyCallFailed(f"{path}: {error or type(error).__name__}") from error
        finally:
            sock.close()
        if status != OK:
            raise DutyCallFailed(f"{path}: status {status}", answered=True)


def _read_status(sock: Any) -> int:
    """Return the status of a complete response."""
    sock.settimeout(None)
    response = HTTPSocketResponse(sock)
    size = 0
    while piece := response.read(MAX_RESPONSE_BYTES):
        size += len(piece)
        if size > MAX_RESPONSE_BYTES:
            raise HTTPParseError(f"the response is longer than {MAX_RESPONSE_BYTES} bytes")
    return int(response.status_code)
