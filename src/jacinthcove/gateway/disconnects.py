"""Notices that a caller has closed its connection."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import gevent

READ_EVENT = 1


def has_disconnected(sock: Any) -> bool:
    """Return whether the other side of a gevent socket has closed its connection."""
    try:
        # Peeks at the underlying non-blocking socket, so no duplicate descriptor is needed.
        return not sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


@contextlib.contextmanager
def watch_disconnect(sock: Any, error: Exception) -> Iterator[None]:
    """Raise `error` in this greenlet when the other side of a gevent socket disconnects."""
    greenlet = gevent.getcurrent()
    watcher = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)

    def on_readable() -> None:
        watcher.stop()
        if has_disconnected(sock):
            greenlet.kill(error, block=False)

    watcher.start(on_readable)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()
