"""What answers and failures, seen by this edge, change in the entries of backends.

A declared backend is judged by health checks and requests alike; a discovered
instance by its requests alone (`outlier_detection.py`). A backend that gives no answer
at all is `UNREACHABLE` for each observer on its own: one cut connection must not
condemn it for all.
"""

from __future__ import annotations

from typing import Callable

from kelpstage.edge.backend import outlier_detection
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.instance_registry import InstanceRegistry
from kelpstage.edge.backend.platform_states import PlatformStates
from kelpstage.edge.backend.suspected_instances import SuspectedInstances

UNANSWERED_LIMIT = 2  # requests in a row; then a declared backend is unreachable
INVALID_REPLY_BACKOFF_US = 1_000_000  # asked last for so long, doubled by each in a row
INVALID_REPLY_DOUBLINGS = 4  # up to 16 s
OVERDUE_PENALTY_US = 2_000_000  # asked last for so long after a missed window


class BackendHealth:
    """Applies what this edge has seen itself; owns no state beside the entries.

    `on_changed` is given the name of each backend that peers are to be notified of.
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
        """An instance gave a good answer, `took_us` after it was asked."""
        entry = self._entries.get(name)
        if entry is None:
            return
        entry.responded_us = now_us
        entry.unanswered_in_a_row = entry.overdue_until_us = 0
        entry.invalid_replies_in_a_row = entry.suspected_until_us = 0
        entry.unreachable_by.clear()
        net_us = max(took_us - entry.distance_us, took_us // 4) if took_us > 0 else 0
        entry.seen.note_answer(took_us=net_us, now_us=now_us)

    def note_overloaded(self, *, name: str, now_us: int) -> None:
        """An instance said that it did not run a request: it is loaded, not ill."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.responded_us = now_us
            entry.seen.note_overloaded(now_us=now_us)

    def note_failure(
        self, *, name: str, why: str, now_us: int, waited_us: int | None = None
    ) -> bool:
        """A request failed at an instance; true if it is ejected from now on.

        `why` is one of `outlier_detection`'s causes, `waited_us` how long a `SILENT` one
        was waited for. A connection refused by an instance that answered a moment ago,
        and a short silence, are signs of load first.
        """
        entry = self._entries.get(name)
        if entry is None:
            return False
        weighed = entry.seen.weigh(why=why, waited_us=waited_us, now_us=now_us)
        if weighed != why:
            entry.seen.note_overloaded(now_us=now_us)
        if not weighed or not entry.seen.note_failure(why=weighed, now_us=now_us):
            return False
        entry.unreachable_by[self._me] = now_us
        self._on_changed(name)
        self._suspected.add(name=name)
        self._instances.forget_zones(service=entry.service)
        return True

    def note_healthy(self, *, name: str, now_us: int) -> None:
        """An ejected instance passed its health check: it may be tried now."""
        entry = self._entries.get(name)
        if entry is None:
            return
        entry.unreachable_by.clear()
        if entry.seen.is_ejected(now_us=now_us):
            entry.seen.ejected_until_us = now_us

    def _observe_instance(self, *, entry: BackendEntry, state: int, why: str, now_us: int) -> bool:
        """`observe` for an instance: it may begin to drain, once; a refused connection is
        evidence; only an answer to a request brings it back."""
        if state == BackendState.GONE:
            return self.note_failure(name=entry.name, why=outlier_detection.REFUSED, now_us=now_us)
        if state != BackendState.DRAINING or entry.state == BackendState.DRAINING:
            return False
        entry.state, entry.why, entry.seen_by = BackendState.DRAINING, why, self._me
        entry.version, entry.since_us = entry.version + 1, now_us
        self._on_changed(entry.name)
        self._instances.forget_zones(service=entry.service)
        return True

    # --- declared backends, or both -------------------------------------------------

    def observe(
        self, *, name: str, state: int, why: str, now_us: int, asked_us: int | None = None
    ) -> bool:
        """Note a state that was seen; true if peers are to be notified.

        Only an exchange that began (`asked_us`) after the bad state was noted may say
        that a backend is up again.
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
        """No answer came; true if peers are to be notified.

        Two in a row make a declared backend unreachable to this edge, and gone if the
        platform's list leaves it out as well.
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
            why = "silent, and not on the platform's list"
            is_new |= self.observe(name=name, state=BackendState.GONE, why=why, now_us=now_us)
        return is_new

    def note_overdue(self, *, name: str, now_us: int) -> None:
        """It missed a window and has not answered yet: others are asked first, before it
        costs more searches a retry."""
        entry = self._instances.entry(name=name)
        if entry.is_discovered:
            entry.seen.note_overloaded(now_us=now_us)  # instances pause now and then
            return
        entry.overdue_until_us = now_us + OVERDUE_PENALTY_US

    def is_overdue(self, *, name: str, now_us: int) -> bool:
        """Did it miss a window a moment ago, with no answer since?"""
        return now_us < self._instances.entry(name=name).overdue_until_us

    def note_response(self, *, name: str, now_us: int) -> None:
        """Any response at all shows that the backend is reachable."""
        entry = self._instances.entry(name=name)
        entry.responded_us = now_us
        entry.unanswered_in_a_row = entry.overdue_until_us = 0
        if not entry.is_discovered:  # an instance is judged by its answers, not by any response
            entry.unreachable_by.pop(self._me, None)

    def note_invalid_reply(self, *, name: str, now_us: int) -> None:
        """A reply failed its checks: others are asked first, longer each time in a row."""
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
        """A reply of a declared backend passed its checks."""
        entry = self._instances.entry(name=name)
        if entry.is_discovered:
            return  # `note_answer` says it, with the time it took
        entry.invalid_replies_in_a_row, entry.suspected_until_us = 0, 0
