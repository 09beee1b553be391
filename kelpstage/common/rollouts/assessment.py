"""Decides whether a target version is worse than the other versions of its service.

Both are compared over the same time, so a fault that hits both changes nothing. A version is
worse only if the confidence intervals of the two shares do not overlap (Wilson 1927), so few
answers give no decision.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt
from typing import Mapping

from kelpstage.common.rollouts.totals import BUCKETS_PER_DOUBLING, VersionTotals

CONFIDENCE_Z = 3.0  # standard deviations; wide, since the decision is taken again and again
MIN_BAD_ANSWERS = 3
MIN_SUSPECT_ANSWERS = 2
FAILURE_MARGIN = 0.02  # of the answers, by which a target has to be worse
SLOW_MARGIN = 0.08
SLOW_BUCKETS = 2 * BUCKETS_PER_DOUBLING  # slow: four times the others' median or more

RouteTotals = Mapping[str, VersionTotals]


def share_bounds(*, count: int, total: int) -> tuple[float, float]:
    """The Wilson score interval of a share.

    >>> [round(bound, 2) for bound in share_bounds(count=4, total=8)]
    [0.14, 0.86]
    >>> share_bounds(count=0, total=0)
    (0.0, 1.0)
    """
    if total <= 0:
        return 0.0, 1.0
    share, square = count / total, CONFIDENCE_Z**2 / total
    center = share + square / 2
    spread = CONFIDENCE_Z * sqrt(share * (1 - share) / total + square / (4 * total))
    return max(0.0, (center - spread) / (1 + square)), min(1.0, (center + spread) / (1 + square))


@dataclass(frozen=True, kw_only=True)
class Comparison:
    """Bad answers of the target and of the other versions, and how much worse is too much."""

    what: str
    count: int
    total: int
    other_count: int
    other_total: int
    margin: float

    @property
    def is_worse(self) -> bool:
        """True if the target's share is certainly higher than that of the others."""
        if self.count < MIN_BAD_ANSWERS:
            return False
        low, _ = share_bounds(count=self.count, total=self.total)
        _, high = share_bounds(count=self.other_count, total=self.other_total)
        return low > high + self.margin

    @property
    def is_suspect(self) -> bool:
        """True if the target's share looks higher, on too few answers to be certain."""
        if self.count < MIN_SUSPECT_ANSWERS or not self.other_total:
            return False
        return self.count / self.total > self.other_count / self.other_total + self.margin

    @property
    def text(self) -> str:
        """The two shares, as operators see them."""
        return (
            f"{self.count} of {self.total} answers {self.what}, "
            f"of the other versions {self.other_count} of {self.other_total}"
        )


def bad_version_reason(*, target: RouteTotals, others: RouteTotals) -> str:
    """Why the target is worse, on all routes together or on one of them; empty if it is not.

    >>> good, bad = VersionTotals(durations=[300]), VersionTotals(failed=6, durations=[6])
    >>> bad_version_reason(target={"r": bad}, others={"r": good})
    '6 of 12 answers failed, of the other versions 0 of 300'
    >>> bad_version_reason(target={"r": good}, others={"r": good})
    ''
    """
    reason = _reason(target=_sum(target), others=_sum(others))
    if reason or len(target) < 2:
        return reason
    for route, totals in sorted(target.items()):
        reason = _reason(target=totals, others=others.get(route, VersionTotals()))
        if reason:
            return f"route {route}: {reason}"
    return ""


def _sum(routes: RouteTotals) -> VersionTotals:
    out = VersionTotals()
    for totals in routes.values():
        out.add(totals)
    return out


def suspicion_of(*, target: RouteTotals, others: RouteTotals) -> str:
    """Why the target may be worse, certain or not, on all routes together; empty if not.

    >>> suspicion_of(target={"r": VersionTotals(failed=2, untimed=40)},
    ...     others={"r": VersionTotals(untimed=300)})
    '2 of 42 answers failed, of the other versions 0 of 300'
    """
    comparisons = _comparisons(target=_sum(target), others=_sum(others))
    return next((comparison.text for comparison in comparisons if comparison.is_suspect), "")


def _reason(*, target: VersionTotals, others: VersionTotals) -> str:
    comparisons = _comparisons(target=target, others=others)
    return next((comparison.text for comparison in comparisons if comparison.is_worse), "")


def _comparisons(*, target: VersionTotals, others: VersionTotals) -> list[Comparison]:
    failures = Comparison(
        what="failed",
        count=target.failed,
        total=target.answered,
        other_count=others.failed,
        other_total=others.answered,
        margin=FAILURE_MARGIN,
    )
    from_bucket = others.median_bucket() + SLOW_BUCKETS
    slow = Comparison(
        what="were slow",
        count=target.slow(from_bucket=from_bucket),
        total=target.timed,
        other_count=others.slow(from_bucket=from_bucket),
        other_total=others.timed,
        margin=SLOW_MARGIN,
    )
    return [failures, slow]
