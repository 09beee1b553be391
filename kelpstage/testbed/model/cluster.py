"""The modelled system without its actions: machines, network, operators, edges, one clock."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.checks import Checks
from kelpstage.testbed.model.node import Hooks, Node, seeded
from kelpstage.testbed.model.packets import JoinCall, LeaveAnswer, LeaveCall, Packet
from kelpstage.testbed.model.scope import Scope
from kelpstage.testbed.model.sessions import Sessions

ROUND_US = 20_000
RENEW_US = 400_000
PACKET_LIMIT = 600
CATCH_UP_US = 5_000_000  # of undisturbed time; a replaced machine counts as repaired after it
HEARD_AGAIN_US = 500_000  # of undisturbed time; every member has answered the leader since


class Cluster:
    """Machines, network, operators and edges; what each action works on."""

    def __init__(self, *, scope: Scope, seed: int, hooks: Hooks | None = None) -> None:
        self.scope = scope
        self.seed = seed
        self.hooks = hooks or Hooks()
        self.now_us = 0
        self.steps = 0
        self.packets: deque[Packet] = deque()
        self.cuts: set[tuple[str, str]] = set()
        self.muted: set[str] = set()  # edges that are cut off
        self.lost: set[str] = set()
        self.calm_us = 0
        self.checks = Checks(world=self)
        self.sessions = Sessions(world=self, scope=scope)
        self.nodes: dict[str, Node] = {}
        self._found()

    def random_for(self, *, name: str) -> random.Random:
        """The generator of one instance of one replica."""
        return seeded(seed=self.seed, name=name)

    def make_lease_table(self) -> leases.LeaseTable:
        """The lease table of a leader that was elected now."""
        return leases.LeaseTable(since_us=self.now_us)

    def _found(self) -> None:
        names = [f"n{i}" for i in range(self.scope.machines)]
        founders = names[: self.scope.voters]
        members = [core.CoreMember(replica=n, address=n, is_voter=True) for n in founders]
        state = self.sessions.edges.first_state()
        snapshot = core.DiskSnapshot(
            index=core.FOUNDING_INDEX,
            term=core.FOUNDING_TERM,
            members=members,
            state=bytes(state),
            cluster=core.CLUSTER,
        )
        self.checks.members = self.checks.commit_members = members
        for name in names:
            node = Node(address=name, world=self, identity=name)
            self.nodes[name] = node
            if name in founders:
                node.disk.snapshot = snapshot
                node.disk.term = core.FOUNDING_TERM
                node.disk.base_index = core.FOUNDING_INDEX
                node.disk.base_term = core.FOUNDING_TERM
        for node in self.nodes.values():
            node.start()

    # --- members that come and go ---------------------------------------------------

    def ask_place(self, *, node: Node) -> None:
        """A replica asks every other machine for its place."""
        member = core.CoreMember(replica=node.identity, address=node.address)
        self._broadcast(source=node.address, body=JoinCall(member=member))

    def ask_to_leave(self, *, node: Node) -> None:
        """A replica that is about to stop asks whether it may; a leader hands over first."""
        if core.role_of(node.replica) == core.LEADER:
            node.take(core.TransferLeadership())
            return
        call = LeaveCall(
            replica=node.identity,
            term=core.term_of(node.replica),
            last_index=node.replica.log.last_index,
        )
        self._broadcast(source=node.address, body=call)

    def _broadcast(self, *, source: str, body: Any) -> None:
        for address in self.nodes:
            if address != source:
                self.send(source=source, to=address, body=body)

    def _take_leave_call(self, *, node: Node, source: str, call: LeaveCall) -> None:
        if core.role_of(node.replica) != core.LEADER:
            return
        node.take(core.LeaveRequest(replica=call.replica))
        if core.may_leave(
            node.replica, leaving=call.replica, term=call.term, last_index=call.last_index
        ):
            self.send(source=node.address, to=source, body=LeaveAnswer(replica=call.replica))

    def _take_leave_answer(self, *, node: Node, answer: LeaveAnswer) -> None:
        """The member is gone for good, and its disk with it; another comes in its place."""
        if not node.is_leaving or node.identity != answer.replica:
            return
        self.lost.add(node.address)
        node.replace_disk()
        self.sessions.node_ended(node=node)
        self.checks.disks_changed()
        node.start()

    # --- the network ---------------------------------------------------------------

    def send(self, *, source: str, to: str, body: Any) -> None:
        """Put something under way; a flood drops the oldest."""
        self.packets.append(Packet(source=source, to=to, body=body))
        if len(self.packets) > PACKET_LIMIT:
            self.packets.popleft()

    def deliver(self, packet: Packet) -> None:
        """Deliver a packet, unless its path is cut or the receiver is down."""
        if (packet.source, packet.to) in self.cuts:
            return
        if {packet.source, packet.to} & self.muted:
            return
        node = self.nodes.get(packet.to)
        if node is None:
            self.sessions.receive(name=packet.to, body=packet.body)
            return
        if node.is_frozen:
            self.packets.append(packet)
            return
        if not node.is_up:
            return
        if isinstance(packet.body, JoinCall):
            if core.role_of(node.replica) == core.LEADER:
                node.take(core.JoinRequest(member=packet.body.member))
            return
        if isinstance(packet.body, LeaveCall):
            self._take_leave_call(node=node, source=packet.source, call=packet.body)
            return
        if isinstance(packet.body, LeaveAnswer):
            self._take_leave_answer(node=node, answer=packet.body)
            return
        if packet.source in self.nodes:
            node.take(core.Received(message=packet.body))
            return
        self.sessions.arrive(node=node, source=packet.source, call=packet.body)

    def take_packet(self, place: int) -> Packet:
        """Take a packet out of those under way, by its place counted round."""
        place %= len(self.packets)
        packet = self.packets[place]
        del self.packets[place]
        return packet

    def snapshot_at(self, *, reader: Node, address: str, index: int) -> core.DiskSnapshot | None:
        """What a machine gives to one that fetches the snapshot at this index."""
        node = self.nodes.get(address)
        if node is None or not node.runs or node.shown is None:
            return None
        if {(reader.address, address), (address, reader.address)} & self.cuts:
            return None
        return node.shown if node.shown.index >= index else None

    # --- what can be asked of it -------------------------------------------------------

    def leader(self) -> Node | None:
        """The running leader of the highest term."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.runs and core.role_of(node.replica) == core.LEADER
        ]
        return max(leaders, key=lambda node: core.term_of(node.replica), default=None)

    def node_at(self, place: int) -> Node:
        """A machine by its place, counted round."""
        names = list(self.nodes)
        return self.nodes[names[place % len(names)]]

    # --- repairs and rounds ----------------------------------------------------------

    def note_repairs(self) -> None:
        """Lost machines count as repaired when all voters are there again with all that
        is committed, or after an undisturbed while, whatever the system made of it."""
        if self.calm_us >= CATCH_UP_US or (self.calm_us >= HEARD_AGAIN_US and self.is_complete()):
            self.lost.clear()

    def is_complete(self) -> bool:
        """Are all voters there, connected, with all that is committed, under a leader
        that has no change of members under way?"""
        leader = self.leader()
        if leader is None or self.cuts or not all(node.runs for node in self.nodes.values()):
            return False
        if core.members_of(leader.replica) != self.checks.members:
            return False
        disks = {node.identity: node.disk for node in self.nodes.values()}
        voters = [m.replica for m in self.checks.members if m.is_voter]
        newest = self.checks.newest_committed
        entry = self.checks.committed.get(newest)
        return (
            entry is not None
            and len(voters) >= self.scope.voters
            and all(
                name in disks and disks[name].holds(index=newest, term=entry.term)
                for name in voters
            )
        )

    def run_round(self) -> None:
        """All that travels arrives, all disks sync, all clocks tick, leases are renewed."""
        self.now_us += ROUND_US
        is_whole = not self.cuts and all(node.runs for node in self.nodes.values())
        self.calm_us = self.calm_us + ROUND_US if is_whole else 0
        for _ in range(len(self.packets)):
            self.deliver(self.packets.popleft())
        for node in self.nodes.values():
            if not node.runs:
                continue
            node.sync(count=len(node.disk.queue))
            for _ in range(len(node.fetches)):
                node.advance_fetch(place=0)
            node.tick()
        self._renew_edges()

    def _renew_edges(self) -> None:
        leader = self.leader()
        for edge in self.sessions.edges.by_name.values():
            is_due = self.now_us - edge.renewed_us >= RENEW_US
            if leader is not None and is_due and not edge.lease_holder.has_left:
                self.sessions.edges.renew(edge=edge, to=leader.address)
