"""Conversion of version moves between the command line and the administration API."""

from datetime import UTC, datetime
from typing import Any

from jacinthcove.errors import ConfigurationError

WATCH_PERIOD_MS = 500


def move_request(
    service: str, version: str, deadline_ms: int, steps: list[str], move_id: str | None = None
) -> dict[str, Any]:
    """Return the body of a move request; raise `ConfigurationError` for invalid steps."""
    request: dict[str, Any] = {"service": service, "to": version, "deadline_ms": deadline_ms}
    if move_id:
        request["id"] = move_id
    if steps:
        request["steps"] = [_parse_step(step) for step in steps]
    return request


def _parse_step(text: str) -> dict[str, float | int]:
    share, _, requests = text.partition(":")
    try:
        return {"share": float(share), "min_requests": int(requests)}
    except ValueError as error:
        raise ConfigurationError(f"--step {text}: expected SHARE:MIN_REQUESTS") from error


def describe_move(move: dict[str, Any]) -> str:
    """Return one line that describes a move from a response of the administration API."""
    deadline = datetime.fromtimestamp(move["deadline_ms"] / 1000, UTC).isoformat("T", "seconds")
    line = (
        f"{move['id']}: {move['service']} {move['from_version']} -> {move['to_version']},"
        f" {move['state']}, step {move['step'] + 1} of {len(move['steps'])},"
        f" share {move['share']:g}, deadline {deadline}"
    )
    return f"{line}, {move['reason']}" if move["reason"] else line
