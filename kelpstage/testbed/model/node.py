"""One core machine of the model: a replica, its disk, its state machine and its lease table.

The effects of the replica are performed as the daemon's own task performs them; what is
asynchronous there (a sync, a snapshot's write, a fetch) is an action of the model here.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, Protocol

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.checks import OWN_ASSERTIONS, Checks
from kelpstage.testbed.model.disk import Disk, SnapshotWrite
from kelpstage.testbed.model.scope import Scope
from kelpstage.testbed.model.sessions import Sessions

SNAPSHOT_ENTRIES = 40
JOIN_AGAIN_US = 500_000


@dataclass(kw_only=True, eq=False)
class Fetch:
    """A snapshot under transfer: offered, then read from the leader, then arrived."""

    offer: core.FetchOffered
    snapshot: core.DiskSnapshot | None = None


class Hooks:
    """Where a planted fault takes hold; without one, nothing is changed."""

    def on_start(self, node: "Node") -> None:
        """A replica was made from its disk."""

    def before(self, node: "Node", event: Any) -> Any:
        """The event that the replica is to take instead of this one, or `None`."""
        return event

    def after(self, node: "Node", event: Any, effects: list[Any]) -> list[Any]:
        """The effects that are to be performed instead of these."""
        return effects

    def snapshot(self, node: "Node", snapshot: core.DiskSnapshot) -> core.DiskSnapshot:
        """The snapshot that is kept instead of this one."""
        return snapshot


class NodeHost(Protocol):
    """What a node needs of the modelled system around it."""

    now_us: int
    scope: Scope
    hooks: Hooks
    checks: Checks
    sessions: Sessions

    def random_for(self, *, name: str) -> random.Random:
        """The generator of one instance of one replica."""

    def make_lease_table(self) -> leases.LeaseTable:
        """The lease table of a leader that was elected now."""

    def send(self, *, source: str, to: str, body: Any) -> None:
        """Put a message on its way."""

    def ask_place(self, *, node: "Node") -> None:
        """Ask every other machine for this replica's place."""

    def ask_to_leave(self, *, node: "Node") -> None:
        """Ask whether this replica may stop for good."""

    def snapshot_at(self, *, reader: "Node", address: str, index: int) -> core.DiskSnapshot | None:
        """What a machine gives to one that fetches the snapshot at this index."""


