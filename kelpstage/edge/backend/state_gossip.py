"""Gossip of backend states: what this edge sends, and what it applies from its peers.

A shared state carries a version. The higher version is newer, and of two states with the same
version the one with the higher number takes precedence. The reports of a single edge
(`UNREACHABLE`, `INVALID_REPLIES`) have no version and expire.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import BackendStateMsg
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.instance_registry import InstanceRegistry
from kelpstage.edge.backend.suspected_instances import SuspectedInstances

RECENT_CHANGE_US = 3_000_000  # a change is in every datagram for this long
STATES_PER_DATAGRAM = 16
MIN_OLDER_STATES = 4  # each datagram has room for these besides the changes
INVALID_REPLY_GOSSIP_US = 1_000_000  # an invalid reply is reported for this long
EJECTION_GOSSIP_US = 2_000_000  # an ejection is reported for this long
REPORTED_INVALID_REPLY_TTL_US = 4_000_000  # lifetime of a peer's report of one


class StateGossip:
    """Holds the names of the backends whose state may have to be gossiped."""

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
        """Record that the state of a backend may have to be gossiped."""
        self._changed.add(name)

    # --- received -------------------------------------------------------------------

    def on_received(self, *, backend_state: BackendStateMsg, now_us: int) -> bool:
        """Apply a peer's report if it is newer; true if it changed something."""
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
        # The message's field `turn` is the version.
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
        self._instances.invalidate_zones(service=entry.service)
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
        """Return the recent changes and a part of the older states, which rotate."""
        recent: list[BackendStateMsg] = []
        older: list[BackendStateMsg] = []
        for name in sorted(self._changed):
            entry = self._entries.get(name)
            if entry is None or not self._has_state_to_send(entry=entry, now_us=now_us):
                self._changed.discard(name)
                continue
            recent += self._own_reports(entry=entry, now_us=now_us)
            if entry.version:
                is_recent = now_us - entry.since_us < RECENT_CHANGE_US
                (recent if is_recent else older).append(_shared_state(entry=entry))
        room = max(MIN_OLDER_STATES, STATES_PER_DATAGRAM - len(recent))
        if older:
            start = self._next_older_state % len(older)
            self._next_older_state += room
            older = (older[start:] + older[:start])[:room]
        return recent[: 2 * STATES_PER_DATAGRAM] + older

    def _own_reports(self, *, entry: BackendEntry, now_us: int) -> list[BackendStateMsg]:
        reported = []
        is_old = (
            entry.is_discovered
            and now_us - entry.outlier_statistics.ejected_us >= EJECTION_GOSSIP_US
        )
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

    def _has_state_to_send(self, *, entry: BackendEntry, now_us: int) -> bool:
        if entry.version or self._me in entry.unreachable_by:
            return not entry.removed_us
        return now_us - entry.invalid_reply_us < INVALID_REPLY_GOSSIP_US


def _shared_state(*, entry: BackendEntry) -> BackendStateMsg:
    return BackendStateMsg(
        backend=entry.name,
        state=entry.state,
        turn=entry.version,
        seen_by=entry.seen_by,
        why=entry.why,
    )
