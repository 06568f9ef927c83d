"""Rendezvous hashing: all routers choose the same owner from the same candidates."""

from collections.abc import Iterable, Set
from hashlib import blake2b


def _weights(key: str, candidates: Iterable[str]) -> list[tuple[bytes, str]]:
    # The key is hashed once and the state copied, which halves the cost for many candidates.
    prefix = blake2b(key.encode() + b"\0", digest_size=8)
    weights = []
    for candidate in candidates:
        state = prefix.copy()
        state.update(candidate.encode())
        weights.append((state.digest(), candidate))
    return weights


def owner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate that owns `key`, or None if there are no candidates."""
    weights = _weights(key, candidates)
    return max(weights)[1] if weights else None


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return all candidates in the order of preference for `key`, its owner first."""
    return [candidate for _, candidate in sorted(_weights(key, candidates), reverse=True)]


class OwnerCache:
    """Caches the owners of many keys while candidates change a few at a time.

    Without it, every change would hash all keys with all candidates, which takes seconds for
    10,000 shards. A removed candidate only affects the keys that it owned, and for an added one
    only its own weights are computed.
    """

    def __init__(self) -> None:
        self.candidates: frozenset[str] = frozenset()
        self._best: dict[str, tuple[bytes, str]] = {}

    def set_candidates(self, candidates: Iterable[str]) -> None:
        """Replace the candidates and update the cached owners."""
        fresh = frozenset(candidates)
        gone, added = self.candidates - fresh, fresh - self.candidates
        self.candidates = fresh
        if not gone and not added:
            return
        for key, best in list(self._best.items()):
            if best[1] in gone:
                del self._best[key]
            elif added:
                self._best[key] = max(best, *_weights(key, added))

    def owner(self, key: str) -> str | None:
        """Return the candidate that owns `key`, or None if there are no candidates."""
        best = self._best.get(key)
        if best is None:
            if not self.candidates:
                return None
            best = self._best[key] = max(_weights(key, self.candidates))
        return best[1]

    def retain(self, keys: Set[str]) -> None:
        """Drop the cached owners of keys that are not in `keys`."""
        self._best = {key: best for key, best in self._best.items() if key in keys}
