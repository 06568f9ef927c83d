"""Checks that concern several fields or sections of a fleet configuration."""

import statistics

from jacinthcove.config.model import FleetConfig, Move, MoveState
from jacinthcove.config.options import NAME, ProblemReport, join_path, suggestion
from jacinthcove.errors import ConfigurationError

# Warns at this multiple of the median share, which suggests a misplaced decimal point.
UNUSUAL_SHARE_RATIO = 50
# Each step needs time to collect evidence; five minutes leave about one minute for each of the
# usual steps.
SHORT_MOVE_WARNING_MS = 300_000
# Warns above this share, the design's bound on the requests that a faulty version receives before
# it is cut off.
MAX_FIRST_STEP_SHARE = 0.05
_ENDED_STATES = (MoveState.DONE, MoveState.REVERTED)


def check_config(config: FleetConfig, report: ProblemReport, now_ms: int = 0) -> None:
    """Report inconsistencies between fields; `now_ms` is the wall-clock time, 0 if unknown."""
    _check_names(config, report)
    _check_workspaces(config, report)
    _check_services(config, report)
    _check_key_hashes(config, report)
    for move in config.moves.values():
        _check_move(config, move, report, now_ms)
    _check_one_move_per_service(config, report)
    if not config.operators:
        report.warn("operators", "no operator can change this configuration")
    domains = config.failure_domains.values()
    if domains and all(domain.drained for domain in domains):
        report.warn("failure_domains", "all failure domains are drained, so nothing is served")


def require_valid(config: FleetConfig) -> None:
    """Raise `ConfigurationError` that lists every error of `check_config`; warnings are ignored."""
    report = ProblemReport()
    check_config(config, report)
    if report.errors:
        raise ConfigurationError("\n".join(str(problem) for problem in report.errors))


def _check_names(config: FleetConfig, report: ProblemReport) -> None:
    sections = {
        "workspaces": {key: item.name for key, item in config.workspaces.items()},
        "services": {key: item.name for key, item in config.services.items()},
        "failure_domains": {key: item.name for key, item in config.failure_domains.items()},
        "moves": {key: item.id for key, item in config.moves.items()},
        "operators": {key: item.name for key, item in config.operators.items()},
    }
    for section, names in sections.items():
        for key, name in names.items():
            path = join_path(section, key)
            if NAME.read(key, path, report) is not None and key != name:
                report.error(path, f"is called {name!r} inside")


def _check_workspaces(config: FleetConfig, report: ProblemReport) -> None:
    if not config.workspaces:
        report.warn("workspaces", "no workspace can send requests")
        return
    median = statistics.median(item.share for item in config.workspaces.values())
    for item in config.workspaces.values():
        path = join_path("workspaces", item.name)
        if not item.share > 0:
            report.error(join_path(path, "share"), f"{item.share:g} is not above 0")
        elif item.share > UNUSUAL_SHARE_RATIO * median:
            report.warn(
                join_path(path, "share"),
                f"{item.share:g} is far above the median share, {median:g}",
            )


def _check_services(config: FleetConfig, report: ProblemReport) -> None:
    for service in config.services.values():
        path = join_path("services", service.name)
        if not service.routes:
            report.warn(path, "has no routes, so every request to it is refused")
        elif not any(route.idempotent for route in service.routes):
            report.warn(
                join_path(path, "routes"), "no route may be repeated, so none is ever retried"
            )
        if not 1 <= service.limits.cold <= service.limits.max:
            report.error(join_path(path, "limits"), "cold must be at least 1 and at most max")


def _check_key_hashes(config: FleetConfig, report: ProblemReport) -> None:
    owners: dict[str, str] = {}
    hashes = [(join_path("workspaces", w.name), w.key_hash) for w in config.workspaces.values()]
    hashes += [(join_path("operators", o.name), o.key_hash) for o in config.operators.values()]
    for path, key_hash in hashes:
        other = owners.setdefault(key_hash, path)
        if other != path:
            report.error(path, f"has the same key as {other}")


def _check_move(config: FleetConfig, move: Move, report: ProblemReport, now_ms: int) -> None:
    path = join_path("moves", move.id)
    service = config.services.get(move.service)
    if move.state in _ENDED_STATES:
        return
    if service is None:
        hint = suggestion(move.service, list(config.services))
        report.error(join_path(path, "service"), f"{move.service!r} is not configured{hint}")
    elif service.version != move.from_version:
        report.error(
            join_path(path, "from"),
            f"{move.from_version!r} is not the version, {service.version!r}",
        )
    if move.from_version == move.to_version:
        report.error(join_path(path, "to"), "is the version that the move starts from")
    _check_times(move, path, report, now_ms)
    _check_steps(move, path, report)


def _check_times(move: Move, path: str, report: ProblemReport, now_ms: int) -> None:
    start_ms = max(move.start_ms, now_ms)
    if move.deadline_ms <= move.start_ms:
        report.error(join_path(path, "deadline"), "is not after start")
    elif now_ms and move.deadline_ms <= now_ms:
        report.warn(join_path(path, "deadline"), "has passed")
    elif move.deadline_ms - start_ms < SHORT_MOVE_WARNING_MS:
        remaining_s = (move.deadline_ms - start_ms) // 1000
        report.warn(
            join_path(path, "deadline"), f"leaves only {remaining_s} s, too little for the steps"
        )


def _check_steps(move: Move, path: str, report: ProblemReport) -> None:
    shares = [step.share for step in move.steps]
    steps_path = join_path(path, "steps")
    if not shares:
        report.error(steps_path, "needs at least one step")
        return
    if any(later <= earlier for earlier, later in zip(shares, shares[1:], strict=False)):
        report.error(steps_path, "the shares do not rise from step to step")
    if shares[-1] != 1.0:
        report.error(steps_path, f"the last share is {shares[-1]:g} instead of 1.0")
    if shares[0] > MAX_FIRST_STEP_SHARE:
        limit = f"{MAX_FIRST_STEP_SHARE:.0%}"
        report.warn(steps_path, f"the first share is above {limit}, the bound for a bad version")


def _check_one_move_per_service(config: FleetConfig, report: ProblemReport) -> None:
    active: dict[str, str] = {}
    for move in config.moves.values():
        if move.state in _ENDED_STATES:
            continue
        other = active.setdefault(move.service, move.id)
        if other != move.id:
            report.error(
                join_path("moves", move.id), f"{move.service!r} already moves in {other!r}"
            )
