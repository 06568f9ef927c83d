"""Whom a router of a large fleet probes.

A new stream costs more than a hundred messages on an open one, so each router keeps to a few
others. They lie on a ring of all routers at distances that double: news pass from any router to any
other in a number of steps that grows with the logarithm of the fleet, and each router is probed by
as many others as it probes.
"""

from collections.abc import Sequence
from functools import lru_cache
from hashlib import blake2b

MAX_KEPT_PLACES = 8_192


@lru_cache(MAX_KEPT_PLACES)
def _place(member_id: str) -> bytes:
    # Routers of one failure domain have similar ids; hashing spreads them over the ring.
    return blake2b(member_id.encode(), digest_size=8).digest()


def partners(me: str, others: Sequence[str]) -> list[str]:
    """Return the members among `others` that lie 1, 2, 4, ... places after `me`."""
    ring = sorted({me, *others}, key=_place)
    here = ring.index(me)
    distances = (1 << power for power in range((len(ring) - 1).bit_length()))
    return [ring[(here + distance) % len(ring)] for distance in distances if distance < len(ring)]
