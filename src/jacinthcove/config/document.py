"""The fleet configuration as a document: files, merging, encoding and differences."""

from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import orjson
import yaml

from jacinthcove.config.checks import check
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
from jacinthcove.config.options import Problem, Report, join
from jacinthcove.config.schema import FLEET
from jacinthcove.errors import ConfigurationError


@dataclass(frozen=True)
class Source:
    """The text of one configuration file."""

    name: str
    text: str


@dataclass
class Merged:
    """A merged tree and, per path, the file that set it last."""

    tree: dict[Any, Any]
    origins: dict[str, str] = field(default_factory=dict)

    def origin(self, path: str) -> str:
        """Return the file of the longest known prefix of `path`."""
        while path and path not in self.origins:
            path = path.rpartition(".")[0]
        return self.origins.get(path, "")


@dataclass(frozen=True)
class Parsed:
    """The outcome of parsing; `config` is None if there are errors."""

    config: FleetConfig | None
    errors: tuple[Problem, ...]
    warnings: tuple[Problem, ...]

    def require(self) -> FleetConfig:
        """Return the configuration, or raise `ConfigurationError` that lists every error."""
        if self.config is None:
            raise ConfigurationError("\n".join(str(problem) for problem in self.errors))
        return self.config


class _Loader(yaml.SafeLoader):
    """Safe YAML loading that refuses duplicate keys, which YAML would drop silently."""


def _mapping(loader: _Loader, node: yaml.MappingNode) -> dict[Any, Any]:
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


_Loader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _mapping)


def read_sources(base: str, overlay: str | None = None) -> tuple[Source, Source | None]:
    """Read the two files; raise `ConfigurationError` if one cannot be read."""
    sources = []
    for name in (base, overlay):
        try:
            sources.append(Source(name, Path(name).read_text("utf-8")) if name else None)
        except (OSError, UnicodeDecodeError) as error:
            raise ConfigurationError(f"error: {name}: cannot be read: {error}") from error
    assert sources[0] is not None
    return sources[0], sources[1]


def _load(source: Source, report: Report) -> dict[Any, Any]:
    try:
        tree = yaml.load(source.text, _Loader)  # noqa: S506 - _Loader is a SafeLoader
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark else ""
        reason = getattr(error, "problem", None) or str(error)
        Report(lambda path: source.name, report.problems).error(place, f"not valid YAML: {reason}")
        return {}
    if tree is None:
        return {}
    if not isinstance(tree, dict):
        Report(lambda path: source.name, report.problems).error("", "expected a mapping")
        return {}
    return tree


def merge(base: dict[Any, Any], overlay: dict[Any, Any], base_name: str, name: str) -> Merged:
    """Merge `overlay` into a copy of `base` by key; null deletes a key and lists are replaced."""
    merged = Merged({}, {"": base_name})
    merged.tree = _merge(base, overlay, name, "", merged.origins)
    return merged


def _merge(base: Any, overlay: Any, name: str, path: str, origins: dict[str, str]) -> Any:
    if not (isinstance(base, dict) and isinstance(overlay, dict)):
        origins[path] = name
        return _without_nulls(overlay)
    result = dict(base)
    for key, value in overlay.items():
        here = join(path, key)
        if value is None:
            origins[here] = name
            result.pop(key, None)
        elif key in result:
            result[key] = _merge(result[key], value, name, here, origins)
        else:
            origins[here] = name
            result[key] = _without_nulls(value)
    return result


def _without_nulls(value: Any) -> Any:
    if not isinstance(value, dict):
        return value
    return {key: _without_nulls(item) for key, item in value.items() if item is not None}


def parse(base: Source, overlay: Source | None = None, now_ms: int = 0) -> Parsed:
    """Parse the files and report all problems at once; `now_ms` is the wall-clock time."""
    report = Report()
    base_tree = _load(base, report)
    overlay_tree = _load(overlay, report) if overlay else {}
    if report.errors:
        return Parsed(None, report.errors, report.warnings)
    merged = merge(base_tree, overlay_tree, base.name, overlay.name if overlay else "")
    report.origin = merged.origin
    config = FLEET.read(merged.tree, "", report)
    if config is not None:
        check(config, report, now_ms)
    return Parsed(None if report.errors else config, report.errors, report.warnings)


