"""Counters of the gathering task, exported as metrics."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any, NamedTuple

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.metrics.histogram import DurationHistogram
from kelpstage.edge.gather.messages import GatherResult
from kelpstage.edge.gather.request_state import CHILD, MISSING, ROOT, RequestState

MAX_REQUEST_KEYS = 2_000  # bounds memory: routes come and go while a process runs
OTHER_ROUTES = "other"
ANSWERED = "answered"
STILL_WAITING = "window"  # the cause of a shard whose result had not arrived when a search ended


class RequestKey(NamedTuple):
    """The labels under which requests are counted."""

    kind: str
    route: str
    outcome: str


def outcome_name(*, outcome: Any) -> str:
    """Return the outcome of a request, attempt or query as a label.

    >>> from kelpstage.common.errors.serving import CallerGoneError
    >>> outcome_name(outcome=CallerGoneError()), outcome_name(outcome=object())
    ('caller_gone', 'answered')
    """
    if isinstance(outcome, KelpstageError):
        return outcome.kind
    if isinstance(outcome, GatherResult):
        return "partial" if outcome.missing or outcome.coverage < 1 else "complete"
    return ANSWERED


class GatherStatistics:
    """Counters of one node's gathering since the start of its process."""

    def __init__(self) -> None:
        self.requests: Counter[RequestKey] = Counter()
        self.attempts: Counter[str] = Counter()  # by the reason for sending them
        self.backend_outcomes: Counter[str] = Counter()
        self.child_outcomes: Counter[str] = Counter()
        self.missing: Counter[str] = Counter()  # shards missing at the root, by cause
        self.after_target: Counter[str] = Counter()  # answers, by route
        self.unused_child_replies = 0  # replies that arrived after their request had ended
        self.child_connections_opened = 0  # queries to children that had to open a connection
        self.durations: defaultdict[str, DurationHistogram] = defaultdict(DurationHistogram)

    def note_settled(self, *, record: RequestState, now_us: int) -> None:
        """Count a request that has reached its outcome."""
        key = RequestKey(record.kind, record.collection, outcome_name(outcome=record.outcome))
        if len(self.requests) >= MAX_REQUEST_KEYS and key not in self.requests:
            key = key._replace(route=OTHER_ROUTES)
        self.requests[key] += 1
        took_us = now_us - record.arrived_us
        self.durations[record.kind].observe(us=took_us)
        is_answer = record.kind is not CHILD and isinstance(record.outcome, GatherResult)
        if is_answer and 0 < record.aim_us < took_us:
            self.after_target[key.route] += 1
        if record.kind is ROOT:
            self._note_missing(record=record)

    def _note_missing(self, *, record: RequestState) -> None:
        """Count the shards that a root left out."""
        for cause, _ in record.missing.values():
            self.missing[cause] += 1
        for shard_state in record.shard_states.values():
            if shard_state.state is MISSING:
                self.missing[shard_state.cause] += 1
        if isinstance(record.outcome, GatherResult):
            self.missing[STILL_WAITING] += len(record.waiting_shards() - record.missing.keys())

    def note_attempt(self, *, reason: str) -> None:
        """Count an attempt sent to a backend."""
        self.attempts[reason] += 1

    def note_backend_reply(self, *, outcome: Any, took_us: int) -> None:
        """Count an attempt that has ended."""
        self.backend_outcomes[outcome_name(outcome=outcome)] += 1
        self.durations["backend"].observe(us=took_us)

    def note_child_reply(self, *, outcome: Any, took_us: int, is_far: bool) -> None:
        """Count a query to a child that has ended; `is_far`: the child is in another region."""
        self.child_outcomes[outcome_name(outcome=outcome)] += 1
        self.durations["child_query"].observe(us=took_us)
        if is_far:
            self.durations["child_query_far"].observe(us=took_us)
