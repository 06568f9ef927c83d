"""`jacinthcove-load lab`: simulates named loads with the real router decisions."""

from cleo.commands.command import Command
from cleo.helpers import argument, option

from jacinthcove.lab.results import Results
from jacinthcove.lab.scenarios import SCENARIOS
from jacinthcove.lab.simulation import Simulation

EXIT_BAD_OPTIONS = 2
HEADER = (
    f"{'load':<16}{'seed':>5}{'asked':>7}{'in goal':>9}{'late':>7}{'refused':>9}"
    f"{'read again':>12}{'copied':>9}{'crossed MB':>12}{'worst workspaces':>18}"
    f"{'tries refused':>15}{'while idle':>12}{'share ratio':>13}"
)
MAX_WORST_WORKSPACES = 2


def format_results(name: str, seed: int, results: Results) -> str:
    """Return the table line of one simulation; tokens are in millions."""
    total = results.all
    worst_workspaces = " ".join(
        f"{fraction:.2f}" for fraction in results.workspace_goal_fractions()[:MAX_WORST_WORKSPACES]
    )
    return (
        f"{name:<16}{seed:>5}{total.call_count:>7}{total.goal_fraction:>9.3f}"
        f"{total.late / max(1, total.call_count):>7.3f}"
        f"{total.refused / max(1, total.call_count):>9.3f}"
        f"{results.prefilled_again_tokens / 1e6:>12.2f}{results.copied_tokens / 1e6:>9.2f}"
        f"{results.cross_domain_bytes / 1e6:>12.1f}{worst_workspaces:>18}"
        f"{results.refused_tries:>15}{results.refused_tries_while_idle:>12}"
        f"{results.worst_share_ratio():>13.2f}"
    )


class LabCommand(Command):
    """Simulate named loads in one process; the same seed gives the same results."""

    name = "lab"
    description = "Play named loads through the real decisions in virtual time."
    arguments = [argument("loads", "names of loads, all if none is given", True, multiple=True)]
    options = [
        option("seeds", None, "number of seeds for each load", False, default="1"),
        option("seconds", None, "length of a play", False, default="20"),
    ]

    def handle(self) -> int:
        """Print one line for each load and seed; return the exit code."""
        names = self.argument("loads") or sorted(SCENARIOS)
        unknown_names = [name for name in names if name not in SCENARIOS]
        if unknown_names:
            self.line_error(
                f"loads are {', '.join(sorted(SCENARIOS))}; not {', '.join(unknown_names)}"
            )
            return EXIT_BAD_OPTIONS
        try:
            seeds, seconds = int(self.option("seeds")), int(self.option("seconds"))
        except ValueError as error:
            self.line_error(f"--seeds and --seconds are whole numbers: {error}")
            return EXIT_BAD_OPTIONS
        self.line(HEADER)
        for name in names:
            for seed in range(1, seeds + 1):
                scenario = SCENARIOS[name]
                duration_ms = min(seconds * 1_000, scenario.duration_ms or seconds * 1_000)
                results = Simulation(scenario.load, scenario.fleet, seed, duration_ms).run()
                self.line(format_results(name, seed, results))
        return 0
