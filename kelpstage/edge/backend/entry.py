"""One backend as the registry of this edge knows it."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.outlier_detection import Evidence

NEVER_US = -(10**12)  # a time before every clock reading


@dataclass(kw_only=True, slots=True)
class BackendEntry:
    """A declared backend, or a discovered instance (`is_discovered`) of a service.

    Times are clock readings in microseconds. `version` orders the shared states: the
    higher one is the later knowledge; 0 has never been gossiped.
    """

    name: str
    address: str = ""
    state: int = BackendState.UP
    version: int = 0
    since_us: int = 0
    why: str = "declared"
    seen_by: str = ""
    unreachable_by: dict[str, int] = field(default_factory=dict)  # time by observing edge
    unanswered_in_a_row: int = 0
    in_flight: int = 0
    invalid_replies_in_a_row: int = 0
    suspected_until_us: int = 0
    invalid_reply_us: int = NEVER_US
    drain_checked_us: int = 0
    overdue_until_us: int = 0
    responded_us: int = NEVER_US
    # --- discovered instances alone ---
    is_discovered: bool = False
    service: str = ""
    zone: str = ""
    slots: int = 1
    warming_up_until_us: int = 0
    revision: str = ""
    gone_us: int = 0
    connection_limit: int = 0
    distance_us: int = 0
    charge_us: int = 0
    seen: Evidence = field(default_factory=Evidence)

    @property
    def is_draining(self) -> bool:
        """Does it finish what it has and take nothing new?"""
        return self.state == BackendState.DRAINING
