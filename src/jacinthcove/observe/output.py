"""Log output that never blocks the process."""

import os
import select

# A pipe that is ready for writing accepts this many bytes without blocking; longer lines are cut.
MAX_LINE_BYTES = 4_096


class NonBlockingOutput:
    """A binary stream that drops lines while its reader is slow, and counts them."""

    def __init__(self, descriptor: int = 1):
        self.descriptor = descriptor
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, data: bytes) -> int:
        """Write a line if that does not block, else drop it; always returns its length."""
        if self.poll.poll(0):
            try:
                os.write(self.descriptor, data[:MAX_LINE_BYTES])
                return len(data)
            except OSError:
                # The reader closed the pipe; the process continues without logs.
                pass
        self.dropped += 1
        return len(data)

    def flush(self) -> None:
        """Do nothing, because nothing is buffered."""
