"""Reads, merges, encodes and compares fleet configuration documents."""

from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import orjson
import yaml

from jacinthcove.config.checks import check_config
from jacinthcove.config.model import (
    FailureDomain,
    FleetConfig,
    Limits,
    Move,
    MoveState,
    MoveStep,
    Operator,
    Route,
    Service,
    ServiceKind,
    Workspace,
)
from jacinthcove.config.options import Problem, ProblemReport, join_path
from jacinthcove.config.schema import FLEET_CONFIG
from jacinthcove.errors import ConfigurationError


@dataclass(frozen=True)
class ConfigFile:
    """The text of one configuration file."""

    name: str
    text: str


@dataclass
class MergedTree:
    """A merged YAML tree; `origins` maps each path to the file that set it last."""

    tree: dict[Any, Any]
    origins: dict[str, str] = field(default_factory=dict)

    def origin(self, path: str) -> str:
        """Return the file that set `path` or its closest recorded parent."""
        while path and path not in self.origins:
            path = path.rpartition(".")[0]
        return self.origins.get(path, "")


@dataclass(frozen=True)
class ParseResult:
    """The result of `parse`; `config` is None if there are errors."""

    config: FleetConfig | None
    errors: tuple[Problem, ...]
    warnings: tuple[Problem, ...]

    def require_config(self) -> FleetConfig:
        """Return the configuration, or raise `ConfigurationError` that lists every error."""
        if self.config is None:
            raise ConfigurationError("\n".join(str(problem) for problem in self.errors))
        return self.config


class _UniqueKeyLoader(yaml.SafeLoader):
    """A safe YAML loader that rejects duplicate keys instead of keeping only the last one."""


def _construct_mapping(loader: _UniqueKeyLoader, node: yaml.MappingNode) -> dict[Any, Any]:
    loader.flatten_mapping(node)
    result: dict[Any, Any] = {}
    for key_node, value_node in node.value:
        key = loader.construct_object(key_node, deep=True)
        if not isinstance(key, str):
            raise yaml.MarkedYAMLError(
                problem=f"key {key!r} is not text; put it in quotes",
                problem_mark=key_node.start_mark,
            )
        if key in result:
            raise yaml.MarkedYAMLError(
                problem=f"duplicate key {key!r}", problem_mark=key_node.start_mark
            )
        result[key] = loader.construct_object(value_node, deep=True)
    return result


_UniqueKeyLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping)


def read_config_files(
    base: str, overlay: str | None = None
) -> tuple[ConfigFile, ConfigFile | None]:
    """Read the base and overlay files; raise `ConfigurationError` if one cannot be read."""
    sources = []
    for name in (base, overlay):
        try:
            sources.append(ConfigFile(name, Path(name).read_text("utf-8")) if name else None)
        except (OSError, UnicodeDecodeError) as error:
            raise ConfigurationError(f"error: {name}: cannot be read: {error}") from error
    assert sources[0] is not None
    return sources[0], sources[1]


def _load_yaml(source: ConfigFile, report: ProblemReport) -> dict[Any, Any]:
    try:
        tree = yaml.load(
            source.text, _UniqueKeyLoader
        )  # noqa: S506 - _UniqueKeyLoader is a SafeLoader
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        position = f"line {mark.line + 1}" if mark else ""
        reason = getattr(error, "problem", None) or str(error)
        ProblemReport(lambda path: source.name, report.problems).error(
            position, f"not valid YAML: {reason}"
        )
        return {}
    if tree is None:
        return {}
    if not isinstance(tree, dict):
        ProblemReport(lambda path: source.name, report.problems).error("", "expected a mapping")
        return {}
    return tree


def merge(
    base: dict[Any, Any], overlay: dict[Any, Any], base_name: str, overlay_name: str
) -> MergedTree:
    """Merge `overlay` into a copy of `base`; null deletes a key, a list replaces the old one."""
    merged = MergedTree({}, {"": base_name})
    merged.tree = _merge_values(base, overlay, overlay_name, "", merged.origins)
    return merged


def _merge_values(
    base: Any, overlay: Any, overlay_name: str, path: str, origins: dict[str, str]
) -> Any:
    if not (isinstance(base, dict) and isinstance(overlay, dict)):
        origins[path] = overlay_name
        return _without_nulls(overlay)
    result = dict(base)
    for key, value in overlay.items():
        key_path = join_path(path, key)
        if value is None:
            origins[key_path] = overlay_name
            result.pop(key, None)
        elif key in result:
            result[key] = _merge_values(result[key], value, overlay_name, key_path, origins)
        else:
            origins[key_path] = overlay_name
            result[key] = _without_nulls(value)
    return result


def _without_nulls(value: Any) -> Any:
    if not isinstance(value, dict):
        return value
    return {key: _without_nulls(item) for key, item in value.items() if item is not None}


