"""Decides whether a target version is worse than the other versions of its service.

Both are compared over the same time, so a fault that hits both changes nothing. A version is
worse only if the confidence intervals of the two shares do not overlap (Wilson 1927), so few
answers give no decision.
"""

from __future__ import annotations

from math import sqrt
from typing import Mapping

from kelpstage.common.rollouts.totals import BUCKET_COUNT, BUCKETS_PER_DOUBLING, VersionTotals

CONFIDENCE_Z = 3.0  # standard deviations; wide, since the decision is taken again and again
MIN_BAD_ANSWERS = 3
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


def _is_higher(*, target: tuple[int, int], others: tuple[int, int], margin: float) -> bool:
    """True if the target's share (count, total) is certainly higher than that of the others."""
    if target[0] < MIN_BAD_ANSWERS:
        return False
    low, _ = share_bounds(count=target[0], total=target[1])
    _, high = share_bounds(count=others[0], total=others[1])
    return low > high + margin


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


def _reason(*, target: VersionTotals, others: VersionTotals) -> str:
    if _is_higher(
        target=(target.failed, target.answered),
        others=(others.failed, others.answered),
        margin=FAILURE_MARGIN,
    ):
        return (
            f"{target.failed} of {target.answered} answers failed, "
            f"of the other versions {others.failed} of {others.answered}"
        )
    from_bucket = others.median_bucket() + SLOW_BUCKETS
    if from_bucket >= BUCKET_COUNT:
        return ""
    slow, others_slow = target.slow(from_bucket=from_bucket), others.slow(from_bucket=from_bucket)
    if _is_higher(
        target=(slow, target.answered), others=(others_slow, others.answered), margin=SLOW_MARGIN
    ):
        return (
            f"{slow} of {target.answered} answers were slow, "
            f"of the other versions {others_slow} of {others.answered}"
        )
    return ""
