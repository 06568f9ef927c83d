"""Version moves on a local fleet: cases with good and bad versions, and what each one showed."""

import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import gevent

from jacinthcove.control.adminclient import AdminClient, AdminError, NoController
from jacinthcove.load.driver import LoadDriver
from jacinthcove.load.profiles import Profile, TargetProfile, backlogged_sessions
from testbed.decisions import cut_time, read_attempts
from testbed.fleet import OPERATOR_KEY, FleetOptions, LocalFleet
from testbed.processes import run_command

# Requests are shorter than the site's own, so that a move of seconds sees as many of them as a
# move of minutes does.
FAST_ENGINES = ("--cold-ms", "200", "--token-ms", "10")
DRAFT_TOKENS = (30, 100)
CALLERS_PER_WORKSPACE = 6
STEPS = ("0.05:10", "0.3:30", "1.0:60")
WITHIN_S = 30
OUTAGE_WITHIN_S = 12
WARM_UP_S = 4.0
# Long enough for requests that started before the end of a move to be logged.
SETTLE_S = 2.0
SPREAD_S = 1.0
# The target that dies has a number of its own and works for a while before.
DIES_NUMBER = 90
LONE_TARGET_S = 3
POLL_S = 0.2
# A move is recorded a little after its deadline, because the controller regains its lease first.
END_GRACE_S = 30.0


@dataclass(frozen=True)
class MoveCase:
    """One move; `faults` are those of the new targets, `old_faults` those of the old ones.

    `from_step` is the step at which the faults begin. `more_targets` join at the second step.
    """

    name: str
    good: bool
    faults: dict[str, Any] = field(default_factory=dict)
    old_faults: dict[str, Any] = field(default_factory=dict)
    from_step: int = 0
    targets: int = 3
    more_targets: int = 0
    outage: bool = False
    kill_controller: bool = False
    kill_target: bool = False
    abort: bool = False

    @property
    def expected(self) -> str:
        """Return the state in which the move must end."""
        return "reverted" if not self.good or self.outage or self.abort else "done"


FAILS = {"fail_rate": 1.0}
SLOW = {"slow_factor": 4.0}
CASES = (
    MoveCase("equal", True, targets=6),
    MoveCase("slightly slower", True, {"slow_factor": 1.1}, targets=6),
    MoveCase("few targets that grow", True, targets=2, more_targets=4),
    MoveCase("both noisy", True, {"fail_rate": 0.05}, {"fail_rate": 0.05}, targets=6),
    MoveCase("one target dies", True, targets=6, kill_target=True),
    MoveCase("fails at once", False, FAILS),
    MoveCase("slow at once", False, SLOW),
    MoveCase("fails later", False, FAILS, from_step=1),
    MoveCase("slow later", False, SLOW, from_step=1),
    MoveCase("fails under load", False, {**FAILS, "under_load": 4}),
    MoveCase("fails on one route", False, {**FAILS, "route": "draft"}),
    MoveCase("slow on one route", False, {**SLOW, "route": "question"}),
    MoveCase("10% errors", False, {"fail_rate": 0.1}),
    MoveCase("equal, store down", True, outage=True),
    MoveCase("fails at once, store down", False, FAILS, outage=True),
    MoveCase("equal, controller killed", True, targets=6, kill_controller=True),
    MoveCase("fails later, controller killed", False, FAILS, from_step=1, kill_controller=True),
    MoveCase("equal, aborted", True, abort=True),
)


HEADER = (
    "| case | expected | state | time s | new requests | share | cut after s | last after cut s |"
    " past deadline | reason |",
    "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | --- |",
)


@dataclass
class CaseResult:
    """What one case showed; times are in seconds, None when there is nothing to measure."""

    case: MoveCase
    state: str
    reason: str
    seconds: float
    share: float | None = None
    new_requests: int = 0
    requests: int = 0
    fault_to_cut: float | None = None
    last_after_cut: float | None = None
    past_deadline: int = 0

    @property
    def met(self) -> bool:
        """Whether the move ended as it must."""
        return self.state == self.case.expected and self.past_deadline == 0


