"""The replica's task: owns Raft and the state machine, speaks for them.

Events come by its queue; effects become lines, disk writes and settled waits.
"""

from __future__ import annotations

from collections import deque
from functools import singledispatchmethod
from typing import Any, Callable

from tornado.queues import Queue

from kelpstage.base.defects import Defect, NoLeader, Unresolved
from kelpstage.base.journal import Journal
from kelpstage.base.log.ring import logger
from kelpstage.base.ports.types import Ports
from kelpstage.base.wire import frames
from kelpstage.base.wire.chunks import ChunkSource, backoff_us, fetch_chunks
from kelpstage.base.wire.delta import apply_delta, pack_delta
from kelpstage.base.wire.lines import Lines
from kelpstage.base.wire.messages import (
    AppendEntries,
    Chunk,
    CoreMember,
    FetchSnapshot,
    FetchState,
)
from kelpstage.core.events import (
    MarginNoted,
    MembersChanged,
    RoleTaken,
    SnapshotFetchFailed,
    SnapshotInstalled,
    SnapshotKept,
)
from kelpstage.core.raft import types as raft
from kelpstage.core.raft.members import read_members
from kelpstage.core.raft.replica import Replica
from kelpstage.core.state.machine import CoreState, Machine
from kelpstage.core.store.records import DiskSnapshot
from kelpstage.core.store.store import Recovered, Store
from kelpstage.core.store.task import DiskTask, KeepThis
from kelpstage.core.waiters import Waiters

