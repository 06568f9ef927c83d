"""Router process with a baseline scheduler, for comparison runs only.

Usage: `python -m jacinthcove.load.baseline_router --mode local-queues|no-exchange [router flags]`.
"""

import sys
from collections.abc import Sequence

from jacinthcove.commands import router
from jacinthcove.commands.program import EXIT_BAD_SETTINGS
from jacinthcove.load.baseline import DISPATCH_TYPES, BaselineMode

MODE_FLAG = "--mode"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a router with the baseline of `--mode` and return the exit code."""
    remaining_arguments = list(sys.argv[1:] if arguments is None else arguments)
    try:
        position = remaining_arguments.index(MODE_FLAG)
        mode = BaselineMode(remaining_arguments[position + 1])
    except (ValueError, IndexError):
        modes = "|".join(mode.value for mode in BaselineMode)
        print(f"{MODE_FLAG} {modes} is required", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    del remaining_arguments[position : position + 2]
    return router.main(remaining_arguments, DISPATCH_TYPES[mode])


if __name__ == "__main__":
    sys.exit(main())
