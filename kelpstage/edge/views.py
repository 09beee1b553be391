"""Search statistics folded from an edge's journal, for its status page."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from kelpstage.common.event_journal import Event
from kelpstage.edge.events import SearchEnded

MAX_DURATIONS = 500  # newest searches per collection


class SearchStatistics:
    """Counts of search outcomes and the durations of the newest searches, by collection.

    >>> view = SearchStatistics()
    >>> view.fold(0, SearchEnded(collection="c", version=1, outcome="partial", shards_in=7,
    ...     shards=8, took_us=30))
    >>> view.as_json()["c"]["ends"], view.as_json()["c"]["p50_us"]
    ({'partial': 1}, 30)
    """

    def __init__(self) -> None:
        self._outcomes: dict[str, Counter[str]] = {}
        self._durations_us: dict[str, deque[int]] = {}

    def fold(self, at_us: int, event: Event) -> None:
        """Count an event of the journal if it is the end of a search."""
        if not isinstance(event, SearchEnded):
            return
        self._outcomes.setdefault(event.collection, Counter())[event.outcome] += 1
        durations_us = self._durations_us.setdefault(event.collection, deque(maxlen=MAX_DURATIONS))
        durations_us.append(event.took_us)

    def as_json(self) -> dict[str, Any]:
        """Counts of outcomes and duration percentiles (microseconds), by collection."""
        out: dict[str, Any] = {}
        for collection, outcomes in sorted(self._outcomes.items()):
            durations_us = sorted(self._durations_us[collection])
            out[collection] = {
                "ends": dict(sorted(outcomes.items())),
                "p50_us": durations_us[len(durations_us) // 2],
                "p99_us": durations_us[min(len(durations_us) - 1, len(durations_us) * 99 // 100)],
            }
        return out
