"""Asks a target for its report, which names the time of its start."""

from typing import Any

import gevent
import orjson

from jacinthcove.platform.decode import decode_started_at
from jacinthcove.platform.names import REPORT_PATH
from jacinthcove.targets.response import RECEIVE_BYTES, TargetResponse

# A target answers at once, as its report needs no slot.
REPORT_TIMEOUT_MS = 500
OK = 200


class ReportReader:
    """Reads reports on connections to targets; implements `StartReader`."""

    def read_start(self, sock: Any, address: str) -> int | None:
        """Return when the target started, None if its report does not say.

        Raises `OSError` or `HTTPParseError` if there is no report in time, or none that leaves the
        connection open.
        """
        sock.settimeout(None)
        with gevent.Timeout(REPORT_TIMEOUT_MS / 1000, TimeoutError("no report in time")):
            sock.sendall(f"GET {REPORT_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            response = TargetResponse(sock, block_size=RECEIVE_BYTES, method="GET")
            body = bytes(response.read())
        if not response.can_reuse_connection():
            raise ConnectionError("the connection ends with the report")
        if response.status_code != OK:
            return None
        try:
            return decode_started_at(orjson.loads(body))
        except ValueError:
            return None
