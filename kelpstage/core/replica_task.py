"""The replica's task: feeds events to Raft and performs the effects that it returns.

The asynchronous shell around the sans-I/O replica. Events arrive in one queue; effects
become messages, disk writes, applied commands and outcomes for waiters.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, Callable

from tornado.queues import Queue

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import NoLeaderError, WriteUnresolvedError
from kelpstage.common.event_journal import Journal
from kelpstage.common.log.ring import logger
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.chunks import ChunkSource
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    Chunk,
    CoreMember,
    FetchSnapshot,
    FetchState,
)
from kelpstage.core.chunk_server import ChunkServer
from kelpstage.core.events import (
    MarginNoted,
    MembersChanged,
    RoleTaken,
    SnapshotInstalled,
)
from kelpstage.core.outgoing_messages import OutgoingMessages
from kelpstage.core.pending_proposals import PendingProposals
from kelpstage.core.raft import types as raft
from kelpstage.core.raft.members import read_members
from kelpstage.core.raft.replica import Replica
from kelpstage.core.snapshot_writer import SnapshotWriter
from kelpstage.core.snapshots import SnapshotFetcher
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.store.records import DiskSnapshot
from kelpstage.core.store.recovery import Recovered
from kelpstage.core.store.store import Store
from kelpstage.core.store.task import DiskTask
from kelpstage.core.waiters import Waiters

TICK_US = 20_000
log = logger(name="replica")


class ReplicaTask:
    """Runs one replica with its disk and its state machine.

    Owns the replica, the state machine and the index up to which it has applied the log.
    `on_applied` is called after each applied command, `on_role` with each new Raft role,
    and `on_error` once when the disk fails; the replica must then be stopped.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        store: Store,
        transport: Transport,
        journal: Journal,
        recovered: Recovered,
        own_address: str,
        on_applied: Callable[[Any, int], None],
        on_role: Callable[[str], None],
        on_error: Callable[[KelpstageError], None],
        voters: int = 3,
    ) -> None:
        self._ports = ports
        self._journal = journal
        self._own_address = own_address
        self._on_applied = on_applied
        self._on_role = on_role
        self._on_error = on_error
        self.cluster = recovered.identity.cluster
        self.me = recovered.identity.replica
        self.inbox: Queue[object] = Queue()
        self.waiters = Waiters()
        self._outgoing = OutgoingMessages(ports=ports, transport=transport)
        self._proposals = PendingProposals(waiters=self.waiters)
        self._fetched: DiskSnapshot | None = None
        self._fetcher = SnapshotFetcher(
            transport=transport,
            clock=ports.clock,
            journal=journal,
            cluster=self.cluster,
            spawn=ports.spawn,
            on_fetched=self._on_snapshot_fetched,
        )
        self._chunks = ChunkServer(clock=ports.clock, cluster=self.cluster)
        members: list[CoreMember] = []
        state: CoreState | None = None
        if recovered.snapshot is not None:
            members = list(recovered.snapshot.members)
            state = CoreState().parse(recovered.snapshot.state)
            self._chunks.publish_snapshot(snapshot=recovered.snapshot)
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
        self.snapshot_us = ports.clock.now_us()  # of the last snapshot written, or of the start
        self.disk = DiskTask(
            store=store,
            now_us=ports.clock.now_us,
            on_synced=lambda number: self.inbox.put_nowait(raft.Synced(number=number)),
            on_snapshot_saved=lambda index: self.inbox.put_nowait(raft.SnapshotTaken(index=index)),
            on_error=on_error,
        )
        self._snapshot_writer = SnapshotWriter(
            replica=self.raft,
            cluster=self.cluster,
            chunks=self._chunks,
            journal=journal,
            write=self.disk.inbox.put_nowait,
        )
        self._tasks = [
            ports.spawn_critical(self.disk.run()),
            ports.spawn_critical(self._run()),
            ports.spawn_critical(self._tick()),
        ]

    def stop(self) -> None:
        """Cancel the tasks; pending proposals and reads end with their timeouts."""
        for task in self._tasks:
            task.cancel()

    @property
    def snapshots(self) -> ChunkSource:
        """The source of the newest snapshot, which is offered to members."""
        return self._chunks.snapshots

    def snapshot_chunk(self, *, request: FetchSnapshot) -> Chunk:
        """A chunk of the newest snapshot, or of the one that the peer has begun to fetch."""
        return self._chunks.snapshot_chunk(request=request)

    def state_chunk(self, *, request: FetchState) -> Chunk:
        """A chunk of the newest applied state, or of the one that the edge has begun to fetch."""
        return self._chunks.state_chunk(request=request, machine=self.machine)

    @property
    def is_leader(self) -> bool:
        """True if this replica is the leader as far as it knows."""
        return self.raft.role == raft.LEADER

    @property
    def leader_address(self) -> str:
        """The address of the leader as far as this replica knows; empty if it knows none."""
        if self.is_leader:
            return self._own_address
        if not self.raft.leader:
            return ""
        return self.raft.members.address(replica=self.raft.leader) or self.raft.leader_address

    def snapshot_now(self) -> None:
        """Write a snapshot of the applied state, unless a write is pending or nothing is new."""
        self._snapshot_writer.take(machine=self.machine, applied=self.applied)

    async def propose(self, *, data: bytes, put_id: str, wait_us: int) -> Any:
        """Propose a command and return its outcome once it is committed and applied.

        Returns `WriteUnresolvedError` after `wait_us` microseconds or if leadership is lost: the
        command may still be committed. Returns `NoLeaderError` if it was never in the log.
        """
        token, future = self.waiters.open()
        self.inbox.put_nowait(raft.Propose(kind=raft.COMMAND, data=data, token=token))
        outcome = await self._ports.clock.within(future, us=wait_us)
        if outcome is not None:
            return outcome
        self.waiters.drop(token=token)
        return WriteUnresolvedError(put_id=put_id, why="not confirmed by a majority in time")

    async def confirm(self, *, wait_us: int) -> NoLeaderError | None:
        """Confirm that this is the leader now and has applied every acknowledged entry.

        Uses the read index of the Raft thesis, section 6.4. Returns None if confirmed, and
        `NoLeaderError` if not, or not within `wait_us` microseconds.
        """
        token, future = self.waiters.open()
        self.inbox.put_nowait(raft.ReadIndex(token=token))
        outcome = await self._ports.clock.within(future, us=wait_us)
        self.waiters.drop(token=token)
        if outcome is True:
            return None
        return outcome or NoLeaderError(why="no majority of cores confirmed the leader in time")

    def receive(self, *, message: Any) -> None:
        """Queue a received Raft message for the replica."""
        self.inbox.put_nowait(raft.Received(message=message))

    async def _tick(self) -> None:
        while True:
            await self._ports.clock.sleep(us=TICK_US)
            self.inbox.put_nowait(raft.Tick())

    async def _run(self) -> None:
        while True:
            event = await self.inbox.get()
            self._handle_event(event=event)

    def _handle_event(self, *, event: Any) -> None:
        for effect in self.raft.step(now_us=self._ports.clock.now_us(), event=event):
            self._perform(effect)
        if isinstance(event, raft.Synced):
            self._outgoing.release(synced=event.number)
        if isinstance(event, raft.SnapshotTaken):
            self.snapshot_us = self._ports.clock.now_us()
            self._snapshot_writer.on_written(index=event.index)
        self._snapshot_writer.take_if_due(
            machine=self.machine, applied=self.applied, now_us=self._ports.clock.now_us()
        )

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise TypeError(type(effect))

    @_perform.register
    def _perform_send(self, effect: raft.Send) -> None:
        self._outgoing.send(effect)

    @_perform.register
    def _perform_persist(self, effect: raft.Persist) -> None:
        if effect.cut_from is not None:
            self._proposals.fail_from(start=effect.cut_from)
        self._snapshot_writer.add_entries(entries=effect.entries)
        self.disk.inbox.put_nowait(effect)

    @_perform.register
    def _perform_commit(self, effect: raft.Commit) -> None:
        for entry in effect.entries:
            outcome: Any = None
            if entry.kind == raft.COMMAND:
                outcome = self.machine.apply(data=entry.data)
                self._on_applied(outcome, entry.index)
            if entry.kind == raft.MEMBERSHIP:
                addresses = [m.address for m in read_members(data=entry.data)]
                self._journal.add(MembersChanged(members=addresses))
            self.applied = entry.index
            self._proposals.settle(entry=entry, outcome=outcome)

    @_perform.register
    def _perform_proposed(self, effect: raft.Proposed) -> None:
        self._proposals.add(index=effect.index, token=effect.token, term=effect.term)

    @_perform.register
    def _perform_not_leader(self, effect: raft.NotLeader) -> None:
        self.waiters.settle(token=effect.token, outcome=NoLeaderError(why="not the leader"))

    @_perform.register
    def _perform_read_ready(self, effect: raft.ReadReady) -> None:
        self.waiters.settle(token=effect.token, outcome=True)

    @_perform.register
    def _perform_read_lost(self, effect: raft.ReadLost) -> None:
        self.waiters.settle(
            token=effect.token, outcome=NoLeaderError(why="not the leader, or not yet")
        )

    @_perform.register
    def _perform_role_changed(self, effect: raft.RoleChanged) -> None:
        self._journal.add(RoleTaken(role=effect.role, term=effect.term))
        self._on_role(effect.role)

    @_perform.register
    def _perform_margin_changed(self, effect: raft.MarginChanged) -> None:
        if effect.losses_borne < effect.losses_wanted:
            text = "the reachable voters tolerate {} more losses; {} are required"
            log.warning(text, max(0, effect.losses_borne), effect.losses_wanted)
        self._journal.add(
            MarginNoted(losses_borne=effect.losses_borne, losses_wanted=effect.losses_wanted)
        )

    @_perform.register
    def _perform_removed(self, effect: raft.Removed) -> None:
        self._on_role("removed")

    @_perform.register
    def _perform_fetch_offered(self, effect: raft.FetchOffered) -> None:
        self._fetcher.on_offer(offer=effect)

    def _on_snapshot_fetched(self, offer: raft.FetchOffered, snapshot: DiskSnapshot) -> None:
        """Install a fetched snapshot, unless this replica has committed up to its index."""
        if snapshot.index <= self.raft.commit_index:
            return
        self._fetched = snapshot
        self._handle_event(
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
    def _perform_save_snapshot(self, effect: raft.SaveSnapshot) -> None:
        snapshot = self._fetched
        if snapshot is None:
            raise RuntimeError("the snapshot to install has not been fetched")
        self._proposals.fail_from(start=0)
        self.machine = Machine(cluster=self.cluster, state=CoreState().parse(snapshot.state))
        self.applied = snapshot.index
        self._chunks.publish_snapshot(snapshot=snapshot)
        self._journal.add(SnapshotInstalled(index=snapshot.index))
        self._on_applied(None, snapshot.index)
        self._snapshot_writer.write_installed(snapshot=snapshot, effect=effect)