@dataclass(kw_only=True, eq=False)
class Node:
    """A machine of the control side."""

    address: str
    world: NodeHost
    identity: str
    disk: Disk = field(default_factory=Disk)
    generation: int = 0
    starts: int = 0
    is_up: bool = False
    is_frozen: bool = False
    replica: core.Replica | None = None
    machine: core.Machine | None = None
    lease_table: leases.LeaseTable | None = None
    applied: int = 0
    synced: int = 0
    held: list[core.Send] = field(default_factory=list)
    proposals: dict[int, tuple[int, int]] = field(default_factory=dict)
    fetches: list[Fetch] = field(default_factory=list)
    arrived: core.DiskSnapshot | None = None
    shown: core.DiskSnapshot | None = None
    in_writing: core.DiskSnapshot | None = None
    is_leaving: bool = False
    asked_place_us: int = -JOIN_AGAIN_US

    @property
    def runs(self) -> bool:
        """Does the process take events now?"""
        return self.is_up and not self.is_frozen

    # --- start and end ------------------------------------------------------------

    def start(self) -> None:
        """Start the process from what its disk holds."""
        disk = self.disk
        log = disk.recovered_log()
        state, members = None, []
        if disk.snapshot is not None:
            members = list(disk.snapshot.members)
            state = core.CoreState().parse(disk.snapshot.state)
        self.shown = disk.snapshot
        self.machine = core.Machine(cluster=core.CLUSTER, state=state)
        self.applied = log.base_index
        self.lease_table = leases.LeaseTable(since_us=self.world.now_us)
        self.synced = 0
        self.held, self.proposals, self.fetches = [], {}, []
        self.arrived, self.in_writing = None, None
        self.is_leaving = False
        self.starts += 1
        self.replica = core.make_replica(
            me=self.identity,
            members=members,
            rand=self.world.random_for(name=f"{self.identity}/{self.starts}"),
            now_us=self.world.now_us,
            term=disk.term,
            vote=disk.vote,
            log=log,
            voters=self.world.scope.voters,
        )
        self.is_up, self.is_frozen = True, False
        self.world.hooks.on_start(self)
        self.world.checks.started(node=self)

    def crash(self, *, kept: int, is_torn: bool) -> None:
        """End the process at once; `kept` of the unsynced writes are on disk all the same."""
        self.is_up, self.is_frozen = False, False
        self.disk.crash(kept=kept, is_torn=is_torn)
        self.replica = None
        self.held, self.proposals, self.fetches = [], {}, []

    def replace_disk(self) -> None:
        """The disk is lost: an empty replica under a new name comes up in its place."""
        self.crash(kept=0, is_torn=False)
        self.disk = Disk()
        self.generation += 1
        self.identity = f"{self.address}.{self.generation}"

    # --- events ---------------------------------------------------------------------

    def take(self, event: Any) -> None:
        """Give the replica an event and perform what it answers with."""
        event = self.world.hooks.before(self, event)
        if event is None:
            return
        try:
            effects = self.replica.step(now_us=self.world.now_us, event=event)
        except core.ReplicaInvariantViolated as violated:
            self.world.checks.fail(OWN_ASSERTIONS, f"{self.identity}: {violated}")
        effects = self.world.hooks.after(self, event, effects)
        self.perform(effects)
        if isinstance(event, core.SnapshotTaken):
            self._snapshot_is_on_disk(index=event.index)
        self.world.checks.stepped(node=self)
        if self.applied - self.replica.log.base_index >= SNAPSHOT_ENTRIES:
            self.take_snapshot()

    def perform(self, effects: list[Any]) -> None:
        """Do what the replica asks for, in its order."""
        for effect in effects:
            self._perform(effect)

    def tick(self) -> None:
        """The timer of the process: Raft, waiting orders, and a request for a place."""
        self.take(core.Tick())
        self.world.sessions.tick(node=self)
        if self.is_leaving:
            self.world.ask_to_leave(node=self)
            return
        has_place = any(m.replica == self.identity for m in core.members_of(self.replica))
        if has_place and core.knows_leader(self.replica):
            return
        if self.world.now_us - self.asked_place_us < JOIN_AGAIN_US:
            return
        self.asked_place_us = self.world.now_us
        self.world.ask_place(node=self)

    def sync(self, *, count: int) -> None:
        """Make the oldest `count` writes durable and notify the replica."""
        for _ in range(min(count, len(self.disk.queue))):
            write = self.disk.queue[0]
            self.disk.write_next()
            self.world.checks.disks_changed()
            if write.number:
                self.synced = max(self.synced, write.number)
                self.take(core.Synced(number=write.number))
                self._release()
            if isinstance(write, SnapshotWrite):
                self.take(core.SnapshotTaken(index=write.snapshot.index))

    def _release(self) -> None:
        while self.held and self.held[0].after <= self.synced:
            self._dispatch(send=self.held.pop(0))

    def _dispatch(self, *, send: core.Send) -> None:
        self.world.send(source=self.address, to=send.to.address, body=send.message)

    # --- effects ----------------------------------------------------------------------

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise TypeError(type(effect))

    @_perform.register
    def _(self, effect: core.MarginChanged) -> None:
        """How many losses the voters in reach still bear: for operators only."""

    @_perform.register
    def _(self, effect: core.Send) -> None:
        if effect.after > self.synced:
            self.held.append(effect)
            return
        self._dispatch(send=effect)

    @_perform.register
    def _(self, effect: core.Persist) -> None:
        if effect.cut_from is not None:
            self._lose_proposals(start=effect.cut_from)
        self.disk.queue.append(effect)
        self.world.checks.appended(node=self, entries=effect.entries)

    def _lose_proposals(self, *, start: int) -> None:
        for index in [i for i in self.proposals if i >= start]:
            token, _ = self.proposals.pop(index)
            self.world.sessions.proposal_lost(token=token)

    @_perform.register
    def _(self, effect: core.Commit) -> None:
        self.world.checks.committed_by(node=self, entries=effect.entries)
        for entry in effect.entries:
            outcome: Any = None
            if entry.kind == core.COMMAND:
                outcome = self.machine.apply(data=entry.data)
            self.applied = entry.index
            self.world.checks.applied_by(node=self, entry=entry, outcome=outcome)
            token, term = self.proposals.pop(entry.index, (0, 0))
            if not token:
                continue
            if term == entry.term:
                self.world.sessions.applied(node=self, token=token, outcome=outcome)
            else:
                self.world.sessions.proposal_lost(token=token)

    @_perform.register
    def _(self, effect: core.Proposed) -> None:
        self.proposals[effect.index] = (effect.token, effect.term)

    @_perform.register
    def _(self, effect: core.NotLeader) -> None:
        self.world.sessions.proposal_lost(token=effect.token)

    @_perform.register
    def _(self, effect: core.ReadReady) -> None:
        self.world.sessions.read_ready(node=self, token=effect.token, index=effect.index)

    @_perform.register
    def _(self, effect: core.ReadLost) -> None:
        self.world.sessions.read_lost(token=effect.token)

    @_perform.register
    def _(self, effect: core.RoleChanged) -> None:
        if effect.role == core.LEADER:
            self.lease_table = self.world.make_lease_table()
            self.world.checks.elected(node=self, term=effect.term)

    @_perform.register
    def _(self, effect: core.Removed) -> None:
        pass  # the process stays up; it asks for a place again

    # --- snapshots ----------------------------------------------------------------------

    def take_snapshot(self) -> None:
        """Begin to write a snapshot of all that is applied."""
        if self.in_writing is not None or self.applied == self.replica.log.base_index:
            return
        log = self.replica.log
        snapshot = core.DiskSnapshot(
            index=self.applied,
            term=log.term_at(index=self.applied) or 0,
            members=core.members_at(self.replica, index=self.applied),
            state=bytes(self.machine.state),
            cluster=core.CLUSTER,
        )
        snapshot = self.world.hooks.snapshot(self, snapshot)
        self.in_writing = snapshot
        self.disk.queue.append(
            SnapshotWrite(
                snapshot=snapshot,
                tail=tuple(log.slice(start=self.applied + 1, stop=log.last_index)),
                term=core.term_of(self.replica),
                vote=self.replica.vote,
                number=0,
            )
        )

    def _snapshot_is_on_disk(self, *, index: int) -> None:
        snapshot = self.in_writing
        if snapshot is None or snapshot.index != index:
            return
        self.in_writing = None
        if index == self.replica.log.base_index:
            self.shown = snapshot

    @_perform.register
    def _(self, effect: core.FetchOffered) -> None:
        if self.fetches:
            return  # one at a time
        self.fetches.append(Fetch(offer=effect))

    def advance_fetch(self, *, place: int) -> None:
        """A transfer reads its snapshot from the leader, or what it read arrives."""
        fetch = self.fetches[place % len(self.fetches)]
        if fetch.snapshot is None:
            fetch.snapshot = self.world.snapshot_at(
                reader=self, address=fetch.offer.leader_address, index=fetch.offer.index
            )
            if fetch.snapshot is None:
                self.fetches.remove(fetch)
            return
        self.fetches.remove(fetch)
        if fetch.snapshot.index <= core.commit_index_of(self.replica):
            return
        self.arrived = fetch.snapshot
        self.take(core.fetched_event(snapshot=fetch.snapshot, offer=fetch.offer))

    @_perform.register
    def _(self, effect: core.SaveSnapshot) -> None:
        snapshot = self.arrived
        self._lose_proposals(start=0)
        self.machine = core.Machine(
            cluster=core.CLUSTER, state=core.CoreState().parse(snapshot.state)
        )
        self.applied = snapshot.index
        self.shown = snapshot
        self.world.checks.installed_snapshot(node=self, snapshot=snapshot)
        self.disk.queue.append(
            SnapshotWrite(
                snapshot=snapshot,
                tail=tuple(core.tail_of(effect)),
                term=effect.term,
                vote=effect.vote,
                number=effect.number,
            )
        )


def seeded(*, seed: int, name: str) -> random.Random:
    """A generator that depends on the walk's seed and a name alone.

    >>> seeded(seed=1, name="a").random() == seeded(seed=1, name="a").random()
    True
    """
    return random.Random(f"{seed}/{name}")