def parse(base: ConfigFile, overlay: ConfigFile | None = None, now_ms: int = 0) -> ParseResult:
    """Parse and check the files, reporting all problems; `now_ms` is the wall-clock time."""
    report = ProblemReport()
    base_tree = _load_yaml(base, report)
    overlay_tree = _load_yaml(overlay, report) if overlay else {}
    if report.errors:
        return ParseResult(None, report.errors, report.warnings)
    merged = merge(base_tree, overlay_tree, base.name, overlay.name if overlay else "")
    report.origin = merged.origin
    config = FLEET_CONFIG.read(merged.tree, "", report)
    if config is not None:
        check_config(config, report, now_ms)
    return ParseResult(None if report.errors else config, report.errors, report.warnings)


def encode(config: FleetConfig) -> bytes:
    """Return canonical JSON: keys are sorted, defaults included, `revision` is a top-level key."""
    return orjson.dumps(config, option=orjson.OPT_SORT_KEYS)


def decode(body: bytes) -> FleetConfig:
    """Return the configuration that `encode` made; unknown keys are ignored.

    Raises `ConfigurationError` if `body` is not an encoded configuration.
    """
    try:
        return _build_fleet(orjson.loads(body))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise ConfigurationError(f"not an encoded fleet configuration: {reason}") from error


def _select_fields(cls: type, data: dict[str, Any]) -> dict[str, Any]:
    values = {f.name: data[f.name] for f in fields(cls) if f.name in data}
    for item in fields(cls):
        if item.name in values and not _has_type(values[item.name], item.type):
            raise ValueError(f"{item.name} has the value {values[item.name]!r}")
    return values


def _has_type(value: Any, expected_type: Any) -> bool:
    if expected_type is float:
        return type(value) in (int, float)
    return expected_type not in (int, str, bool) or type(value) is expected_type


def _build_fleet(data: dict[str, Any]) -> FleetConfig:
    if type(data["revision"]) is not int or data["revision"] < 0:
        raise ValueError("revision is not a whole number")
    values = _select_fields(FleetConfig, data)
    for key, build in _BUILDERS.items():
        values[key] = {name: build(item) for name, item in data.get(key, {}).items()}
    return FleetConfig(**values)


def _build_service(data: dict[str, Any]) -> Service:
    values = _select_fields(Service, data)
    values["kind"] = ServiceKind(data["kind"])
    values["routes"] = tuple(Route(**_select_fields(Route, route)) for route in data["routes"])
    values["limits"] = Limits(**_select_fields(Limits, data.get("limits", {})))
    return Service(**values)


def _build_move(data: dict[str, Any]) -> Move:
    values = _select_fields(Move, data)
    values["steps"] = tuple(MoveStep(**_select_fields(MoveStep, step)) for step in data["steps"])
    values["state"] = MoveState(data.get("state", MoveState.LOADING.value))
    return Move(**values)


_BUILDERS: dict[str, Any] = {
    "workspaces": lambda data: Workspace(**_select_fields(Workspace, data)),
    "services": _build_service,
    "failure_domains": lambda data: FailureDomain(**_select_fields(FailureDomain, data)),
    "moves": _build_move,
    "operators": lambda data: Operator(**_select_fields(Operator, data)),
}
_SECRET_FIELDS = ("key_hash", "fleet_key")


def diff(old: FleetConfig, new: FleetConfig) -> list[str]:
    """Return one line per changed path, except `revision`; the values of secrets are hidden."""
    return difference_lines(old, new, ignored=("revision",))


def difference_lines(old: Any, new: Any, ignored: tuple[str, ...] = ()) -> list[str]:
    """Return one line per path that differs between two dataclasses, except the `ignored` paths."""
    before, after = _flatten(old), _flatten(new)
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path in ignored or before.get(path) == after.get(path):
            continue
        secret = path.rpartition(".")[2] in _SECRET_FIELDS
        old_value, new_value = (
            (("(hidden)",) * 2) if secret else (before.get(path), after.get(path))
        )
        if path not in before:
            lines.append(f"+ {path}: {new_value}")
        elif path not in after:
            lines.append(f"- {path}: {old_value}")
        else:
            lines.append(f"~ {path}: {old_value} -> {new_value}")
    return lines


def _flatten(value: Any, path: str = "") -> dict[str, Any]:
    if is_dataclass(value):
        values = {f.name: getattr(value, f.name) for f in fields(value)}
    elif isinstance(value, dict):
        values = value
    elif isinstance(value, tuple):
        values = {getattr(item, "name", str(index)): item for index, item in enumerate(value)}
    else:
        return {path: value.value if isinstance(value, Enum) else value}
    flat: dict[str, Any] = {}
    for key, item in values.items():
        flat.update(_flatten(item, join_path(path, key)))
    return flat
