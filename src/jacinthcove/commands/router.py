"""Entry point of the program `jacinthcove-router`."""

import sys
from collections.abc import Sequence

from jacinthcove.commands.program import run_program
from jacinthcove.config.settings import RouterSettings
from jacinthcove.router.daemon import DispatchFactory, Router
from jacinthcove.scheduling.dispatch import MeshDispatch


def main(arguments: Sequence[str] | None = None, dispatch: DispatchFactory = MeshDispatch) -> int:
    """Run a router until a signal stops it; return the exit code."""
    return run_program(
        "jacinthcove-router",
        RouterSettings,
        lambda settings: Router(settings, dispatch),
        arguments,
    )


if __name__ == "__main__":
    sys.exit(main())
