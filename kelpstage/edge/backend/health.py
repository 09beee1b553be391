"""Updates the entries of backends after answers and failures that this edge has observed.

The state of a declared backend follows from health checks and requests, that of a discovered
instance from requests alone (`outlier_detection.py`). Each edge on its own regards a backend
that does not answer as `UNREACHABLE`: one broken connection must not exclude it for all edges.
"""

from __future__ import annotations

from typing import Callable

from kelpstage.edge.backend import outlier_detection
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.instance_registry import InstanceRegistry
from kelpstage.edge.backend.platform_states import PlatformStates
from kelpstage.edge.backend.suspected_instances import SuspectedInstances

UNANSWERED_LIMIT = 2  # consecutive requests after which a declared backend is unreachable
INVALID_REPLY_BACKOFF_US = 1_000_000  # ranked last for this long; doubles with each consecutive one
INVALID_REPLY_DOUBLINGS = 4  # up to 16 s
OVERDUE_PENALTY_US = 2_000_000  # ranked last for this long after a missed deadline


class BackendHealth:
    """Applies the observations of this edge; holds no state besides the entries.

    `on_changed` is called with the name of each backend that peers are to be notified of.
    """

    def __init__(
        self,
        *,
        me: str,
        instances: InstanceRegistry,
        suspected: SuspectedInstances,
        platform_states: PlatformStates,
        on_changed: Callable[[str], None],
    ) -> None:
        self._me = me
        self._instances = instances
        self._entries = instances.entries
        self._suspected = suspected
        self._platform_states = platform_states
        self._on_changed = on_changed

    # --- discovered instances -------------------------------------------------------

    def note_answer(self, *, name: str, took_us: int, now_us: int) -> None:
        """Record that an instance answered correctly, `took_us` after the request was sent."""
        entry = self._entries.get(name)
        if entry is None:
            return
        entry.responded_us = now_us
        entry.unanswered_in_a_row = entry.overdue_until_us = 0
        entry.invalid_replies_in_a_row = entry.suspected_until_us = 0
        entry.unreachable_by.clear()
        net_us = max(took_us - entry.distance_us, took_us // 4) if took_us > 0 else 0
        entry.outlier_statistics.note_answer(took_us=net_us, now_us=now_us)

    def note_overloaded(self, *, name: str, now_us: int) -> None:
        """Record that an instance rejected a request: it is overloaded, not faulty."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.responded_us = now_us
            entry.outlier_statistics.note_overloaded(now_us=now_us)

    def note_failure(
        self, *, name: str, why: str, now_us: int, waited_us: int | None = None
    ) -> bool:
        """Record that a request to an instance failed; true if the instance is now ejected.

        `why` is one of the causes in `outlier_detection`, and `waited_us` is the time waited
        for the answer if the cause is `SILENT`. A connection that is refused shortly after an
        answer, or a short silence, indicates load rather than a failure.
        """
        entry = self._entries.get(name)
        if entry is None:
            return False
        cause = entry.outlier_statistics.classify_failure(
            why=why, waited_us=waited_us, now_us=now_us
        )
        if cause != why:
            entry.outlier_statistics.note_overloaded(now_us=now_us)
        if not cause or not entry.outlier_statistics.note_failure(why=cause, now_us=now_us):
            return False
        entry.unreachable_by[self._me] = now_us
        self._on_changed(name)
        self._suspected.add(name=name)
        self._instances.invalidate_zones(service=entry.service)
        return True

    def note_healthy(self, *, name: str, now_us: int) -> None:
        """Record that an ejected instance passed its health check: it may be tried now."""
        entry = self._entries.get(name)
        if entry is None:
            return
        entry.unreachable_by.clear()
        if entry.outlier_statistics.is_ejected(now_us=now_us):
            entry.outlier_statistics.ejected_until_us = now_us

    def _observe_instance(self, *, entry: BackendEntry, state: int, why: str, now_us: int) -> bool:
        """Handle `observe` for an instance.

        A drain is recorded once and is permanent. A refused connection counts as a failure,
        and only an answer to a request ends the ejection.
        """
        if state == BackendState.GONE:
            return self.note_failure(name=entry.name, why=outlier_detection.REFUSED, now_us=now_us)
        if state != BackendState.DRAINING or entry.state == BackendState.DRAINING:
            return False
        entry.state, entry.why, entry.seen_by = BackendState.DRAINING, why, self._me
        entry.version, entry.since_us = entry.version + 1, now_us
        self._on_changed(entry.name)
        self._instances.invalidate_zones(service=entry.service)
        return True

    # --- declared backends, or both kinds -------------------------------------------

    def observe(
        self, *, name: str, state: int, why: str, now_us: int, asked_us: int | None = None
    ) -> bool:
        """Record an observed state; true if peers are to be notified.

        A backend becomes `UP` again only by an exchange that started (`asked_us`) after its
        bad state was recorded.
        """
        entry = self._instances.entry(name=name)
        if entry.is_discovered:
            return self._observe_instance(entry=entry, state=state, why=why, now_us=now_us)
        if state == BackendState.UP:
            entry.unanswered_in_a_row = 0
            entry.unreachable_by.pop(self._me, None)
        if state == entry.state:
            return False
        if state == BackendState.UP and (asked_us is None or asked_us <= entry.since_us):
            return False
        is_gone = entry.state == BackendState.GONE
        if state == BackendState.DRAINING and is_gone and asked_us is None:
            return False
        entry.state, entry.why, entry.seen_by = state, why, self._me
        entry.version += 1
        entry.since_us = now_us
        self._on_changed(name)
        return True

    def note_no_answer(self, *, name: str, now_us: int) -> bool:
        """Record that a request got no answer; true if peers are to be notified.

        After `UNANSWERED_LIMIT` in a row a declared backend is unreachable for this edge. It
        is gone if it is missing from the platform's list as well.
        """
        entry = self._instances.entry(name=name)
        if entry.is_discovered:
            return self.note_failure(name=name, why=outlier_detection.SILENT, now_us=now_us)
        entry.unanswered_in_a_row += 1
        self.note_overdue(name=name, now_us=now_us)
        if entry.unanswered_in_a_row < UNANSWERED_LIMIT:
            return False
        is_new = self._me not in entry.unreachable_by
        entry.unreachable_by[self._me] = now_us
        self._on_changed(name)
        if self._platform_states.is_missing(name=name, now_us=now_us):
            why = "no answer, and not on the platform's list"
            is_new |= self.observe(name=name, state=BackendState.GONE, why=why, now_us=now_us)
        return is_new

    def note_overdue(self, *, name: str, now_us: int) -> None:
        """Record that a backend missed a deadline and has not answered yet.

        Others are preferred to it, so that further searches do not need a retry.
        """
        entry = self._instances.entry(name=name)
        if entry.is_discovered:
            entry.outlier_statistics.note_overloaded(now_us=now_us)  # instances pause now and then
            return
        entry.overdue_until_us = now_us + OVERDUE_PENALTY_US

    def is_overdue(self, *, name: str, now_us: int) -> bool:
        """True if the backend missed a deadline recently and has not answered since."""
        return now_us < self._instances.entry(name=name).overdue_until_us

    def note_response(self, *, name: str, now_us: int) -> None:
        """Record a response of any kind: the backend is reachable."""
        entry = self._instances.entry(name=name)
        entry.responded_us = now_us
        entry.unanswered_in_a_row = entry.overdue_until_us = 0
        if not entry.is_discovered:  # for an instance only `note_answer` counts
            entry.unreachable_by.pop(self._me, None)

    def note_invalid_reply(self, *, name: str, now_us: int) -> None:
        """Record an invalid reply: others are preferred, longer with each consecutive one."""
        entry = self._instances.entry(name=name)
        if entry.is_discovered:
            self.note_failure(name=name, why=outlier_detection.GARBLED, now_us=now_us)
            return
        self._on_changed(name)
        count = min(entry.invalid_replies_in_a_row + 1, INVALID_REPLY_DOUBLINGS)
        entry.invalid_replies_in_a_row = count
        entry.suspected_until_us = now_us + INVALID_REPLY_BACKOFF_US * 2**count
        entry.invalid_reply_us = now_us

    def note_valid_reply(self, *, name: str) -> None:
        """Record that a reply of a declared backend passed its checks."""
        entry = self._instances.entry(name=name)
        if entry.is_discovered:
            return  # `note_answer` records it, with the latency
        entry.invalid_replies_in_a_row, entry.suspected_until_us = 0, 0
