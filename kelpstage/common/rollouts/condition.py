"""The conditions of a rollout, and the share of requests that its target version may receive."""

from __future__ import annotations

from enum import IntEnum

COMPLETE_SHARE = 1_000  # shares are thousandths of a service's requests


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
