"""A bounded in-memory journal of the events of this process.

Views (counts, the last event of each kind) are updated with each appended event, so that a view
is always consistent with its journal.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import asdict, dataclass
from typing import Any, Callable


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Base class of events; each kind of event is a subclass.

    >>> Event().kind
    'Event'
    """

    @property
    def kind(self) -> str:
        """The kind of the event: the name of its class."""
        return type(self).__name__


class Journal:
    """A bounded list of events and the views derived from it.

    >>> journal = Journal(now=lambda: 5, limit=2)
    >>> for _ in range(3): journal.add(Event())
    >>> journal.counts["Event"], len(journal.tail(limit=9))
    (3, 2)
    """

    def __init__(self, *, now: Callable[[], int], limit: int = 2000) -> None:
        self._now = now
        self._events: deque[tuple[int, Event]] = deque(maxlen=limit)
        self._folds: list[Callable[[int, Event], None]] = []
        self.counts: Counter[str] = Counter()

    def add(self, event: Event) -> None:
        """Append an event and update every view."""
        at_us = self._now()
        self._events.append((at_us, event))
        self.counts[event.kind] += 1
        for fold in self._folds:
            fold(at_us, event)

    def add_view(self, *, fold: Callable[[int, Event], None]) -> None:
        """Register a view: `fold` is called with the time and value of every later event."""
        self._folds.append(fold)

    def tail(self, *, limit: int) -> list[dict[str, Any]]:
        """The newest `limit` events, the oldest of them first."""
        newest = list(self._events)[-limit:]
        return [{"at_us": at_us, "event": event.kind, **asdict(event)} for at_us, event in newest]
