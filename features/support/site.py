"""One fleet for the scenarios of a feature, with fast stand-ins and small requests."""

import os
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import datetime
from pathlib import Path
from typing import Any

import gevent
import orjson

from jacinthcove.config.model import Limits, ServiceKind
from jacinthcove.load.profiles import LAVALLEE, Profile, RouteProfile, ServiceProfile
from jacinthcove.store.connections import Connections, NoReply
from testbed.fleet import CALL_TIMEOUT_MS, OPERATOR_KEY, FleetOptions, LocalFleet, http
from testbed.processes import CommandResult, run_command

ENGINE, PLAIN = "drafting", "publishing"
DEADLINE_MS = 15_000
# Half of the deadline of long drafts at the sites, for callers that arrive all at once.
LONGEST_DEADLINE_MS = 60_000
POLL_S = 0.05
REPAIR_TIMEOUT_S = 20.0
ENGINE_FLAGS = ("--token-ms", "10", "--cold-ms", "200", "--load-lag-ms", "100")
# An engine that warms up slowly collapses if it is given its usual load after a restart.
SLOW_WARMTH_FLAGS = (
    "--token-ms", "10", "--cold-ms", "1000", "--warm-requests", "4", "--load-lag-ms", "100",
)  # fmt: skip

ROUTES = (
    RouteProfile(
        ENGINE, "draft", 0.3, input_tokens=(100, 400), output_tokens=(80, 160),
        deadline_ms=DEADLINE_MS,
    ),
    RouteProfile(
        ENGINE, "question", 0.3, input_tokens=(30, 100), output_tokens=(5, 20),
        deadline_ms=DEADLINE_MS,
    ),
    RouteProfile(PLAIN, "lookup", 0.2, work_ms=(5, 30), deadline_ms=DEADLINE_MS),
    RouteProfile(
        PLAIN, "publish", 0.1, idempotent=False, keyed=True, work_ms=(20, 80),
        deadline_ms=DEADLINE_MS,
    ),
    RouteProfile(
        PLAIN, "announce", 0.1, idempotent=False, work_ms=(20, 80), deadline_ms=DEADLINE_MS,
    ),
)  # fmt: skip
PROFILE: Profile = replace(
    LAVALLEE,
    services=(
        ServiceProfile(ENGINE, ServiceKind.ENGINE, 9, Limits(cold=2, max=12)),
        ServiceProfile(PLAIN, ServiceKind.PLAIN, 3, Limits(cold=4, max=12)),
    ),
    routes=ROUTES,
)
# Bounds that a power cut reaches with a few hundred callers.
SHORT_QUEUES = {
    name: replace(workspace, max_queued=6)
    for name, workspace in PROFILE.configured_workspaces().items()
}


def wait_until(what: str, condition: Callable[[], Any], timeout_s: float) -> None:
    """Wait without stopping the callers of this process; raise `AssertionError` in the end."""
    ends_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= ends_at:
            raise AssertionError(f"after {timeout_s} s still waiting for {what}")
        gevent.sleep(POLL_S)


class Site:
    """A running fleet with what scenarios do to it and read from it."""

    def __init__(self, options: FleetOptions):
        self.directory = tempfile.TemporaryDirectory(prefix="jacinthcove-feature-")
        self.path = Path(self.directory.name)
        self.fleet = LocalFleet(PROFILE, self.path, options)

    def start(self) -> None:
        """Start all processes; stop them again if one of them fails to start."""
        try:
            self.fleet.start()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Stop all processes and remove the logs, unless they are to be kept."""
        self.fleet.close()
        keep = os.environ.get("JACINTHCOVE_FEATURE_LOGS")
        if keep:
            target = Path(keep) / self.path.name
            target.mkdir(parents=True, exist_ok=True)
            for log in self.path.glob("*.log"):
                (target / log.name).write_bytes(log.read_bytes())
        self.directory.cleanup()

    def repair(self) -> None:
        """Remove every fault, continue or restart routers, and wait until all of them serve."""
        for address in (self.fleet.store_address, *self.addresses(ENGINE), *self.addresses(PLAIN)):
            self.fleet.set_faults(address)
        for program in self.fleet.controller_programs:
            program.signal(signal.SIGCONT)
        for router_id, program in self.fleet.router_programs.items():
            program.signal(signal.SIGCONT)
            if not program.running:
                self.fleet.start_router(router_id)
        wait_until("every router to serve", self.all_serve, REPAIR_TIMEOUT_S)

    def all_serve(self) -> bool:
        """Return whether every router answers and sees all others alive."""
        for router in self.fleet.routers:
            try:
                members = self.fleet.status(router.id)["members"]
            except (NoReply, RuntimeError):
                return False
            if sum(m["state"] == "alive" for m in members) < len(self.fleet.routers):
                return False
        return True

    def addresses(self, service: str, domain: str = "") -> list[str]:
        """Return the addresses of a service's targets, of one failure domain if given."""
        return [vm.address for vm in self.targets(service, domain)]

    def targets(self, service: str = "", domain: str = "") -> list[Any]:
        """Return the targets of a service, of one failure domain if given."""
        return [
            vm
            for vm in self.fleet.targets.values()
            if service in ("", vm.service) and domain in ("", vm.failure_domain)
        ]

    def executions(self, kind: str, addresses: Iterable[str]) -> Counter[str]:
        """Return how often the targets ran each request, prompt or order."""
        runs: Counter[str] = Counter()
        for address in addresses:
            runs.update(http(address, "GET", "/executions").get(kind, {}))
        return runs

    def operate(self, *arguments: str, remote: bool = True) -> CommandResult:
        """Run the operators' command line; `remote` commands get the controllers' addresses."""
        addresses = self.fleet.admin_addresses if remote else ()
        controllers = [word for address in addresses for word in ("--controller", address)]
        return run_command(
            "jacinthcove.commands.operator",
            [*arguments, *controllers],
            {"JACINTHCOVE_OPERATOR_KEY": OPERATOR_KEY},
        )

    def log(self, program_id: str, event: str) -> list[dict[str, Any]]:
        """Return the log lines of one event of a router or controller, with `at` in wall s."""
        found = []
        for line in (self.path / f"{program_id}.log").read_bytes().splitlines():
            if b'"event":"%b"' % event.encode() in line:
                data = orjson.loads(line)
                data["at"] = datetime.fromisoformat(data["time"]).timestamp()
                found.append(data)
        return found

    def counted(self, metric: str) -> int:
        """Return the sum of a counter over all routers; `metric` includes its labels."""
        total = 0
        for router in self.fleet.routers:
            connections = Connections(router.caller, CALL_TIMEOUT_MS)
            text = connections.request("GET", "/metrics").body.decode()
            connections.close()
            total += sum(
                int(float(line.rpartition(" ")[2]))
                for line in text.splitlines()
                if line.startswith(metric)
            )
        return total

    def router_log(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of one event of all routers."""
        return [line for router in self.fleet.routers for line in self.log(router.id, event)]
