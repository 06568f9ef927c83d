"""Settings, signal handling and exit codes of the long-running programs."""

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
    """A service that runs until it is closed."""

    def start(self) -> None:
        """Start; may block until the daemon is ready to serve."""

    def close(self) -> None:
        """Stop gracefully."""


def run_until_signal(daemon: Daemon) -> int:
    """Run `daemon` until SIGTERM or SIGINT and return the exit code.

    A signal also aborts a start that is still blocked.
    """
    stop_requested = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_requested.set)
    start_greenlet = gevent.spawn(daemon.start)
    gevent.wait([start_greenlet, stop_requested], count=1)
    failed = start_greenlet.ready() and not start_greenlet.successful()
    if failed:
        structlog.get_logger().error("start_failed", reason=str(start_greenlet.exception))
    elif start_greenlet.ready():
        stop_requested.wait()
    else:
        start_greenlet.kill()
    daemon.close()
    return EXIT_START_FAILED if failed else 0


def run_program(
    program: str,
    settings_class: type[S],
    make_daemon: Callable[[S], Daemon],
    arguments: Sequence[str] | None,
) -> int:
    """Load the settings, run the daemon and return the exit code of the program.

    Prints the flags for `--help`. `arguments` are those of `sys.argv` if None.
    """
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
    return run_until_signal(make_daemon(settings))
