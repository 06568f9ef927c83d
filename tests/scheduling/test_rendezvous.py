"""Guards against routers that disagree on owners because one has outdated cache entries."""

import random

from jacinthcove.scheduling.rendezvous import OwnerCache, owner


def test_cached_owners_are_those_of_the_current_candidates():
    # A cache that misses a change leaves a shard with two owners or a dead one.
    rng = random.Random(5)
    names = [f"router-{index}" for index in range(30)]
    keys = [f"shard-{index}" for index in range(40)]
    cache = OwnerCache()
    for _ in range(200):
        candidates = rng.sample(names, rng.randrange(len(names)))
        cache.set_candidates(candidates)
        # Only some keys are looked up after each change.
        for key in rng.sample(keys, 10):
            assert cache.owner(key) == owner(key, candidates)


def test_keys_that_are_not_retained_are_dropped_from_the_cache():
    # Otherwise the cache would grow with every new shard while the router runs.
    cache = OwnerCache()
    cache.set_candidates(["a", "b"])
    for key in ("k1", "k2"):
        cache.owner(key)
    cache.retain({"k2"})
    assert set(cache._best) == {"k2"}
