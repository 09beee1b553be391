"""Load shedding at admission: which requests are taken up under load, by rank."""

from __future__ import annotations

IN_FLIGHT_AT_MOST = 384  # requests of this edge
SHARE_OF_RANK = (1.0, 0.85, 0.7, 0.55)  # of them, up to which a rank is taken up


def may_enter(*, in_flight: int, rank: int) -> bool:
    """May a request of this rank (0 is the highest) still be taken up?

    >>> may_enter(in_flight=300, rank=0), may_enter(in_flight=300, rank=2)
    (True, False)
    """
    share = SHARE_OF_RANK[min(max(rank, 0), len(SHARE_OF_RANK) - 1)]
    return in_flight < IN_FLIGHT_AT_MOST * share
