"""Run the demo: a whole site as local processes, 20 s of callers, and a table of the result."""

import argparse
import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

from jacinthcove.load.driver import LoadDriver, LoadResult  # noqa: E402
from jacinthcove.load.profiles import PROFILES, Profile, backlogged  # noqa: E402
from testbed.fleet import LocalFleet  # noqa: E402
from testbed.measure import FleetSampler, RouterUse  # noqa: E402

OUTSTANDING = 10
WARM_UP_S = 6


def run(profile: Profile, seconds: int, directory: Path, seed: int) -> int:
    """Run the demo and return the exit code: 1 if a request was lost or truncated."""
    fleet = LocalFleet(profile, directory)
    try:
        print(f"starting {profile.name}: 8 routers, stand-ins and a controller", flush=True)
        fleet.start()
        sampler = FleetSampler(fleet)
        sampler.start()
        driver = LoadDriver(profile, fleet.callers())
        sessions = backlogged(profile, seed, OUTSTANDING)
        print(f"{len(sessions)} callers of {len(profile.workspaces)} workspaces, {seconds} s")
        result = driver.run(sessions, seconds * 1000)
        uses = sampler.router_use()
        sampler.close()
    finally:
        fleet.close()
    print_report(result, sampler, uses, seconds)
    for problem in result.problems[:20]:
        print(f"problem: {problem}")
    return 1 if result.problems else 0


def print_report(
    result: LoadResult, sampler: FleetSampler, uses: list[RouterUse], seconds: int
) -> None:
    """Print the tables of one run."""
    print(f"\n{'workspace':16}{'share':>7}{'answers':>9}{'not run':>9}{'units/share':>13}")
    for tally in result.tallies.values():
        print(
            f"{tally.name:16}{tally.share:7.1f}{tally.completed:9d}{tally.not_run:9d}"
            f"{tally.units / tally.share:13.1f}"
        )
    gap = result.fairness_gap(WARM_UP_S * 1000, seconds * 1000)
    utilisation = sampler.utilisation(WARM_UP_S, seconds)
    print(f"\nfairness gap after {WARM_UP_S} s: {gap:.1f} units/share")
    print(f"utilisation of engine slots after {WARM_UP_S} s: {utilisation:.1%}")
    for name, histogram in (("first token", result.first_tokens), ("token gap", result.token_gaps)):
        values = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]
        print(f"{name} ms: p50 {values[0]:.0f}, p95 {values[1]:.0f}, p99 {values[2]:.0f}")
    for use in uses:
        print(
            f"{use.id}: control {use.control_bytes:.0f} B/s, {use.cpu:.1%} of a core, "
            f"{use.resident_mb:.0f} MB"
        )


def main() -> int:
    """Parse the arguments and run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=sorted(PROFILES), default="lavallee")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=Path, help="keep the logs of all processes here")
    options = parser.parse_args()
    if options.logs is not None:
        options.logs.mkdir(parents=True, exist_ok=True)
        return run(PROFILES[options.profile], options.seconds, options.logs, options.seed)
    with tempfile.TemporaryDirectory() as directory:
        return run(PROFILES[options.profile], options.seconds, Path(directory), options.seed)


if __name__ == "__main__":
    sys.exit(main())
