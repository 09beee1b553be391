"""Compares the results of two replays of the same recording."""

from __future__ import annotations

from typing import Any

from kelpstage.replay.results import Result, summary_of_results


def diff_results(*, a: list[Result], b: list[Result]) -> dict[str, Any]:
    """Returns the differences as JSON: requests with another outcome, coverage and durations.

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
        "took_ratio": _duration_ratios(first=first["took_us"], second=second["took_us"]),
        "changed": _changed_requests(a=a, b=b),
    }


def _changed_requests(*, a: list[Result], b: list[Result]) -> list[dict[str, Any]]:
    """Returns the requests whose outcome differs, then those that only `b` has."""
    by_number = {result.number: result for result in b}
    changed = []
    for result in a:
        other = by_number.pop(result.number, None)
        if other is None or _outcome(result=result) != _outcome(result=other):
            changed.append(
                _changed_request(path=result.path, number=result.number, a=result, b=other)
            )
    for other in by_number.values():
        changed.append(_changed_request(path=other.path, number=other.number, a=None, b=other))
    return changed


def _changed_request(
    *, path: str, number: int, a: Result | None, b: Result | None
) -> dict[str, Any]:
    return {
        "number": number,
        "path": path,
        "a": _outcome(result=a) if a else None,
        "b": _outcome(result=b) if b else None,
    }


def _duration_ratios(*, first: dict[str, int], second: dict[str, int]) -> dict[str, float]:
    return {name: round(second[name] / first[name], 3) for name in first if first[name]}


def _outcome(*, result: Result) -> str:
    if result.coverage is None:
        return result.end
    return f"{result.end} {result.coverage}"
