"""The invariants, checked after every step against the history of all replicas."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any, Mapping, Protocol

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.calls import Edge, Order
from kelpstage.testbed.model.interfaces import NodeView

STATE_COMPARISON_INTERVAL = 64  # entries between two comparisons of all states
COMPLETENESS_WINDOW = 120  # newest committed entries that a new leader is checked for

ELECTION_SAFETY = "election safety"
LOG_MATCHING = "log matching"
LEADER_COMPLETENESS = "leader completeness"
STATE_MACHINE_SAFETY = "state-machine safety"
COMMIT_MONOTONIC = "the commit index never falls"
COMMITTED_KEPT = "a committed entry stays in the log"
DURABILITY = "committed entries are on enough disks"
MEMBERSHIP_QUORUM = "the remaining voters are a majority"
ONE_ORDER_PER_BASE = "one acknowledged order per base version"
NO_LATE_REFUSAL = "no order that took effect is rejected"
NO_EFFECT_AFTER_REFUSAL = "no rejected order takes effect"
READ_FRESHNESS = "no read older than the newest acknowledgement before it"
LEASE_FENCING = "no lease for an epoch below a settled one"
CONFIRMATION_FENCING = "no majority that may confirm an epoch below a settled one"
REPLICA_ASSERTIONS = "the replica's own assertions"
LIVENESS = "liveness"

INVARIANTS = (
    ELECTION_SAFETY,
    LOG_MATCHING,
    LEADER_COMPLETENESS,
    STATE_MACHINE_SAFETY,
    COMMIT_MONOTONIC,
    COMMITTED_KEPT,
    DURABILITY,
    MEMBERSHIP_QUORUM,
    ONE_ORDER_PER_BASE,
    NO_LATE_REFUSAL,
    NO_EFFECT_AFTER_REFUSAL,
    READ_FRESHNESS,
    LEASE_FENCING,
    REPLICA_ASSERTIONS,
    LIVENESS,
)


class InvariantViolated(Exception):
    """An invariant does not hold after this step."""

    def __init__(self, *, invariant: str, detail: str) -> None:
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant
        self.detail = detail


@dataclass(frozen=True, kw_only=True)
class CommittedEntry:
    """An entry as it was first committed, and the term in which that happened."""

    term: int
    digest: bytes
    committed_in: int


def digest_of(entry: core.LogEntry) -> bytes:
    """Return a digest of an entry's kind and data, without its index and term."""
    return hashlib.sha1(bytes([entry.kind]) + entry.data).digest()


def _voters(members: list[core.CoreMember]) -> set[tuple[str, bool]]:
    return {(member.replica, member.is_voter) for member in members}


class EdgeSessions(Protocol):
    """The sessions, as the invariants see them: the owner of the edges."""

    edges: dict[str, Edge]


class CheckedSystem(Protocol):
    """The parts of the modelled system that the invariants read."""

    now_us: int

    @property
    def nodes(self) -> Mapping[str, NodeView]:
        """The machines by address."""

    @property
    def sessions(self) -> EdgeSessions:
        """The owner of the edges."""


