"""Router process with a baseline's dispatch, for comparison runs only.

Usage: `python -m jacinthcove.load.baseline_router --mode local-queues|no-exchange [router flags]`.
"""

import sys
from collections.abc import Sequence

from jacinthcove.commands import router
from jacinthcove.commands.program import EXIT_BAD_SETTINGS
from jacinthcove.load.baseline import FACTORIES, BaselineMode

MODE_FLAG = "--mode"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    try:
        position = given.index(MODE_FLAG)
        mode = BaselineMode(given[position + 1])
    except (ValueError, IndexError):
        modes = "|".join(mode.value for mode in BaselineMode)
        print(f"{MODE_FLAG} {modes} is required", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    del given[position : position + 2]
    return router.main(given, FACTORIES[mode])


if __name__ == "__main__":
    sys.exit(main())
