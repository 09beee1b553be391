"""Settlement of epochs: when no edge can serve an older epoch any more.

Owner of the leader's lease table and of the order of changes: an epoch is proposed only
when the one before it is settled. See `docs/notes/control/leases.md`.
"""

from __future__ import annotations

import asyncio

from tornado.locks import Lock

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.events import EpochSettled
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.replicated_state import (
    CoreState,
    edge_membership,
    previous_edge_membership,
)

SETTLE_LOOK_US = 50_000


def is_epoch_settled(
    *,
    lease_table: LeaseTable,
    state: CoreState,
    epoch: int,
    now_us: int,
    gone: frozenset[str] = frozenset(),
) -> bool:
    """Can no edge serve an epoch older than this one?

    The newest epoch has to settle in the membership before it as well, so that no majority of
    that one confirms what was before. Where that one is not known, the count is strict
    instead. Edges in `gone` are gone for good, as an operator states.
    """
    current, previous = edge_membership(state=state), previous_edge_membership(state=state)
    is_current_settled = lease_table.is_settled(
        epoch=epoch, membership=current, now_us=now_us, gone=gone, is_strict=previous is None
    )
    if not is_current_settled or previous is None or epoch != state.epoch:
        return is_current_settled
    return lease_table.is_settled(epoch=epoch, membership=previous, now_us=now_us, gone=gone)


class EpochSettlement:
    """The lease table of this leadership, and the wait for an epoch to settle.

    `change` is held by whoever proposes a new epoch, until that epoch is settled. `gone`
    are the edges that an operator is removing: they hold no epoch back.
    """

    def __init__(self, *, ports: Ports, journal: Journal, task: ReplicaTask) -> None:
        self._ports = ports
        self._journal = journal
        self._task = task
        self._edge_report = asyncio.Event()  # the next one
        self.change = Lock()
        self.gone: frozenset[str] = frozenset()
        self.lease_table = LeaseTable(since_us=ports.clock.now_us())

    def begin_leadership(self) -> None:
        """Begin with a lease table that knows of no lease yet."""
        self.lease_table = LeaseTable(since_us=self._ports.clock.now_us())

    def notify_edge_report(self) -> None:
        """Wake whoever waits: an edge has reported the epoch that it has installed."""
        self._edge_report.set()
        self._edge_report = asyncio.Event()

    async def wait_for_edge_report(self, *, wait_us: int) -> None:
        """Wait until an edge has reported, at most `wait_us` microseconds."""
        await self._ports.clock.within(self._edge_report.wait(), us=wait_us)

    async def wait_settled(self, *, epoch: int, wait_us: int) -> bool:
        """Wait until no edge can serve an epoch older than this one.

        False after `wait_us` microseconds, or when this leadership has ended.
        """
        clock, lease_table = self._ports.clock, self.lease_table
        started_us = clock.now_us()
        while True:
            now_us = clock.now_us()
            if lease_table is not self.lease_table:
                return False  # another leadership: what is the newest has to be asked anew
            if self.is_settled(epoch=epoch):
                self._journal.add(EpochSettled(epoch=epoch, after_us=now_us - started_us))
                return True
            if now_us - started_us > wait_us or not self._task.is_leader:
                return False
            await self.wait_for_edge_report(wait_us=SETTLE_LOOK_US)

    def is_settled(self, *, epoch: int) -> bool:
        """Can no edge serve an epoch older than this one?"""
        return is_epoch_settled(
            lease_table=self.lease_table,
            state=self._task.machine.state,
            epoch=epoch,
            now_us=self._ports.clock.now_us(),
            gone=self.gone,
        )

    def has_quorum(self) -> bool:
        """Are enough voting members there for a new epoch to settle?"""
        return self.lease_table.has_quorum(
            membership=edge_membership(state=self._task.machine.state),
            now_us=self._ports.clock.now_us(),
        )
