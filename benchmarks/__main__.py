"""Run one benchmark by name, or all of them: `python -m benchmarks [NAME [OPTIONS]]`."""

import sys
from importlib import import_module

NAMES = ("relay", "first_token", "idle", "configuration", "ingress", "entries")


def main(arguments: list[str]) -> int:
    """Run the named benchmark with its options, or every benchmark with the defaults."""
    if not arguments:
        return max([import_module(f"benchmarks.{name}").main([]) for name in NAMES])
    name, *options = arguments
    if name not in NAMES:
        print(f"no benchmark {name!r}; there are {', '.join(NAMES)}", file=sys.stderr)
        return 2
    return import_module(f"benchmarks.{name}").main(options)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