class MoveBed:
    """A fleet under constant load on which moves run one after another."""

    def __init__(self, profile: Profile, directory: Path, seed: int, service: str = ""):
        routes = tuple(
            replace(route, output_tokens=DRAFT_TOKENS) if route.name == "draft" else route
            for route in profile.routes
        )
        self.profile = replace(profile, routes=routes)
        self.directory = directory
        self.seed = seed
        self.service = service or profile.services[0].name
        options = FleetOptions(controllers=2, engine_flags=FAST_ENGINES)
        self.fleet = LocalFleet(self.profile, directory, options)
        self.client = AdminClient(self.fleet.admin_addresses, OPERATOR_KEY)
        self.load: LoadDriver | None = None
        self.load_task: gevent.Greenlet | None = None
        self.version = self.profile.services[0].version
        self.number = 0

    def start(self) -> None:
        """Start the fleet and its callers."""
        self.fleet.start()
        self.load = LoadDriver(self.profile, self.fleet.callers())
        sessions = backlogged_sessions(self.profile, self.seed, CALLERS_PER_WORKSPACE)
        self.load_task = gevent.spawn(self.load.run, sessions, 24 * 3600 * 1000)
        gevent.sleep(WARM_UP_S)

    def close(self) -> None:
        """Stop the callers and the fleet."""
        if self.load is not None:
            self.load.ends_at = 0
        if self.load_task is not None:
            self.load_task.join(10)
            self.load_task.kill()
        self.fleet.close()

    def command(self, *arguments: str) -> str:
        """Run the operators' command line and return its output; raises `RuntimeError`."""
        environment = {
            "JACINTHCOVE_OPERATOR_KEY": OPERATOR_KEY,
            "JACINTHCOVE_CONTROLLERS": ",".join(self.fleet.admin_addresses),
        }
        done = run_command("jacinthcove.commands.operator", arguments, environment)
        if done.code:
            raise RuntimeError(f"{' '.join(arguments)}: {done.output}")
        return done.output

    def add_version(self, version: str, count: int, first: int = 0) -> list[str]:
        """Start targets of a version, put them on the VM list and return their ids."""
        domains = self.profile.failure_domains
        targets = [
            TargetProfile(f"{version}-{i + 1}", self.service, domains[i % len(domains)], version)
            for i in range(first, first + count)
        ]
        self.fleet.add_targets(targets)
        self.fleet.publish_vms()
        return [target.id for target in targets]

    def remove_version(self, version: str) -> None:
        """Take the targets of a version off the VM list."""
        for target_id, vm in list(self.fleet.targets.items()):
            if vm.service == self.service and vm.version == version:
                del self.fleet.targets[target_id]
        self.fleet.publish_vms()

    def set_faults(self, version: str, faults: dict[str, Any]) -> None:
        """Replace the faults of all targets of a version."""
        for vm in self.fleet.targets.values():
            if vm.service == self.service and vm.version == version:
                self.fleet.set_faults(vm.address, **faults)

    def move(self, move_id: str) -> dict[str, Any] | None:
        """Return a move as a controller shows it, or None while none answers."""
        client = AdminClient(self.fleet.admin_addresses, OPERATOR_KEY, retry_for_ms=0)
        try:
            return next((move for move in client.moves() if move["id"] == move_id), None)
        except (NoController, AdminError):
            return None

    def active_controller(self) -> int:
        """Return the index of the controller that holds the lease."""
        active = self.client.status()["controller"]
        return int(active.removeprefix("controller-")) - 1


