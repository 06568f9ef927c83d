"""Decodes the settings file of a router, which has lines of the form `a.b=value`."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from jacinthcove.gateway.raterule import ColdRateLimit
from jacinthcove.ingress.limits import IngressLimits, derive_limits

# Environment variable that holds the path of the settings file.
SETTINGS_FILE_VARIABLE = "JACINTHCOVE_NODE_FILE"
DEFAULT_MEMORY_MB = 300
DEFAULT_MAX_FDS = 4_096
# The part of the limit of cold targets that is used, so that delays do not push the fleet over it.
COLD_RATE_FRACTION = 0.8


@dataclass(frozen=True)
class Bounds:
    """Time bounds and limits that the users set for the deployment."""

    # A withdrawn API key must no longer be accepted after this time.
    revoke_ms: int
    # A change of the configuration must be in force everywhere after this time.
    apply_ms: int
    # A router whose connections went silent keeps all bounds again after this time.
    contact_ms: int
    # A drained failure domain gets no more requests, and a bad version is cut, after these times.
    evacuate_ms: int
    rollback_ms: int
    # Retries of a service allowed in a window: this ratio of its requests plus the slack.
    retry_ratio: float
    retry_window_ms: int
    retry_slack: int
    # A cold target can take `cold_over` times its cold rate plus `cold_slack` requests per second.
    cold_over: float
    cold_slack: float
    share_window_ms: int
    # Time from SIGTERM to SIGKILL.
    grace_ms: int
    # An event of a stream may reach its caller this long after its target has made it.
    event_delay_max_ms: int
    # Maximum TTL of a directory response.
    lookup_lifetime_max_ms: int

    @property
    def cold_rate_limit(self) -> ColdRateLimit:
        """Return the rate of a cold target that the routers divide."""
        return ColdRateLimit(
            self.cold_over * COLD_RATE_FRACTION, self.cold_slack * COLD_RATE_FRACTION
        )


@dataclass(frozen=True)
class DutySettings:
    """The calls that one router at a time makes to the platform, and their limits."""

    # Empty if no router makes such calls.
    address: str
    duties: frozenset[str]
    # Calls per second of all routers together.
    calls_per_s: float
    lease_ms: int
    usage_window_ms: int
    # The report of a window is due this long after its end.
    usage_late_ms: int

    def performs(self, duty: str) -> bool:
        """Return whether the routers perform a duty."""
        return bool(self.address) and duty in self.duties


@dataclass(frozen=True)
class PlatformSettings:
    """Settings of a router; addresses are `ip:port`."""

    id: str
    failure_domain: str
    caller_listen: str
    ready_listen: str
    directory_listen: str
    mesh_listen: str
    seeds: tuple[str, ...]
    store: str
    # The platform kills a process that takes more memory.
    memory_mb: int
    bounds: Bounds
    duties: DutySettings
    ingress: IngressLimits


def parse_lines(text: str) -> dict[str, str]:
    """Return the values by their dotted names; the last line of a name counts."""
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


class _SettingsReader:
    """Reads typed values and collects all problems instead of stopping at the first."""

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

    def integer(self, name: str, factor: int = 1, default: float | None = None) -> int:
        return round(self.number(name, default) * factor)


def _decode_bounds(reader: _SettingsReader) -> Bounds:
    return Bounds(
        revoke_ms=reader.integer("bounds.revoke_ms", default=5_000),
        apply_ms=reader.integer("bounds.config_apply_ms", default=2_000),
        contact_ms=reader.integer("bounds.contact_ms", default=3_000),
        evacuate_ms=reader.integer("bounds.evacuate_ms", default=5_000),
        rollback_ms=reader.integer("bounds.rollback_ms", default=5_000),
        retry_ratio=reader.number("bounds.retry_budget_ratio", 0.2),
        retry_window_ms=reader.integer("bounds.budget_window_s", 1_000, 10),
        retry_slack=reader.integer("bounds.retry_budget_slack", default=20),
        cold_over=reader.number("bounds.cold_over", 1.0),
        cold_slack=reader.number("bounds.cold_slack", 0.0),
        share_window_ms=reader.integer("bounds.quota_window_s", 1_000, 4),
        event_delay_max_ms=reader.integer("bounds.pass_ms", default=120),
        grace_ms=reader.integer("bounds.grace_s", 1_000, 8),
        lookup_lifetime_max_ms=reader.integer("bounds.ttl_max_s", 1_000, 5),
    )


def _decode_duties(reader: _SettingsReader) -> DutySettings:
    names = (name.strip() for name in reader.values.get("cloud.duties", "").split(","))
    settings = DutySettings(
        address=reader.values.get("cloud.address", ""),
        duties=frozenset(name for name in names if name),
        calls_per_s=reader.number("cloud.duty_per_s", 50.0),
        lease_ms=reader.integer("bounds.lease_ms", default=3_000),
        usage_window_ms=reader.integer("bounds.usage_window_s", 1_000, 5),
        usage_late_ms=reader.integer("bounds.usage_late_s", 1_000, 10),
    )
    if settings.address and ":" not in settings.address:
        reader.problems.append(f"cloud.address must be ip:port, not {settings.address!r}")
    for name, value in (
        ("bounds.lease_ms", settings.lease_ms),
        ("bounds.usage_window_s", settings.usage_window_ms),
    ):
        if value < 1:
            reader.problems.append(f"{name} must be positive")
    return settings


def _decode_ingress(reader: _SettingsReader, memory_mb: int) -> IngressLimits:
    max_fds = reader.integer("limits.max_fds", default=DEFAULT_MAX_FDS)
    derived = derive_limits(memory_mb, max_fds)
    return IngressLimits(
        max_connections=reader.integer("ingress.max_connections", default=derived.max_connections),
        body_bytes=reader.integer("ingress.body_bytes", default=derived.body_bytes),
        small_body_bytes=reader.integer(
            "ingress.small_body_bytes", default=derived.small_body_bytes
        ),
        answer_bytes=derived.answer_bytes,
        address_fraction=reader.number("ingress.address_fraction", derived.address_fraction),
        workspace_fraction=reader.number("ingress.workspace_fraction", derived.workspace_fraction),
        slow_body_ms=reader.integer("ingress.slow_body_ms", default=derived.slow_body_ms),
        receive_buffer_bytes=reader.integer(
            "ingress.receive_buffer_bytes", default=derived.receive_buffer_bytes
        ),
    )


def decode_settings(text: str) -> Result[PlatformSettings, tuple[str, ...]]:
    """Return the settings, or all problems found in the text."""
    reader = _SettingsReader(parse_lines(text))
    ip = reader.text("ip")
    ports = reader.text("internal_ports").split(",")
    seeds: Iterable[str] = reader.values.get("seeds", "").split(",")
    memory_mb = reader.integer("limits.memory_mb", default=DEFAULT_MEMORY_MB)
    settings = PlatformSettings(
        id=reader.text("node"),
        failure_domain=reader.text("zone"),
        caller_listen=reader.text("listen.front"),
        ready_listen=reader.text("listen.ready"),
        directory_listen=reader.text("listen.directory"),
        mesh_listen=f"{ip}:{ports[0]}",
        # Seeds name another port of each VM; the mesh port is the same on all of them.
        seeds=tuple(f"{seed.rpartition(':')[0]}:{ports[0]}" for seed in seeds if ":" in seed),
        store=reader.text("platform.address"),
        memory_mb=memory_mb,
        bounds=_decode_bounds(reader),
        duties=_decode_duties(reader),
        ingress=_decode_ingress(reader, memory_mb),
    )
    return Failure(tuple(reader.problems)) if reader.problems else Success(settings)
