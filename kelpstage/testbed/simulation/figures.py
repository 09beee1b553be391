"""Measurements of simulated runs: latencies of writes and searches, partial and failed shares."""

from __future__ import annotations

from typing import Any

from kelpstage.testbed.fleet.report import quantile
from kelpstage.testbed.simulation.fleet import SimFleet


def figures(*, fleet: SimFleet | None) -> dict[str, list[int]]:
    """Return the samples of one run by name: `_us` in virtual microseconds, others 0 or 1."""
    if fleet is None:
        return {}
    puts = [row for row in fleet.history if row["event"] == "put" and row["status"] == 200]
    calls = [row for row in fleet.history if row["event"] == "call"]
    return {
        "put_us": [row["at_us"] - row["sent_us"] for row in puts],
        "search_us": [
            row["done_us"] - row["sent_us"]
            for row in calls
            if row["end"] == "ok" and not row["single"]
        ],
        "partial": [int(row["coverage"] < 1) for row in calls if row["end"] == "ok"],
        "failed": [int(row["end"] != "ok") for row in calls],
    }


def summary(*, rows: list[dict[str, list[int]]]) -> dict[str, Any]:
    """Summarize all runs: quantiles of each `_us` series, the mean of every other one.

    >>> summary(rows=[{"put_us": [1, 3], "partial": [0, 1]}])["partial_share"]
    0.5
    """
    samples: dict[str, list[int]] = {}
    for row in rows:
        for name, values in row.items():
            samples.setdefault(name, []).extend(values)
    out: dict[str, Any] = {}
    for name, values in samples.items():
        if not name.endswith("_us"):
            out[f"{name}_share"] = round(sum(values) / len(values), 6) if values else None
            continue
        out[name] = {
            "count": len(values),
            "p50": quantile(values=values, share=0.5),
            "p90": quantile(values=values, share=0.9),
            "p99": quantile(values=values, share=0.99),
            "max": max(values, default=0),
        }
    return out
