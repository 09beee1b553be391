"""One core machine of the model: a replica, its disk, its state machine and its lease table.

The effects of the replica are performed as the task of a core process performs them. What
is asynchronous there (a sync, a snapshot's write, a fetch) is an action of the model here.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, Protocol

from kelpstage.core.rollouts.order_ages import OrderAges
from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.checks import REPLICA_ASSERTIONS, Checks
from kelpstage.testbed.model.disk import Disk, SnapshotWrite
from kelpstage.testbed.model.scope import Scope
from kelpstage.testbed.model.sessions import Sessions

SNAPSHOT_ENTRIES = 40
JOIN_RETRY_US = 500_000


@dataclass(kw_only=True, eq=False)
class Fetch:
    """A snapshot transfer: offered, then read from the leader, then received."""

    offer: core.FetchOffered
    snapshot: core.DiskSnapshot | None = None


class Hooks:
    """The points at which an injected fault changes a node; the defaults change nothing."""

    def on_start(self, node: "Node") -> None:
        """Called when a replica was created from its disk."""

    def before_step(self, node: "Node", event: Any) -> Any:
        """Return the event to pass to the replica instead; `None` drops it."""
        return event

    def after_step(self, node: "Node", event: Any, effects: list[Any]) -> list[Any]:
        """Return the effects to perform instead of these."""
        return effects

    def on_snapshot(self, node: "Node", snapshot: core.DiskSnapshot) -> core.DiskSnapshot:
        """Return the snapshot to store instead of this one."""
        return snapshot


class NodeHost(Protocol):
    """The parts of the modelled system that a node uses."""

    now_us: int
    scope: Scope
    hooks: Hooks
    checks: Checks
    sessions: Sessions

    def random_for(self, *, name: str) -> random.Random:
        """Return the random generator of one start of one replica."""

    def make_lease_table(self) -> leases.LeaseTable:
        """Return the lease table of a leader that is elected now."""

    def send(self, *, source: str, to: str, body: Any) -> None:
        """Send a message over the modelled network."""

    def request_join(self, *, node: "Node") -> None:
        """Send this replica's request to join to every other machine."""

    def request_leave(self, *, node: "Node") -> None:
        """Request permission for this replica to stop permanently."""

    def snapshot_at(self, *, reader: "Node", address: str, index: int) -> core.DiskSnapshot | None:
        """Return what a machine serves to a fetch of the snapshot at this index, if anything."""


