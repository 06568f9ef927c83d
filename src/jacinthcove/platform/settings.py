"""The settings file of a process: lines of the form `a.b=value`."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

VARIABLE = "JACINTHCOVE_NODE_FILE"


@dataclass(frozen=True)
class Bounds:
    """Time bounds and limits that the users set for this deployment."""

    revoke_ms: int
    # Part of a service's requests that may be repeated, in a window, plus a slack.
    retry_ratio: float
    retry_window_ms: int
    retry_slack: int
    # A cold target bears `cold_over` times its own rate plus `cold_slack` a second.
    cold_over: float
    cold_slack: float
    share_window_ms: int
    # Time from SIGTERM to SIGKILL.
    grace_ms: int
    lookup_lifetime_max_ms: int


@dataclass(frozen=True)
class PlatformSettings:
    """What a router needs of its settings; addresses are `ip:port`."""

    id: str
    failure_domain: str
    caller_listen: str
    ready_listen: str
    directory_listen: str
    mesh_listen: str
    seeds: tuple[str, ...]
    store: str
    bounds: Bounds


def parse_lines(text: str) -> dict[str, str]:
    """Return the values by their dotted names; later lines win."""
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


class _Reader:
    """Collects every problem instead of stopping at the first."""

    def __init__(self, values: Mapping[str, str]):
        self.values = values
        self.problems: list[str] = []

    def text(self, name: str) -> str:
        value = self.values.get(name, "")
        if not value:
            self.problems.append(f"{name} is missing")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        raw = self.values.get(name, "")
        if not raw and default is not None:
            return default
        try:
            return float(raw)
        except ValueError:
            self.problems.append(f"{name} must be a number, not {raw!r}")
            return 0.0

    def whole(self, name: str, factor: int = 1, default: float | None = None) -> int:
        return round(self.number(name, default) * factor)


def _bounds(read: _Reader) -> Bounds:
    return Bounds(
        revoke_ms=read.whole("bounds.revoke_ms", default=5_000),
        retry_ratio=read.number("bounds.retry_budget_ratio", 0.2),
        retry_window_ms=read.whole("bounds.budget_window_s", 1_000, 10),
        retry_slack=read.whole("bounds.retry_budget_slack", default=20),
        cold_over=read.number("bounds.cold_over", 1.0),
        cold_slack=read.number("bounds.cold_slack", 0.0),
        share_window_ms=read.whole("bounds.quota_window_s", 1_000, 4),
        grace_ms=read.whole("bounds.grace_s", 1_000, 8),
        lookup_lifetime_max_ms=read.whole("bounds.ttl_max_s", 1_000, 5),
    )


def decode_settings(text: str) -> Result[PlatformSettings, tuple[str, ...]]:
    """Return the settings, or every problem of the file."""
    read = _Reader(parse_lines(text))
    ip = read.text("ip")
    ports = read.text("internal_ports").split(",")
    seeds: Iterable[str] = read.values.get("seeds", "").split(",")
    settings = PlatformSettings(
        id=read.text("node"),
        failure_domain=read.text("zone"),
        caller_listen=read.text("listen.front"),
        ready_listen=read.text("listen.ready"),
        directory_listen=read.text("listen.directory"),
        mesh_listen=f"{ip}:{ports[0]}",
        # The seeds name other ports of the same machines; the mesh port is the same everywhere.
        seeds=tuple(f"{seed.rpartition(':')[0]}:{ports[0]}" for seed in seeds if ":" in seed),
        store=read.text("platform.address"),
        bounds=_bounds(read),
    )
    return Failure(tuple(read.problems)) if read.problems else Success(settings)
