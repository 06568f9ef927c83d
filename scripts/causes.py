"""Prints why requests were late, refused or failed, from log lines of routers on standard input.

Run as `python scripts/causes.py < LOG` with `PYTHONPATH=src`. A line is a JSON object, with or
without words before it; its time is taken from the field `time`. Answers within the goal are not
counted, of the others each has its line unless `suppressed_before` tells of a gap. Below the table
stands what a perfect queue could have answered within the goals.
"""

import sys

from jacinthcove.observe.causes import find_losses, format_losses
from jacinthcove.observe.idealqueue import (
    arrivals_from_lines,
    capacities_from_lines,
    max_within_goal,
)
from jacinthcove.observe.loglines import parse_log_lines


def main() -> int:
    """Print the table, the bound and the number of lines that routers left out."""
    lines = list(parse_log_lines(sys.stdin))
    print(format_losses(find_losses(lines)))
    arrivals = arrivals_from_lines(lines)
    if arrivals:
        bound = max_within_goal(arrivals, capacities_from_lines(lines))
        print(f"{len(arrivals)} requests of engines came in; a perfect queue answers {bound}")
    hidden = sum(line.get("suppressed_before", 0) for _, line in lines)
    if hidden:
        print(f"{hidden} lines were left out by the routers' limit")
    return 0


if __name__ == "__main__":
    sys.exit(main())
