"""Figures of a run by kind of call."""

from __future__ import annotations

from collections import Counter
from typing import Any

REJECTED_ENDS = ("not_ready", "overloaded", "no_node")


def quantile(*, values: list[int], share: float) -> int:
    """Returns the value below which `share` of the values lie; 0 if there are none.

    >>> quantile(values=[1, 2, 3, 4], share=0.5), quantile(values=[], share=0.5)
    (3, 0)
    """
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def report(*, history: list[dict]) -> dict[str, Any]:
    """Returns figures by kind of call, and the number of additional attempts that the stand-in
    backends received."""
    calls = [row for row in history if row["event"] == "call"]
    kinds: dict[str, Any] = {}
    for kind in sorted({row["kind"] for row in calls}):
        kinds[kind] = _kind_report(rows=[row for row in calls if row["kind"] == kind])
    return {
        "kinds": kinds,
        "extra_rounds": extra_rounds(history=history),
        "wrong": [row for row in calls if row.get("wrong")][:5],
        "unflagged": [row for row in calls if is_unflagged(row=row)][:5],
    }


def is_unflagged(*, row: dict) -> bool:
    """True if a successful reply omits a shard without reporting it.

    >>> is_unflagged(row={"end": "ok", "coverage": 1.0, "missing": ["s1"], "warning": None})
    True
    """
    if row.get("end") != "ok":
        return False
    is_partial = bool(row["missing"]) or row["coverage"] < 1
    return is_partial and (row["warning"] is None or row["coverage"] >= 1 or not row["missing"])


def _kind_report(*, rows: list[dict]) -> dict[str, Any]:
    good = [row for row in rows if row.get("end") == "ok"]
    times = [row["done_us"] - row["sent_us"] for row in good]
    ends = Counter(row["end"] for row in rows if row.get("end") != "ok")
    return {
        "sent": len(rows),
        "complete": sum(row["coverage"] == 1 for row in good),
        "partial": sum(row["coverage"] < 1 for row in good),
        "refused": sum(ends[end] for end in REJECTED_ENDS),
        "other_ends": dict(sorted(ends.items())),
        "wrong": sum(bool(row.get("wrong")) for row in rows),
        "coverage": round(sum(row["coverage"] for row in good) / len(good), 5) if good else None,
        "causes": dict(Counter(c for row in good for c in row.get("causes", []))),
        "p50_us": quantile(values=times, share=0.5),
        "p95_us": quantile(values=times, share=0.95),
        "p99_us": quantile(values=times, share=0.99),
    }


def extra_rounds(*, history: list[dict]) -> dict[str, Any]:
    """Counts the requests that backends received beyond the first of each call and shard."""
    seen: Counter = Counter()
    for row in history:
        if row["event"] == "receipt":
            seen[(row["call"], row["shard"], row["cut"])] += 1
    firsts = len(seen)
    extras = sum(seen.values()) - firsts
    return {
        "first": firsts,
        "extra": extras,
        "share": round(extras / firsts, 5) if firsts else None,
    }
