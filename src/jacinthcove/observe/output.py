"""Standard output that never blocks the process."""

import os
import select

# A pipe that is ready for writing takes this many bytes without blocking.
ATOMIC_BYTES = 4_096


class BoundedOutput:
    """A binary stream that drops lines while the reader is slow, and counts them."""

    def __init__(self, descriptor: int = 1):
        self.descriptor = descriptor
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, data: bytes) -> int:
        """Write a line if that does not block."""
        if self.poll.poll(0):
            try:
                os.write(self.descriptor, data[:ATOMIC_BYTES])
                return len(data)
            except OSError:
                # The reader is gone; the process goes on without logs.
                pass
        self.dropped += 1
        return len(data)

    def flush(self) -> None:
        """Do nothing; nothing is buffered."""
