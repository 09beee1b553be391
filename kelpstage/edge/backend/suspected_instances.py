"""The discovered instances that an edge has ejected recently."""

from __future__ import annotations

from typing import Mapping

from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.entry import BackendEntry

UNREACHABLE_REPORT_TTL_US = 4_000_000  # lifetime of a report that its edge does not repeat
UNREACHABLE_REPORT_QUORUM = 2  # reporting edges needed: one edge may be partitioned itself


def is_reported_unreachable(*, entry: BackendEntry, now_us: int) -> bool:
    """True if several edges report that a backend does not answer."""
    reports = sum(
        now_us - at_us < UNREACHABLE_REPORT_TTL_US for at_us in entry.unreachable_by.values()
    )
    return reports >= UNREACHABLE_REPORT_QUORUM


class SuspectedInstances:
    """Holds the names of the instances that this or another edge has ejected."""

    def __init__(self, *, entries: Mapping[str, BackendEntry]) -> None:
        self._entries = entries
        self._names: set[str] = set()

    def add(self, *, name: str) -> None:
        """Record that this or another edge has ejected an instance."""
        self._names.add(name)

    def current(self, *, now_us: int) -> list[BackendEntry]:
        """Return those that have not answered this edge since, until the reports expire."""
        found = []
        for name in sorted(self._names):
            entry = self._entries.get(name)
            if entry is None or not _is_current(entry=entry, now_us=now_us):
                self._names.discard(name)
            elif entry.state == BackendState.UP:
                found.append(entry)
        return found


def _is_current(*, entry: BackendEntry, now_us: int) -> bool:
    if entry.removed_us or not entry.unreachable_by:
        return False
    reported_until_us = max(entry.unreachable_by.values()) + UNREACHABLE_REPORT_TTL_US
    return now_us < max(reported_until_us, entry.outlier_statistics.ejected_until_us)
