"""Settlement of epochs: an epoch is settled when no edge can serve an older one any more.

Holds the leader's lease table and serializes changes: an epoch is proposed only when the
previous one is settled. See `docs/notes/control/leases.md`.
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

SETTLE_POLL_INTERVAL_US = 50_000


def is_epoch_settled(
    *,
    lease_table: LeaseTable,
    state: CoreState,
    epoch: int,
    now_us: int,
    lost_edges: frozenset[str] = frozenset(),
) -> bool:
    """True if no edge can serve an epoch older than this one.

    The newest epoch has to settle in the previous membership as well, so that no majority of
    that membership confirms an older epoch. If the previous membership is not known, the count
    is strict instead. An operator has declared the edges in `lost_edges` permanently lost.
    """
    current, previous = edge_membership(state=state), previous_edge_membership(state=state)
    is_current_settled = lease_table.is_settled(
        epoch=epoch,
        membership=current,
        now_us=now_us,
        lost_edges=lost_edges,
        is_strict=previous is None,
    )
    if not is_current_settled or previous is None or epoch != state.epoch:
        return is_current_settled
    return lease_table.is_settled(
        epoch=epoch, membership=previous, now_us=now_us, lost_edges=lost_edges
    )


class EpochSettlement:
    """The lease table of this leadership, and the wait for an epoch to settle.

    The task that proposes a new epoch holds `change_lock` until that epoch is settled.
    `lost_edges` are the edges that an operator is removing; settlement does not wait for them.
    """

    def __init__(self, *, ports: Ports, journal: Journal, task: ReplicaTask) -> None:
        self._ports = ports
        self._journal = journal
        self._task = task
        self._next_edge_report = asyncio.Event()
        self.change_lock = Lock()
        self.lost_edges: frozenset[str] = frozenset()
        self.lease_table = LeaseTable(since_us=ports.clock.now_us())

    def begin_leadership(self) -> None:
        """Start a leadership with an empty lease table."""
        self.lease_table = LeaseTable(since_us=self._ports.clock.now_us())

    def notify_edge_report(self) -> None:
        """Wake all waiters: an edge has reported its installed epoch."""
        self._next_edge_report.set()
        self._next_edge_report = asyncio.Event()

    async def wait_for_edge_report(self, *, wait_us: int) -> None:
        """Wait until an edge has reported, for at most `wait_us` microseconds."""
        await self._ports.clock.within(self._next_edge_report.wait(), us=wait_us)

    async def wait_settled(self, *, epoch: int, wait_us: int) -> bool:
        """Wait until no edge can serve an epoch older than this one.

        False if `wait_us` microseconds pass first, or this leadership ends.
        """
        clock, lease_table = self._ports.clock, self.lease_table
        started_us = clock.now_us()
        while True:
            now_us = clock.now_us()
            if lease_table is not self.lease_table:
                return False  # a new leadership began: the newest epoch has to be confirmed again
            if self.is_settled(epoch=epoch):
                self._journal.add(EpochSettled(epoch=epoch, after_us=now_us - started_us))
                return True
            if now_us - started_us > wait_us or not self._task.is_leader:
                return False
            await self.wait_for_edge_report(wait_us=SETTLE_POLL_INTERVAL_US)

    def is_settled(self, *, epoch: int) -> bool:
        """True if no edge can serve an epoch older than this one."""
        return is_epoch_settled(
            lease_table=self.lease_table,
            state=self._task.machine.state,
            epoch=epoch,
            now_us=self._ports.clock.now_us(),
            lost_edges=self.lost_edges,
        )

    def has_quorum(self) -> bool:
        """True if enough voting members have reported for a new epoch to settle."""
        return self.lease_table.has_quorum(
            membership=edge_membership(state=self._task.machine.state),
            now_us=self._ports.clock.now_us(),
        )
