"""Comparing two results of the same recording."""

from __future__ import annotations

from typing import Any

from kelpstage.replay.results import Result, summary_of_results


def diff_results(*, a: list[Result], b: list[Result]) -> dict[str, Any]:
    """What differs, as JSON: calls that ended otherwise, coverage, times.

    >>> def result(coverage):
    ...     return Result(at_us=0, number=1, path="/p", took_us=4, status=200, end="ok",
    ...                   coverage=coverage)
    >>> diff_results(a=[result(1.0)], b=[result(0.5)])["changed"][0]["b"]
    'ok 0.5'
    """
    first, second = summary_of_results(results=a), summary_of_results(results=b)
    return {
        "a": first,
        "b": second,
        "took_ratio": _ratios(first=first["took_us"], second=second["took_us"]),
        "changed": _changes(a=a, b=b),
    }


def _changes(*, a: list[Result], b: list[Result]) -> list[dict[str, Any]]:
    """Calls that ended otherwise, then those that only the second result has."""
    by_number = {result.number: result for result in b}
    changed = []
    for result in a:
        other = by_number.pop(result.number, None)
        if other is None or _end(result=result) != _end(result=other):
            changed.append(_change(path=result.path, number=result.number, a=result, b=other))
    for other in by_number.values():
        changed.append(_change(path=other.path, number=other.number, a=None, b=other))
    return changed


def _change(*, path: str, number: int, a: Result | None, b: Result | None) -> dict[str, Any]:
    return {
        "number": number,
        "path": path,
        "a": _end(result=a) if a else None,
        "b": _end(result=b) if b else None,
    }


def _ratios(*, first: dict[str, int], second: dict[str, int]) -> dict[str, float]:
    return {name: round(second[name] / first[name], 3) for name in first if first[name]}


def _end(*, result: Result) -> str:
    if result.coverage is None:
        return result.end
    return f"{result.end} {result.coverage}"
