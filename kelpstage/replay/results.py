"""The outcome of each replayed request or put, and the summary of a replay."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpReply
from kelpstage.common.recording.format import Row

CONFIGURATION_PATH = "/v1/configuration"
GOOD_END = "ok"
UNTYPED_END = "untyped"  # an error reply whose body names no kind of error
HTTP_OK = 200


@dataclass(frozen=True, kw_only=True)
class Result:
    """The outcome of one request or put.

    `number` is the index of its row in the recording; `end` is `ok` or the kind of the error;
    `status` is 0 if no reply was received; `coverage` and `version` are set for a successful
    reply to a search.
    """

    at_us: int
    number: int
    path: str
    took_us: int
    status: int
    end: str
    coverage: float | None = None
    version: int | None = None

    def as_row(self) -> Row:
        """Returns the result as a row of a file."""
        row: Row = {
            "what": "result",
            "at_us": self.at_us,
            "number": self.number,
            "path": self.path,
            "took_us": self.took_us,
            "status": self.status,
            "end": self.end,
        }
        if self.coverage is not None:
            row["coverage"] = self.coverage
            row["version"] = self.version
        return row

    @classmethod
    def from_row(cls, *, row: Row) -> Result:
        """Returns the result that a row holds.

        >>> result = Result(at_us=3, number=0, path="/p", took_us=9, status=200, end="ok")
        >>> Result.from_row(row=result.as_row()) == result
        True
        """
        return cls(
            at_us=row["at_us"],
            number=row["number"],
            path=row["path"],
            took_us=row["took_us"],
            status=row.get("status", 0),
            end=row["end"],
            coverage=row.get("coverage"),
            version=row.get("version"),
        )


def result_of(*, row: Row, number: int, reply: HttpReply | KelpstageError, took_us: int) -> Result:
    """Returns the outcome of a recorded request or put.

    >>> from kelpstage.common.errors.transport import ConnectError
    >>> result_of(row={"at_us": 3, "path": "/p"}, number=0,
    ...     reply=ConnectError(address="a"), took_us=9).end
    'connect_refused'
    """
    status, end, coverage, version = 0, GOOD_END, None, None
    if isinstance(reply, KelpstageError):
        end = reply.kind
    else:
        status = reply.status
        if status != HTTP_OK:
            end = _error_kind(body=reply.body)
        elif "kelp-coverage" in reply.headers:
            coverage = float(reply.headers["kelp-coverage"])
            version = int(reply.headers["kelp-configuration"])
    return Result(
        at_us=row["at_us"],
        number=number,
        path=row.get("path", CONFIGURATION_PATH),
        took_us=took_us,
        status=status,
        end=end,
        coverage=coverage,
        version=version,
    )


def _error_kind(*, body: bytes) -> str:
    try:
        return str(json.loads(body)["defect"]["kind"])
    except (ValueError, KeyError, TypeError):
        return UNTYPED_END


def read_results(*, rows: list[Row]) -> list[Result]:
    """Returns the results among the rows of a file.

    >>> read_results(rows=[{"what": "begin", "at_us": 0}])
    []
    """
    return [Result.from_row(row=row) for row in rows if row["what"] == "result"]


def summary_of_results(*, results: list[Result]) -> dict[str, Any]:
    """Returns outcomes, coverage and durations of a replay as JSON; durations in microseconds.

    >>> result = Result(at_us=0, number=0, path="/p", took_us=5, status=200, end="ok", coverage=1.0)
    >>> summary_of_results(results=[result])["ends"]
    {'ok': 1}
    """
    ends = Counter(result.end for result in results)
    coverages = [result.coverage for result in results if result.coverage is not None]
    durations_us = sorted(result.took_us for result in results if result.end == GOOD_END)
    return {
        "calls": len(results),
        "ends": dict(sorted(ends.items())),
        "partial": sum(coverage < 1 for coverage in coverages),
        "coverage": round(sum(coverages) / len(coverages), 5) if coverages else None,
        "took_us": {
            "p50": _quantile(ordered=durations_us, fraction=0.5),
            "p90": _quantile(ordered=durations_us, fraction=0.9),
            "p99": _quantile(ordered=durations_us, fraction=0.99),
            "max": _quantile(ordered=durations_us, fraction=1.0),
        },
    }


def _quantile(*, ordered: list[int], fraction: float) -> int:
    """Returns the quantile at `fraction` of a sorted list; 0 for an empty list."""
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
