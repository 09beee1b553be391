"""The replica's task: owns Raft and the state machine, speaks for them.

Events come by its queue; effects become lines, disk writes and settled waits.
"""

from __future__ import annotations

from collections import deque
from functools import singledispatchmethod
from typing import Any, Callable

from tornado.queues import Queue

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import NoLeaderError, WriteUnresolvedError
from kelpstage.common.event_journal import Journal
from kelpstage.common.log.ring import logger
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport import frames
from kelpstage.common.transport.chunks import ChunkSource
from kelpstage.common.transport.connections import Lines
from kelpstage.common.transport.delta import pack_delta
from kelpstage.common.transport.messages import (
    AppendEntries,
    Chunk,
    CoreMember,
    FetchSnapshot,
    FetchState,
    LogEntry,
)
from kelpstage.core.events import (
    MarginNoted,
    MembersChanged,
    RoleTaken,
    SnapshotInstalled,
    SnapshotKept,
)
from kelpstage.core.raft import types as raft
from kelpstage.core.raft.members import read_members
from kelpstage.core.raft.replica import Replica
from kelpstage.core.snapshots import LogSize, SnapshotFetcher, SnapshotPolicy
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.store.records import DiskSnapshot
from kelpstage.core.store.store import Recovered, Store
from kelpstage.core.store.task import DiskTask, PersistRequest
from kelpstage.core.waiters import Waiters

TICK_US = 20_000
LOST = "leadership was lost before the commit"
log = logger(name="replica")


def _data_bytes(*, entries: list[LogEntry]) -> int:
    return sum(len(entry.data) for entry in entries)


