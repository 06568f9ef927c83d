"""Bounds the work for each byte that a client sends.

The load that it answers: heads, size lines and bodies that arrive a byte at a time, each byte of
which would wake the event loop; and bodies in very small chunks, which cost a step each.
"""

import io
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore

# A receive of less than this is small.
SMALL_BYTES = 1_024
# Small receives of one message that are not delayed.
FREE_RECEIVES = 16
# The delay before each further one doubles between these, so that bytes arrive together.
MIN_PAUSE_S = 0.002
MAX_PAUSE_S = 0.25
# The part of the time in which the loop decodes bodies in very small chunks.
DECODING_FRACTION = 1 / 3


class PacedSocket(io.RawIOBase):
    """Reads from a gevent socket; a message that arrives in many small pieces is read more rarely.

    While `offline` is set, nothing is received.
    """

    def __init__(self, sock: Any):
        self.sock = sock
        self.offline = False
        self.free_receives = FREE_RECEIVES
        self.pause_s = MIN_PAUSE_S

    def begin_message(self) -> None:
        """Let the next message begin without delays."""
        self.free_receives = FREE_RECEIVES
        self.pause_s = MIN_PAUSE_S

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Receive into `buffer`; return the number of bytes, 0 at the end, None if offline."""
        if self.offline:
            return None
        if self.free_receives <= 0:
            gevent.sleep(self.pause_s)
        count = int(self.sock.recv_into(buffer))
        if count >= SMALL_BYTES:
            self.begin_message()
        elif count >= len(buffer):
            # The reader wanted no more, such as the end of a chunk.
            pass
        elif self.free_receives > 0:
            self.free_receives -= 1
        else:
            self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)
        return count


class DecodingTurns:
    """Lets one body in very small chunks be decoded at a time, for a part of the time.

    `now_s` and `sleep` are replaced in tests.
    """

    def __init__(
        self,
        now_s: Callable[[], float] = time.perf_counter,
        sleep: Callable[[float], None] = gevent.sleep,
    ):
        self.now_s = now_s
        self.sleep = sleep
        self.lock = BoundedSemaphore(1)

    @contextmanager
    def turn(self) -> Iterator[None]:
        """Wait for a turn; the next one begins after a pause in proportion to the work."""
        with self.lock:
            started = self.now_s()
            yield
            self.sleep((self.now_s() - started) * (1 / DECODING_FRACTION - 1))
