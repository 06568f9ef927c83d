"""Writes tables, JSON and plots of experiments."""

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

import matplotlib
import orjson

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from jacinthcove.load.driver import LoadResult  # noqa: E402
from jacinthcove.load.trial import Report, Run  # noqa: E402

PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
SIZE_INCHES = (8.0, 4.0)
DOTS_PER_INCH = 80


def percentiles(histogram: Any) -> dict[str, float]:
    """Return the percentiles in ms of a histogram that is in microseconds."""
    return {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}


def verdict(met: bool | None) -> str:
    """Return whether a figure met its target as text; empty without a target."""
    return "" if met is None else "met" if met else "NOT MET"


def workspace_table(result: LoadResult) -> str:
    """Return a text table of responses and service by workspace."""
    lines = [f"{'workspace':16}{'share':>7}{'answers':>9}{'not run':>9}{'units/share':>13}"]
    lines += [
        f"{t.name:16}{t.share:7.1f}{t.completed:9d}{t.not_run:9d}{t.units / t.share:13.1f}"
        for t in result.tallies.values()
    ]
    return "\n".join(lines)


def latency_table(result: LoadResult) -> str:
    """Return a text table of the percentiles of first tokens, token gaps and whole requests."""
    lines = [f"{'ms':14}" + "".join(f"{f'p{p:g}':>10}" for p in PERCENTILES)]
    for name, histogram in _histograms(result).items():
        values = percentiles(histogram).values()
        lines.append(f"{name:14}" + "".join(f"{value:10.1f}" for value in values))
    return "\n".join(lines)


def measure_table(report: Report) -> str:
    """Return the figures of an experiment as a Markdown table."""
    lines = ["| figure | measured | target | result |", "| --- | ---: | --- | --- |"]
    lines += [
        f"| {m.name} | {m.value:,.1f} {m.unit}".rstrip() + f" | {m.target} | {verdict(m.met)} |"
        for m in report.measures
    ]
    return "\n".join(lines)


def to_json(report: Report) -> bytes:
    """Return all figures, outcomes, percentiles and samples of an experiment as JSON."""
    data = {
        "experiment": report.experiment,
        "profile": report.profile,
        "seed": report.seed,
        "seconds": report.seconds,
        "measures": [asdict(measure) for measure in report.measures],
        "problems": report.problems,
        "runs": [_run_data(run) for run in report.runs],
    }
    return orjson.dumps(data, option=orjson.OPT_INDENT_2)


def write_report(report: Report, directory: Path, from_ms: int) -> list[Path]:
    """Write the JSON file and the plots, and return their paths.

    Levels and gaps are plotted from `from_ms` of each run on, which skips the warm-up.
    """
    directory.mkdir(parents=True, exist_ok=True)
    stem = f"{report.experiment}-{report.profile}"
    data = directory / f"{stem}.json"
    data.write_bytes(to_json(report))
    written = [data, _plot_utilisation(report.runs, directory / f"{stem}-utilisation.png")]
    written.append(_plot_gaps(report.runs, directory / f"{stem}-gap.png", from_ms))
    if report.runs:
        path = directory / f"{stem}-levels.png"
        written.append(_plot_levels(report.runs[0], path, from_ms))
    return written


def _histograms(result: LoadResult) -> dict[str, Any]:
    return {
        "first token": result.first_tokens,
        "token gap": result.token_gaps,
        "whole request": result.request_durations,
    }


def _run_data(run: Run) -> dict[str, Any]:
    result = run.result
    return {
        "label": run.label,
        "marks": run.marks,
        "workspaces": {
            t.name: {"share": t.share, "units": t.units, "outcomes": t.outcomes}
            for t in result.tallies.values()
        },
        "percentiles_ms": {
            name: percentiles(histogram) for name, histogram in _histograms(result).items()
        },
        "samples": [{"at_ms": sample.at_ms, "units": sample.units} for sample in result.samples],
        "engine_use": run.utilisation_samples,
    }


def _plot_utilisation(runs: Sequence[Run], path: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for run in runs:
        in_period = [
            (at / 1000, 100 * fraction)
            for at, fraction in run.utilisation_samples
            if at <= run.load_ms
        ]
        axes.plot([at for at, _ in in_period], [percent for _, percent in in_period])
    axes.set_ylabel("engine slots in use (%)")
    axes.set_ylim(0, 102)
    return _save(figure, axes, [run.label for run in runs], runs, path)


def _plot_gaps(runs: Sequence[Run], path: Path, from_ms: int) -> Path:
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for run in runs:
        series = run.result.gap_series(from_ms, run.load_ms)
        axes.plot([at / 1000 for at, _ in series], [gap for _, gap in series])
    axes.set_ylabel("gap (units/share)")
    return _save(figure, axes, [run.label for run in runs], runs, path)


def _plot_levels(run: Run, path: Path, from_ms: int) -> Path:
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    samples = [sample for sample in run.result.samples if from_ms <= sample.at_ms <= run.load_ms]
    for tally in run.result.tallies.values():
        first = samples[0].units[tally.name] if samples else 0.0
        axes.plot(
            [sample.at_ms / 1000 for sample in samples],
            [(sample.units[tally.name] - first) / tally.share for sample in samples],
            linewidth=0.8,
        )
    axes.set_ylabel("service / share (units)")
    return _save(figure, axes, [], [run], path)


def _save(figure: Any, axes: Any, labels: list[str], runs: Sequence[Run], path: Path) -> Path:
    for run in runs[:1]:
        for at, text in run.marks:
            axes.axvline(at / 1000, color="grey", linestyle=":", linewidth=0.8)
            axes.text(at / 1000, axes.get_ylim()[1], text, rotation=90, va="top", fontsize=6)
    axes.set_xlabel("time (s)")
    if labels:
        axes.legend(labels, fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
    return path
