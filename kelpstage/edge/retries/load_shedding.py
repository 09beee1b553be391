"""Load shedding: which requests are admitted under load, by rank."""

from __future__ import annotations

MAX_IN_FLIGHT = 384  # limit on requests in flight at this edge
RANK_SHARES = (1.0, 0.85, 0.7, 0.55)  # share of the limit up to which a rank is admitted


def is_admitted(*, in_flight: int, rank: int) -> bool:
    """True if a request of this rank (0 is the highest) is admitted.

    >>> is_admitted(in_flight=300, rank=0), is_admitted(in_flight=300, rank=2)
    (True, False)
    """
    share = RANK_SHARES[min(max(rank, 0), len(RANK_SHARES) - 1)]
    return in_flight < MAX_IN_FLIGHT * share
