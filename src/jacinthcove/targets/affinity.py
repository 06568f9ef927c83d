"""Tracks which prompt prefixes a target probably has in its prefix cache."""

from collections import OrderedDict

# An engine's prefix cache is small, so older keys have probably been evicted.
DEFAULT_PREFIXES = 512


class PrefixAffinity:
    """The most recently used prefix keys of one target.

    A wrong entry only costs a cache miss, so cache events may arrive late or get lost.
    """

    def __init__(self, capacity: int = DEFAULT_PREFIXES):
        self.capacity = capacity
        self._keys: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._keys)

    def probably_caches(self, prefix_key: str) -> bool:
        """Return whether the target probably has `prefix_key` in its cache."""
        return prefix_key in self._keys

    def add_prefix(self, prefix_key: str) -> None:
        """Record that the target stores `prefix_key`, after a dispatch or a cache event."""
        if not prefix_key:
            return
        self._keys[prefix_key] = None
        self._keys.move_to_end(prefix_key)
        if len(self._keys) > self.capacity:
            self._keys.popitem(last=False)

    def remove_prefix(self, prefix_key: str) -> None:
        """Record that the target evicted `prefix_key`."""
        self._keys.pop(prefix_key, None)

    def clear(self) -> None:
        """Remove all keys, because the target lost its cache in a restart."""
        self._keys.clear()
