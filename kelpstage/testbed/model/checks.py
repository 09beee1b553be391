"""The invariants, checked after every step over what all replicas did so far."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any, Mapping, Protocol

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.calls import Edge, Order
from kelpstage.testbed.model.interfaces import NodeView

STATE_COMPARED_EVERY = 64
COMPLETENESS_TAIL = 120

ELECTION_SAFETY = "election safety"
LOG_MATCHING = "log matching"
LEADER_COMPLETENESS = "leader completeness"
STATE_MACHINE_SAFETY = "state-machine safety"
COMMIT_MONOTONIC = "the commit index never falls"
COMMITTED_KEPT = "a committed entry stays in the log"
DURABILITY = "committed entries are on enough disks"
MEMBERSHIP_ALIVE = "the members left can go on"
ONE_ORDER_A_BASE = "one acknowledged order on each base version"
NO_LATE_REFUSAL = "no order that took effect is refused"
NO_EFFECT_AFTER_REFUSAL = "no refused order takes effect"
READ_FRESHNESS = "no read older than the newest acknowledgement before it"
LEASE_FENCING = "no lease for an epoch below a settled one"
CONFIRMATION_FENCING = "no majority that may confirm an epoch below a settled one"
OWN_ASSERTIONS = "the replica's own assertions"
LIVENESS = "liveness"

INVARIANTS = (
    ELECTION_SAFETY,
    LOG_MATCHING,
    LEADER_COMPLETENESS,
    STATE_MACHINE_SAFETY,
    COMMIT_MONOTONIC,
    COMMITTED_KEPT,
    DURABILITY,
    MEMBERSHIP_ALIVE,
    ONE_ORDER_A_BASE,
    NO_LATE_REFUSAL,
    NO_EFFECT_AFTER_REFUSAL,
    READ_FRESHNESS,
    LEASE_FENCING,
    OWN_ASSERTIONS,
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
    """An entry as it was first committed, and in which term that was."""

    term: int
    digest: bytes
    committed_in: int


def digest_of(entry: core.LogEntry) -> bytes:
    """What an entry holds, without its place."""
    return hashlib.sha1(bytes([entry.kind]) + entry.data).digest()


def _voters(members: list[core.CoreMember]) -> set[tuple[str, bool]]:
    return {(member.replica, member.is_voter) for member in members}


class EdgeHolder(Protocol):
    """Whoever holds the edges of the modelled system."""

    edges: dict[str, Edge]


class CheckedSystem(Protocol):
    """What the invariants need of the modelled system."""

    now_us: int

    @property
    def nodes(self) -> Mapping[str, NodeView]:
        """The machines by address."""

    @property
    def sessions(self) -> EdgeHolder:
        """The edges, by name."""


@dataclass(kw_only=True, eq=False)
class Checks:
    """What was seen of the whole system, by an observer who sees everything."""

    world: CheckedSystem
    leaders: dict[int, str] = field(default_factory=dict)
    committed: dict[int, CommittedEntry] = field(default_factory=dict)
    newest_committed: int = core.FOUNDING_INDEX
    members: list[core.CoreMember] = field(default_factory=list)  # committed
    commit_members: list[core.CoreMember] = field(default_factory=list)  # of the last commit
    written: dict[tuple[int, int], tuple[int, bytes]] = field(default_factory=dict)
    outcomes: dict[int, str] = field(default_factory=dict)
    states: dict[int, bytes] = field(default_factory=dict)
    commit_seen: dict[tuple[str, int], int] = field(default_factory=dict)
    acknowledged: dict[int, bytes] = field(default_factory=dict)  # base version -> order
    newest_version: int = 0
    settled_epoch: int = 0
    took_effect: set[bytes] = field(default_factory=set)
    refused: set[bytes] = field(default_factory=set)
    memberships: dict[int, list[core.CoreMember]] = field(default_factory=dict)
    membership_changes: int = 0
    snapshots_installed: int = 0

    def fail(self, invariant: str, detail: str) -> None:
        """End the walk: this invariant is broken."""
        raise InvariantViolated(invariant=invariant, detail=detail)

    # --- Raft -----------------------------------------------------------------------

    def started(self, *, node: NodeView) -> None:
        """A replica was made from its disk."""
        self.commit_seen[(node.identity, node.starts)] = core.commit_index_of(node.replica)

    def elected(self, *, node: NodeView, term: int) -> None:
        """A replica takes the lead of a term."""
        if self.leaders.setdefault(term, node.identity) != node.identity:
            self.fail(ELECTION_SAFETY, f"{self.leaders[term]} and {node.identity} lead term {term}")
        log = node.replica.log
        for index in range(
            self.newest_committed,
            max(log.base_index, self.newest_committed - COMPLETENESS_TAIL),
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
        """Entries were put into a log: an entry's term and index stand for all before it."""
        log = node.replica.log
        for entry in entries:
            previous = log.term_at(index=entry.index - 1)
            if previous is None:
                continue
            mark = (previous, digest_of(entry))
            if self.written.setdefault((entry.index, entry.term), mark) != mark:
                self.fail(
                    LOG_MATCHING,
                    f"{node.identity} has another entry {entry.index} of term {entry.term}, "
                    "or another one before it",
                )

    def committed_by(self, *, node: NodeView, entries: list[core.LogEntry]) -> None:
        """A replica learned that these entries are committed."""
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
                    f"{node.identity} commits another entry {entry.index}: term {mark.term}, "
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
        """A state machine applied an entry."""
        shown = repr(outcome)
        if self.outcomes.setdefault(entry.index, shown) != shown:
            self.fail(
                STATE_MACHINE_SAFETY,
                f"entry {entry.index} came to {shown} at {node.identity}, "
                f"to {self.outcomes[entry.index]} elsewhere",
            )
        if entry.index % STATE_COMPARED_EVERY == 0:
            self.compare_state(node=node)

    def compare_state(self, *, node: NodeView) -> None:
        """State machines that applied the same entries are in the same state."""
        state = hashlib.sha1(bytes(node.machine.state)).digest()
        if self.states.setdefault(node.applied, state) != state:
            self.fail(
                STATE_MACHINE_SAFETY,
                f"{node.identity} has another state after entry {node.applied}",
            )

    def installed_snapshot(self, *, node: NodeView, snapshot: core.DiskSnapshot) -> None:
        """A replica took another one's snapshot."""
        self.snapshots_installed += 1
        entry = self.committed.get(snapshot.index)
        if entry is not None and entry.term != snapshot.term:
            self.fail(STATE_MACHINE_SAFETY, f"the snapshot at {snapshot.index} has another term")
        state = hashlib.sha1(bytes(node.machine.state)).digest()
        if self.states.setdefault(snapshot.index, state) != state:
            self.fail(STATE_MACHINE_SAFETY, f"the snapshot at {snapshot.index} has another state")
        known = [index for index in self.memberships if index <= snapshot.index]
        if not known:
            return
        wanted = _voters(self.memberships[max(known)])
        if _voters(core.members_at(node.replica, index=snapshot.index)) != wanted:
            self.fail(
                STATE_MACHINE_SAFETY,
                f"{node.identity} has other members behind the snapshot at {snapshot.index}",
            )

    def stepped(self, *, node: NodeView) -> None:
        """After each event: the commit index rose or stayed, and the log holds it."""
        key = (node.identity, node.starts)
        commit = core.commit_index_of(node.replica)
        if commit < self.commit_seen[key]:
            self.fail(COMMIT_MONOTONIC, f"{node.identity} from {self.commit_seen[key]} to {commit}")
        self.commit_seen[key] = commit
        entry = self.committed.get(commit)
        if entry is not None and node.replica.log.term_at(index=commit) != entry.term:
            self.fail(COMMITTED_KEPT, f"{node.identity} has no entry {commit} of {entry.term}")

    # --- disks and members ----------------------------------------------------------------

    def disks_changed(self) -> None:
        """The newest committed entry is on a majority of the voters' disks, less those
        of them whose disks were lost since."""
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
            self.fail(MEMBERSHIP_ALIVE, f"{sorted(alive)} are left of the voters {sorted(voters)}")

    # --- orders, reads, leases ---------------------------------------------------------------

    def order_took_effect(self, *, order: Order) -> None:
        """The state machine took an order into force (or had done so before)."""
        if order.digest in self.refused:
            self.fail(NO_EFFECT_AFTER_REFUSAL, f"{order} was refused before")
        self.took_effect.add(order.digest)

    def acknowledged_order(self, *, order: Order, version: int, epoch: int) -> None:
        """Check a reply that acknowledges an order as in force everywhere."""
        known = self.acknowledged.setdefault(order.expected, order.digest)
        if known != order.digest:
            self.fail(ONE_ORDER_A_BASE, f"{order} beside another on {order.expected}")
        self.newest_version = max(self.newest_version, version)
        self.settled_epoch = max(self.settled_epoch, epoch)
        for edge in self.world.sessions.edges.by_name.values():
            self.edge_changed(edge=edge)
        self.edges_confirm()

    def refused_order(self, *, order: Order) -> None:
        """Check a reply that finally refuses an order."""
        if order.digest in self.took_effect:
            self.fail(NO_LATE_REFUSAL, f"{order} is refused on repeat")
        self.refused.add(order.digest)

    def read_done(self, *, node: NodeView, floor: int, version: int) -> None:
        """A configuration was read; `floor` was acknowledged before the read began."""
        if version < floor:
            self.fail(
                READ_FRESHNESS, f"{node.identity} answers {version}, {floor} was acknowledged"
            )

    def edges_confirm(self) -> None:
        """No edge below a settled epoch finds a majority that may confirm an epoch that old.

        Whoever is cut off may reach all that are, so the count is over all edges.
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
        """An edge holds no lease under an epoch older than one that is settled."""
        self.edges_confirm()
        if not leases.has_lease(edge.lease_holder, now_us=self.world.now_us):
            return
        if edge.lease_holder.epoch < self.settled_epoch:
            self.fail(
                LEASE_FENCING,
                f"{edge.name} serves epoch {edge.lease_holder.epoch}, "
                f"{self.settled_epoch} is settled",
            )
