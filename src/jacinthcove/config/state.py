"""Operational state in the configuration: drained failure domains and version moves.

Operators describe the fleet in files. Drains and the progress of moves change between two
applications of these files and must survive the second one.
"""

from dataclasses import replace

from jacinthcove.config.model import FleetConfig, Move, MoveState
from jacinthcove.errors import ConfigurationError, JacinthcoveError

ENDED_STATES = (MoveState.DONE, MoveState.REVERTED)


class UnknownName(JacinthcoveError):  # noqa: N818
    """The configuration has no failure domain or move with the given name."""


class MoveEnded(JacinthcoveError):  # noqa: N818
    """A move is already done and cannot be reverted."""


def keep_operational_state(
    current: FleetConfig, from_files: FleetConfig
) -> tuple[FleetConfig, list[str]]:
    """Return `from_files` with the operational state of `current`, and warnings.

    A domain stays drained until an operator returns it, moves keep their progress, and a finished
    move keeps its version active. An empty fleet key keeps the current one. The warnings say where
    the result differs from the files and where a version changes without a move.
    """
    warnings: list[str] = []
    moves = _keep_moves(current, from_files)
    services = dict(from_files.services)
    for move in current.moves.values():
        service, current_service = services.get(move.service), current.services.get(move.service)
        if service is None or current_service is None or move.state is not MoveState.DONE:
            continue
        if service.version == move.from_version and current_service.version == move.to_version:
            services[service.name] = replace(service, version=current_service.version)
            warnings.append(
                f"services.{service.name}.version: the files say {service.version}, but move"
                f" {move.id} finished at {current_service.version}, which stays; update the files"
            )
    for name, service in services.items():
        current_service = current.services.get(name)
        if current_service is not None and current_service.version != service.version:
            warnings.append(
                f"services.{name}.version: changes from {current_service.version} to"
                f" {service.version} at once, without a move"
            )
    domains = dict(from_files.failure_domains)
    for name, domain in domains.items():
        previous = current.failure_domains.get(name)
        if previous is not None and previous.drained and not domain.drained:
            domains[name] = replace(domain, drained=True)
            warnings.append(f"failure_domains.{name}: stays drained; use `domain return {name}`")
    merged = replace(
        from_files,
        moves=moves,
        services=services,
        failure_domains=domains,
        fleet_key=from_files.fleet_key or current.fleet_key,
    )
    return merged, warnings


def _keep_moves(current: FleetConfig, from_files: FleetConfig) -> dict[str, Move]:
    moves = {
        name: move
        for name, move in current.moves.items()
        if move.service in from_files.services or move.state not in ENDED_STATES
    }
    for name, move in from_files.moves.items():
        previous = current.moves.get(name)
        if previous is not None and _identity(previous) != _identity(move):
            raise ConfigurationError(f"moves.{name}: the id belongs to another move")
        if previous is None:
            moves[name] = move
    return moves


def _identity(move: Move) -> tuple[str, str, str]:
    return (move.service, move.from_version, move.to_version)


def set_drained(config: FleetConfig, name: str, drained: bool) -> FleetConfig:
    """Return `config` with the domain drained or in service; raise `UnknownName` if missing."""
    domain = config.failure_domains.get(name)
    if domain is None:
        known = ", ".join(sorted(config.failure_domains)) or "none"
        raise UnknownName(f"no failure domain is called {name}; configured: {known}")
    domains = {**config.failure_domains, name: replace(domain, drained=drained)}
    return replace(config, failure_domains=domains)


def start_move(config: FleetConfig, move: Move) -> FleetConfig:
    """Return `config` with `move` added; starting the same move again changes nothing.

    Ended moves of the same service are removed. Raises `ConfigurationError` if another move has
    the id.
    """
    previous = config.moves.get(move.id)
    if previous is not None:
        if _identity(previous) == _identity(move) and previous.deadline_ms == move.deadline_ms:
            return config
        raise ConfigurationError(f"moves.{move.id}: the id belongs to another move")
    remaining = {
        name: item
        for name, item in config.moves.items()
        if item.service != move.service or item.state not in ENDED_STATES
    }
    return replace(config, moves={**remaining, move.id: move})


def abort_move(config: FleetConfig, name: str, reason: str) -> FleetConfig:
    """Return `config` with the move reverted.

    Aborting a reverted move changes nothing. Raises `UnknownName` if there is no such move and
    `MoveEnded` if it is done.
    """
    move = config.moves.get(name)
    if move is None:
        raise UnknownName(f"no move is called {name}")
    if move.state is MoveState.REVERTED:
        return config
    if move.state is MoveState.DONE:
        raise MoveEnded(f"move {name} is done; start a move back to {move.from_version} instead")
    reverted = replace(move, state=MoveState.REVERTED, share=0.0, reason=reason)
    return replace(config, moves={**config.moves, name: reverted})
