"""Structured logs: one JSON object per line on standard error."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, Protocol

import orjson
import structlog


class LogStream(Protocol):
    """The stream that log lines are written to."""

    def write(self, data: bytes) -> int:
        """Write one line and return the number of bytes accepted."""

    def flush(self) -> None:
        """Write out buffered lines."""


def configure(program: str, id: str, level: str = "info", stream: LogStream | None = None) -> None:
    """Set up logging of the process; each line has time, level, event, program and id."""

    def add_process(
        logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        event["program"] = program
        event["id"] = id
        return event

    sink: Any = stream or sys.stderr.buffer
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            add_process,
            structlog.processors.JSONRenderer(serializer=_dump),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.BytesLoggerFactory(sink),
        cache_logger_on_first_use=True,
    )


def get_logger(**fields: Any) -> Any:
    """Return a logger that adds `fields` to its lines; `configure` may be called later."""
    return structlog.get_logger(**fields)


def _dump(event: dict[str, Any], **options: Any) -> bytes:
    return orjson.dumps(event, default=str, option=orjson.OPT_NON_STR_KEYS)
