"""The program `jacinthcove-router`."""

import os
import signal
import sys
from collections.abc import Sequence

import gevent
from gevent.event import Event

from jacinthcove.config.settings import RouterSettings, load_settings, settings_table
from jacinthcove.errors import ConfigurationError
from jacinthcove.observe import logs
from jacinthcove.router.daemon import DispatchFactory, Router
from jacinthcove.scheduling.dispatch import MeshDispatch

EXIT_BAD_SETTINGS = 2


def run(settings: RouterSettings, dispatch: DispatchFactory) -> int:
    """Run a router until SIGTERM or SIGINT, then stop it gracefully."""
    logs.configure("jacinthcove-router", settings.id, settings.log_level.value)
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    router = Router(settings, dispatch)
    starting = gevent.spawn(router.start)
    gevent.wait([starting, stopped], count=1)
    if starting.ready():
        starting.get()
        stopped.wait()
    else:
        starting.kill()
    router.close()
    return 0


def main(arguments: Sequence[str] | None = None, dispatch: DispatchFactory = MeshDispatch) -> int:
    """Run the program and return its exit code."""
    given = sys.argv[1:] if arguments is None else list(arguments)
    if "--help" in given or "-h" in given:
        print("usage: jacinthcove-router [--flag VALUE ...]\n")
        print(settings_table(RouterSettings))
        return 0
    try:
        settings = load_settings(RouterSettings, given, os.environ)
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return run(settings, dispatch)


if __name__ == "__main__":
    sys.exit(main())
