"""Typed options that parse and validate raw values.

A scalar option turns one raw value into a `Result`. A composite option (`Fields`, `MapOf`,
`ListOf`) reads mappings and lists and reports every problem of a document in a single pass.
"""

import difflib
import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from ipaddress import ip_address
from typing import Any, Generic, Protocol, TypeVar

from returns.result import Failure, Result, Success

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

MAX_DURATION_MS = 366 * 24 * 3_600_000
_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class Severity(Enum):
    """Whether a document with the problem can still be used."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Problem:
    """One problem in `file` at `path`, a dotted path such as `workspaces.north.share`."""

    severity: Severity
    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        location = ": ".join(part for part in (self.file, self.path) if part)
        return f"{self.severity.value}: {location}: {self.reason}"


def _no_file(path: str) -> str:
    return ""


@dataclass
class ProblemReport:
    """Collects the problems of a document; `origin` returns the file that set a path."""

    origin: Callable[[str], str] = _no_file
    problems: list[Problem] = field(default_factory=list)

    def error(self, path: str, reason: str) -> None:
        """Add a problem that makes the document unusable."""
        self.problems.append(Problem(Severity.ERROR, self.origin(path), path, reason))

    def warn(self, path: str, reason: str) -> None:
        """Add a problem that leaves the document usable."""
        self.problems.append(Problem(Severity.WARNING, self.origin(path), path, reason))

    @property
    def errors(self) -> tuple[Problem, ...]:
        """Return the problems that make the document unusable."""
        return tuple(p for p in self.problems if p.severity is Severity.ERROR)

    @property
    def warnings(self) -> tuple[Problem, ...]:
        """Return the problems that leave the document usable."""
        return tuple(p for p in self.problems if p.severity is Severity.WARNING)


class Option(Protocol[T_co]):
    """Reads the raw value at a path of a document."""

    def read(self, raw: Any, path: str, report: ProblemReport) -> T_co | None:
        """Return the typed value; for an invalid one, report the problems and return None."""


class Scalar(Generic[T]):
    """Base of the options for a single value."""

    kind = "value"

    def parse(self, raw: Any) -> Result[T, str]:
        """Return the typed value, or the reason why `raw` is rejected."""
        raise NotImplementedError

    def read(self, raw: Any, path: str, report: ProblemReport) -> T | None:
        """Return the typed value; if `parse` fails, report its reason and return None."""
        result = self.parse(raw)
        if isinstance(result, Success):
            return result.unwrap()
        report.error(path, result.failure())
        return None


@dataclass(frozen=True)
class String(Scalar[str]):
    """Text that matches `pattern`, if any; `description` names it in error messages."""

    pattern: re.Pattern[str] | None = None
    description: str = "text"
    kind = "string"

    def parse(self, raw: Any) -> Result[str, str]:
        """Accept text if the whole of it matches the pattern."""
        if not isinstance(raw, str):
            return Failure(f"expected {self.description}, found {describe(raw)}")
        if self.pattern is not None and not self.pattern.fullmatch(raw):
            return Failure(f"expected {self.description}")
        return Success(raw)


NAME = String(_NAME, "a name of up to 63 letters, digits, '.', '_' or '-'")
KEY_HASH = String(re.compile(r"[0-9a-f]{64}"), "a SHA-256 hash as 64 lower-case hex digits")


@dataclass(frozen=True)
class Integer(Scalar[int]):
    """An integer from `minimum` to `maximum`, also as text, which flags and variables are."""

    minimum: int = 0
    maximum: int = 2**53
    kind = "integer"

    def parse(self, raw: Any) -> Result[int, str]:
        """Accept an integer within the bounds, or its decimal text."""
        if isinstance(raw, str) and re.fullmatch(r"-?\d{1,18}", raw):
            raw = int(raw)
        if isinstance(raw, bool) or not isinstance(raw, int):
            return Failure(f"expected a whole number, found {describe(raw)}")
        if not self.minimum <= raw <= self.maximum:
            return Failure(f"{raw} is outside {self.minimum} to {self.maximum}")
        return Success(raw)


@dataclass(frozen=True)
class Float(Scalar[float]):
    """A finite number above `exclusive_minimum` and not above `maximum`."""

    exclusive_minimum: float = -math.inf
    maximum: float = math.inf
    kind = "number"

    def parse(self, raw: Any) -> Result[float, str]:
        """Accept a finite number within the bounds."""
        try:
            value = math.nan if isinstance(raw, bool) else float(raw)
        except (TypeError, ValueError, OverflowError):
            value = math.nan
        if not math.isfinite(value):
            return Failure(f"expected a finite number, found {describe(raw)}")
        if value <= self.exclusive_minimum:
            return Failure(f"{value:g} is not above {self.exclusive_minimum:g}")
        if value > self.maximum:
            return Failure(f"{value:g} is above {self.maximum:g}")
        return Success(value)


@dataclass(frozen=True)
class Boolean(Scalar[bool]):
    """A boolean, also as text."""

    kind = "boolean"

    def parse(self, raw: Any) -> Result[bool, str]:
        """Accept a boolean or the texts `true` and `false`."""
        value = {"true": True, "false": False}.get(raw, raw) if isinstance(raw, str) else raw
        if not isinstance(value, bool):
            return Failure(f"expected true or false, found {describe(raw)}")
        return Success(value)


E = TypeVar("E", bound=Enum)


@dataclass(frozen=True)
class Choice(Scalar[E]):
    """One member of an enumeration with text values."""

    choices: type[E]
    kind = "choice"

    def parse(self, raw: Any) -> Result[E, str]:
        """Accept the value of a member."""
        for member in self.choices:
            if raw == member.value:
                return Success(member)
        names = [str(member.value) for member in self.choices]
        return Failure(f"expected one of {', '.join(names)}{suggestion(raw, names)}")


@dataclass(frozen=True)
class Duration(Scalar[int]):
    """A duration such as `250ms`, `3s`, `5m` or `1h`, parsed into milliseconds."""

    minimum_ms: int = 0
    maximum_ms: int = MAX_DURATION_MS
    kind = "duration"

    def parse(self, raw: Any) -> Result[int, str]:
        """Accept a number with a unit; a number without one is ambiguous and rejected."""
        match = _DURATION.fullmatch(raw) if isinstance(raw, str) else None
        if match is None:
            return Failure(f"expected a duration such as 250ms or 3s, found {describe(raw)}")
        value = float(match[1]) * _UNIT_MS[match[2]]
        if not self.minimum_ms <= value <= self.maximum_ms:
            return Failure(f"{raw} is outside {self.minimum_ms}ms to {self.maximum_ms}ms")
        if value != int(value):
            return Failure(f"{raw} is not a whole number of milliseconds")
        return Success(int(value))


@dataclass(frozen=True)
class Address(Scalar[str]):
    """An address `ip:port`; host names are rejected because no process resolves names."""

    kind = "ip:port"

    def parse(self, raw: Any) -> Result[str, str]:
        """Accept an IPv4 address, or an IPv6 address in brackets, with a port."""
        host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
        if ":" in host and not (host.startswith("[") and host.endswith("]")):
            return Failure(f"expected an IPv6 address in brackets, found {describe(raw)}")
        try:
            ip_address(host.strip("[]"))
        except ValueError:
            return Failure(f"expected an address ip:port, found {describe(raw)}")
        if not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
            return Failure(f"expected a port from 1 to 65535, found {describe(port)}")
        return Success(raw)


@dataclass(frozen=True)
class AddressList(Scalar[tuple[str, ...]]):
    """Addresses separated by commas; empty text means none."""

    kind = "ip:port,..."

    def parse(self, raw: Any) -> Result[tuple[str, ...], str]:
        """Accept the list, or fail with the reason of its first invalid address."""
        if not isinstance(raw, str):
            return Failure(f"expected addresses separated by commas, found {describe(raw)}")
        items = [item.strip() for item in raw.split(",") if item.strip()]
        for item in items:
            result = Address().parse(item)
            if not isinstance(result, Success):
                return Failure(result.failure())
        return Success(tuple(items))


@dataclass(frozen=True)
class Timestamp(Scalar[int]):
    """An ISO 8601 time with a time zone, parsed into milliseconds since the Unix epoch."""

    kind = "time"

    def parse(self, raw: Any) -> Result[int, str]:
        """Accept text, or the `datetime` into which YAML parses a timestamp."""
        try:
            value = datetime.fromisoformat(raw) if isinstance(raw, str) else raw
        except ValueError:
            value = None
        if not isinstance(value, datetime):
            return Failure(f"expected a time such as 2026-03-02T06:00:00Z, found {describe(raw)}")
        if value.tzinfo is None:
            return Failure(f"{raw} has no time zone; add Z or an offset such as -05:00")
        return Success(round(value.timestamp() * 1000))


@dataclass(frozen=True)
class Field(Generic[T]):
    """A key of `Fields`; `default` is used when an optional key is missing."""

    option: Option[T]
    default: T | None = None
    required: bool = False


@dataclass(frozen=True)
class Fields(Generic[T]):
    """A mapping with a fixed set of keys.

    `build` makes the result from the path, the report and the typed values by key. It is called
    only if every value is valid.
    """

    fields: Mapping[str, Field[Any]]
    build: Callable[[str, ProblemReport, dict[str, Any]], T | None]

    def read(self, raw: Any, path: str, report: ProblemReport) -> T | None:
        """Read every declared key; an unknown key is reported with the closest declared one."""
        if raw is None:
            raw = {}
        if not isinstance(raw, dict):
            report.error(path, f"expected a mapping, found {describe(raw)}")
            return None
        for key in raw:
            if key not in self.fields:
                hint = suggestion(key, list(self.fields))
                report.error(join_path(path, key), f"unknown key{hint}")
        values = {key: self._read_value(raw, key, path, report) for key in self.fields}
        if any(values[key] is None and key in raw for key in values):
            return None
        if any(values[key] is None and self.fields[key].required for key in values):
            return None
        return self.build(path, report, values)

    def _read_value(self, raw: dict[Any, Any], key: str, path: str, report: ProblemReport) -> Any:
        declared = self.fields[key]
        if key in raw:
            return declared.option.read(raw[key], join_path(path, key), report)
        if declared.required:
            report.error(join_path(path, key), "is required")
        return declared.default


@dataclass(frozen=True)
class MapOf(Generic[T]):
    """A mapping from names to items; `item` returns the option for the item of a name."""

    item: Callable[[str], Option[T]]

    def read(self, raw: Any, path: str, report: ProblemReport) -> dict[str, T] | None:
        """Read every item; invalid items are reported and left out."""
        if raw is None:
            raw = {}
        if not isinstance(raw, dict):
            report.error(path, f"expected a mapping of names, found {describe(raw)}")
            return None
        items = {}
        for name, value in raw.items():
            item_path = join_path(path, name)
            if NAME.read(name, item_path, report) is None:
                continue
            item = self.item(name).read(value, item_path, report)
            if item is not None:
                items[name] = item
        return items


@dataclass(frozen=True)
class ListOf(Generic[T]):
    """A list whose items all have the same option."""

    item: Option[T]

    def read(self, raw: Any, path: str, report: ProblemReport) -> tuple[T, ...] | None:
        """Read every item; invalid items are reported and left out."""
        if not isinstance(raw, list):
            report.error(path, f"expected a list, found {describe(raw)}")
            return None
        items = [
            self.item.read(value, join_path(path, index), report) for index, value in enumerate(raw)
        ]
        return tuple(item for item in items if item is not None)


def join_path(path: str, key: object) -> str:
    """Return the path of `key` below `path`."""
    return f"{path}.{key}" if path else str(key)


def suggestion(raw: object, known: list[str]) -> str:
    """Return `; did you mean X?` for a close match in `known`, or an empty text."""
    close = difflib.get_close_matches(str(raw), known, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def describe(raw: object) -> str:
    """Return `raw` in at most 40 characters for an error message."""
    if raw is None:
        return "nothing"
    text = repr(raw)
    return text if len(text) <= 40 else f"{text[:37]}..."
