"""Run the demo: a whole site as local processes, 20 s of callers, and a table of the result."""

import argparse
import sys
import tempfile
from collections import Counter
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

from jacinthcove.load import report  # noqa: E402
from jacinthcove.load.experiments import CALLERS_PER_SLOT, WARM_ENGINE_FLAGS  # noqa: E402
from jacinthcove.load.profiles import PROFILES, Profile, proportional_sessions  # noqa: E402
from jacinthcove.load.trial import drive  # noqa: E402
from testbed.fleet import FleetOptions, LocalFleet  # noqa: E402
from testbed.measure import FleetSampler  # noqa: E402
from testbed.site import Site  # noqa: E402

# The adaptive limits reach their maximum in this time; the figures count from then on.
WARM_UP_S = 10


def run(profile: Profile, seconds: int, directory: Path, seed: int) -> int:
    """Run the demo and return the exit code: 1 if a request was lost, truncated or corrupt."""
    options = FleetOptions(controllers=1, engine_flags=WARM_ENGINE_FLAGS)
    fleet = LocalFleet(profile, directory, options)
    try:
        print(
            f"starting {profile.name}: {len(fleet.routers)} routers, a controller and stand-ins",
            flush=True,
        )
        fleet.start()
        sampler = FleetSampler(fleet)
        sampler.start()
        sessions = proportional_sessions(profile, seed, CALLERS_PER_SLOT)
        read_utilisation = Site(fleet).engine_utilisation
        load = drive(
            profile, fleet.callers(), "demo", sessions, seconds, read_utilisation=read_utilisation
        )
        uses = sampler.router_use()
        sampler.close()
    finally:
        fleet.close()
    result = load.result
    print(f"\n{report.workspace_table(result)}\n\n{report.latency_table(result)}\n")
    gap = result.fairness_gap(WARM_UP_S * 1000, seconds * 1000)
    print(f"fairness gap after {WARM_UP_S} s: {gap:.1f} units/share")
    print(f"engine slots in use after {WARM_UP_S} s: {load.utilisation(WARM_UP_S, seconds):.1%}")
    for router in uses:
        print(
            f"{router.id}: control {router.control_bytes:.0f} B/s, {router.cpu:.1%} of a core, "
            f"{router.resident_mb:.0f} MB"
        )
    kinds: Counter[str] = Counter()
    for router in uses:
        kinds.update(router.bytes_by_kind)
    means = [f"{kind} {total / len(uses):.0f}" for kind, total in kinds.most_common(8)]
    print(f"control B/s per router by kind: {', '.join(means)}")
    for problem in result.problems[:20]:
        print(f"problem: {problem}")
    return 1 if result.problems else 0


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
