"""The program `jacinthcove-router`."""

import sys
from collections.abc import Sequence

from jacinthcove.commands.program import run_program
from jacinthcove.config.settings import RouterSettings
from jacinthcove.router.daemon import Router


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    return run_program("jacinthcove-router", RouterSettings, Router, arguments)


if __name__ == "__main__":
    sys.exit(main())
