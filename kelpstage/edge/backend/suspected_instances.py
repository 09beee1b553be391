"""Which discovered instances some edge has ejected lately."""

from __future__ import annotations

from typing import Mapping

from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.entry import BackendEntry

UNREACHABLE_REPORT_TTL_US = 4_000_000  # a report of an edge that it repeats no more
UNREACHABLE_REPORT_QUORUM = 2  # so many edges have to report it: one may be cut off itself


def is_reported_unreachable(*, entry: BackendEntry, now_us: int) -> bool:
    """Do several edges report that a backend does not answer?"""
    reports = sum(
        now_us - at_us < UNREACHABLE_REPORT_TTL_US for at_us in entry.unreachable_by.values()
    )
    return reports >= UNREACHABLE_REPORT_QUORUM


class SuspectedInstances:
    """Owns the names of the instances that this or another edge ejected."""

    def __init__(self, *, entries: Mapping[str, BackendEntry]) -> None:
        self._entries = entries
        self._names: set[str] = set()

    def add(self, *, name: str) -> None:
        """This or another edge has ejected an instance."""
        self._names.add(name)

    def current(self, *, now_us: int) -> list[BackendEntry]:
        """Those that have given no answer here since, while the reports are fresh."""
        found = []
        for name in sorted(self._names):
            entry = self._entries.get(name)
            if entry is None or not _is_current(entry=entry, now_us=now_us):
                self._names.discard(name)
            elif entry.state == BackendState.UP:
                found.append(entry)
        return found


def _is_current(*, entry: BackendEntry, now_us: int) -> bool:
    if entry.gone_us or not entry.unreachable_by:
        return False
    reported_until_us = max(entry.unreachable_by.values()) + UNREACHABLE_REPORT_TTL_US
    return now_us < max(reported_until_us, entry.seen.ejected_until_us)