@dataclass(kw_only=True, eq=False)
class Checks:
    """The recorded history of the whole system, and the checks of the invariants on it."""

    world: CheckedSystem
    leaders: dict[int, str] = field(default_factory=dict)
    committed: dict[int, CommittedEntry] = field(default_factory=dict)
    newest_committed: int = core.FOUNDING_INDEX
    members: list[core.CoreMember] = field(default_factory=list)  # committed
    commit_members: list[core.CoreMember] = field(default_factory=list)  # of the last commit
    appended_entries: dict[tuple[int, int], tuple[int, bytes]] = field(default_factory=dict)
    outcomes: dict[int, str] = field(default_factory=dict)
    states: dict[int, bytes] = field(default_factory=dict)
    commit_indexes: dict[tuple[str, int], int] = field(default_factory=dict)
    acknowledged: dict[int, bytes] = field(default_factory=dict)  # base version -> order
    newest_version: int = 0
    settled_epoch: int = 0
    took_effect: set[bytes] = field(default_factory=set)
    refused: set[bytes] = field(default_factory=set)
    memberships: dict[int, list[core.CoreMember]] = field(default_factory=dict)
    membership_changes: int = 0
    snapshots_installed: int = 0

    def fail(self, invariant: str, detail: str) -> None:
        """End the walk because of a violation of this invariant."""
        raise InvariantViolated(invariant=invariant, detail=detail)

    # --- Raft -----------------------------------------------------------------------

    def started(self, *, node: NodeView) -> None:
        """Record a replica that was created from its disk."""
        self.commit_indexes[(node.identity, node.starts)] = core.commit_index_of(node.replica)

    def elected(self, *, node: NodeView, term: int) -> None:
        """Check a new leader: it is the only one of its term and has all committed entries."""
        if self.leaders.setdefault(term, node.identity) != node.identity:
            self.fail(ELECTION_SAFETY, f"{self.leaders[term]} and {node.identity} lead term {term}")
        log = node.replica.log
        for index in range(
            self.newest_committed,
            max(log.base_index, self.newest_committed - COMPLETENESS_WINDOW),
            -1,
        ):
            entry = self.committed.get(index)
            if entry is None or entry.committed_in >= term:
                continue
            if log.term_at(index=index) != entry.term:
                self.fail(
                    LEADER_COMPLETENESS,
                    f"{node.identity} leads term {term} without entry {index} "
                    f"of term {entry.term}, committed in term {entry.committed_in}",
                )

    def appended(self, *, node: NodeView, entries: list[core.LogEntry]) -> None:
        """Check appended entries: index and term determine an entry and the one before it."""
        log = node.replica.log
        for entry in entries:
            previous = log.term_at(index=entry.index - 1)
            if previous is None:
                continue
            mark = (previous, digest_of(entry))
            if self.appended_entries.setdefault((entry.index, entry.term), mark) != mark:
                self.fail(
                    LOG_MATCHING,
                    f"{node.identity} has a different entry {entry.index} of term {entry.term}, "
                    "or a different one before it",
                )

    def committed_by(self, *, node: NodeView, entries: list[core.LogEntry]) -> None:
        """Check the entries that a replica commits, and record memberships among them."""
        term = core.term_of(node.replica)
        if entries and entries[0].index != node.applied + 1:
            self.fail(
                STATE_MACHINE_SAFETY,
                f"{node.identity} applies {entries[0].index} after {node.applied}",
            )
        for entry in entries:
            mark = CommittedEntry(term=entry.term, digest=digest_of(entry), committed_in=term)
            known = self.committed.setdefault(entry.index, mark)
            if (known.term, known.digest) != (mark.term, mark.digest):
                self.fail(
                    STATE_MACHINE_SAFETY,
                    f"{node.identity} commits a different entry {entry.index}: term {mark.term}, "
                    f"not {known.term}",
                )
            if entry.kind == core.MEMBERSHIP and entry.index > self.newest_committed:
                self.members = core.read_members(data=entry.data)
                self.memberships[entry.index] = self.members
                self.membership_changes += 1
        last = entries[-1].index if entries else 0
        if last <= self.newest_committed:
            return
        self.newest_committed = last
        if core.role_of(node.replica) == core.LEADER:
            self.commit_members = list(core.members_of(node.replica))
        self.disks_changed()

    def applied_by(self, *, node: NodeView, entry: core.LogEntry, outcome: Any) -> None:
        """Check that all state machines get the same outcome from an entry."""
        printed = repr(outcome)
        if self.outcomes.setdefault(entry.index, printed) != printed:
            self.fail(
                STATE_MACHINE_SAFETY,
                f"entry {entry.index} has the outcome {printed} at {node.identity}, "
                f"but {self.outcomes[entry.index]} elsewhere",
            )
        if entry.index % STATE_COMPARISON_INTERVAL == 0:
            self.compare_state(node=node)

    def compare_state(self, *, node: NodeView) -> None:
        """Check that state machines that applied the same entries have the same state."""
        state = hashlib.sha1(bytes(node.machine.state)).digest()
        if self.states.setdefault(node.applied, state) != state:
            self.fail(
                STATE_MACHINE_SAFETY,
                f"{node.identity} has a different state after entry {node.applied}",
            )

    def installed_snapshot(self, *, node: NodeView, snapshot: core.DiskSnapshot) -> None:
        """Check the term, state and members of a snapshot that a replica installed."""
        self.snapshots_installed += 1
        entry = self.committed.get(snapshot.index)
        if entry is not None and entry.term != snapshot.term:
            self.fail(
                STATE_MACHINE_SAFETY, f"the snapshot at {snapshot.index} has a different term"
            )
        state = hashlib.sha1(bytes(node.machine.state)).digest()
        if self.states.setdefault(snapshot.index, state) != state:
            self.fail(
                STATE_MACHINE_SAFETY, f"the snapshot at {snapshot.index} has a different state"
            )
        known = [index for index in self.memberships if index <= snapshot.index]
        if not known:
            return
        wanted = _voters(self.memberships[max(known)])
        if _voters(core.members_at(node.replica, index=snapshot.index)) != wanted:
            self.fail(
                STATE_MACHINE_SAFETY,
                f"{node.identity} has different members in the snapshot at {snapshot.index}",
            )

    def stepped(self, *, node: NodeView) -> None:
        """Check after an event that the commit index did not fall and that the log has it."""
        key = (node.identity, node.starts)
        commit = core.commit_index_of(node.replica)
        if commit < self.commit_indexes[key]:
            self.fail(
                COMMIT_MONOTONIC, f"{node.identity} from {self.commit_indexes[key]} to {commit}"
            )
        self.commit_indexes[key] = commit
        entry = self.committed.get(commit)
        if entry is not None and node.replica.log.term_at(index=commit) != entry.term:
            self.fail(COMMITTED_KEPT, f"{node.identity} has no entry {commit} of term {entry.term}")

    # --- disks and members ----------------------------------------------------------------

    def disks_changed(self) -> None:
        """Check that the newest committed entry is on enough disks, and a majority remains.

        It must be on a majority of the voters' disks, minus those that were lost since. Of
        the voters of the committed membership, a majority must still have their disks.
        """
        entry = self.committed.get(self.newest_committed)
        disks = {node.identity: node.disk for node in self.world.nodes.values()}
        voters = {m.replica for m in self.commit_members if m.is_voter}
        if entry is not None and voters:
            lost = voters - set(disks)
            holders = [
                name
                for name in voters - lost
                if disks[name].holds(index=self.newest_committed, term=entry.term)
            ]
            needed = len(voters) // 2 + 1 - len(lost)
            if len(holders) < needed:
                self.fail(
                    DURABILITY,
                    f"entry {self.newest_committed} is on {len(holders)} disks of the voters "
                    f"{sorted(voters)}, {needed} are needed",
                )
        voters = {m.replica for m in self.members if m.is_voter}
        alive = voters & set(disks)
        if len(alive) * 2 <= len(voters):
            self.fail(MEMBERSHIP_QUORUM, f"{sorted(alive)} remain of the voters {sorted(voters)}")

    # --- orders, reads, leases ---------------------------------------------------------------

    def order_took_effect(self, *, order: Order) -> None:
        """Check an order that took effect in the state machine, now or before."""
        if order.digest in self.refused:
            self.fail(NO_EFFECT_AFTER_REFUSAL, f"{order} was rejected before")
        self.took_effect.add(order.digest)

    def acknowledged_order(self, *, order: Order, version: int, epoch: int) -> None:
        """Check a reply that acknowledges an order as in force on all edges."""
        known = self.acknowledged.setdefault(order.expected, order.digest)
        if known != order.digest:
            self.fail(ONE_ORDER_PER_BASE, f"{order} and another order on version {order.expected}")
        self.newest_version = max(self.newest_version, version)
        self.settled_epoch = max(self.settled_epoch, epoch)
        for edge in self.world.sessions.edges.by_name.values():
            self.edge_changed(edge=edge)
        self.check_confirmations()

    def refused_order(self, *, order: Order) -> None:
        """Check a reply that finally rejects an order."""
        if order.digest in self.took_effect:
            self.fail(NO_LATE_REFUSAL, f"{order} took effect and is now rejected")
        self.refused.add(order.digest)

    def read_done(self, *, node: NodeView, floor: int, version: int) -> None:
        """Check a configuration read; `floor` was acknowledged before the read began."""
        if version < floor:
            self.fail(
                READ_FRESHNESS, f"{node.identity} returns {version}, {floor} was acknowledged"
            )

    def check_confirmations(self) -> None:
        """Check that no edge below a settled epoch finds a majority that may confirm its epoch.

        All edges are counted, since edges that are isolated from the cores may still reach
        each other.
        """
        now_us = self.world.now_us
        edges = self.world.sessions.edges.by_name.values()
        for edge in edges:
            holder = edge.lease_holder
            if holder.has_left or holder.epoch >= self.settled_epoch:
                continue
            confirming = [
                other.name
                for other in edges
                if other.lease_holder.epoch <= holder.epoch
                and leases.may_confirm(other.lease_holder, now_us=now_us)
            ]
            if holder.membership.has_majority(confirming):
                self.fail(
                    CONFIRMATION_FENCING,
                    f"{edge.name} at epoch {holder.epoch} is confirmed by {confirming}, "
                    f"{self.settled_epoch} is settled",
                )

    def edge_changed(self, *, edge: Edge) -> None:
        """Check that an edge holds no lease for an epoch older than a settled one."""
        self.check_confirmations()
        if not leases.has_lease(edge.lease_holder, now_us=self.world.now_us):
            return
        if edge.lease_holder.epoch < self.settled_epoch:
            self.fail(
                LEASE_FENCING,
                f"{edge.name} serves epoch {edge.lease_holder.epoch}, "
                f"{self.settled_epoch} is settled",
            )
