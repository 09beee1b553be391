"""Which backend states this edge gossips, and what it takes over from its peers.

Shared states carry a version: the higher one is the later knowledge, and at the same
version the worse state stands. Reports of one observer (`UNREACHABLE`,
`INVALID_REPLIES`) carry none and count for a while only.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import BackendStateMsg
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.instance_registry import InstanceRegistry
from kelpstage.edge.backend.suspected_instances import SuspectedInstances

RECENT_CHANGE_US = 3_000_000  # a change goes into every datagram for so long
STATES_PER_DATAGRAM = 16
OLDER_STATES_AT_LEAST = 4  # of which each datagram has room, however much has changed
INVALID_REPLY_GOSSIP_US = 1_000_000  # an invalid reply is reported for so long
EJECTION_GOSSIP_US = 2_000_000  # an ejection is reported for so long
REPORTED_INVALID_REPLY_TTL_US = 4_000_000  # a peer's report of one counts for so long


class StateGossip:
    """Owns the names of the backends whose state is out of the ordinary."""

    def __init__(
        self, *, me: str, instances: InstanceRegistry, suspected: SuspectedInstances
    ) -> None:
        self._me = me
        self._instances = instances
        self._entries = instances.entries
        self._suspected = suspected
        self._changed: set[str] = set()
        self._next_older_state = 0

    def mark_changed(self, name: str) -> None:
        """There may be something to gossip of this backend."""
        self._changed.add(name)

    # --- received -------------------------------------------------------------------

    def on_received(self, *, backend_state: BackendStateMsg, now_us: int) -> bool:
        """Take over later knowledge; true if it changed something."""
        entry = self._entries.get(backend_state.backend)
        is_unreachable = backend_state.state == BackendState.UNREACHABLE
        if entry is None or backend_state.seen_by == self._me and is_unreachable:
            return False
        if backend_state.state == BackendState.INVALID_REPLIES:
            return self._on_invalid_reply(entry=entry, backend_state=backend_state, now_us=now_us)
        if is_unreachable:
            is_new = backend_state.seen_by not in entry.unreachable_by
            entry.unreachable_by[backend_state.seen_by] = now_us
            if entry.is_discovered:
                self._suspected.add(name=entry.name)
            return is_new
        if entry.is_discovered:
            return self._on_instance_state(entry=entry, backend_state=backend_state, now_us=now_us)
        # In the message the version's field is called `turn`.
        if (backend_state.turn, backend_state.state) <= (entry.version, entry.state):
            return False
        entry.version, entry.state = backend_state.turn, backend_state.state
        entry.why, entry.seen_by, entry.since_us = backend_state.why, backend_state.seen_by, now_us
        self.mark_changed(entry.name)
        if backend_state.state == BackendState.UP:
            entry.unanswered_in_a_row = 0
        return True

    def _on_instance_state(
        self, *, entry: BackendEntry, backend_state: BackendStateMsg, now_us: int
    ) -> bool:
        if backend_state.state != BackendState.DRAINING or entry.version:
            return False
        is_new = entry.state != BackendState.DRAINING
        entry.state, entry.since_us = BackendState.DRAINING, now_us
        entry.version = max(1, backend_state.turn)
        entry.why, entry.seen_by = backend_state.why, backend_state.seen_by
        self.mark_changed(entry.name)
        self._instances.forget_zones(service=entry.service)
        return is_new

    def _on_invalid_reply(
        self, *, entry: BackendEntry, backend_state: BackendStateMsg, now_us: int
    ) -> bool:
        if backend_state.seen_by == self._me or now_us < entry.suspected_until_us:
            return False
        entry.suspected_until_us = now_us + REPORTED_INVALID_REPLY_TTL_US
        return True

    # --- sent -----------------------------------------------------------------------

    def states(self, *, now_us: int) -> list[BackendStateMsg]:
        """Recent changes, then a share of the older states, in rotation."""
        recent: list[BackendStateMsg] = []
        older: list[BackendStateMsg] = []
        for name in sorted(self._changed):
            entry = self._entries.get(name)
            if entry is None or not self._is_unusual(entry=entry, now_us=now_us):
                self._changed.discard(name)
                continue
            recent += self._own_reports(entry=entry, now_us=now_us)
            if entry.version:
                is_recent = now_us - entry.since_us < RECENT_CHANGE_US
                (recent if is_recent else older).append(_shared_state(entry=entry))
        room = max(OLDER_STATES_AT_LEAST, STATES_PER_DATAGRAM - len(recent))
        if older:
            start = self._next_older_state % len(older)
            self._next_older_state += room
            older = (older[start:] + older[:start])[:room]
        return recent[: 2 * STATES_PER_DATAGRAM] + older

    def _own_reports(self, *, entry: BackendEntry, now_us: int) -> list[BackendStateMsg]:
        reported = []
        is_old = entry.is_discovered and now_us - entry.seen.ejected_us >= EJECTION_GOSSIP_US
        if self._me in entry.unreachable_by and not is_old:
            reported.append(BackendState.UNREACHABLE)
        if now_us - entry.invalid_reply_us < INVALID_REPLY_GOSSIP_US:
            reported.append(BackendState.INVALID_REPLIES)
        return [
            BackendStateMsg(
                backend=entry.name, state=state, turn=0, seen_by=self._me, why=entry.why
            )
            for state in reported
        ]

    def _is_unusual(self, *, entry: BackendEntry, now_us: int) -> bool:
        if entry.version or self._me in entry.unreachable_by:
            return not entry.gone_us
        return now_us - entry.invalid_reply_us < INVALID_REPLY_GOSSIP_US


def _shared_state(*, entry: BackendEntry) -> BackendStateMsg:
    return BackendStateMsg(
        backend=entry.name,
        state=entry.state,
        turn=entry.version,
        seen_by=entry.seen_by,
        why=entry.why,
    )
