"""Asks a target for its report, which names the time of its start."""

from typing import Any

import gevent
import orjson

from jacinthcove.platform.decode import decode_started_at
from jacinthcove.platform.names import ATTEMPT_ID, REPORT_PATH
from jacinthcove.targets.response import RECEIVE_BYTES, TargetResponse

# A target answers at once, as its report needs no slot.
REPORT_TIMEOUT_MS = 500
OK = 200
NOT_FOUND = 404


class ReportReader:
    """Reads reports on connections to targets; implements `StartReader`."""

    def read_start(self, sock: Any, address: str) -> int | None:
        """Return when the target started, None if it has no report or this does not say.

        Raises `OSError`, `ValueError` or `HTTPParseError` if there is no report in time, a broken
        one, or none that leaves the connection open.
        """
        sock.settimeout(None)
        with gevent.Timeout(REPORT_TIMEOUT_MS / 1000, TimeoutError("no report in time")):
            sock.sendall(f"GET {REPORT_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            response = TargetResponse(sock, _is_report, block_size=RECEIVE_BYTES, method="GET")
            body = bytes(response.read())
        if not response.can_reuse_connection():
            raise ConnectionError("the connection ends with the report")
        if response.status_code == NOT_FOUND:
            return None
        if response.status_code != OK:
            raise ConnectionError(f"status {response.status_code} instead of a report")
        return decode_started_at(orjson.loads(body))


def _is_report(response: TargetResponse) -> bool:
    """Return whether a response is not the late answer to a request."""
    return response.get(ATTEMPT_ID) is None
