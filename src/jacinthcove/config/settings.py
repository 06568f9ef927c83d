"""Process settings from flags and `JACINTHCOVE_*` environment variables.

Each setting is declared once, as a field of a settings class. A flag takes precedence over the
environment variable, and the variable over the default. Durations are in milliseconds in code and
have a unit in flags and variables.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from jacinthcove.config.options import (
    KEY_HASH,
    NAME,
    Address,
    AddressList,
    Choice,
    Duration,
    Integer,
    Scalar,
    String,
    suggestion,
)
from jacinthcove.errors import ConfigurationError

VARIABLE_PREFIX = "JACINTHCOVE_"
SettingsT = TypeVar("SettingsT", bound="CommonSettings")


class LogLevel(Enum):
    """The least severe level of log events that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def setting(option: Scalar[Any], default: str | None, help: str, secret: bool = False) -> Any:
    """Declare a setting; `default` has the form of a flag value, None makes it required."""
    metadata = {"option": option, "default": default, "help": help, "secret": secret}
    return dataclasses.field(metadata=metadata, repr=not secret)


@dataclass(frozen=True)
class CommonSettings:
    """Settings that the router and the controller share."""

    id: str = setting(NAME, None, "name of this process, unique in the fleet")
    failure_domain: str = setting(NAME, None, "failure domain of the VM")
    store: str = setting(Address(), None, "address of the platform's object API")
    store_timeout_ms: int = setting(
        Duration(10, 60_000), "1s", "time limit of one call to the object API"
    )
    stop_timeout_ms: int = setting(
        Duration(0, 3_600_000), "15m", "time that requests in flight get to finish after SIGTERM"
    )
    log_level: LogLevel = setting(Choice(LogLevel), "info", "least severe level that is logged")

    def conflicts(self) -> tuple[str, ...]:
        """Return an error for each combination of settings that is invalid."""
        return ()


@dataclass(frozen=True)
class RouterSettings(CommonSettings):
    """Settings of `jacinthcove-router`."""

    mesh_listen: str = setting(
        Address(), "127.0.0.1:7400", "address for other routers, as they reach it"
    )
    caller_listen: str = setting(
        Address(), "127.0.0.1:7480", "address for callers, as they reach it"
    )
    seeds: tuple[str, ...] = setting(
        AddressList(), "", "mesh addresses of routers to join, besides those on the VM list"
    )
    fleet_key: str = setting(
        String(), "", "key of resume tokens; empty takes fleet_key of the configuration", True
    )
    max_deadline_ms: int = setting(
        Duration(100, 24 * 3_600_000), "15m", "longest deadline that a caller may ask for"
    )
    max_body_bytes: int = setting(
        Integer(1_024, 64 * 2**20), "1048576", "largest request body in bytes"
    )
    max_requests: int = setting(
        Integer(1, 1_000_000), "5000", "most requests that are open at a time"
    )


@dataclass(frozen=True)
class ControllerSettings(CommonSettings):
    """Settings of `jacinthcove-controller`."""

    admin_listen: str = setting(
        Address(), "127.0.0.1:7490", "address for operators, as they reach it"
    )
    router: str = setting(Address(), None, "caller address of the router on the same VM")
    lease_ttl_ms: int = setting(
        Duration(500, 300_000), "6s", "time after which an unrenewed lease may be taken over"
    )
    order_timeout_ms: int = setting(
        Duration(100, 300_000), "2s", "time limit of one order to a target"
    )
    move_interval_ms: int = setting(
        Duration(50, 60_000), "500ms", "period between decisions about version moves"
    )
    bootstrap_key_hash: str = setting(
        String(), "", "SHA-256 of an operator key that is valid while no operator is configured"
    )

    def conflicts(self) -> tuple[str, ...]:
        """Return an error for each combination of settings that is invalid."""
        found = []
        if self.order_timeout_ms >= self.lease_ttl_ms:
            found.append("--order-timeout must be below --lease-ttl")
        if self.bootstrap_key_hash:
            reason = KEY_HASH.parse(self.bootstrap_key_hash)
            if not isinstance(reason, Success):
                found.append(f"--bootstrap-key-hash: {reason.failure()}")
        return tuple(found)


def flag_name(field_name: str) -> str:
    """Return the flag of a field, without the `_ms` suffix of durations."""
    return "--" + field_name.removesuffix("_ms").replace("_", "-")


def variable_name(field_name: str) -> str:
    """Return the environment variable of a field, without the `_ms` suffix of durations."""
    return VARIABLE_PREFIX + field_name.removesuffix("_ms").upper()


def read_settings(
    cls: type[SettingsT], arguments: Sequence[str], environment: Mapping[str, str]
) -> Result[SettingsT, tuple[str, ...]]:
    """Return the settings, or an error for every invalid flag, variable or combination."""
    fields = {flag_name(f.name): f for f in dataclasses.fields(cls)}
    flag_values, errors = _parse_arguments(arguments, list(fields))
    values: dict[str, Any] = {}
    for flag, item in fields.items():
        variable = variable_name(item.name)
        raw, source = item.metadata["default"], "default"
        if flag in flag_values:
            raw, source = flag_values[flag], flag
        elif variable in environment:
            raw, source = environment[variable], variable
        if raw is None:
            errors.append(f"{flag} (or {variable}) is required: {item.metadata['help']}")
            continue
        result = item.metadata["option"].parse(raw)
        if isinstance(result, Success):
            values[item.name] = result.unwrap()
        else:
            reason = "is not usable" if item.metadata["secret"] else result.failure()
            errors.append(f"{source}: {reason}")
    if errors:
        return Failure(tuple(errors))
    settings = cls(**values)
    conflicts = settings.conflicts()
    return Failure(conflicts) if conflicts else Success(settings)


def load_settings(
    cls: type[SettingsT], arguments: Sequence[str], environment: Mapping[str, str]
) -> SettingsT:
    """Return the settings, or raise `ConfigurationError` that lists every error."""
    result = read_settings(cls, arguments, environment)
    if isinstance(result, Success):
        return result.unwrap()
    raise ConfigurationError("\n".join(result.failure()))


def _parse_arguments(
    arguments: Sequence[str], flags: list[str]
) -> tuple[dict[str, str], list[str]]:
    flag_values: dict[str, str] = {}
    errors: list[str] = []
    remaining = list(arguments)
    while remaining:
        argument = remaining.pop(0)
        flag, equals, value = argument.partition("=")
        if flag not in flags:
            errors.append(f"unknown argument {flag}{suggestion(flag, flags)}")
            if not equals and remaining and not remaining[0].startswith("--"):
                remaining.pop(0)
            continue
        if not equals and (not remaining or remaining[0].startswith("--")):
            errors.append(f"{flag} needs a value")
            continue
        if flag in flag_values:
            errors.append(f"{flag} is given twice")
        flag_values[flag] = value if equals else remaining.pop(0)
    return flag_values, errors


def settings_table(cls: type[CommonSettings]) -> str:
    """Return the settings as a Markdown table for docs/OPERATIONS.md and `--help`."""
    lines = ["| flag | variable | type | default | meaning |", "| --- | --- | --- | --- | --- |"]
    for item in dataclasses.fields(cls):
        data = item.metadata
        default = "required" if data["default"] is None else f"`{data['default']}`"
        if data["default"] == "":
            default = "empty"
        cells = (
            f"`{flag_name(item.name)}`",
            f"`{variable_name(item.name)}`",
            data["option"].kind,
            default,
            data["help"],
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)
