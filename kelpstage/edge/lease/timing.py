"""How often an edge renews its lease, how long it waits, and when it worries.

All times are whole microseconds. A lease spans 2 s; the longest period leaves room in it
for one renewal that got no answer and another after it.
"""

from __future__ import annotations

SMALL_MEMBERSHIP = 20  # edges; up to here every edge may ask every other one

RENEW_US = 500_000
LARGE_RENEW_US = 900_000
RENEW_STRETCH_US = 10_000  # per edge above a small membership
RENEW_JITTER = 0.08
RETRY_US = 60_000
RENEW_WAIT_US = 600_000
LARGE_RENEW_WAIT_US = 450_000
OVERDUE_US = 800_000  # without a renewal for so long, peers are asked to confirm


def is_small(*, count: int) -> bool:
    """Is a membership of this size small?"""
    return count <= SMALL_MEMBERSHIP


def renew_period_us(*, count: int) -> int:
    """From one renewal to the next, for a membership of this size.

    >>> [renew_period_us(count=count) for count in (12, 40, 1400)]
    [500000, 700000, 900000]
    """
    stretch_us = RENEW_STRETCH_US * max(0, count - SMALL_MEMBERSHIP)
    return min(LARGE_RENEW_US, RENEW_US + stretch_us)


def renew_wait_us(*, count: int) -> int:
    """How long a renewal waits for its reply, for a membership of this size."""
    return RENEW_WAIT_US if is_small(count=count) else LARGE_RENEW_WAIT_US


def overdue_us(*, count: int) -> int:
    """How old the last lease is when peers are asked to confirm the epoch.

    >>> [overdue_us(count=count) for count in (12, 40, 1400)]
    [800000, 1000000, 1200000]
    """
    return max(OVERDUE_US, renew_period_us(count=count) + OVERDUE_US - RENEW_US)
