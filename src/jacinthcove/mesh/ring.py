"""Selection of the routers that a router of a large fleet probes.

Opening a stream costs more than a hundred messages on an open one, so each router probes only a few
others. All routers are placed on a hash ring, and a router probes those at distances 1, 2, 4 and so
on. Updates then reach every router in a number of steps logarithmic in the size of the fleet, and
each router is probed by as many others as it probes.
"""

from collections.abc import Sequence
from functools import lru_cache
from hashlib import blake2b

MAX_CACHED_POSITIONS = 8_192


@lru_cache(MAX_CACHED_POSITIONS)
def _ring_position(member_id: str) -> bytes:
    # Routers of one failure domain have similar ids; hashing distributes them over the ring.
    return blake2b(member_id.encode(), digest_size=8).digest()


def select_probe_partners(me: str, others: Sequence[str]) -> list[str]:
    """Return the members among `others` that are 1, 2, 4, ... positions after `me`."""
    ring = sorted({me, *others}, key=_ring_position)
    my_index = ring.index(me)
    distances = (1 << power for power in range((len(ring) - 1).bit_length()))
    return [
        ring[(my_index + distance) % len(ring)] for distance in distances if distance < len(ring)
    ]
