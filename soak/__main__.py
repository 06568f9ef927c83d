"""Runs seeds of the soak: `python -m soak --seeds 1-50 --jobs 3`."""

import argparse
import contextlib
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REPORTS = ROOT / "reports" / "soak"


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a list such as `1-5,9`."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def run_seed(options: argparse.Namespace, seed: int) -> int:
    """Play one seed in this process and print what it broke."""
    from soak.runner import run  # noqa: PLC0415 - patches the standard library

    directory = REPORTS / str(seed)
    return run(seed, options.seconds, options.routers, options.callers, options.restarts, directory)


def run_seeds(options: argparse.Namespace, seeds: list[int]) -> int:
    """Play each seed in a process of its own, `jobs` at a time; return the failed ones."""
    REPORTS.mkdir(parents=True, exist_ok=True)

    def play(seed: int) -> bool:
        command = [sys.executable, "-m", "soak", "--seeds", str(seed), "--inside"]
        for name in ("seconds", "routers", "callers", "restarts"):
            command += [f"--{name}", str(getattr(options, name))]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        sys.stdout.write(done.stdout)
        sys.stdout.flush()
        if done.returncode not in (0, 1):
            sys.stdout.write(done.stderr)
        return done.returncode == 0

    began = time.monotonic()
    with ThreadPoolExecutor(options.jobs) as pool:
        passed = list(pool.map(play, seeds))
    failed = [seed for seed, good in zip(seeds, passed, strict=True) if not good]
    print(f"{len(seeds)} seeds in {time.monotonic() - began:.0f} s, failed: {failed or 'none'}")
    return 1 if failed else 0


def main() -> int:
    """Parse the options and run."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=[1], help="such as 1-50 or 3,7")
    parser.add_argument("--seconds", type=float, default=20.0, help="time in which faults come")
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--restarts", type=int, default=0, help="series of restarted targets")
    parser.add_argument("--jobs", type=int, default=2, help="seeds played at a time")
    parser.add_argument("--inside", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.inside:
        return run_seed(options, options.seeds[0])
    with contextlib.suppress(KeyboardInterrupt):
        return run_seeds(options, options.seeds)
    return 1


if __name__ == "__main__":
    sys.exit(main())
