"""Routing decisions and cuts, read from the logs of a local fleet's routers."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import orjson


@dataclass(frozen=True)
class Attempt:
    """One `request_attempted` line of a router; times are in seconds since the epoch."""

    started: float
    ended: float
    route: str
    version: str
    code: int


def read_attempts(directory: Path, service: str, logs: str = "router-*.log") -> Iterator[Attempt]:
    """Yield the attempts at targets of a service from the logs of routers."""
    for line in _events(directory, logs, b'"request_attempted"'):
        if line["service"] == service:
            ended = _seconds(line)
            started = ended - line["ran_ms"] / 1000
            yield Attempt(started, ended, line["route"], line["version"], line["code"])


def cut_time(directory: Path, move_id: str) -> float | None:
    """Return when the first router cut the new version, or None."""
    lines = _events(directory, "router-*.log", b'"version_cut"')
    return min((_seconds(line) for line in lines if line["move"] == move_id), default=None)


def _events(directory: Path, pattern: str, text: bytes) -> Iterator[dict[str, Any]]:
    for path in directory.glob(pattern):
        with open(path, "rb") as log:
            for line in log:
                if text in line and line.endswith(b"\n"):
                    yield orjson.loads(line)


def _seconds(line: dict[str, Any]) -> float:
    return datetime.fromisoformat(line["time"]).timestamp()