@dataclass(kw_only=True, eq=False)
class Node:
    """A machine of the control plane."""

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
    order_ages: OrderAges = field(default_factory=OrderAges)
    applied: int = 0
    last_synced: int = 0
    deferred_sends: list[core.Send] = field(default_factory=list)
    proposals: dict[int, tuple[int, int]] = field(default_factory=dict)
    fetches: list[Fetch] = field(default_factory=list)
    fetched_snapshot: core.DiskSnapshot | None = None
    served_snapshot: core.DiskSnapshot | None = None
    pending_snapshot: core.DiskSnapshot | None = None
    is_leaving: bool = False
    join_requested_us: int = -JOIN_RETRY_US

    @property
    def is_running(self) -> bool:
        """True if the process handles events now."""
        return self.is_up and not self.is_frozen

    # --- start and end ------------------------------------------------------------

    def start(self) -> None:
        """Start the process from the contents of its disk."""
        disk = self.disk
        log = disk.recovered_log()
        state, members = None, []
        if disk.snapshot is not None:
            members = list(disk.snapshot.members)
            state = core.CoreState().parse(disk.snapshot.state)
        self.served_snapshot = disk.snapshot
        self.machine = core.Machine(cluster=core.CLUSTER, state=state)
        self.applied = log.base_index
        self.order_ages = OrderAges()
        self._observe_rollouts()
        self.lease_table = leases.LeaseTable(since_us=self.world.now_us)
        self.last_synced = 0
        self.deferred_sends, self.proposals, self.fetches = [], {}, []
        self.fetched_snapshot, self.pending_snapshot = None, None
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

    def _observe_rollouts(self) -> None:
        self.order_ages.observe(rollouts=self.machine.state.rollouts, now_us=self.world.now_us)

    def crash(self, *, kept: int, is_torn: bool) -> None:
        """Kill the process; the first `kept` unsynced writes reach the disk anyway."""
        self.is_up, self.is_frozen = False, False
        self.disk.crash(kept=kept, is_torn=is_torn)
        self.replica = None
        self.deferred_sends, self.proposals, self.fetches = [], {}, []

    def replace_disk(self) -> None:
        """Replace the lost disk by an empty one, for a replica with a new name."""
        self.crash(kept=0, is_torn=False)
        self.disk = Disk()
        self.generation += 1
        self.identity = f"{self.address}.{self.generation}"

    # --- events ---------------------------------------------------------------------

    def step(self, event: Any) -> None:
        """Pass an event to the replica and perform the effects that it returns."""
        event = self.world.hooks.before_step(self, event)
        if event is None:
            return
        try:
            effects = self.replica.step(now_us=self.world.now_us, event=event)
        except core.ReplicaInvariantViolated as violated:
            self.world.checks.fail(REPLICA_ASSERTIONS, f"{self.identity}: {violated}")
        effects = self.world.hooks.after_step(self, event, effects)
        self.perform(effects)
        if isinstance(event, core.SnapshotTaken):
            self._handle_snapshot_written(index=event.index)
        self.world.checks.stepped(node=self)
        if self.applied - self.replica.log.base_index >= SNAPSHOT_ENTRIES:
            self.take_snapshot()

    def perform(self, effects: list[Any]) -> None:
        """Perform the replica's effects in order."""
        for effect in effects:
            self._perform(effect)

    def tick(self) -> None:
        """Run the timer of the process: Raft, pending calls, and a leave or join request."""
        self.step(core.Tick())
        self.world.sessions.tick(node=self)
        if self.is_leaving:
            self.world.request_leave(node=self)
            return
        is_member = any(m.replica == self.identity for m in core.members_of(self.replica))
        if is_member and core.knows_leader(self.replica):
            return
        if self.world.now_us - self.join_requested_us < JOIN_RETRY_US:
            return
        self.join_requested_us = self.world.now_us
        self.world.request_join(node=self)

    def sync(self, *, count: int) -> None:
        """Make the oldest `count` writes durable and notify the replica."""
        for _ in range(min(count, len(self.disk.queue))):
            write = self.disk.queue[0]
            self.disk.write_next()
            self.world.checks.disks_changed()
            if write.number:
                self.last_synced = max(self.last_synced, write.number)
                self.step(core.Synced(number=write.number))
                self._send_deferred()
            if isinstance(write, SnapshotWrite):
                self.step(core.SnapshotTaken(index=write.snapshot.index))

    def _send_deferred(self) -> None:
        while self.deferred_sends and self.deferred_sends[0].after <= self.last_synced:
            self._send(send=self.deferred_sends.pop(0))

    def _send(self, *, send: core.Send) -> None:
        self.world.send(source=self.address, to=send.to.address, body=send.message)

    # --- effects ----------------------------------------------------------------------

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise TypeError(type(effect))

    @_perform.register
    def _(self, effect: core.MarginChanged) -> None:
        """Ignore it: the number of further losses that the voters tolerate is for operators."""

    @_perform.register
    def _(self, effect: core.Send) -> None:
        if effect.after > self.last_synced:
            self.deferred_sends.append(effect)
            return
        self._send(send=effect)

    @_perform.register
    def _(self, effect: core.Persist) -> None:
        if effect.cut_from is not None:
            self._drop_proposals(start=effect.cut_from)
        self.disk.queue.append(effect)
        self.world.checks.appended(node=self, entries=effect.entries)

    def _drop_proposals(self, *, start: int) -> None:
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
            self._observe_rollouts()
            self.world.sessions.rollouts.applied(
                index=entry.index, data=entry.data, outcome=outcome, state=self.machine.state
            )
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
        pass  # the process stays up and requests to join again

    # --- snapshots ----------------------------------------------------------------------

    def take_snapshot(self) -> None:
        """Begin to write a snapshot of the applied state."""
        if self.pending_snapshot is not None or self.applied == self.replica.log.base_index:
            return
        log = self.replica.log
        snapshot = core.DiskSnapshot(
            index=self.applied,
            term=log.term_at(index=self.applied) or 0,
            members=core.members_at(self.replica, index=self.applied),
            state=bytes(self.machine.state),
            cluster=core.CLUSTER,
        )
        snapshot = self.world.hooks.on_snapshot(self, snapshot)
        self.pending_snapshot = snapshot
        self.disk.queue.append(
            SnapshotWrite(
                snapshot=snapshot,
                tail=tuple(log.slice(start=self.applied + 1, stop=log.last_index)),
                term=core.term_of(self.replica),
                vote=self.replica.vote,
                number=0,
            )
        )

    def _handle_snapshot_written(self, *, index: int) -> None:
        snapshot = self.pending_snapshot
        if snapshot is None or snapshot.index != index:
            return
        self.pending_snapshot = None
        if index == self.replica.log.base_index:
            self.served_snapshot = snapshot

    @_perform.register
    def _(self, effect: core.FetchOffered) -> None:
        if self.fetches:
            return  # at most one transfer at a time
        self.fetches.append(Fetch(offer=effect))

    def advance_fetch(self, *, position: int) -> None:
        """Read a transfer's snapshot from the leader, or pass a snapshot already read on."""
        fetch = self.fetches[position % len(self.fetches)]
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
        self.fetched_snapshot = fetch.snapshot
        self.step(core.fetched_event(snapshot=fetch.snapshot, offer=fetch.offer))

    @_perform.register
    def _(self, effect: core.SaveSnapshot) -> None:
        snapshot = self.fetched_snapshot
        self._drop_proposals(start=0)
        self.machine = core.Machine(
            cluster=core.CLUSTER, state=core.CoreState().parse(snapshot.state)
        )
        self.applied = snapshot.index
        self._observe_rollouts()
        self.served_snapshot = snapshot
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


def seeded_random(*, seed: int, name: str) -> random.Random:
    """Return a random generator that depends only on the walk's seed and a name.

    >>> seeded_random(seed=1, name="a").random() == seeded_random(seed=1, name="a").random()
    True
    """
    return random.Random(f"{seed}/{name}")
