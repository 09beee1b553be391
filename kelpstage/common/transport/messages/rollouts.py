"""Messages about rollouts: their replicated state, and what edges count for them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class RolloutState(Message):
    """The newest rollout of one service, as replicated and as installed by edges.

    `condition` is a `RolloutCondition`. `share` is the part of the service's requests that may go
    to version `target`, in thousandths. `number` is the epoch of the order. `elapsed_us` is the
    least time that had passed since the order at the last change, by clocks that are never stepped.
    The other times are the leader's time of day in microseconds, for display only. `in_place`
    holds the versions that the service ran when the order was taken; empty if that is not known.
    """

    service: str = bp.string_field(1)
    target: str = bp.string_field(2)
    over_us: int = bp.uint64_field(3)
    number: int = bp.uint64_field(4)
    condition: int = bp.uint32_field(5)
    share: int = bp.uint32_field(6)
    why: str = bp.string_field(7)
    begun_us: int = bp.uint64_field(8)
    changed_us: int = bp.uint64_field(9)
    reverted: List[str] = bp.string_field(10)  # earlier targets that may not be used, oldest first
    elapsed_us: int = bp.uint64_field(11)
    in_place: List[str] = bp.string_field(12)


@dataclass
class VersionCounts(Message):
    """Answers that an edge got on one route from the target version, or from the others.

    `durations` holds the histogram of a `VersionTotals`.
    """

    route: str = bp.string_field(1)
    is_target: bool = bp.bool_field(2)
    failed: int = bp.uint32_field(3)
    durations: bytes = bp.bytes_field(4)
    untimed: int = bp.uint32_field(5)


@dataclass
class RolloutReport(Message):
    """From an edge to the leader, in `Renew`: its counts for one rollout since the edge started.

    `targets` and `others` are the numbers of listed instances of either kind, `others_in_flight`
    the requests in flight to the others, and `failing` the target instances that failed. `age_us`
    is the time since this edge installed the order.
    """

    number: int = bp.uint64_field(1)
    counts: List[VersionCounts] = bp.message_field(2)
    targets: int = bp.uint32_field(3)
    others: int = bp.uint32_field(4)
    others_in_flight: int = bp.uint32_field(5)
    failing: List[str] = bp.string_field(6)
    age_us: int = bp.uint64_field(7)


@dataclass
class FetchVersions(Message):
    """From the leader to an edge: asks which versions of a service are in use. Answered by
    `ListedVersions`.
    """

    service: str = bp.string_field(1)


@dataclass
class ListedVersions(Message):
    """The versions of a service that an edge has seen on the platform's list within the last
    minute, without those of draining instances.

    `is_known` is false if the edge has no list yet.
    """

    is_known: bool = bp.bool_field(1)
    versions: List[str] = bp.string_field(2)
