"""Run named experiments on local fleets and write tables, JSON and plots."""

import argparse
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

from jacinthcove.load import report as reports  # noqa: E402
from jacinthcove.load.experiments import EXPERIMENTS, WARM_UP_S  # noqa: E402
from jacinthcove.load.profiles import PROFILES  # noqa: E402
from jacinthcove.load.trial import Report  # noqa: E402
from testbed.site import site_factory  # noqa: E402


def main() -> int:
    """Run the chosen experiments; the exit code is 1 if an answer or an order was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=[*EXPERIMENTS, "all"])
    parser.add_argument("--profile", choices=sorted(PROFILES), default="lavallee")
    parser.add_argument("--seconds", type=int, default=60, help="measured time per fleet")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, default=Path("out/experiments"))
    parser.add_argument("--logs", type=Path, help="keep the logs of all processes here")
    parser.add_argument("--no-baselines", action="store_true", help="run the product only")
    options = parser.parse_args()
    profile = PROFILES[options.profile]
    problems = 0
    for name in EXPERIMENTS if options.name == "all" else [options.name]:
        report = Report(name, profile.name, options.seed, options.seconds, not options.no_baselines)
        print(f"\n{name} on {profile.name}, {time.strftime('%Y-%m-%d %H:%M')}", flush=True)
        logs = None if options.logs is None else options.logs / name
        EXPERIMENTS[name](site_factory(profile, logs), report, profile)
        for run in report.runs:
            print(f"\n{run.label}\n{reports.workspace_table(run.result)}")
            print(f"\n{reports.latency_table(run.result)}")
        print(f"\n{reports.measure_table(report)}")
        for path in reports.write_report(report, options.out, WARM_UP_S * 1000):
            print(f"wrote {path}")
        for problem in report.problems[:20]:
            print(f"problem: {problem}")
        problems += len(report.problems)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
