"""Counts of the answers of one version on one route, which can be added up over edges."""

from __future__ import annotations

import struct
from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 24
FIRST_BOUND_US = 1_000
# Upper bounds of all buckets but the last, which has none: 1 ms to 2 s, in steps of sqrt(2).
BUCKET_BOUNDS_US = tuple(
    round(FIRST_BOUND_US * 2 ** (index / BUCKETS_PER_DOUBLING)) for index in range(BUCKET_COUNT - 1)
)


@dataclass(kw_only=True, slots=True)
class VersionTotals:
    """Failed answers, successful ones by their duration, and successful ones without it.

    >>> totals = VersionTotals()
    >>> totals.add_answer(took_us=900)
    >>> totals.failed += 1
    >>> totals.answered, VersionTotals.unpack(failed=1, durations=totals.pack()) == totals
    (2, True)
    """

    failed: int = 0
    untimed: int = 0
    durations: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    @property
    def answered(self) -> int:
        """The number of answers, failed ones included."""
        return self.failed + self.untimed + self.timed

    @property
    def timed(self) -> int:
        """The number of successful answers whose duration counts."""
        return sum(self.durations)

    def add_answer(self, *, took_us: int) -> None:
        """Count a successful answer."""
        self.durations[bisect_right(BUCKET_BOUNDS_US, took_us)] += 1

    def add(self, other: VersionTotals) -> None:
        """Add the counts of another edge or route."""
        self.failed += other.failed
        self.untimed += other.untimed
        for index, count in enumerate(other.durations):
            self.durations[index] += count

    def median_bucket(self) -> int:
        """The bucket of the median duration; 0 without an answer."""
        half = self.timed / 2
        return next(
            (index for index, count in enumerate(accumulate(self.durations)) if count >= half), 0
        )

    def slow(self, *, from_bucket: int) -> int:
        """The number of successful answers in this bucket and those above it."""
        return sum(self.durations[from_bucket:])

    def pack(self) -> bytes:
        """The histogram as big-endian 32-bit counts, without the empty buckets at its end."""
        used = BUCKET_COUNT
        while used and not self.durations[used - 1]:
            used -= 1
        return struct.pack(f"!{used}I", *self.durations[:used])

    @classmethod
    def unpack(cls, *, failed: int, untimed: int = 0, durations: bytes) -> VersionTotals:
        """The totals of a message; further buckets and an incomplete last count are ignored."""
        used = min(BUCKET_COUNT, len(durations) // 4)
        counts = struct.unpack_from(f"!{used}I", durations)
        return cls(
            failed=failed, untimed=untimed, durations=[*counts, *[0] * (BUCKET_COUNT - used)]
        )
