"""Loopback addresses for test processes, reserved among all test runs on the machine."""

import fcntl
import random
import socket
import tempfile
from io import TextIOWrapper
from pathlib import Path

# Below the range from which the kernel takes the ports of outgoing connections, which would
# otherwise occupy one of them before its process listens.
FIRST_PORT = 10_000
LAST_PORT = 32_000
LOCKS = Path(tempfile.gettempdir()) / "jacinthcove-ports"
# A lock lasts as long as its file is open, so until this process ends.
_reserved: dict[int, TextIOWrapper] = {}


def free_addresses(count: int) -> list[str]:
    """Return `count` loopback addresses; neither this nor another test run gets them again."""
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if reserve(port) and is_free(port):
            addresses.append(f"127.0.0.1:{port}")
    return addresses


def reserve(port: int) -> bool:
    """Reserve `port` until this process ends; return False if a test run has reserved it."""
    if port in _reserved:
        return False
    LOCKS.mkdir(exist_ok=True)
    file = open(LOCKS / str(port), "a")  # noqa: SIM115 - the lock outlives this call
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return False
    _reserved[port] = file
    return True


def release(port: int) -> None:
    """End the reservation of `port` by this process."""
    _reserved.pop(port).close()


def is_free(port: int) -> bool:
    """Return whether no socket is bound to `port` of the loopback address."""
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
