"""The table of requests, and the run of all stages over those that were touched."""

from __future__ import annotations

from sortedcontainers import SortedSet

from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import Settled
from kelpstage.edge.gather.request_state import DONE, GATHERING, NEW, SINGLE, WAITING, RequestState
from kelpstage.edge.gather.stages.admit import RESTART_US, admit
from kelpstage.edge.gather.stages.merge import merge
from kelpstage.edge.gather.stages.plan import plan
from kelpstage.edge.gather.stages.send import LOOK_AGAIN_US, send
from kelpstage.edge.gather.stages.settle import settle

STAGES = (admit, plan, merge, send, settle)


class Table:
    """Requests in work, with the times at which each wants to be looked at."""

    def __init__(self) -> None:
        self.records: dict[int, RequestState] = {}
        self._touched: dict[int, None] = {}
        self._wakes: SortedSet = SortedSet()
        self._wake_of: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.records)

    def put(self, *, record: RequestState) -> None:
        """Take in a new request."""
        self.records[record.key] = record
        self.touch(key=record.key)

    def touch(self, *, key: int) -> None:
        """Have a request looked at in the next run."""
        if key in self.records:
            self._touched[key] = None

    def touch_all(self) -> None:
        """Have every request looked at in the next run."""
        for key in self.records:
            self._touched[key] = None

    def wake_due(self, *, now_us: int) -> None:
        """Touch every record whose time has come."""
        while self._wakes and self._wakes[0][0] <= now_us:
            _, key = self._wakes.pop(0)
            self._wake_of.pop(key, None)
            self.touch(key=key)

    def next_wake_us(self) -> int | None:
        """When the next request wants to be looked at, if any does."""
        return self._wakes[0][0] if self._wakes else None

    def run(self, *, context: GatherContext) -> None:
        """Run the stages over what was touched; settled records leave the table."""
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
            context.emit(Settled(record=record))
            return
        if record.phase is NEW:
            self.touch(key=key)  # it began again within this run
        self._set_wake(key=key, at_us=next_look_us(record=record, context=context))

    def _set_wake(self, *, key: int, at_us: int | None) -> None:
        old = self._wake_of.pop(key, None)
        if old is not None:
            self._wakes.discard((old, key))
        if at_us is not None:
            self._wake_of[key] = at_us
            self._wakes.add((at_us, key))


def next_look_us(*, record: RequestState, context: GatherContext) -> int:
    """When a record is to be looked at again if nothing else happens before."""
    now_us = context.now_us
    times = [record.due_us]
    if record.phase is not GATHERING:
        return record.due_us
    if record.omit_us > now_us:
        times.append(record.omit_us)
    if record.kind is not SINGLE:
        if record.version != context.lease_holder.configuration.version:
            times.append(max(now_us + 1_000, context.lease_holder.installed_us + RESTART_US))
        for shard_state in record.shard_states.values():
            if not shard_state.was_hedged:
                times += [
                    attempt.soft_us for attempt in shard_state.attempts if attempt.soft_us > now_us
                ]
                if shard_state.hedge_us > now_us:
                    times.append(shard_state.hedge_us)
        if any(
            child.was_late and child.state is WAITING and not child.is_regathered
            for child in record.children
        ):
            times.append(now_us + LOOK_AGAIN_US)  # the budget may have room by then
        times += [child.soft_us for child in record.children if child.soft_us > now_us]
    return min(times)
