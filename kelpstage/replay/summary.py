"""The summary of a recording."""

from __future__ import annotations

from collections import Counter
from typing import Any

from kelpstage.common.recording.format import Row


def summary_of(*, rows: list[Row]) -> dict[str, Any]:
    """Returns row counts, time span and request rate of a recording as JSON.

    >>> rows = [{"what": "call", "at_us": 0, "path": "/a?x"}, {"what": "call", "at_us": 2_000_000,
    ...         "path": "/a"}]
    >>> summary_of(rows=rows)["calls_by_path"], summary_of(rows=rows)["calls_per_second"]
    ({'/a': 2}, 1.0)
    """
    span_us = max((row["at_us"] for row in rows), default=0)
    calls = [row for row in rows if row["what"] == "call"]
    paths = Counter(_path_pattern(path=row["path"]) for row in calls)
    return {
        "rows": dict(Counter(row["what"] for row in rows)),
        "span_us": span_us,
        "calls_per_second": round(len(calls) * 1_000_000 / span_us, 3) if span_us else None,
        "calls_by_path": dict(sorted(paths.items())),
        "puts": [
            {"at_us": row["at_us"], "replaces": row["replaces"], "put_id": row["put_id"]}
            for row in rows
            if row["what"] == "put"
        ],
        "faults": [
            {"at_us": row["at_us"], "name": row["name"]} for row in rows if row["what"] == "fault"
        ],
    }


def _path_pattern(*, path: str) -> str:
    """Returns the path without its query, with `*` in place of a record's name."""
    without_query = path.split("?")[0]
    head, mark, _ = without_query.partition("/records/")
    return f"{head}{mark}*" if mark else without_query
