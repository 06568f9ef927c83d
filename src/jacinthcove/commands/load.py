"""The program `jacinthcove-load`: sends load to a running fleet and reports the results."""

import math
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import orjson
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from jacinthcove.commands.lab import LabCommand
from jacinthcove.load import report as reports
from jacinthcove.load.experiments import CALLERS_PER_SLOT
from jacinthcove.load.profiles import (
    PROFILES,
    Profile,
    Session,
    power_cut_sessions,
    proportional_sessions,
)
from jacinthcove.load.trial import Report, Run, drive, order_problems
from jacinthcove.store.connections import Connections, NoReply

EXIT_WRONG_ANSWER = 1
EXIT_BAD_OPTIONS = 2
CALL_TIMEOUT_MS = 2_000
TRAFFIC_KINDS = ("backlogged", "power-cut")


class BadOptionError(ValueError):
    """An option has an invalid value."""


def sessions_for_traffic(traffic: str, profile: Profile, seed: int) -> list[Session]:
    """Return the caller sessions of a traffic kind.

    Raises `BadOptionError` for an unknown kind.
    """
    if traffic == "backlogged":
        return proportional_sessions(profile, seed, CALLERS_PER_SLOT)
    if traffic == "power-cut":
        return power_cut_sessions(
            profile,
            seed,
            math.ceil(CALLERS_PER_SLOT * sum(s.targets * s.limits.max for s in profile.services)),
        )
    raise BadOptionError(f"--traffic: {traffic} is none of {', '.join(TRAFFIC_KINDS)}")


def executions_per_order(addresses: Sequence[str]) -> Counter[str]:
    """Return how often the plain services executed each order, summed over all addresses.

    Raises `NoReply` if a service does not respond and `ValueError` for a status other than 200.
    """
    runs: Counter[str] = Counter()
    for address in addresses:
        connections = Connections(address, CALL_TIMEOUT_MS)
        try:
            reply = connections.request("GET", "/executions", b"", {})
        finally:
            connections.close()
        if reply.status != 200:
            raise ValueError(f"{address}/executions answered {reply.status}")
        runs.update(orjson.loads(reply.body)["orders"])
    return runs


class RunCommand(Command):
    """Send requests to routers and report the results."""

    name = "run"
    description = "Drive callers against routers; exit with 1 if an answer was wrong."
    options = [
        option("routers", None, "caller addresses of routers, ip:port,...", False),
        option("plain-services", None, "addresses whose /executions are compared", False),
        option("profile", None, "site profile (see profiles)", False, default="lavallee"),
        option("traffic", None, "backlogged or power-cut", False, default="backlogged"),
        option("seconds", None, "duration", False, default="20"),
        option("seed", None, "seed of the requests", False, default="1"),
        option("out", None, "directory of the JSON and the plots", False, default="out/load"),
    ]

    def handle(self) -> int:
        """Run and report; the exit code is 1 for a lost, truncated or corrupt response."""
        try:
            return self._run()
        except BadOptionError as error:
            self.line_error(str(error), style="error")
            return EXIT_BAD_OPTIONS

    def _run(self) -> int:
        routers = _split_addresses(self.option("routers"))
        if not routers:
            raise BadOptionError("--routers: give at least one address")
        profile = PROFILES.get(self.option("profile"))
        if profile is None:
            raise BadOptionError(f"--profile: known profiles are {', '.join(sorted(PROFILES))}")
        seconds, seed = self._int_option("seconds"), self._int_option("seed")
        traffic = self.option("traffic")
        sessions = sessions_for_traffic(traffic, profile, seed)
        report = Report(traffic, profile.name, seed, seconds)
        run = drive(profile, routers, traffic, sessions, seconds)
        report.runs.append(run)
        report.problems += run.result.problems
        service_addresses = _split_addresses(self.option("plain-services"))
        if service_addresses:
            self._compare_executions(report, run, service_addresses)
        self._print_report(report, run)
        for path in reports.write_report(report, Path(self.option("out")), 0):
            self.line(f"wrote {path}")
        return EXIT_WRONG_ANSWER if report.problems else 0

    def _compare_executions(
        self, report: Report, run: Run, service_addresses: Sequence[str]
    ) -> None:
        try:
            runs = executions_per_order(service_addresses)
        except (NoReply, ValueError) as error:
            report.problems.append(f"orders were not compared: {error}")
            return
        # The services also count orders of earlier runs; compare only those of this run.
        runs_of_orders = {order: runs[order] for order in run.result.orders}
        problems = order_problems(run.result.orders, runs_of_orders)
        report.problems += problems
        report.add("orders run twice, or against their result", len(problems), "", "0")

    def _print_report(self, report: Report, run: Run) -> None:
        self.line(reports.workspace_table(run.result))
        self.line(reports.latency_table(run.result))
        gap = run.result.fairness_gap(0, report.seconds * 1000)
        self.line(f"fairness gap: {gap:.1f} units/share")
        for problem in report.problems:
            self.line_error(f"problem: {problem}")

    def _int_option(self, name: str) -> int:
        try:
            return int(self.option(name))
        except ValueError as error:
            raise BadOptionError(f"--{name}: {error}") from error


class ProfilesCommand(Command):
    """List the site profiles that `run` accepts."""

    name = "profiles"
    description = "List the site profiles."

    def handle(self) -> int:
        """Print one line per profile and one per service."""
        for name, profile in sorted(PROFILES.items()):
            shares = sum(w.share for w in profile.workspaces)
            self.line(f"{name}: {len(profile.workspaces)} workspaces, shares {shares:g}")
            for service in profile.services:
                routes = [r.name for r in profile.routes if r.service == service.name]
                self.line(
                    f"  {service.name}: {service.targets} targets ({service.kind.value}), "
                    f"routes {', '.join(routes)}"
                )
        return 0


def _split_addresses(text: str | None) -> list[str]:
    return [part.strip() for part in (text or "").split(",") if part.strip()]


def main() -> int:
    """Run the command line and return its exit code."""
    application = Application("jacinthcove-load")
    application.add(RunCommand())
    application.add(ProfilesCommand())
    application.add(LabCommand())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
