"""The table of requests, and the run of all passes over those that were touched."""

from __future__ import annotations

from sortedcontainers import SortedSet

from kelpstage.edge.gather.context import World
from kelpstage.edge.gather.messages import Settled
from kelpstage.edge.gather.request_state import DONE, GATHERS, NEW, SINGLE, WAITING, Gathering
from kelpstage.edge.gather.stages.admit import RESTART_US, admit
from kelpstage.edge.gather.stages.merge import merge
from kelpstage.edge.gather.stages.plan import plan
from kelpstage.edge.gather.stages.send import LOOK_AGAIN_US, send
from kelpstage.edge.gather.stages.settle import settle

PASSES = (admit, plan, merge, send, settle)


class Table:
    """Requests in work, with the times at which each wants to be looked at."""

    def __init__(self) -> None:
        self.records: dict[int, Gathering] = {}
        self._touched: dict[int, None] = {}
        self._wakes: SortedSet = SortedSet()
        self._wake_of: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.records)

    def put(self, *, record: Gathering) -> None:
        self.records[record.key] = record
        self.touch(key=record.key)

    def touch(self, *, key: int) -> None:
        if key in self.records:
            self._touched[key] = None

    def touch_all(self) -> None:
        for key in self.records:
            self._touched[key] = None

    def wake_due(self, *, now_us: int) -> None:
        """Touch every record whose time has come."""
        while self._wakes and self._wakes[0][0] <= now_us:
            _, key = self._wakes.pop(0)
            self._wake_of.pop(key, None)
            self.touch(key=key)

    def next_wake_us(self) -> int | None:
        return self._wakes[0][0] if self._wakes else None

    def run(self, *, world: World) -> None:
        """Run the passes over what was touched; settled records leave the table."""
        while self._touched:
            keys, self._touched = list(self._touched), {}
            for pass_ in PASSES:
                for key in keys:
                    record = self.records.get(key)
                    if record is not None:
                        pass_(record=record, world=world)
            for key in keys:
                self._finish(key=key, world=world)

    def _finish(self, *, key: int, world: World) -> None:
        record = self.records.get(key)
        if record is None:
            return
        if record.stage == DONE:
            del self.records[key]
            self._set_wake(key=key, at_us=None)
            world.emit(Settled(record=record))
            return
        if record.stage == NEW:
            self.touch(key=key)  # it began again within this run
        self._set_wake(key=key, at_us=next_look_us(record=record, world=world))

    def _set_wake(self, *, key: int, at_us: int | None) -> None:
        old = self._wake_of.pop(key, None)
        if old is not None:
            self._wakes.discard((old, key))
        if at_us is not None:
            self._wake_of[key] = at_us
            self._wakes.add((at_us, key))


def next_look_us(*, record: Gathering, world: World) -> int:
    """When a record is to be looked at again if nothing else happens before."""
    now_us = world.now_us
    times = [record.due_us]
    if record.stage != GATHERS:
        return record.due_us
    if record.omit_us > now_us:
        times.append(record.omit_us)
    if record.kind != SINGLE:
        if record.version != world.lease_holder.configuration.version:
            times.append(max(now_us + 1_000, world.lease_holder.installed_us + RESTART_US))
        for cell in record.cells.values():
            if not cell.was_hedged:
                times += [one.soft_us for one in cell.rounds if one.soft_us > now_us]
                if cell.hedge_us > now_us:
                    times.append(cell.hedge_us)
        if any(
            child.was_late and child.state == WAITING and not child.is_regathered
            for child in record.children
        ):
            times.append(now_us + LOOK_AGAIN_US)  # the budget may have room by then
        times += [child.soft_us for child in record.children if child.soft_us > now_us]
    return min(times)
