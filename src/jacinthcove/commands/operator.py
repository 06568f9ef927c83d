"""`jacinthcove`, the command line for operators.

Exit codes: 0 done; 1 wrong usage or an invalid configuration; 3 conflict with another change;
4 refused; 5 no controller responded, so a change may have been accepted; 6 accepted, but not in
force on every member within the time limit; 7 the watched move was reverted.
"""

import os
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import orjson
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from jacinthcove.commands.moves import WATCH_PERIOD_MS, describe_move, move_request
from jacinthcove.commands.routingcheck import RoutingCheck
from jacinthcove.config.document import ParseResult, encode, parse, read_config_files
from jacinthcove.config.model import FleetConfig
from jacinthcove.config.options import Address, Duration, Scalar
from jacinthcove.control.adminclient import AdminClient, AdminError, NoController
from jacinthcove.errors import ConfigurationError, JacinthcoveError

DONE, INVALID, CONFLICT, REFUSED, NO_ANSWER, NOT_IN_FORCE, REVERTED = 0, 1, 3, 4, 5, 6, 7
DEFAULT_CONTROLLER = "127.0.0.1:7490"

CONTROLLER = option(
    "controller",
    "c",
    "Address of a controller; JACINTHCOVE_CONTROLLERS holds a comma list.",
    flag=False,
    multiple=True,
)
KEY_FILE = option(
    "key-file", None, "File with the operator key; else JACINTHCOVE_OPERATOR_KEY.", flag=False
)
WAIT = option("wait", "w", "Wait until the change is in force on every member.")
WAIT_LIMIT = option("wait-limit", None, "Longest wait.", flag=False, default="30s")
REMOTE = [CONTROLLER, KEY_FILE]
WAITING = [WAIT, WAIT_LIMIT]
BASE = argument("base", "Base file.")
OVERLAY = argument("overlay", "Overlay of the site.", optional=True)


def parse_option(scalar: Scalar[Any], raw: str, name: str) -> Any:
    """Return the parsed value of an option; raise `ConfigurationError` if it is invalid."""
    result = scalar.parse(raw)
    reason = result.swap().value_or("")
    if reason:
        raise ConfigurationError(f"{name}: {reason}")
    return result.unwrap()


def operator_key(key_file: str | None) -> str:
    """Return the operator key from a file, else from the environment.

    Raises `ConfigurationError` if the file cannot be read or the key is missing or not printable.
    """
    try:
        key = Path(key_file).read_text("utf-8") if key_file else None
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"--key-file: {error}") from error
    key = (key or os.environ.get("JACINTHCOVE_OPERATOR_KEY", "")).strip()
    if not key or not key.isascii() or not key.isprintable():
        raise ConfigurationError("no usable operator key: set --key-file or the environment")
    return key


def controller_addresses(given: list[str]) -> list[str]:
    """Return controller addresses from the options, else the environment, else the default."""
    listed = os.environ.get("JACINTHCOVE_CONTROLLERS", DEFAULT_CONTROLLER).split(",")
    addresses = given or [item.strip() for item in listed if item.strip()]
    return [parse_option(Address(), address, "--controller") for address in addresses]


def exit_code(error: JacinthcoveError) -> int:
    """Return the exit code of a command that failed with `error`."""
    if isinstance(error, AdminError):
        return CONFLICT if error.status == 409 else REFUSED
    if isinstance(error, NoController):
        return NO_ANSWER
    return INVALID if isinstance(error, ConfigurationError) else REFUSED


