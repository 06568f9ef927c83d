"""Closes a listening socket without a reset of connections that callers have opened."""

import contextlib
import ctypes
import socket
import struct

# Linux; the socket module does not name it.
SO_ATTACH_FILTER = 26
# Instructions of the socket filter, which sees packets from their TCP header on.
_LOAD_FLAGS = struct.pack("@HBBI", 0x30, 0, 0, 13)
_JUMP_UNLESS_SYN = struct.pack("@HBBI", 0x45, 0, 1, 0x02)
_DROP = struct.pack("@HBBI", 0x06, 0, 0, 0)
_ACCEPT = struct.pack("@HBBI", 0x06, 0, 0, 0xFFFFFFFF)
_INSTRUCTIONS = (_LOAD_FLAGS, _JUMP_UNLESS_SYN, _DROP, _ACCEPT)


def ignore_new_connections(listener: socket.socket) -> None:
    """Let a listening socket ignore callers that begin to connect; others can still be accepted.

    They try again after the socket is closed, and are refused. A system without socket filters
    resets those that connect while it is being closed.
    """
    code = ctypes.create_string_buffer(b"".join(_INSTRUCTIONS))
    program = struct.pack("@HP", len(_INSTRUCTIONS), ctypes.addressof(code))
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
