"""Rendezvous hashing: every router computes the same owner from the same candidates."""

from collections.abc import Iterable
from hashlib import blake2b


def _weights(key: str, candidates: Iterable[str]) -> list[tuple[bytes, str]]:
    # The keyed prefix is hashed once and copied, which halves the cost for many candidates.
    prefix = blake2b(key.encode() + b"\0", digest_size=8)
    weights = []
    for candidate in candidates:
        state = prefix.copy()
        state.update(candidate.encode())
        weights.append((state.digest(), candidate))
    return weights


def owner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate that owns `key`, or None without candidates."""
    weights = _weights(key, candidates)
    return max(weights)[1] if weights else None


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return all candidates, the owner of `key` first."""
    return [candidate for _, candidate in sorted(_weights(key, candidates), reverse=True)]
