"""What the long-running programs share: settings, signals and exit codes."""

import os
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

import gevent
import structlog
from gevent.event import Event

from jacinthcove.config.settings import CommonSettings, load_settings, settings_table
from jacinthcove.errors import ConfigurationError
from jacinthcove.observe import logs

EXIT_START_FAILED = 1
EXIT_BAD_SETTINGS = 2
S = TypeVar("S", bound=CommonSettings)


class Daemon(Protocol):
    """A part that runs until it is closed."""

    def start(self) -> None:
        """Start; may block until the daemon can serve."""

    def close(self) -> None:
        """Stop gracefully."""


def run_until_signal(daemon: Daemon) -> int:
    """Run `daemon` until SIGTERM or SIGINT, which also end a start that still waits.

    Returns the exit code.
    """
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    starting = gevent.spawn(daemon.start)
    gevent.wait([starting, stopped], count=1)
    failed = starting.ready() and not starting.successful()
    if failed:
        structlog.get_logger().error("start_failed", reason=str(starting.exception))
    elif starting.ready():
        stopped.wait()
    else:
        starting.kill()
    daemon.close()
    return EXIT_START_FAILED if failed else 0


def run_program(
    program: str,
    settings_class: type[S],
    make: Callable[[S], Daemon],
    arguments: Sequence[str] | None,
) -> int:
    """Read settings, run the daemon and return the program's exit code."""
    given = sys.argv[1:] if arguments is None else list(arguments)
    if "--help" in given or "-h" in given:
        print(f"usage: {program} [--flag VALUE ...]\n\n{settings_table(settings_class)}")
        return 0
    try:
        settings = load_settings(settings_class, given, os.environ)
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure(program, settings.id, settings.log_level.value)
    return run_until_signal(make(settings))
