"""Readings and quantiles for the figures of a hollow fleet."""

from __future__ import annotations

import resource
import statistics


def memory_bytes() -> int:
    """Resident bytes of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def quantiles(values: list[float]) -> tuple[float, float, float]:
    """The median, the 99th percentile and the largest of some values; zeros for none."""
    if not values:
        return (0.0, 0.0, 0.0)
    ordered = sorted(values)
    return (statistics.median(ordered), ordered[round(0.99 * (len(ordered) - 1))], ordered[-1])
