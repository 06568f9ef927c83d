"""Selects the targets that one choice compares, a bounded number in fleets of any size.

A router that compares all targets for each request becomes late under a load that it could carry,
and then rejects its callers. A random sample finds a target almost as good, and routers with old
load reports do not all find the same one.
"""

from collections.abc import Sequence
from heapq import nlargest
from random import Random

from jacinthcove.gateway.targets import TargetState

# Targets that one choice compares: a sample, mostly of this router's failure domain, and those that
# used the prompt's shared parts most recently.
SAMPLE_SIZE = 24
SAME_DOMAIN_SAMPLE = 16
MAX_HOLDERS = 8
MAX_COMPARED = SAMPLE_SIZE + MAX_HOLDERS


def sample_targets(
    targets: Sequence[TargetState], part: str, failure_domain: str, rng: Random
) -> list[TargetState]:
    """Return the targets to compare for a prompt whose last shared part is `part`.

    These are all targets if there are at most `MAX_COMPARED`. `part` may be empty.
    """
    if len(targets) <= MAX_COMPARED:
        return list(targets)
    users = [item for item in targets if part in item.recent_parts]
    holders = nlargest(MAX_HOLDERS, users, key=lambda item: item.recent_parts[part])
    same = [item for item in targets if item.record.failure_domain == failure_domain]
    others = [item for item in targets if item.record.failure_domain != failure_domain]
    same_count = min(len(same), max(SAME_DOMAIN_SAMPLE, SAMPLE_SIZE - len(others)))
    other_count = min(len(others), SAMPLE_SIZE - same_count)
    sampled = [*holders, *rng.sample(same, same_count), *rng.sample(others, other_count)]
    return list(dict.fromkeys(sampled))
