"""The conditions of a rollout, and the share of requests that its target version may receive."""

from __future__ import annotations

from enum import IntEnum
from math import ceil

COMPLETE_SHARE = 1_000  # shares are thousandths of a service's requests
CONCENTRATED_SHARE = 250  # from this share on, only as many instances are used as it needs


def instances_in_use(*, count: int, share: int) -> int:
    """How many of the target's instances get a share of the requests.

    All of them while the share is small, so that a faulty machine is not taken for a faulty
    version; then as many as the share needs, so that each one is loaded as it will be in the end.

    >>> [instances_in_use(count=4, share=share) for share in (60, 250, 500, 1000)]
    [4, 1, 2, 4]
    """
    if share < CONCENTRATED_SHARE:
        return count
    return ceil(count * share / COMPLETE_SHARE)


class RolloutCondition(IntEnum):
    """The condition of a rollout. The numbers are those on disk and never change."""

    ROLLING = 0
    COMPLETE = 1
    REVERTED = 2

    @property
    def public_name(self) -> str:
        """The name that operators see.

        >>> RolloutCondition.ROLLING.public_name
        'rolling'
        """
        return self.name.lower()
