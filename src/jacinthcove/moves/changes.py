"""State transitions of a move as pure functions on the configuration.

Each function returns the configuration unchanged when the move is not in the expected state or
step. A transition decided on an older configuration therefore never undoes what an operator or
another controller did.
"""

from dataclasses import replace

from jacinthcove.config.model import FleetConfig, Move, MoveState
from jacinthcove.moves.split import FIRST_STEP_MAX_SHARE

ENDED = (MoveState.DONE, MoveState.REVERTED)


def start_shifting(config: FleetConfig, move_id: str) -> FleetConfig:
    """Start shifting traffic, with the share of the first step capped at 5%."""
    move = config.moves.get(move_id)
    if move is None or move.state is not MoveState.LOADING:
        return config
    share = min(move.steps[0].share, FIRST_STEP_MAX_SHARE) if move.steps else 0.0
    return _with_move(config, replace(move, state=MoveState.SHIFTING, step=0, share=share))


def advance(config: FleetConfig, move_id: str, from_step: int) -> FleetConfig:
    """Go from `from_step` to the next step, if there is one."""
    move = config.moves.get(move_id)
    if move is None or move.state is not MoveState.SHIFTING or move.step != from_step:
        return config
    if from_step + 1 >= len(move.steps):
        return config
    step = from_step + 1
    return _with_move(config, replace(move, step=step, share=move.steps[step].share))


def finish(config: FleetConfig, move_id: str, from_step: int, wall_ms: int) -> FleetConfig:
    """Make the new version the service's version; does nothing at or after the deadline."""
    move = config.moves.get(move_id)
    if move is None or move.state is not MoveState.SHIFTING or move.step != from_step:
        return config
    service = config.services.get(move.service)
    if wall_ms >= move.deadline_ms or service is None or service.version != move.from_version:
        return config
    services = config.services | {service.name: replace(service, version=move.to_version)}
    done = replace(move, state=MoveState.DONE, share=1.0)
    return _with_move(replace(config, services=services), done)


def revert(config: FleetConfig, move_id: str, reason: str) -> FleetConfig:
    """End the move and keep the old version; an ended move does not change."""
    move = config.moves.get(move_id)
    if move is None or move.state in ENDED:
        return config
    return _with_move(config, replace(move, state=MoveState.REVERTED, share=0.0, reason=reason))


def _with_move(config: FleetConfig, move: Move) -> FleetConfig:
    return replace(config, moves=config.moves | {move.id: move})
