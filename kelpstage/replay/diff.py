"""Comparing two results of the same day."""

from __future__ import annotations

from typing import Any

from kelpstage.common.recording.format import Row
from kelpstage.replay.runner import summary_of_results


def diff_results(*, a: list[Row], b: list[Row]) -> dict[str, Any]:
    """What differs: calls that ended otherwise, coverage, times.

    >>> one = {"number": 1, "path": "/p", "end": "ok", "took_us": 4, "coverage": 1.0}
    >>> diff_results(a=[one], b=[one | {"coverage": 0.5}])["changed"][0]["b"]
    'ok 0.5'
    """
    by_number = {row["number"]: row for row in b}
    changed = []
    for row in a:
        other = by_number.pop(row["number"], None)
        if other is None or _end(row=row) != _end(row=other):
            changed.append(
                {
                    "number": row["number"],
                    "path": row["path"],
                    "a": _end(row=row),
                    "b": _end(row=other) if other else None,
                }
            )
    changed += [
        {"number": row["number"], "path": row["path"], "a": None, "b": _end(row=row)}
        for row in by_number.values()
    ]
    first, second = summary_of_results(results=a), summary_of_results(results=b)
    ratios = {
        name: round(second["took_us"][name] / first["took_us"][name], 3)
        for name in first["took_us"]
        if first["took_us"][name]
    }
    return {"a": first, "b": second, "took_ratio": ratios, "changed": changed}


def _end(*, row: Row) -> str:
    return f"{row['end']} {row['coverage']}" if "coverage" in row else row["end"]
