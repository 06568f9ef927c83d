"""Cost and delay per token of a router beside a bare relay, at 350 concurrent streams.

Each round runs the same streams directly to the engines, through the bare relay and through one
router, one after another, against the same engine and caller processes.
"""

import argparse
import socket
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

import orjson
from hdrh.histogram import HdrHistogram

from benchmarks.caller import STAGGER_S, Plan, gap_histogram
from benchmarks.site import BENCHMARK_ENVIRONMENT, benchmark_profile, machine, warm_engine_flags
from testbed.fleet import FleetOptions, LocalFleet
from testbed.ports import free_addresses
from testbed.processes import Program, cpu_seconds, resident_mb, stop_all

ENGINES = 9
# More slots than streams need, so that a lagging load report holds none of them back.
SLOTS = 48
TOKEN_MS = 31.0
CALLERS = 3
CALLER_START_S = 1.5
SETTLE_S = 2.0
AFTER_S = 1.0
MAX_COST_RATIO = 1.3
MIN_TOKENS_PER_S = 10_000
MAX_ADDED_P95_MS = 5.0


@dataclass(frozen=True)
class Result:
    """One measurement of one path; `cost_us` is processor time of the relay per token."""

    path: str
    tokens_per_s: float
    cost_us: float
    core: float
    resident_mb: float
    gaps: HdrHistogram
    problems: tuple[str, ...]

    def gap_ms(self, percentile: float) -> float:
        """Return a percentile of the gaps between tokens."""
        return self.gaps.get_value_at_percentile(percentile) / 1000

    def row(self) -> str:
        """Return the table row."""
        gaps = "".join(f"{self.gap_ms(p):9.1f}" for p in (50, 95, 99))
        return (
            f"{self.path:8}{self.tokens_per_s:10.0f}{self.cost_us:9.1f}{self.core:7.2f}"
            f"{gaps}{self.resident_mb:8.1f}{len(self.problems):10d}"
        )


HEADER = (
    f"{'path':8}{'tokens/s':>10}{'us/token':>9}{'cores':>7}{'p50 ms':>9}{'p95 ms':>9}{'p99 ms':>9}"
    f"{'MB':>8}{'problems':>10}"
)


@dataclass
class RelayBenchmark:
    """Measures one path after another on a running site."""

    directory: Path
    streams: int
    seconds: float

    def measure(
        self, path: str, addresses: tuple[str, ...], program: Program | None, router: bool
    ) -> Result:
        """Run all streams on one path; `program` is the relay process."""
        start_s = time.monotonic() + CALLER_START_S
        from_s = start_s + STAGGER_S + SETTLE_S
        to_s = from_s + self.seconds
        tokens = int((to_s + AFTER_S - start_s) * 1000 / TOKEN_MS)
        callers = []
        for number in range(CALLERS):
            count = self.streams // CALLERS + (number < self.streams % CALLERS)
            plan = Plan(
                f"{path}-{time.monotonic_ns()}-{number}", addresses, router, count, tokens,
                start_s, from_s, to_s,
            )  # fmt: skip
            log_path = self.directory / f"caller-{plan.name}.json"
            arguments = [orjson.dumps(plan).decode()]
            callers.append(Program("benchmarks.caller", arguments, log_path, BENCHMARK_ENVIRONMENT))
        try:
            for caller in callers:
                caller.start()
            time.sleep(from_s - time.monotonic())
            before = cpu_seconds(program.pid) if program else 0.0
            time.sleep(to_s - time.monotonic())
            used_s = cpu_seconds(program.pid) - before if program else 0.0
            resident = resident_mb(program.pid) if program else 0.0
            for caller in callers:
                caller.process.wait()
        finally:
            stop_all(callers)
        reports = [orjson.loads(caller.log_path.read_bytes()) for caller in callers]
        gaps = gap_histogram()
        for report in reports:
            gaps.add(HdrHistogram.decode(report["gaps"]))
        count = sum(report["tokens"] for report in reports)
        problems = tuple(problem for report in reports for problem in report["problems"])
        return Result(
            path, count / self.seconds, used_s * 1e6 / max(1, count), used_s / self.seconds,
            resident, gaps, problems,
        )  # fmt: skip


def wait_for(address: str) -> None:
    """Wait until a server accepts connections."""
    host, _, port = address.rpartition(":")
    for _ in range(100):
        try:
            socket.create_connection((host, int(port))).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens on {address}")


def run(directory: Path, streams: int, seconds: float, rounds: int) -> list[list[Result]]:
    """Return the results of every round: direct, bare relay, router."""
    options = FleetOptions(controllers=0, engine_flags=warm_engine_flags(SLOTS, TOKEN_MS))
    fleet = LocalFleet(benchmark_profile(1, ENGINES, SLOTS), directory, options)
    listen = free_addresses(1)[0]
    bare = None
    try:
        fleet.start()
        engines = tuple(vm.address for vm in fleet.targets.values())
        bare = Program(
            "benchmarks.bare", [listen, *engines], directory / "bare.log", BENCHMARK_ENVIRONMENT
        )
        bare.start()
        wait_for(listen)
        benchmark = RelayBenchmark(directory, streams, seconds)
        router = fleet.routers[0]
        results = []
        for _ in range(rounds):
            row = [
                benchmark.measure("direct", engines, None, router=False),
                benchmark.measure("bare", (listen,), bare, router=False),
                benchmark.measure(
                    "router", (router.caller,), fleet.router_programs[router.id], router=True
                ),
            ]
            print("\n".join(result.row() for result in row), flush=True)
            results.append(row)
        return results
    finally:
        if bare is not None:
            bare.stop()
        fleet.close()


def verdict(results: list[list[Result]]) -> bool:
    """Print the figures against the targets; return whether all are met."""
    ratios = [router.cost_us / bare.cost_us for _, bare, router in results]
    added = [router.gap_ms(95) - direct.gap_ms(95) for direct, _, router in results]
    rates = [router.tokens_per_s for _, _, router in results]
    problems = [problem for row in results for result in row for problem in result.problems]
    checks = (
        ("router / bare processor time per token", ratios, mean(ratios) <= MAX_COST_RATIO, 1.3),
        ("tokens/s through the router", rates, min(rates) >= MIN_TOKENS_PER_S, MIN_TOKENS_PER_S),
        ("p95 gap added to direct, ms", added, mean(added) <= MAX_ADDED_P95_MS, MAX_ADDED_P95_MS),
    )
    for name, values, met, target in checks:
        spread = f"{min(values):.2f} to {max(values):.2f}"
        outcome = "met" if met else "MISSED"
        print(f"{name}: mean {mean(values):.2f} ({spread}), target {target:g}: {outcome}")
    for problem in problems[:5]:
        print(f"problem: {problem}")
    return not problems and all(met for _, _, met, _ in checks)


def main(arguments: list[str]) -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(prog="benchmarks relay", description=__doc__)
    parser.add_argument("--streams", type=int, default=350)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args(arguments)
    print(f"relay: {options.streams} streams, {options.seconds:g} s; {machine()}\n{HEADER}")
    with tempfile.TemporaryDirectory() as directory:
        results = run(Path(directory), options.streams, options.seconds, options.rounds)
    return 0 if verdict(results) else 1
