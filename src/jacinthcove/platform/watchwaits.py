"""How long each watch of the store waits for changes.

A connection can go silent without a reset, and the end of a watch's wait is the only sign of it. So
the wait is short enough to notice that, and to list the kind again, within the bound of its kind.
"""

from collections.abc import Mapping

from jacinthcove.platform.names import (
    CONFIG_KIND,
    DRAINED_DOMAINS_KIND,
    QUARANTINE_KIND,
    ROLLOUTS_KIND,
    TARGETS_KIND,
)
from jacinthcove.platform.settings import Bounds
from jacinthcove.platform.storeclient import WATCH_SLACK_MS

# Time to list a kind on a new connection.
RELIST_MS = 600
MIN_WAIT_MS = 600
# No bound depends on the quarantine, which routers also tell each other.
QUARANTINE_WAIT_MS = 8_000
# A relay router waits a third of it.
QUARANTINE_APPLY_MS = 3 * QUARANTINE_WAIT_MS


def watch_waits(bounds: Bounds) -> Mapping[str, int]:
    """Return the wait of each kind in ms."""
    return {
        CONFIG_KIND: _wait_within(bounds.contact_ms),
        TARGETS_KIND: _wait_within(bounds.contact_ms),
        DRAINED_DOMAINS_KIND: _wait_within(bounds.evacuate_ms),
        ROLLOUTS_KIND: _wait_within(bounds.rollback_ms),
        QUARANTINE_KIND: QUARANTINE_WAIT_MS,
    }


def apply_times(bounds: Bounds) -> Mapping[str, int]:
    """Return in which time a change has to be in force, of kinds with a bound of their own.

    The waits of a relay router follow from it.
    """
    return {
        DRAINED_DOMAINS_KIND: bounds.evacuate_ms,
        ROLLOUTS_KIND: bounds.rollback_ms,
        QUARANTINE_KIND: QUARANTINE_APPLY_MS,
    }


def _wait_within(bound_ms: int) -> int:
    return max(MIN_WAIT_MS, bound_ms - WATCH_SLACK_MS - RELIST_MS)
