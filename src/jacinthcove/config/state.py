"""Operational state inside the configuration: drained failure domains and version moves.

The files of operators describe the fleet; drains and the progress of moves happen between two
applications of files and must survive them.
"""

from dataclasses import replace

from jacinthcove.config.model import FleetConfig, Move, MoveState
from jacinthcove.errors import ConfigurationError, JacinthcoveError

ENDED = (MoveState.DONE, MoveState.REVERTED)


class UnknownName(JacinthcoveError):  # noqa: N818
    """A named part of the configuration does not exist."""


class MoveEnded(JacinthcoveError):  # noqa: N818
    """A move is already done or reverted."""


def carry_state(current: FleetConfig, files: FleetConfig) -> tuple[FleetConfig, list[str]]:
    """Return `files` with the operational state of `current`, and warnings about the differences.

    A domain stays drained until it is returned, moves keep their progress, a finished move keeps
    its version in force, and an empty fleet key keeps the current one.
    """
    warnings: list[str] = []
    moves = _carry_moves(current, files)
    services = dict(files.services)
    for move in current.moves.values():
        service, now = services.get(move.service), current.services.get(move.service)
        if service is None or now is None or move.state is not MoveState.DONE:
            continue
        if service.version == move.from_version and now.version == move.to_version:
            services[service.name] = replace(service, version=now.version)
            warnings.append(
                f"services.{service.name}.version: the files say {service.version}, but move"
                f" {move.id} finished at {now.version}, which stays; update the files"
            )
    for name, service in services.items():
        now = current.services.get(name)
        if now is not None and now.version != service.version:
            warnings.append(
                f"services.{name}.version: changes from {now.version} to {service.version} at"
                " once, without a move"
            )
    domains = dict(files.failure_domains)
    for name, domain in domains.items():
        was = current.failure_domains.get(name)
        if was is not None and was.drained and not domain.drained:
            domains[name] = replace(domain, drained=True)
            warnings.append(f"failure_domains.{name}: stays drained; use `domain return {name}`")
    carried = replace(
        files,
        moves=moves,
        services=services,
        failure_domains=domains,
        fleet_key=files.fleet_key or current.fleet_key,
    )
    return carried, warnings


def _carry_moves(current: FleetConfig, files: FleetConfig) -> dict[str, Move]:
    moves = {
        name: move
        for name, move in current.moves.items()
        if move.service in files.services or move.state not in ENDED
    }
    for name, move in files.moves.items():
        was = current.moves.get(name)
        if was is not None and _identity(was) != _identity(move):
            raise ConfigurationError(f"moves.{name}: the id belongs to another move")
        if was is None:
            moves[name] = move
    return moves


def _identity(move: Move) -> tuple[str, str, str]:
    return (move.service, move.from_version, move.to_version)


def set_drained(config: FleetConfig, name: str, drained: bool) -> FleetConfig:
    """Return `config` with the failure domain drained or in service; raise `UnknownName`."""
    domain = config.failure_domains.get(name)
    if domain is None:
        known = ", ".join(sorted(config.failure_domains)) or "none"
        raise UnknownName(f"no failure domain is called {name}; configured: {known}")
    domains = {**config.failure_domains, name: replace(domain, drained=drained)}
    return replace(config, failure_domains=domains)


def start_move(config: FleetConfig, move: Move) -> FleetConfig:
    """Return `config` with `move` added; a repeated start of the same move changes nothing.

    Ended moves of the same service are dropped. Raises `ConfigurationError` if the id is taken.
    """
    was = config.moves.get(move.id)
    if was is not None:
        if _identity(was) == _identity(move) and was.deadline_ms == move.deadline_ms:
            return config
        raise ConfigurationError(f"moves.{move.id}: the id belongs to another move")
    kept = {
        name: item
        for name, item in config.moves.items()
        if item.service != move.service or item.state not in ENDED
    }
    return replace(config, moves={**kept, move.id: move})


def abort_move(config: FleetConfig, name: str, reason: str) -> FleetConfig:
    """Return `config` with the move reverted; raise `UnknownName` or `MoveEnded`."""
    move = config.moves.get(name)
    if move is None:
        raise UnknownName(f"no move is called {name}")
    if move.state is MoveState.REVERTED:
        return config
    if move.state is MoveState.DONE:
        raise MoveEnded(f"move {name} is done; start a move back to {move.from_version} instead")
    reverted = replace(move, state=MoveState.REVERTED, share=0.0, reason=reason)
    return replace(config, moves={**config.moves, name: reverted})