class CaseRun:
    """Runs one case on a bed."""

    def __init__(self, bed: MoveBed, case: MoveCase, within_s: int = 0, settle_s: float = SETTLE_S):
        self.bed = bed
        self.case = case
        bed.number += 1
        self.new_version = f"n{bed.number}"
        self.move_id = f"move-{bed.number}"
        self.within_s = within_s or (OUTAGE_WITHIN_S if case.outage else WITHIN_S)
        self.settle_s = settle_s
        self.fault_at: float | None = None
        self.step = -1
        self.lone_target = ""

    def run(self) -> CaseResult:
        """Run the case and return what it showed."""
        bed, case = self.bed, self.case
        old_version = bed.version
        bed.add_version(self.new_version, case.targets)
        bed.set_faults(old_version, case.old_faults)
        if case.faults and case.from_step == 0:
            bed.set_faults(self.new_version, case.faults)
        steps = [part for step in STEPS for part in ("--step", step)]
        started = time.time()
        bed.command(
            "move", "start", bed.service, self.new_version, "--id", self.move_id,
            "--within", f"{self.within_s}s", *steps,
        )  # fmt: skip
        try:
            move = self._follow(started)
            ended = time.time()
            gevent.sleep(self.settle_s)
        finally:
            self._restore(old_version)
        result = CaseResult(case, move["state"], move["reason"], ended - started)
        self._measure(result, move, started)
        gone = old_version if move["state"] == "done" else self.new_version
        if move["state"] == "done":
            bed.version = self.new_version
        bed.remove_version(gone)
        return result

    def _follow(self, started: float) -> dict[str, Any]:
        """Act on the progress of the move until it has ended."""
        gives_up = started + self.within_s + END_GRACE_S
        move: dict[str, Any] = {"state": "unknown", "reason": "", "step": 0, "deadline_ms": 0}
        while time.time() < gives_up:
            move = self.bed.move(self.move_id) or move
            if move["state"] in ("done", "reverted"):
                break
            if move["state"] == "shifting" and move["step"] != self.step:
                self.step = move["step"]
                self._on_step()
            if self.case.outage and time.time() > started + self.within_s + 3:
                self.bed.fleet.set_faults(self.bed.fleet.store_address)
            gevent.sleep(POLL_S)
        return move

    def _on_step(self) -> None:
        bed, case = self.bed, self.case
        if case.faults and self.step == case.from_step:
            if self.step:
                bed.set_faults(self.new_version, case.faults)
            self.fault_at = time.time()
        if case.outage and self.step == 0:
            # The routers shall know the step before they lose the store.
            gevent.sleep(SPREAD_S)
            bed.fleet.set_faults(bed.fleet.store_address, outage=True)
        if case.kill_controller and self.step == 1:
            bed.fleet.controller_programs[bed.active_controller()].kill()
        if case.more_targets and self.step == 1:
            bed.add_version(self.new_version, case.more_targets, case.targets)
        if case.abort and self.step == 1:
            bed.command("move", "abort", self.move_id, "--wait")
        if case.kill_target and self.step == 1:
            # The stand-ins run three to a process; a fresh one of its own dies alone.
            self.lone_target = bed.add_version(self.new_version, 1, DIES_NUMBER)[0]
            gevent.sleep(LONE_TARGET_S)
            bed.fleet.standins[-1].kill()

    def _restore(self, old_version: str) -> None:
        bed = self.bed
        bed.fleet.set_faults(bed.fleet.store_address)
        bed.set_faults(old_version, {})
        bed.fleet.targets.pop(self.lone_target, None)
        bed.set_faults(self.new_version, {})
        for program in bed.fleet.controller_programs:
            if not program.running:
                program.start()

    def _measure(self, result: CaseResult, move: dict[str, Any], started: float) -> None:
        attempts = list(read_attempts(self.bed.directory, self.bed.service))
        new = [item for item in attempts if item.version == self.new_version]
        cut = cut_time(self.bed.directory, self.move_id) or started + result.seconds
        count_from = started if self.fault_at is None else self.fault_at
        all_before = [item for item in attempts if started <= item.started < cut]
        before = [item for item in new if count_from <= item.started < cut]
        result.new_requests, result.requests = len(before), len(all_before)
        if result.state != "done":
            result.share = len(before) / max(1, len(all_before))
            after = [item.started - cut for item in new if item.started >= cut]
            result.last_after_cut = max(after, default=0.0)
            deadline = move["deadline_ms"] / 1000
            result.past_deadline = sum(1 for item in new if item.started > deadline + 0.5)
        if self.fault_at is not None and not self.case.good:
            shown = min((item.ended for item in before), default=None)
            result.fault_to_cut = None if shown is None else max(0.0, cut - shown)


def run_cases(
    profile: Profile, directory: Path, seed: int, cases: Sequence[MoveCase]
) -> Iterable[CaseResult]:
    """Run cases on one fleet; a case that ends wrongly is followed by a fresh fleet."""
    bed: MoveBed | None = None
    fleets = 0
    try:
        for case in cases:
            if bed is None:
                fleets += 1
                logs = directory / f"fleet-{fleets}"
                logs.mkdir(parents=True)
                bed = MoveBed(profile, logs, seed)
                bed.start()
            result = CaseRun(bed, case).run()
            yield result
            if result.state != case.expected:
                bed.close()
                bed = None
    finally:
        if bed is not None:
            bed.close()


def table(results: Iterable[CaseResult]) -> str:
    """Return the results as a Markdown table."""
    return "\n".join([*HEADER, *(row(item) for item in results)])


def row(item: CaseResult) -> str:
    """Return one result as a line of the table."""
    return (
        f"| {item.case.name} | {item.case.expected} | {item.state} | {item.seconds:.1f} |"
        f" {item.new_requests} of {item.requests} | {_shown(item.share, '.1%')} |"
        f" {_shown(item.fault_to_cut, '.1f')} | {_shown(item.last_after_cut, '.1f')} |"
        f" {item.past_deadline} | {item.reason} |"
    )


def _shown(value: float | None, form: str) -> str:
    return "" if value is None else format(value, form)
