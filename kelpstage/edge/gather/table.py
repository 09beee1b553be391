"""The table of active requests; runs the stages over those that were touched."""

from __future__ import annotations

from sortedcontainers import SortedSet

from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import RequestSettled
from kelpstage.edge.gather.request_state import DONE, GATHERING, NEW, SINGLE, WAITING, RequestState
from kelpstage.edge.gather.stages.admit import RESTART_DELAY_US, admit
from kelpstage.edge.gather.stages.merge import merge
from kelpstage.edge.gather.stages.plan import plan
from kelpstage.edge.gather.stages.send import RECHECK_US, send
from kelpstage.edge.gather.stages.settle import settle

STAGES = (admit, plan, merge, send, settle)


class RequestTable:
    """Active requests, each with the time at which it is processed next."""

    def __init__(self) -> None:
        self.records: dict[int, RequestState] = {}
        self._touched: dict[int, None] = {}
        self._wake_times: SortedSet = SortedSet()
        self._wake_time_by_key: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.records)

    def put(self, *, record: RequestState) -> None:
        """Add a new request."""
        self.records[record.key] = record
        self.touch(key=record.key)

    def touch(self, *, key: int) -> None:
        """Schedule a request for the next run."""
        if key in self.records:
            self._touched[key] = None

    def touch_all(self) -> None:
        """Schedule every request for the next run."""
        for key in self.records:
            self._touched[key] = None

    def touch_due(self, *, now_us: int) -> None:
        """Touch every request whose wake time has come."""
        while self._wake_times and self._wake_times[0][0] <= now_us:
            _, key = self._wake_times.pop(0)
            self._wake_time_by_key.pop(key, None)
            self.touch(key=key)

    def next_wake_us(self) -> int | None:
        """Return the earliest wake time, or `None` if there is none."""
        return self._wake_times[0][0] if self._wake_times else None

    def run(self, *, context: GatherContext) -> None:
        """Run the stages over the touched requests and remove the settled ones."""
        while self._touched:
            keys, self._touched = list(self._touched), {}
            for stage in STAGES:
                for key in keys:
                    record = self.records.get(key)
                    if record is not None:
                        stage(record=record, context=context)
            for key in keys:
                self._finish(key=key, context=context)

    def _finish(self, *, key: int, context: GatherContext) -> None:
        record = self.records.get(key)
        if record is None:
            return
        if record.phase is DONE:
            del self.records[key]
            self._set_wake(key=key, at_us=None)
            context.emit(RequestSettled(record=record))
            return
        if record.phase is NEW:
            self.touch(key=key)  # it was restarted during this run
        self._set_wake(key=key, at_us=next_check_us(record=record, context=context))

    def _set_wake(self, *, key: int, at_us: int | None) -> None:
        old = self._wake_time_by_key.pop(key, None)
        if old is not None:
            self._wake_times.discard((old, key))
        if at_us is not None:
            self._wake_time_by_key[key] = at_us
            self._wake_times.add((at_us, key))


def next_check_us(*, record: RequestState, context: GatherContext) -> int:
    """Return when a request is processed next if no event arrives before."""
    now_us = context.now_us
    times = [record.due_us]
    if record.phase is not GATHERING:
        return record.due_us
    if record.omit_at_us > now_us:
        times.append(record.omit_at_us)
    if record.kind is not SINGLE:
        if record.version != context.lease_holder.configuration.version:
            times.append(max(now_us + 1_000, context.lease_holder.installed_us + RESTART_DELAY_US))
        for shard_state in record.shard_states.values():
            if not shard_state.was_hedged:
                times += [
                    attempt.window_end_us
                    for attempt in shard_state.attempts
                    if attempt.window_end_us > now_us
                ]
                if shard_state.hedge_retry_us > now_us:
                    times.append(shard_state.hedge_retry_us)
        if any(
            child.was_late and child.state is WAITING and not child.is_regathered
            for child in record.children
        ):
            times.append(now_us + RECHECK_US)  # the retry budget may allow it by then
        times += [child.window_end_us for child in record.children if child.window_end_us > now_us]
    return min(times)
