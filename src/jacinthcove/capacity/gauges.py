"""Gauges that show the measured capacity, and the share level that follows from it."""

from typing import Protocol

from jacinthcove.capacity.measured import MeasuredCapacity
from jacinthcove.observe.metrics import Metrics


class ShareLevel(Protocol):
    """The part of a share ledger that the gauges show; `fair_share` is in tokens of the window."""

    capacity: MeasuredCapacity
    fair_share: float
    headroom: float


def show_capacity(metrics: Metrics, ledger: ShareLevel) -> None:
    """Register the gauges; they are read when metrics are rendered."""
    capacity = ledger.capacity
    reads = {
        "engine_tokens_per_s": lambda: capacity.engine_tokens_per_s,
        "engines_ready": lambda: capacity.load.ready,
        "engines_backlogged_fraction": lambda: capacity.load.backlogged,
        "share_level_tokens": lambda: ledger.fair_share,
        "share_headroom": lambda: ledger.headroom,
    }
    for name, read in reads.items():
        metrics.gauge(name).read = read