def encode(config: FleetConfig) -> bytes:
    """Return canonical JSON: sorted keys, defaults included, top-level integer `revision`."""
    return orjson.dumps(config, option=orjson.OPT_SORT_KEYS)


def decode(body: bytes) -> FleetConfig:
    """Return the configuration of `encode`; unknown keys are ignored.

    Raises `ConfigurationError` if `body` is not an encoded configuration.
    """
    try:
        return _fleet(orjson.loads(body))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise ConfigurationError(f"not an encoded fleet configuration: {reason}") from error


def _known(cls: type, data: dict[str, Any]) -> dict[str, Any]:
    parts = {f.name: data[f.name] for f in fields(cls) if f.name in data}
    for item in fields(cls):
        if item.name in parts and not _fits(parts[item.name], item.type):
            raise ValueError(f"{item.name} has the value {parts[item.name]!r}")
    return parts


def _fits(value: Any, kind: Any) -> bool:
    if kind is float:
        return type(value) in (int, float)
    return kind not in (int, str, bool) or type(value) is kind


def _fleet(data: dict[str, Any]) -> FleetConfig:
    if type(data["revision"]) is not int or data["revision"] < 0:
        raise ValueError("revision is not a whole number")
    parts = _known(FleetConfig, data)
    for key, build in _BUILDERS.items():
        parts[key] = {name: build(item) for name, item in data.get(key, {}).items()}
    return FleetConfig(**parts)


def _service(data: dict[str, Any]) -> Service:
    parts = _known(Service, data)
    parts["kind"] = ServiceKind(data["kind"])
    parts["routes"] = tuple(Route(**_known(Route, route)) for route in data["routes"])
    parts["limits"] = Limits(**_known(Limits, data.get("limits", {})))
    return Service(**parts)


def _move(data: dict[str, Any]) -> Move:
    parts = _known(Move, data)
    parts["steps"] = tuple(MoveStep(**_known(MoveStep, step)) for step in data["steps"])
    parts["state"] = MoveState(data.get("state", MoveState.LOADING.value))
    return Move(**parts)


_BUILDERS: dict[str, Any] = {
    "workspaces": lambda data: Workspace(**_known(Workspace, data)),
    "services": _service,
    "failure_domains": lambda data: FailureDomain(**_known(FailureDomain, data)),
    "moves": _move,
    "operators": lambda data: Operator(**_known(Operator, data)),
}
_SECRETS = ("key_hash", "fleet_key")


def diff(old: FleetConfig, new: FleetConfig) -> list[str]:
    """Return the changes from `old` to `new` as lines; secrets are named but not shown."""
    before, after = _flat(old), _flat(new)
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path == "revision" or before.get(path) == after.get(path):
            continue
        secret = path.rpartition(".")[2] in _SECRETS
        was, now = (("(hidden)",) * 2) if secret else (before.get(path), after.get(path))
        if path not in before:
            lines.append(f"+ {path}: {now}")
        elif path not in after:
            lines.append(f"- {path}: {was}")
        else:
            lines.append(f"~ {path}: {was} -> {now}")
    return lines


def _flat(value: Any, path: str = "") -> dict[str, Any]:
    if is_dataclass(value):
        parts = {f.name: getattr(value, f.name) for f in fields(value)}
    elif isinstance(value, dict):
        parts = value
    elif isinstance(value, tuple):
        parts = {getattr(item, "name", str(index)): item for index, item in enumerate(value)}
    else:
        return {path: value.value if isinstance(value, Enum) else value}
    flat: dict[str, Any] = {}
    for key, item in parts.items():
        flat.update(_flat(item, join(path, key)))
    return flat
