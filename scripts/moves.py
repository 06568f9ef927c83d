"""Run version moves with good and bad versions on a local fleet and print what each one showed."""

import argparse
import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

from jacinthcove.load.profiles import PROFILES  # noqa: E402
from testbed.moves import CASES, row, run_cases, table  # noqa: E402


def main() -> int:
    """Parse the arguments and run the cases; exit code 1 if a move ended wrongly."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=sorted(PROFILES), default="sereno")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", action="append", help="name of a case, or all")
    parser.add_argument("--logs", type=Path, help="keep the logs of all processes here")
    options = parser.parse_args()
    names = options.case or ["all"]
    unknown = set(names) - {"all", *(case.name for case in CASES)}
    if unknown:
        parser.error(f"unknown case {', '.join(sorted(unknown))}")
    cases = [case for case in CASES if "all" in names or case.name in names]
    results = []
    with tempfile.TemporaryDirectory() as directory:
        logs = options.logs or Path(directory)
        for result in run_cases(PROFILES[options.profile], logs, options.seed, cases):
            results.append(result)
            print(row(result), flush=True)
    print(f"\nseed {options.seed}, profile {options.profile}\n{table(results)}")
    return 0 if all(result.met for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
