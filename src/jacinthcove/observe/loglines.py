"""Parses the log lines of routers."""

import sys
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime
from typing import Any

import orjson

LogLine = tuple[float, Mapping[str, Any]]


def parse_log_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the parsed lines, each with its time in seconds after the first one.

    A line is a JSON object with a field `time`; text before the object is ignored. Lines without an
    object are skipped, and malformed ones are reported on standard error.
    """
    begin: float | None = None
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            line = orjson.loads(raw[start:])
            at = datetime.fromisoformat(line["time"]).timestamp()
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            print(f"not a log line: {raw[:60].rstrip()}", file=sys.stderr)
            continue
        begin = at if begin is None else begin
        yield at - begin, line
