"""Which targets probably hold a prompt prefix in their cache."""

from collections import OrderedDict

# An engine's prefix memory is small; older keys are unlikely to be cached still.
DEFAULT_PREFIXES = 512


class PrefixAffinity:
    """The most recent prefix keys of one target.

    A wrong entry costs a cache miss and nothing else, so cache events may be late or missing.
    """

    def __init__(self, capacity: int = DEFAULT_PREFIXES):
        self.capacity = capacity
        self._keys: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._keys)

    def holds(self, prefix_key: str) -> bool:
        """Return whether the target probably caches `prefix_key`."""
        return prefix_key in self._keys

    def learn(self, prefix_key: str) -> None:
        """Note a dispatch or a cache event that stores `prefix_key`."""
        if not prefix_key:
            return
        self._keys[prefix_key] = None
        self._keys.move_to_end(prefix_key)
        if len(self._keys) > self.capacity:
            self._keys.popitem(last=False)

    def evict(self, prefix_key: str) -> None:
        """Note a cache event that evicts `prefix_key`."""
        self._keys.pop(prefix_key, None)

    def clear(self) -> None:
        """Forget everything, as after a restart of the target."""
        self._keys.clear()
