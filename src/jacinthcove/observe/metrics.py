"""Counters, gauges and latency percentiles, rendered as Prometheus text."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from hdrh.histogram import HdrHistogram

PREFIX = "jacinthcove_"
QUANTILES = (0.5, 0.9, 0.95, 0.99)
MAX_VALUE_MS = 3_600_000
# Histograms record microseconds with two significant digits, which takes about 30 KB each.
_UNITS_PER_MS = 1_000
_SIGNIFICANT_DIGITS = 2


@dataclass
class Counter:
    """A value that only increases."""

    value: float = 0

    def add(self, amount: float = 1) -> None:
        """Add `amount`, which must not be negative."""
        self.value += amount


@dataclass
class Gauge:
    """A value that can rise and fall; if `read` is set, it is called when metrics are rendered."""

    value: float = 0
    read: Callable[[], float] | None = None

    def set(self, value: float) -> None:
        """Set the value, which counts only while `read` is None."""
        self.value = value

    def current(self) -> float:
        """Return the value to render."""
        return self.value if self.read is None else self.read()


class Histogram:
    """Percentiles of durations in ms, up to one hour, since the process started."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_VALUE_MS * _UNITS_PER_MS, _SIGNIFICANT_DIGITS)
        self.count = 0
        self.sum_ms = 0.0

    def observe(self, value_ms: float) -> None:
        """Record one duration; values outside the range are clamped to it."""
        value_ms = min(max(value_ms, 0.0), MAX_VALUE_MS)
        self.histogram.record_value(max(1, round(value_ms * _UNITS_PER_MS)))
        self.count += 1
        self.sum_ms += value_ms

    def quantile(self, quantile: float) -> float:
        """Return a quantile (0 to 1) in ms, or 0 if nothing was recorded."""
        if self.count == 0:
            return 0.0
        return self.histogram.get_value_at_percentile(quantile * 100) / _UNITS_PER_MS


M = TypeVar("M", Counter, Gauge, Histogram)
Labels = tuple[tuple[str, str], ...]


@dataclass
class Family(Generic[M]):
    """All series of one metric name, by their labels."""

    kind: str
    create: Callable[[], M]
    help: str = ""
    series: dict[Labels, M] = field(default_factory=dict)

    def get(self, labels: dict[str, str]) -> M:
        """Return the series with `labels`, created on first use."""
        key = tuple(sorted((name, str(value)) for name, value in labels.items()))
        if key not in self.series:
            self.series[key] = self.create()
        return self.series[key]


class Metrics:
    """The metrics of a process; callers that update a series often should keep it."""

    def __init__(self) -> None:
        self.counters: dict[str, Family[Counter]] = {}
        self.gauges: dict[str, Family[Gauge]] = {}
        self.histograms: dict[str, Family[Histogram]] = {}

    def counter(self, name: str, help: str = "", **labels: str) -> Counter:
        """Return the counter `jacinthcove_NAME` with `labels`."""
        return self.counters.setdefault(name, Family("counter", Counter, help)).get(labels)

    def gauge(self, name: str, help: str = "", **labels: str) -> Gauge:
        """Return the gauge `jacinthcove_NAME` with `labels`."""
        return self.gauges.setdefault(name, Family("gauge", Gauge, help)).get(labels)

    def histogram(self, name: str, help: str = "", **labels: str) -> Histogram:
        """Return the histogram `jacinthcove_NAME` with `labels`; its values are in ms."""
        return self.histograms.setdefault(name, Family("summary", Histogram, help)).get(labels)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for name, counters in self.counters.items():
            lines += _header_lines(name, counters.kind, counters.help)
            lines += [_sample_line(name, key, item.value) for key, item in counters.series.items()]
        for name, gauges in self.gauges.items():
            lines += _header_lines(name, gauges.kind, gauges.help)
            lines += [
                _sample_line(name, key, item.current()) for key, item in gauges.series.items()
            ]
        for name, histograms in self.histograms.items():
            lines += _header_lines(name, histograms.kind, histograms.help)
            for key, histogram in histograms.series.items():
                lines += _summary_lines(name, key, histogram)
        return "\n".join(lines) + "\n" if lines else ""


def _summary_lines(name: str, labels: Labels, histogram: Histogram) -> list[str]:
    lines = [
        _sample_line(name, (*labels, ("quantile", f"{quantile:g}")), histogram.quantile(quantile))
        for quantile in QUANTILES
    ]
    lines.append(_sample_line(f"{name}_sum", labels, histogram.sum_ms))
    lines.append(_sample_line(f"{name}_count", labels, histogram.count))
    return lines


def _header_lines(name: str, kind: str, help: str) -> list[str]:
    lines = [f"# HELP {PREFIX}{name} {_escape(help)}"] if help else []
    return [*lines, f"# TYPE {PREFIX}{name} {kind}"]


def _sample_line(name: str, labels: Labels, value: float) -> str:
    text = ",".join(f'{key}="{_escape(item)}"' for key, item in labels)
    number = str(int(value)) if float(value).is_integer() else repr(float(value))
    return f"{PREFIX}{name}{{{text}}} {number}" if text else f"{PREFIX}{name} {number}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')
