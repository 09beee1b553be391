"""Views folded from an edge's journal, for its status page."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from kelpstage.common.event_journal import Event
from kelpstage.edge.events import SearchEnded

TIMES_KEPT = 500  # of the newest searches of a collection


class Searches:
    """How searches ended, by collection, and how long the newest took.

    >>> view = Searches()
    >>> view.fold(0, SearchEnded(collection="c", version=1, outcome="partial", shards_in=7,
    ...     shards=8, took_us=30))
    >>> view.as_json()["c"]["ends"], view.as_json()["c"]["p50_us"]
    ({'partial': 1}, 30)
    """

    def __init__(self) -> None:
        self._ends: dict[str, Counter[str]] = {}
        self._times: dict[str, deque[int]] = {}

    def fold(self, at_us: int, event: Event) -> None:
        """Take an event of the journal."""
        if not isinstance(event, SearchEnded):
            return
        self._ends.setdefault(event.collection, Counter())[event.outcome] += 1
        times = self._times.setdefault(event.collection, deque(maxlen=TIMES_KEPT))
        times.append(event.took_us)

    def as_json(self) -> dict[str, Any]:
        """By collection: counts of ends, and percentiles (microseconds)."""
        out: dict[str, Any] = {}
        for collection, ends in sorted(self._ends.items()):
            times = sorted(self._times[collection])
            out[collection] = {
                "ends": dict(sorted(ends.items())),
                "p50_us": times[len(times) // 2],
                "p99_us": times[min(len(times) - 1, len(times) * 99 // 100)],
            }
        return out