class ReplicaTask:
    """One replica with its disk and its state."""

    def __init__(
        self,
        *,
        ports: Ports,
        store: Store,
        lines: Lines,
        journal: Journal,
        recovered: Recovered,
        own: str,
        on_applied: Callable[[Any, int], None],
        on_role: Callable[[str], None],
        on_error: Callable[[KelpstageError], None],
        voters: int = 3,
    ) -> None:
        self._ports = ports
        self._lines = lines
        self._journal = journal
        self._own = own
        self._on_applied = on_applied
        self._on_role = on_role
        self._on_error = on_error
        self.cluster = recovered.identity.cluster
        self.me = recovered.identity.replica
        self.inbox: Queue = Queue()
        self.waiters = Waiters()
        self._held: deque[raft.Send] = deque()
        self._synced = 0
        self._proposals: dict[int, tuple[int, int]] = {}  # index -> token, term
        self._log_bytes = _data_bytes(entries=recovered.log.entries)
        self._in_writing: DiskSnapshot | None = None  # taken here, not on disk yet
        self._policy = SnapshotPolicy()
        self._fetched: DiskSnapshot | None = None
        self._fetcher = SnapshotFetcher(
            lines=lines,
            clock=ports.clock,
            journal=journal,
            cluster=self.cluster,
            spawn=ports.spawn,
            on_fetched=self._snapshot_arrived,
        )
        self.snapshots = ChunkSource()
        self.states = ChunkSource()
        members: list[CoreMember] = []
        state: CoreState | None = None
        if recovered.snapshot is not None:
            members = list(recovered.snapshot.members)
            state = CoreState().parse(recovered.snapshot.state)
            self._publish_snapshot(snapshot=recovered.snapshot)
        self.machine = Machine(cluster=self.cluster, state=state)
        self.applied = recovered.log.base_index
        self.raft = Replica(
            me=self.me,
            cluster=self.cluster,
            members=members,
            rand=ports.rand,
            now_us=ports.clock.now_us(),
            term=recovered.term,
            vote=recovered.vote,
            log=recovered.log,
            voters=voters,
        )
        self._disk = DiskTask(
            store=store,
            on_synced=lambda number: self.inbox.put_nowait(raft.Synced(number=number)),
            on_kept=lambda index: self.inbox.put_nowait(raft.SnapshotTaken(index=index)),
            on_error=on_error,
        )
        self._tasks = [
            ports.keep(self._disk.run()),
            ports.keep(self._run()),
            ports.keep(self._tick()),
        ]

    def stop(self) -> None:
        """End the tasks; nothing is answered any more."""
        for task in self._tasks:
            task.cancel()

    # --- what handlers ask -----------------------------------------------------------

    @property
    def is_leader(self) -> bool:
        """Does this replica lead, as far as it knows?"""
        return self.raft.role == raft.LEADER

    @property
    def leader_address(self) -> str:
        """Where the leader is, as far as this replica knows; empty if it knows none."""
        if self.is_leader:
            return self._own
        if not self.raft.leader:
            return ""
        return self.raft.members.address(replica=self.raft.leader) or self.raft.leader_address

    async def propose(self, *, data: bytes, put_id: str, wait_us: int) -> Any:
        """The command's outcome once it is committed and applied."""
        token, future = self.waiters.open()
        self.inbox.put_nowait(raft.Propose(kind=raft.COMMAND, data=data, token=token))
        outcome = await self._ports.clock.within(future, us=wait_us)
        if outcome is not None:
            return outcome
        self.waiters.drop(token=token)
        return WriteUnresolvedError(put_id=put_id, why="not confirmed by a majority in time")

    async def confirm(self, *, wait_us: int) -> NoLeaderError | None:
        """Is this the leader now, and is all that was acknowledged applied here?"""
        token, future = self.waiters.open()
        self.inbox.put_nowait(raft.ReadIndex(token=token))
        outcome = await self._ports.clock.within(future, us=wait_us)
        self.waiters.drop(token=token)
        if outcome is True:
            return None
        return outcome or NoLeaderError(why="no majority of cores confirmed the leader in time")

    def heard(self, *, message: Any) -> None:
        """Queue a Raft message for the replica."""
        self.inbox.put_nowait(raft.Received(message=message))

    # --- the task ------------------------------------------------------------------------

    async def _tick(self) -> None:
        while True:
            await self._ports.clock.sleep(us=TICK_US)
            self.inbox.put_nowait(raft.Tick())

    async def _run(self) -> None:
        while True:
            event = await self.inbox.get()
            self._take(event=event)

    def _take(self, *, event: Any) -> None:
        for effect in self.raft.step(now_us=self._ports.clock.now_us(), event=event):
            self._perform(effect)
        if isinstance(event, raft.Synced):
            self._synced = max(self._synced, event.number)
            self._release()
        if isinstance(event, raft.SnapshotTaken):
            self._snapshot_is_on_disk(index=event.index)
        self._consider_snapshot()

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise TypeError(type(effect))

    @_perform.register
    def _(self, effect: raft.Send) -> None:
        if effect.after > self._synced:
            self._held.append(effect)
            return
        self._dispatch(send=effect)

    def _dispatch(self, *, send: raft.Send) -> None:
        lane = frames.CONTROL
        if isinstance(send.message, AppendEntries) and raft.is_large(send.message.entries):
            lane = frames.BULK
        self._ports.point("raft.before_send")
        self._lines.send(address=send.to.address, message=send.message, lane=lane)

    def _release(self) -> None:
        while self._held and self._held[0].after <= self._synced:
            self._dispatch(send=self._held.popleft())

    @_perform.register
    def _(self, effect: raft.Persist) -> None:
        if effect.cut_from is not None:
            self._lose_proposals(start=effect.cut_from)
        self._log_bytes += _data_bytes(entries=effect.entries)
        self._disk.inbox.put_nowait(effect)

    def _lose_proposals(self, *, start: int) -> None:
        """Entries dropped from the log will never be applied from there."""
        for index in [i for i in self._proposals if i >= start]:
            token, _ = self._proposals.pop(index)
            # Another replica may still hold the entry and commit it: no refusal.
            self.waiters.settle(token=token, outcome=WriteUnresolvedError(put_id="", why=LOST))

    @_perform.register
    def _(self, effect: raft.Commit) -> None:
        for entry in effect.entries:
            outcome: Any = None
            if entry.kind == raft.COMMAND:
                outcome = self.machine.apply(data=entry.data)
                self._on_applied(outcome, entry.index)
            if entry.kind == raft.MEMBERSHIP:
                addresses = [m.address for m in read_members(data=entry.data)]
                self._journal.add(MembersChanged(members=addresses))
            self.applied = entry.index
            found = self._proposals.pop(entry.index, None)
            if found is None:
                continue
            token, term = found
            if term != entry.term:
                outcome = WriteUnresolvedError(put_id="", why=LOST)
            self.waiters.settle(token=token, outcome=outcome)

    @_perform.register
    def _(self, effect: raft.Proposed) -> None:
        self._proposals[effect.index] = (effect.token, effect.term)

    @_perform.register
    def _(self, effect: raft.NotLeader) -> None:
        self.waiters.settle(token=effect.token, outcome=NoLeaderError(why="not the leader"))

    @_perform.register
    def _(self, effect: raft.ReadReady) -> None:
        self.waiters.settle(token=effect.token, outcome=True)

    @_perform.register
    def _(self, effect: raft.ReadLost) -> None:
        self.waiters.settle(
            token=effect.token, outcome=NoLeaderError(why="not the leader, or not yet")
        )

    @_perform.register
    def _(self, effect: raft.RoleChanged) -> None:
        self._journal.add(RoleTaken(role=effect.role, term=effect.term))
        self._on_role(effect.role)

    @_perform.register
    def _(self, effect: raft.MarginChanged) -> None:
        if effect.losses_borne < effect.losses_wanted:
            text = "the voters in reach bear the loss of {} more, {} are wanted"
            log.warning(text, max(0, effect.losses_borne), effect.losses_wanted)
        self._journal.add(
            MarginNoted(losses_borne=effect.losses_borne, losses_wanted=effect.losses_wanted)
        )

    @_perform.register
    def _(self, effect: raft.Removed) -> None:
        self._on_role("removed")

    # --- snapshots ----------------------------------------------------------------------------

    def _consider_snapshot(self) -> None:
        if self._in_writing is not None:
            return
        now_us = self._ports.clock.now_us()
        size = LogSize(
            entries=self.applied - self.raft.log.base_index,
            data_bytes=self._log_bytes,
            snapshot_bytes=self.snapshots.size,
        )
        is_in_transfer = self.snapshots.is_in_transfer(now_us=now_us)
        if self._policy.is_due(size=size, is_in_transfer=is_in_transfer, now_us=now_us):
            self.snapshot_now()

    def snapshot_now(self) -> None:
        """Write a snapshot of all that is applied, unless one is being written."""
        if self._in_writing is not None or self.applied == self.raft.log.base_index:
            return
        snapshot = DiskSnapshot(
            index=self.applied,
            term=self.raft.log.term_at(index=self.applied) or 0,
            members=self.raft.members.at(index=self.applied),
            state=bytes(self.machine.state),
            cluster=self.cluster,
        )
        self._in_writing = snapshot
        self._disk.inbox.put_nowait(
            PersistRequest(
                snapshot=snapshot,
                tail=self.raft.log.slice(start=self.applied + 1, stop=self.raft.log.last_index),
                term=self.raft.term,
                vote=self.raft.vote,
                number=0,
            )
        )

    def _snapshot_is_on_disk(self, *, index: int) -> None:
        """The log begins behind this snapshot now, so it is what members are offered."""
        snapshot = self._in_writing
        if snapshot is not None and snapshot.index == index:
            self._in_writing = None
            if index == self.raft.log.base_index:  # none of another core's came meanwhile
                self._publish_snapshot(snapshot=snapshot)
        self._log_bytes = _data_bytes(entries=self.raft.log.entries)
        self._journal.add(SnapshotKept(index=index))

    def _publish_snapshot(self, *, snapshot: DiskSnapshot) -> None:
        """Serve this snapshot: its index is the log's base, which offers name."""
        self.snapshots.publish(
            mark=snapshot.index,
            mark_term=snapshot.term,
            data=pack_delta(base=b"", whole=bytes(snapshot)),
            now_us=self._ports.clock.now_us(),
        )

    def snapshot_chunk(self, *, ask: FetchSnapshot) -> Chunk:
        """A piece of the newest snapshot, or of the one that the asker has begun."""
        if ask.cluster != self.cluster:
            return Chunk(is_found=False)
        return self.snapshots.chunk(
            least=ask.index,
            pinned=ask.pinned,
            offset=ask.offset,
            now_us=self._ports.clock.now_us(),
        )

    def state_chunk(self, *, ask: FetchState) -> Chunk:
        """A piece of the newest applied state, or of the one that the asker has begun."""
        now_us = self._ports.clock.now_us()
        epoch = self.machine.state.epoch
        if self.states.mark != epoch:
            packed = pack_delta(base=b"", whole=bytes(self.machine.doc()))
            self.states.publish(mark=epoch, data=packed, now_us=now_us)
        return self.states.chunk(
            least=ask.epoch, pinned=ask.pinned, offset=ask.offset, now_us=now_us
        )

    @_perform.register
    def _(self, effect: raft.FetchOffered) -> None:
        self._fetcher.offered(offer=effect)

    def _snapshot_arrived(self, offer: raft.FetchOffered, snapshot: DiskSnapshot) -> None:
        """Install it, if it still is ahead of what is committed here."""
        if snapshot.index <= self.raft.commit_index:
            return
        self._fetched = snapshot
        self._take(
            event=raft.SnapshotFetched(
                index=snapshot.index,
                term=snapshot.term,
                members=list(snapshot.members),
                leader=offer.leader,
                leader_term=offer.leader_term,
                heartbeat=offer.heartbeat,
            )
        )
        self._fetched = None

    @_perform.register
    def _(self, effect: raft.SaveSnapshot) -> None:
        snapshot = self._fetched
        self._lose_proposals(start=0)
        self.machine = Machine(cluster=self.cluster, state=CoreState().parse(snapshot.state))
        self.applied = snapshot.index
        self._publish_snapshot(snapshot=snapshot)
        self._log_bytes = _data_bytes(entries=effect.tail)
        self._journal.add(SnapshotInstalled(index=snapshot.index))
        self._on_applied(None, snapshot.index)
        self._disk.inbox.put_nowait(
            PersistRequest(
                snapshot=snapshot,
                tail=effect.tail,
                term=effect.term,
                vote=effect.vote,
                number=effect.number,
            )
        )
