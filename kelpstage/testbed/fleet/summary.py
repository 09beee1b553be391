"""The result of a run as a table, and as a folder with figures and plots."""

from __future__ import annotations

import csv
import json
import pathlib
from typing import Any

from kelpstage.cli.output import table
from kelpstage.testbed.fleet.sampler import COLUMNS

COUNT_COLUMNS = ["sent", "complete", "partial", "refused", "no answer"]
COLUMN_HEADS = ["call", *COUNT_COLUMNS, "p50 ms", "p95 ms", "p99 ms"]
PLOTS = (
    ("requests", "searches per second"),
    ("p99_ms", "p99 of the slowest edge, ms"),
    ("retries", "retries and hedged requests per second"),
    ("missing", "shards missing per second"),
    ("not_ready", "edges not ready"),
)


def summary_text(*, result: dict[str, Any]) -> str:
    """Returns the result as a table and a few lines of text.

    >>> print(summary_text(result={"kinds": {}, "violations": [], "rules": 3}))
    rules kept: 3 of 3
    """
    lines = []
    if result["kinds"]:
        rows = [_row(name=name, kind=kind) for name, kind in result["kinds"].items()]
        lines.append(table(rows=rows, heads=COLUMN_HEADS))
    causes: dict[str, int] = {}
    for kind in result["kinds"].values():
        for cause, count in kind["causes"].items():
            causes[cause] = causes.get(cause, 0) + count
    if causes:
        counts = ", ".join(f"{cause} {count}" for cause, count in sorted(causes.items()))
        lines.append(f"shards missing by cause: {counts}")
    if result.get("extra_rounds", {}).get("share") is not None:
        lines.append(f"retries: {result['extra_rounds']['share']:.2%} of first sends")
    if result.get("left_out"):
        lines.append(f"left out, there was no time: {', '.join(result['left_out'])}")
    broken = {violation.partition(":")[0] for violation in result["violations"]}
    lines.append(f"rules kept: {result['rules'] - len(broken)} of {result['rules']}")
    if result.get("not_judged"):
        lines.append(f"not judged: {', '.join(result['not_judged'])}")
    lines += [f"  broken: {violation}" for violation in result["violations"][:8]]
    lines += [f"  wrong body: {row}" for row in result.get("wrong", [])]
    return "\n".join(lines)


def _row(*, name: str, kind: dict[str, Any]) -> list[Any]:
    answered = kind["complete"] + kind["partial"] + kind["refused"]
    times = [f"{kind[key] / 1000:.0f}" for key in ("p50_us", "p95_us", "p99_us")]
    counts = [kind[key] for key in ("sent", "complete", "partial", "refused")]
    return [name, *counts, kind["sent"] - answered, *times]


def write_report(
    *,
    folder: pathlib.Path,
    result: dict[str, Any],
    rows: list[dict[str, float]],
    logs: dict[str, str],
) -> list[str]:
    """Writes the summary, the result, the metrics of each second, the processes' logs and, if
    matplotlib is installed, plots of the metrics. Returns the file names."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, log in logs.items():
        (folder / name).write_text(log + "\n", encoding="utf-8")
    (folder / "summary.txt").write_text(summary_text(result=result) + "\n", encoding="utf-8")
    text = json.dumps(result, indent=1, ensure_ascii=False, default=str)
    (folder / "result.json").write_text(text, encoding="utf-8")
    with (folder / "metrics.csv").open("w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, fieldnames=COLUMNS)
        writer.writeheader()
        writer.writerows(rows)
    names = ["summary.txt", "result.json", "metrics.csv", *logs]
    return names + (["metrics.png"] if _plot(path=folder / "metrics.png", rows=rows) else [])


def _plot(*, path: pathlib.Path, rows: list[dict[str, float]]) -> bool:
    """Plots the metrics of each second; returns false if matplotlib is not installed."""
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(PLOTS), sharex=True, figsize=(9, 2 * len(PLOTS)))
    for axis, (column, title) in zip(axes, PLOTS, strict=True):
        axis.plot([row["second"] for row in rows], [row[column] for row in rows])
        axis.set_title(title, loc="left", fontsize=9)
        axis.set_ylim(bottom=0)
    axes[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
    return True
