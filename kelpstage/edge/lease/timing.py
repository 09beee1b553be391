"""Lease timing: the renewal period, the renewal timeout, and when a lease is overdue.

All times are whole microseconds. A lease spans 2 s; the longest period leaves enough time
in it for one renewal without a reply and another one after it.
"""

from __future__ import annotations

SMALL_MEMBERSHIP = 20  # edges; up to this size every edge may ask every other one

RENEW_PERIOD_US = 500_000
LARGE_RENEW_PERIOD_US = 900_000
RENEW_PERIOD_STEP_US = 10_000  # per edge above a small membership
RENEW_JITTER = 0.08
RETRY_US = 60_000
RENEW_TIMEOUT_US = 600_000
LARGE_RENEW_TIMEOUT_US = 450_000
OVERDUE_US = 800_000  # age of the lease at which peers are asked to confirm


def is_small(*, count: int) -> bool:
    """True if a membership of this size is small."""
    return count <= SMALL_MEMBERSHIP


def renew_period_us(*, count: int) -> int:
    """The time from one renewal to the next, for a membership of this size.

    >>> [renew_period_us(count=count) for count in (12, 40, 1400)]
    [500000, 700000, 900000]
    """
    stretch_us = RENEW_PERIOD_STEP_US * max(0, count - SMALL_MEMBERSHIP)
    return min(LARGE_RENEW_PERIOD_US, RENEW_PERIOD_US + stretch_us)


def renew_timeout_us(*, count: int) -> int:
    """The time that a renewal waits for its reply, for a membership of this size."""
    return RENEW_TIMEOUT_US if is_small(count=count) else LARGE_RENEW_TIMEOUT_US


def overdue_us(*, count: int) -> int:
    """The age of the last lease at which peers are asked to confirm the epoch.

    >>> [overdue_us(count=count) for count in (12, 40, 1400)]
    [800000, 1000000, 1200000]
    """
    return max(OVERDUE_US, renew_period_us(count=count) + OVERDUE_US - RENEW_PERIOD_US)
