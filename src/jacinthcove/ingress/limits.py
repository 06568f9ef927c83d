"""The limits on callers, derived from the memory and the file descriptors of the process."""

from dataclasses import dataclass

MIB = 1024 * 1024
# The part of the memory for answers of targets that are not complete or not delivered yet.
ANSWERS_MEMORY_FRACTION = 1 / 6
# The part of the memory for bodies of open requests. A copy is made when a body is complete.
BODIES_MEMORY_FRACTION = 1 / 8
# The part of the bodies' memory that large bodies cannot take.
SMALL_BODIES_FRACTION = 1 / 4
# The part of the file descriptors for callers. Each open request takes one more to its target, and
# the mesh, the store and idle connections to targets need the rest.
CONNECTIONS_FD_FRACTION = 0.4
# The part of the memory for connections, and what one takes: a greenlet, its head, a
# piece of its body, and twice its receive buffer.
CONNECTIONS_MEMORY_FRACTION = 1 / 5
CONNECTION_BYTES = 64 * 1024
# Below this a router could not serve its ordinary callers.
MIN_CONNECTIONS = 64
# The kernel doubles it.
DEFAULT_RECEIVE_BUFFER_BYTES = 16 * 1024
# For a body that has found room, as a small buffer slows down a caller far away, and for a request
# that another router may serve, which has to arrive whole before it is read.
LARGE_RECEIVE_BUFFER_BYTES = 64 * 1024
# All callers may come from one address, such as a load balancer's; a tenth stays for others.
DEFAULT_ADDRESS_FRACTION = 0.9
DEFAULT_WORKSPACE_FRACTION = 0.5
# A body that has not grown by a step for this long gives way to others when they need the room.
DEFAULT_SLOW_BODY_MS = 1_000


@dataclass(frozen=True)
class IngressLimits:
    """Limits on callers; the fractions are parts of `body_bytes` and of `max_connections`.

    `body_bytes` is for large bodies of open requests, `small_body_bytes` for the small ones.
    """

    max_connections: int
    body_bytes: int
    small_body_bytes: int
    answer_bytes: int
    address_fraction: float = DEFAULT_ADDRESS_FRACTION
    workspace_fraction: float = DEFAULT_WORKSPACE_FRACTION
    slow_body_ms: int = DEFAULT_SLOW_BODY_MS
    receive_buffer_bytes: int = DEFAULT_RECEIVE_BUFFER_BYTES


def derive_max_connections(memory_mb: int, max_fds: int) -> int:
    """Return the number of callers' connections for which memory and descriptors last."""
    by_memory = memory_mb * MIB * CONNECTIONS_MEMORY_FRACTION / CONNECTION_BYTES
    return max(MIN_CONNECTIONS, int(min(by_memory, max_fds * CONNECTIONS_FD_FRACTION)))


def derive_limits(memory_mb: int, max_fds: int) -> IngressLimits:
    """Return the limits of a process with so much memory and so many descriptors."""
    bodies = memory_mb * MIB * BODIES_MEMORY_FRACTION
    return IngressLimits(
        max_connections=derive_max_connections(memory_mb, max_fds),
        body_bytes=int(bodies * (1 - SMALL_BODIES_FRACTION)),
        small_body_bytes=int(bodies * SMALL_BODIES_FRACTION),
        answer_bytes=int(memory_mb * MIB * ANSWERS_MEMORY_FRACTION),
    )