class FleetCommand(Command):
    """Base class of the commands; prints a `JacinthcoveError` and returns its exit code."""

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            return self.run_command()
        except JacinthcoveError as error:
            self.line_error(str(error), style="error")
            return exit_code(error)

    def run_command(self) -> int:
        """Execute the command and return its exit code; implemented by each command."""
        raise NotImplementedError

    def client(self) -> AdminClient:
        """Return a client for the controllers and the operator key of the options."""
        return AdminClient(
            controller_addresses(self.option("controller")), operator_key(self.option("key-file"))
        )

    def read_valid_config(self) -> FleetConfig:
        """Parse the files and print errors and warnings; raise `ConfigurationError` on errors."""
        result = self.parse_files()
        for problem in (*result.errors, *result.warnings):
            self.line_error(str(problem))
        if result.config is None:
            raise ConfigurationError(f"{len(result.errors)} errors, nothing was changed")
        return result.config

    def parse_files(self) -> ParseResult:
        """Parse the base file and the overlay."""
        base, overlay = read_config_files(self.argument("base"), self.argument("overlay"))
        return parse(base, overlay, time.time_ns() // 1_000_000)

    def finish_change(self, client: AdminClient, revision: int) -> int:
        """Print the revision, wait for it if --wait is given, and return the exit code."""
        self.line(f"accepted as revision {revision}")
        if not self.option("wait"):
            return DONE
        limit_ms = parse_option(Duration(), self.option("wait-limit"), "--wait-limit")
        state = client.wait_in_force(revision, limit_ms)
        self.line(state.summary())
        return DONE if state.in_force else NOT_IN_FORCE


class ConfigCheck(FleetCommand):
    """Check configuration files without contacting a controller."""

    name = "config check"
    description = "Check configuration files and print all errors and warnings."
    arguments = [BASE, OVERLAY]

    def run_command(self) -> int:
        """Print errors and warnings, then a summary of a valid configuration."""
        config = self.read_valid_config()
        self.line(
            f"usable: {len(config.workspaces)} workspaces, {len(config.services)} services,"
            f" {len(config.failure_domains)} failure domains"
        )
        return DONE


class ConfigDiff(FleetCommand):
    """Show what applying files would change."""

    name = "config diff"
    description = "Show what applying the files would change."
    arguments = [BASE, OVERLAY]
    options = REMOTE

    def run_command(self) -> int:
        """Print warnings and changes of a dry run."""
        config, client = self.read_valid_config(), self.client()
        outcome = client.apply(config, client.config().revision, dry_run=True)
        for line in (*outcome.warnings, *outcome.changes):
            self.line(line)
        if not outcome.changes:
            self.line(f"no difference from revision {outcome.revision}")
        return DONE


class ConfigApply(FleetCommand):
    """Apply files as the next revision."""

    name = "config apply"
    description = "Apply the files as the next revision."
    arguments = [BASE, OVERLAY]
    options = [
        *REMOTE,
        *WAITING,
        option("if-revision", None, "Apply only on top of this revision.", flag=False),
    ]

    def run_command(self) -> int:
        """Apply the files, and print warnings and changes."""
        config, client = self.read_valid_config(), self.client()
        given = self.option("if-revision")
        if given is not None and not given.isdigit():
            raise ConfigurationError("--if-revision: expected a whole number")
        revision = int(given) if given is not None else client.config().revision
        outcome = client.apply(config, revision)
        for line in (*outcome.warnings, *outcome.changes):
            self.line(line)
        return self.finish_change(client, outcome.revision)


class ConfigShow(FleetCommand):
    """Print a revision as JSON."""

    name = "config show"
    description = "Print the accepted configuration, or an older revision, as JSON."
    options = [*REMOTE, option("revision", "r", "Revision to print.", flag=False)]

    def run_command(self) -> int:
        """Print the configuration."""
        given = self.option("revision")
        if given is not None and not given.isdigit():
            raise ConfigurationError("--revision: expected a whole number")
        config = self.client().config(int(given) if given is not None else None)
        text = orjson.dumps(orjson.loads(encode(config)), option=orjson.OPT_INDENT_2).decode()
        self.io.output.write_line(text)
        return DONE


class ConfigHistory(FleetCommand):
    """List accepted revisions."""

    name = "config history"
    description = "List the newest revisions with time, operator and action."
    options = REMOTE

    def run_command(self) -> int:
        """Print one line per revision."""
        for entry in self.client().history():
            when = datetime.fromtimestamp(entry["wall_ms"] / 1000, UTC).isoformat("T", "seconds")
            detail = f"{entry['author']}: {entry['action']} ({entry['changes']} changes)"
            self.line(f"{entry['revision']}  {when}  {detail}")
        return DONE


class DomainDrain(FleetCommand):
    """Drain a failure domain."""

    name = "domain drain"
    description = "Drain a failure domain: its targets receive no new work."
    arguments = [argument("name", "Failure domain.")]
    options = [*REMOTE, *WAITING]

    def run_command(self) -> int:
        """Drain the domain."""
        client = self.client()
        return self.finish_change(client, client.drain(self.argument("name")))


class DomainReturn(FleetCommand):
    """Return a failure domain to service."""

    name = "domain return"
    description = "Return a drained failure domain to service."
    arguments = [argument("name", "Failure domain.")]
    options = [*REMOTE, *WAITING]

    def run_command(self) -> int:
        """Return the domain."""
        client = self.client()
        return self.finish_change(client, client.return_domain(self.argument("name")))


class MoveStart(FleetCommand):
    """Start a version move."""

    name = "move start"
    description = "Start to move a service to another version."
    arguments = [argument("service", "Service."), argument("version", "New version.")]
    options = [
        *REMOTE,
        *WAITING,
        option("id", None, "Id of the move, SERVICE-VERSION by default.", flag=False),
        option("within", None, "Time until the deadline.", flag=False, default="1h"),
        option("step", None, "SHARE:MIN_REQUESTS, in rising order.", flag=False, multiple=True),
    ]

    def run_command(self) -> int:
        """Start the move."""
        within_ms = parse_option(Duration(1_000), self.option("within"), "--within")
        request = move_request(
            self.argument("service"),
            self.argument("version"),
            time.time_ns() // 1_000_000 + within_ms,
            self.option("step"),
            self.option("id"),
        )
        client = self.client()
        started = client.start_move(request)
        self.line(f"move {started.id} started")
        for warning in started.warnings:
            self.line_error(f"warning: {warning}")
        return self.finish_change(client, started.revision)


class MoveWatch(FleetCommand):
    """Follow a move until it is done or reverted."""

    name = "move watch"
    description = "Follow a move until it is done or reverted."
    arguments = [argument("id", "Move.")]
    options = REMOTE

    def run_command(self) -> int:
        """Print a line whenever the move changes, until it has ended."""
        client, last = self.client(), ""
        while True:
            found = [move for move in client.moves() if move["id"] == self.argument("id")]
            if not found:
                raise ConfigurationError(f"no move is called {self.argument('id')}")
            line = describe_move(found[0])
            if line != last:
                self.line(line)
            if found[0]["state"] in ("done", "reverted"):
                return DONE if found[0]["state"] == "done" else REVERTED
            last = line
            client.clock.sleep(WATCH_PERIOD_MS)


class MoveAbort(FleetCommand):
    """Revert a move."""

    name = "move abort"
    description = "Revert a move: all requests go to the old version again."
    arguments = [argument("id", "Move.")]
    options = [*REMOTE, *WAITING]

    def run_command(self) -> int:
        """Abort the move."""
        client = self.client()
        return self.finish_change(client, client.abort_move(self.argument("id")))


class MoveList(FleetCommand):
    """List moves."""

    name = "move list"
    description = "List the moves in the configuration."
    options = REMOTE

    def run_command(self) -> int:
        """Print one line per move."""
        for move in self.client().moves():
            self.line(describe_move(move))
        return DONE


class Status(FleetCommand):
    """Show the state of the fleet."""

    name = "status"
    description = "Show the revision, drained failure domains, moves and members."
    options = REMOTE

    def run_command(self) -> int:
        """Print the status of the site, its moves and its members."""
        status = self.client().status()
        self.line(f"site {status['site']}, revision {status['revision']}")
        self.line(f"drained: {', '.join(status['drained']) or 'none'}")
        for move in status["moves"]:
            self.line(f"move {describe_move(move)}")
        for name, revision in sorted(status["members"].items()):
            self.line(f"member {name}: revision {revision}")
        for name in status["silent"]:
            self.line(f"member {name}: no answer")
        return DONE


COMMANDS: tuple[Callable[[], Command], ...] = (
    ConfigCheck,
    ConfigDiff,
    ConfigApply,
    ConfigShow,
    ConfigHistory,
    DomainDrain,
    DomainReturn,
    MoveStart,
    MoveWatch,
    MoveAbort,
    MoveList,
    RoutingCheck,
    Status,
)


def application() -> Application:
    """Return the application with all commands."""
    app = Application("jacinthcove")
    for command in COMMANDS:
        app.add(command())
    return app


def main() -> int:
    """Run the command line and return its exit code."""
    return application().run()


if __name__ == "__main__":
    sys.exit(main())
