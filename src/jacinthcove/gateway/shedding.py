"""Refuses requests on new connections of an overloaded router without parsing them.

To parse a request costs so much processor time that a router with many times the callers that it
can serve would only refuse. This answers a request that has arrived whole with a prepared response;
the others take the usual way.
"""

import re
import socket
from typing import Any

import gevent
from gevent.socket import wait_read

PEEK_BYTES = 65_536
# A request that does not arrive in one piece is looked at again after this time.
PIECES_MS = 2
ARRIVAL_MS = 40
HEAD_METHOD = b"HEAD "
HEAD_END = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,9})[ \t]*(?=\r\n)", re.IGNORECASE)
_TRANSFER_ENCODING = re.compile(rb"\r\ntransfer-encoding:", re.IGNORECASE)


def whole_request_length(data: bytes) -> int | None:
    """Return the length of the one request that `data` consists of, None if it is not just one."""
    head_end = data.find(HEAD_END)
    if head_end < 0:
        return None
    head = data[: head_end + len(HEAD_END)]
    lengths = _CONTENT_LENGTH.findall(head)
    if len(lengths) > 1 or _TRANSFER_ENCODING.search(head):
        return None
    total = len(head) + int(lengths[0] if lengths else 0)
    return total if total == len(data) else None


def peek_whole_request(sock: Any) -> bytes | None:
    """Return the one request that has arrived whole on a gevent socket, without reading it.

    Returns None if there is no such request; raises `OSError`.
    """
    try:
        data: bytes = sock._sock.recv(PEEK_BYTES, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    return data if whole_request_length(data) is not None else None


def await_whole_request(sock: Any) -> bytes | None:
    """Return the first request on a new connection like `peek_whole_request`, or wait for it.

    Returns None if it has not arrived whole after `ARRIVAL_MS`.
    """
    with gevent.Timeout(ARRIVAL_MS / 1000, False):
        while (data := peek_whole_request(sock)) is None:
            wait_read(sock.fileno())
            gevent.sleep(PIECES_MS / 1000)
        return data
    return None


def answer_whole_request(sock: Any, head: bytes, body: bytes) -> bool:
    """Read the request that has arrived whole, and send a response; return False if none has.

    `sock` is a gevent socket. Nothing is read if the result is False. Raises `OSError`.
    """
    data = peek_whole_request(sock)
    if data is None:
        return False
    sock._sock.recv(len(data))
    sock.sendall(head if data.startswith(HEAD_METHOD) else head + body)
    return True
