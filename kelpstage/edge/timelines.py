"""Timelines of the newest searches: decisions, reasons and outcomes, folded from events.

Two bounded tables: the newest searches of any outcome, and the newest failed, partial or
slow ones, which the complete and fast ones would otherwise evict.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, fields
from typing import Any

from kelpstage.common.event_journal import Event
from kelpstage.edge.events import Began, Ended, SearchEvent

MAX_TIMELINES = 400
MAX_NOTABLE_TIMELINES = 200
MAX_EVENTS_PER_SEARCH = 300
SLOW_US = 250_000


@dataclass(kw_only=True)
class Timeline:
    """One search at this node, or this node's part of one."""

    search: str
    began: Began
    began_us: int
    events: list[tuple[int, SearchEvent]] = field(default_factory=list)
    ended: Ended | None = None
    took_us: int = 0
    left_out: int = 0

    @property
    def is_notable(self) -> bool:
        """True for a search that ended failed, partial or slow; it is kept longer."""
        return self.ended is not None and (
            self.ended.outcome != "complete" or self.took_us >= SLOW_US
        )


class Timelines:
    """Timelines of the newest searches, by search id.

    >>> view = Timelines()
    >>> began = Began(search="n-1", part="root", collection="c", limit=None, time_left_us=9)
    >>> view.fold(5, began)
    >>> view.fold(7, Ended(search="n-1", outcome="partial", shards_in=1, shards=2, detail=""))
    >>> [(row["search"], row["outcome"], row["took_us"]) for row in view.rows(only="partial")]
    [('n-1', 'partial', 2)]
    >>> view.rows(only="failed"), view.find(search="n-2")
    ([], None)
    """

    def __init__(self) -> None:
        self._newest: OrderedDict[str, Timeline] = OrderedDict()
        self._notable: OrderedDict[str, Timeline] = OrderedDict()

    def fold(self, at_us: int, event: Event) -> None:
        """Add an event of the trace to its search's timeline."""
        if not isinstance(event, SearchEvent):
            return
        known = self._newest.get(event.search)
        if isinstance(event, Began) and known is None:
            begun = Timeline(search=event.search, began=event, began_us=at_us)
            _insert_bounded(kept=self._newest, timeline=begun, limit=MAX_TIMELINES)
            return
        timeline = self.find(search=event.search)
        if timeline is None:
            return
        if len(timeline.events) < MAX_EVENTS_PER_SEARCH:
            timeline.events.append((at_us, event))
        else:
            timeline.left_out += 1
        if isinstance(event, Ended):
            timeline.ended, timeline.took_us = event, at_us - timeline.began_us
            if timeline.is_notable:
                _insert_bounded(kept=self._notable, timeline=timeline, limit=MAX_NOTABLE_TIMELINES)

    def find(self, *, search: str) -> Timeline | None:
        """The timeline of a search; None if it is unknown or evicted."""
        return self._newest.get(search) or self._notable.get(search)

    def rows(
        self, *, only: str = "", collection: str = "", slower_than_us: int = 0, limit: int = 50
    ) -> list[dict[str, Any]]:
        """Summaries of the matching requests that callers sent to this node, newest first."""
        timelines = {**self._notable, **self._newest}
        out = []
        for timeline in sorted(timelines.values(), key=lambda timeline: -timeline.began_us):
            row = _row(timeline=timeline)
            if timeline.began.part == "child" or collection not in ("", row["collection"]):
                continue
            if row["took_us"] < slower_than_us or only == "partial" != row["outcome"]:
                continue
            if only == "failed" and row["outcome"] in ("complete", "partial", "running"):
                continue
            out.append(row)
            if len(out) == limit:
                break
        return out


def _insert_bounded(*, kept: OrderedDict[str, Timeline], timeline: Timeline, limit: int) -> None:
    kept[timeline.search] = timeline
    kept.move_to_end(timeline.search)
    if len(kept) > limit:
        kept.popitem(last=False)


def _row(*, timeline: Timeline) -> dict[str, Any]:
    ended = timeline.ended
    return {
        "search": timeline.search,
        "part": timeline.began.part,
        "collection": timeline.began.collection,
        "began_us": timeline.began_us,
        "took_us": timeline.took_us,
        "outcome": ended.outcome if ended else "running",
        "shards_in": ended.shards_in if ended else 0,
        "shards": ended.shards if ended else 0,
    }


def as_json(*, timeline: Timeline) -> dict[str, Any]:
    """A complete timeline as JSON; event times are relative to its beginning."""
    return {
        **_row(timeline=timeline),
        "limit": timeline.began.limit,
        "time_left_us": timeline.began.time_left_us,
        "detail": timeline.ended.detail if timeline.ended else "",
        "left_out": timeline.left_out,
        "timeline": [
            {"at_us": at_us - timeline.began_us, "event": event.kind, **_fields(event=event)}
            for at_us, event in timeline.events
        ],
    }


def _fields(*, event: SearchEvent) -> dict[str, Any]:
    return {
        one.name: _plain(value=getattr(event, one.name))
        for one in fields(event)
        if one.name != "search"
    }


def _plain(*, value: Any) -> Any:
    """Convert subtrees, ranked backends and sequences to plain JSON values."""
    if hasattr(value, "children"):
        return {
            "node": value.node,
            "shards": list(value.shards),
            "children": [_plain(value=child) for child in value.children],
        }
    if hasattr(value, "rank"):
        return {
            "backend": value.backend,
            "why_not": value.refusal,
            "is_near": value.is_near,
            "in_flight": value.in_flight,
            "mean_us": value.mean_us,
            "is_distrusted": value.is_suspected,
            "is_overdue": value.is_overdue,
        }
    if isinstance(value, (tuple, list)):
        return [_plain(value=one) for one in value]
    return value
