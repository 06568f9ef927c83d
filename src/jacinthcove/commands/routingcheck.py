"""The operators' command that checks a routing configuration before it is sent."""

from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument, option

from jacinthcove.config.options import Address, Problem, ProblemReport
from jacinthcove.errors import StoreUnavailable
from jacinthcove.gateway.model import RoutingConfig
from jacinthcove.platform.configdraft import decode_draft
from jacinthcove.platform.followers import CONFIG_NAME
from jacinthcove.platform.names import CONFIG_KIND
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.routingcheck.checks import check_routing
from jacinthcove.routingcheck.differences import check_version, differences, key_counts

USABLE, INVALID, IN_FORCE_UNKNOWN = 0, 1, 5
STORE_TIMEOUT_MS = 3_000


@dataclass(frozen=True)
class CheckResult:
    """What a check found; `changes` is None if the version in force was not compared."""

    problems: tuple[Problem, ...]
    usable: bool
    changes: tuple[str, ...] | None


class InForceUnknown(Exception):  # noqa: N818 - names an outcome
    """The version in force could not be read."""


def check(spec: Any, in_force_spec: Any | None) -> CheckResult:
    """Check a configuration, and compare it with the version in force unless that is None.

    Raises `InForceUnknown` if the version in force cannot be decoded.
    """
    report = ProblemReport()
    draft = decode_draft(spec, report)
    if draft is not None:
        check_routing(draft, report)
    changes = None
    if draft is not None and in_force_spec is not None:
        in_force = _decode_in_force(in_force_spec)
        changes = tuple(differences(in_force, draft))
        _compare(in_force, draft, report)
    return CheckResult(tuple(report.problems), not report.errors, changes)


def _decode_in_force(spec: Any) -> RoutingConfig:
    report = ProblemReport()
    config = decode_draft(spec, report)
    if config is None:
        raise InForceUnknown(f"the version in force is malformed: {report.errors[0]}")
    return config


def _compare(in_force: RoutingConfig, draft: RoutingConfig, report: ProblemReport) -> None:
    reason = check_version(in_force, draft)
    if reason:
        report.error("version", reason)
    before, after = key_counts(in_force), key_counts(draft)
    for workspace in sorted(before.keys() - after.keys()):
        report.warn("workspaces", f"{workspace!r} loses its last key")


def _read_json(path: str) -> Any:
    return orjson.loads(Path(path).read_bytes())


def _read_store(address: str) -> Any:
    found = None
    client = PlatformStoreClient(address, STORE_TIMEOUT_MS)
    try:
        found = client.get(CONFIG_KIND, CONFIG_NAME)
    except StoreUnavailable as error:
        raise InForceUnknown(f"the store at {address}: {error}") from error
    finally:
        client.close()
    if found is None:
        raise InForceUnknown(f"the store at {address} has no configuration")
    return found.spec


class RoutingCheck(Command):
    """Check a routing configuration before it is sent."""

    name = "routing check"
    description = "Check a routing configuration (JSON) and compare it with the version in force."
    arguments = [argument("file", "File with the configuration.")]
    options = [
        option("in-force", None, "File with the version in force.", flag=False),
        option("store", None, "Address of the store, to read the version in force.", flag=False),
        option("json", None, "Print one JSON object."),
    ]

    def handle(self) -> int:
        """Print problems and changes, and return the exit code."""
        try:
            spec = _read_json(self.argument("file"))
        except (OSError, orjson.JSONDecodeError) as error:
            self.line_error(f"error: {self.argument('file')}: {error}")
            return INVALID
        try:
            result = check(spec, self._in_force())
        except InForceUnknown as error:
            self.line_error(f"error: {error}")
            return IN_FORCE_UNKNOWN
        if self.option("json"):
            self._print_json(result)
        else:
            self._print_text(result)
        return USABLE if result.usable else INVALID

    def _in_force(self) -> Any | None:
        file, store = self.option("in-force"), self.option("store")
        if store:
            reason = Address().parse(store).swap().value_or("")
            if reason:
                raise InForceUnknown(f"--store: {reason}")
            return _read_store(store)
        if not file:
            return None
        try:
            return _read_json(file)
        except (OSError, orjson.JSONDecodeError) as error:
            raise InForceUnknown(f"{file}: {error}") from error

    def _print_json(self, result: CheckResult) -> None:
        problems = [asdict(problem) for problem in result.problems]
        body = {"usable": result.usable, "problems": problems, "changes": result.changes}
        self.io.output.write_line(orjson.dumps(body, option=orjson.OPT_INDENT_2).decode())

    def _print_text(self, result: CheckResult) -> None:
        for problem in result.problems:
            self.line_error(str(problem))
        for line in result.changes or ():
            self.io.output.write_line(line)
        if result.changes == ():
            self.line("no difference from the version in force")
        warnings = sum(problem.severity.value == "warning" for problem in result.problems)
        errors = len(result.problems) - warnings
        verdict = "usable" if result.usable else "unusable"
        self.line(f"{verdict}: {errors} errors, {warnings} warnings")