TICK_US = 20_000
SNAPSHOT_ENTRIES = 400
SNAPSHOT_BYTES = 1024 * 1024  # of the log, or more where a snapshot is large itself:
SNAPSHOT_FACTOR = 2  # so many times the bytes of the last one
HELD_BACK_FACTOR = 4  # how much longer the log may grow while a member fetches a snapshot
HELD_BACK_LONGEST_US = 60_000_000
LARGE_BYTES = 64 * 1024
LOST = "leadership was lost before the commit"
log = logger(name="replica")


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
        on_defect: Callable[[Defect], None],
        voters: int = 3,
    ) -> None:
        self._ports = ports
        self._lines = lines
        self._journal = journal
        self._own = own
        self._on_applied = on_applied
        self._on_role = on_role
        self._on_defect = on_defect
        self.cluster = recovered.identity.cluster
        self.me = recovered.identity.replica
        self.inbox: Queue = Queue()
        self.waiters = Waiters()
        self._held: deque[raft.Send] = deque()
        self._synced = 0
        self._proposals: dict[int, tuple[int, int]] = {}  # index -> token, term
        self._log_bytes = 0
        self._in_writing: DiskSnapshot | None = None  # taken here, not on disk yet
        self._transfer_began_us = 0  # since when a transfer has held back the next snapshot
        self._fetched: DiskSnapshot | None = None
        self._offer: raft.FetchOffered | None = None  # the newest one
        self._is_fetching = False
        self._fetch_failures = 0
        self._fetch_not_before_us = 0
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
            on_defect=on_defect,
        )
        self._tasks = [
            ports.keep(self._disk.run()),
            ports.keep(self._run()),
            ports.keep(self._tick()),
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    # --- what handlers ask -----------------------------------------------------------

    @property
    def is_leader(self) -> bool:
        return self.raft.role == raft.LEADER

    @property
    def leader_address(self) -> str:
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
        return Unresolved(put_id=put_id, why="not confirmed by a majority in time")

    async def confirm(self, *, wait_us: int) -> NoLeader | None:
        """Is this the leader now, and is all that was acknowledged applied here?"""
        token, future = self.waiters.open()
        self.inbox.put_nowait(raft.ReadIndex(token=token))
        outcome = await self._ports.clock.within(future, us=wait_us)
        self.waiters.drop(token=token)
        if outcome is True:
            return None
        return outcome or NoLeader(why="no majority of cores confirmed the leader in time")

    def heard(self, *, message: Any) -> None:
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
        if (
            isinstance(send.message, AppendEntries)
            and sum(len(entry.data) for entry in send.message.entries) > LARGE_BYTES
        ):
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
        self._log_bytes += sum(len(entry.data) for entry in effect.entries)
        self._disk.inbox.put_nowait(effect)

    def _lose_proposals(self, *, start: int) -> None:
        """Entries dropped from the log will never be applied from there."""
        for index in [i for i in self._proposals if i >= start]:
            token, _ = self._proposals.pop(index)
            # Another replica may still hold the entry and commit it: no refusal.
            self.waiters.settle(token=token, outcome=Unresolved(put_id="", why=LOST))

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
                outcome = Unresolved(put_id="", why=LOST)
            self.waiters.settle(token=token, outcome=outcome)

    @_perform.register
    def _(self, effect: raft.Proposed) -> None:
        self._proposals[effect.index] = (effect.token, effect.term)

    @_perform.register
    def _(self, effect: raft.NotLeader) -> None:
        self.waiters.settle(token=effect.token, outcome=NoLeader(why="not the leader"))

    @_perform.register
    def _(self, effect: raft.ReadReady) -> None:
        self.waiters.settle(token=effect.token, outcome=True)

    @_perform.register
    def _(self, effect: raft.ReadLost) -> None:
        self.waiters.settle(token=effect.token, outcome=NoLeader(why="not the leader, or not yet"))

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
        """Take a snapshot when the log has grown long, in entries or in bytes.

        While a member is fetching the one before, the next waits: the entries behind that
        one stay in the log, so that the member finds them there once it has installed it.
        """
        if self._in_writing is not None:
            return
        behind = self.applied - self.raft.log.base_index
        factor = HELD_BACK_FACTOR if self._is_held_back() else 1
        is_long = behind >= SNAPSHOT_ENTRIES * factor
        most_bytes = max(SNAPSHOT_BYTES, SNAPSHOT_FACTOR * self.snapshots.size)
        is_large = self._log_bytes >= most_bytes * factor and behind > 1
        if is_long or is_large:
            self.snapshot_now()

    def _is_held_back(self) -> bool:
        """Does a transfer hold back the next snapshot, and has it not done so for long?"""
        now_us = self._ports.clock.now_us()
        if not self.snapshots.is_in_transfer(now_us=now_us):
            self._transfer_began_us = 0
            return False
        self._transfer_began_us = self._transfer_began_us or now_us
        return now_us - self._transfer_began_us < HELD_BACK_LONGEST_US

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
            KeepThis(
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
        self._log_bytes = sum(len(entry.data) for entry in self.raft.log.entries)
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
        """One fetch at a time; the leader offers again with each heartbeat."""
        self._offer = effect
        if self._is_fetching or self._ports.clock.now_us() < self._fetch_not_before_us:
            return
        self._is_fetching = True
        self._ports.spawn(self._fetch_snapshot(offer=effect))

    async def _fetch_snapshot(self, *, offer: raft.FetchOffered) -> None:
        packed = await fetch_chunks(
            lines=self._lines,
            clock=self._ports.clock,
            address=offer.leader_address,
            ask=lambda pinned, offset: FetchSnapshot(
                cluster=self.cluster, index=offer.index, offset=offset, pinned=pinned
            ),
            is_wanted=lambda: self._offer.leader_address == offer.leader_address,
        )
        self._is_fetching = False
        data = None if packed is None else apply_delta(base=b"", delta=packed)
        if data is None:
            self._fetch_failed(offer=offer)
            return
        self._fetch_failures = 0
        snapshot = DiskSnapshot().parse(data)
        if snapshot.cluster != self.cluster or snapshot.index <= self.raft.commit_index:
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

    def _fetch_failed(self, *, offer: raft.FetchOffered) -> None:
        self._fetch_failures += 1
        wait_us = backoff_us(failures=self._fetch_failures)
        self._fetch_not_before_us = self._ports.clock.now_us() + wait_us
        self._journal.add(SnapshotFetchFailed(index=offer.index, again_after_us=wait_us))

    @_perform.register
    def _(self, effect: raft.KeepSnapshot) -> None:
        snapshot = self._fetched
        self._lose_proposals(start=0)
        self.machine = Machine(cluster=self.cluster, state=CoreState().parse(snapshot.state))
        self.applied = snapshot.index
        self._publish_snapshot(snapshot=snapshot)
        self._journal.add(SnapshotInstalled(index=snapshot.index))
        self._on_applied(None, snapshot.index)
        self._disk.inbox.put_nowait(
            KeepThis(
                snapshot=snapshot,
                tail=effect.tail,
                term=effect.term,
                vote=effect.vote,
                number=effect.number,
            )
        )
