"""Entry point of the program `jacinthcove-controller`."""

import sys
from collections.abc import Sequence

from jacinthcove.commands.program import run_program
from jacinthcove.config.settings import ControllerSettings
from jacinthcove.control.daemon import Controller


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a controller until a signal stops it; return the exit code."""
    return run_program("jacinthcove-controller", ControllerSettings, Controller, arguments)


if __name__ == "__main__":
    sys.exit(main())
