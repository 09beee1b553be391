"""The record of one backend in the registry of this edge."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.outlier_detection import OutlierStatistics

NEVER_US = -(10**12)  # earlier than any clock reading


@dataclass(kw_only=True, slots=True)
class BackendEntry:
    """A declared backend, or a discovered instance (`is_discovered`) of a service.

    Times are clock readings in microseconds. `version` orders the gossiped states: a higher
    version is newer, and 0 means that no state was gossiped yet.
    """

    name: str
    address: str = ""
    state: int = BackendState.UP
    version: int = 0
    since_us: int = 0
    why: str = "declared"
    seen_by: str = ""
    unreachable_by: dict[str, int] = field(
        default_factory=dict
    )  # time of the latest report by observing edge
    unanswered_in_a_row: int = 0
    in_flight: int = 0
    invalid_replies_in_a_row: int = 0
    suspected_until_us: int = 0
    invalid_reply_us: int = NEVER_US
    drain_checked_us: int = 0
    overdue_until_us: int = 0
    responded_us: int = NEVER_US
    # --- discovered instances only ---
    is_discovered: bool = False
    service: str = ""
    zone: str = ""
    slots: int = 1
    warming_up_until_us: int = 0
    revision: str = ""
    removed_us: int = 0
    connection_limit: int = 0
    distance_us: int = 0
    charge_us: int = 0
    outlier_statistics: OutlierStatistics = field(default_factory=OutlierStatistics)

    @property
    def is_draining(self) -> bool:
        """True if the backend finishes its requests in flight and must not receive new ones."""
        return self.state == BackendState.DRAINING
