"""A histogram with fixed bounds: an observation costs a binary search and two additions."""

from __future__ import annotations

from bisect import bisect_left

# Upper bounds in microseconds, from a send within one machine to a client's longest timeout.
DURATION_BOUNDS_US = (
    500,
    1_000,
    2_500,
    5_000,
    10_000,
    25_000,
    50_000,
    75_000,
    100_000,
    150_000,
    250_000,
    500_000,
    1_000_000,
    2_500_000,
    5_000_000,
    10_000_000,
)


class DurationHistogram:
    """Counts durations in microseconds by bucket; a bucket includes its upper bound.

    >>> histogram = DurationHistogram()
    >>> histogram.observe(us=500); histogram.observe(us=501); histogram.observe(us=99_000_000)
    >>> histogram.cumulative()[:3], histogram.cumulative()[-1]
    ([(0.0005, 1), (0.001, 2), (0.0025, 2)], (inf, 3))
    """

    __slots__ = ("_counts", "sum_us")

    def __init__(self) -> None:
        self._counts = [0] * (len(DURATION_BOUNDS_US) + 1)
        self.sum_us = 0

    def observe(self, *, us: int) -> None:
        """Adds one duration."""
        self._counts[bisect_left(DURATION_BOUNDS_US, us)] += 1
        self.sum_us += us

    def cumulative(self) -> list[tuple[float, int]]:
        """Returns each upper bound in seconds with the number of observations up to it."""
        buckets, total = [], 0
        bounds_s = [*(bound / 1_000_000 for bound in DURATION_BOUNDS_US), float("inf")]
        for bound_s, count in zip(bounds_s, self._counts, strict=True):
            total += count
            buckets.append((bound_s, total))
        return buckets
