"""The modelled system without its actions: machines, network, operators, edges and clock."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.checks import Checks
from kelpstage.testbed.model.node import Hooks, Node, seeded_random
from kelpstage.testbed.model.packets import JoinCall, LeaveCall, LeaveReply, Packet
from kelpstage.testbed.model.scope import Scope
from kelpstage.testbed.model.sessions import Sessions

ROUND_US = 20_000
RENEW_INTERVAL_US = 400_000
PACKET_LIMIT = 600
REPAIR_US = 5_000_000  # fault-free time after which a replaced machine counts as repaired
RECONNECT_US = 500_000  # fault-free time in which every member has answered the leader


class Cluster:
    """The machines, network, operators and edges that the actions work on."""

    def __init__(self, *, scope: Scope, seed: int, hooks: Hooks | None = None) -> None:
        self.scope = scope
        self.seed = seed
        self.hooks = hooks or Hooks()
        self.now_us = 0
        self.steps = 0
        self.packets: deque[Packet] = deque()
        self.blocked_links: set[tuple[str, str]] = set()
        self.muted_edges: set[str] = set()  # edges that are isolated from all cores
        self.faulty: set[str] = set()  # addresses of machines that are not repaired yet
        self.fault_free_us = 0
        self.checks = Checks(world=self)
        self.sessions = Sessions(world=self, scope=scope)
        self.nodes: dict[str, Node] = {}
        self._bootstrap()

    def random_for(self, *, name: str) -> random.Random:
        """Return the random generator of one start of one replica."""
        return seeded_random(seed=self.seed, name=name)

    def make_lease_table(self) -> leases.LeaseTable:
        """Return the lease table of a leader that is elected now."""
        return leases.LeaseTable(since_us=self.now_us)

    def _bootstrap(self) -> None:
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

    # --- joins and departures of members --------------------------------------------

    def request_join(self, *, node: Node) -> None:
        """Send a replica's request to join to every other machine."""
        member = core.CoreMember(replica=node.identity, address=node.address)
        self._broadcast(source=node.address, body=JoinCall(member=member))

    def request_leave(self, *, node: Node) -> None:
        """Request permission for a replica to stop; a leader first transfers its leadership."""
        if core.role_of(node.replica) == core.LEADER:
            node.step(core.TransferLeadership())
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

    def _handle_leave_call(self, *, node: Node, source: str, call: LeaveCall) -> None:
        if core.role_of(node.replica) != core.LEADER:
            return
        node.step(core.LeaveRequest(replica=call.replica))
        if core.may_leave(
            node.replica, leaving=call.replica, term=call.term, last_index=call.last_index
        ):
            self.send(source=node.address, to=source, body=LeaveReply(replica=call.replica))

    def _handle_leave_reply(self, *, node: Node, reply: LeaveReply) -> None:
        """Stop the member permanently, drop its disk, and start a new replica on its machine."""
        if not node.is_leaving or node.identity != reply.replica:
            return
        self.faulty.add(node.address)
        node.replace_disk()
        self.sessions.node_ended(node=node)
        self.checks.disks_changed()
        node.start()

    # --- the network ---------------------------------------------------------------

    def send(self, *, source: str, to: str, body: Any) -> None:
        """Send a message; above `PACKET_LIMIT` in flight, the oldest is dropped."""
        self.packets.append(Packet(source=source, to=to, body=body))
        if len(self.packets) > PACKET_LIMIT:
            self.packets.popleft()

    def deliver(self, packet: Packet) -> None:
        """Deliver a packet, unless its link is blocked or the receiver is down."""
        if (packet.source, packet.to) in self.blocked_links:
            return
        if {packet.source, packet.to} & self.muted_edges:
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
                node.step(core.JoinRequest(member=packet.body.member))
            return
        if isinstance(packet.body, LeaveCall):
            self._handle_leave_call(node=node, source=packet.source, call=packet.body)
            return
        if isinstance(packet.body, LeaveReply):
            self._handle_leave_reply(node=node, reply=packet.body)
            return
        if packet.source in self.nodes:
            node.step(core.Received(message=packet.body))
            return
        self.sessions.handle_call(node=node, source=packet.source, call=packet.body)

    def remove_packet(self, position: int) -> Packet:
        """Remove and return the packet at a position, modulo the number in flight."""
        position %= len(self.packets)
        packet = self.packets[position]
        del self.packets[position]
        return packet

    def snapshot_at(self, *, reader: Node, address: str, index: int) -> core.DiskSnapshot | None:
        """Return what a machine serves to a fetch of the snapshot at this index, if anything."""
        node = self.nodes.get(address)
        if node is None or not node.is_running or node.served_snapshot is None:
            return None
        if {(reader.address, address), (address, reader.address)} & self.blocked_links:
            return None
        return node.served_snapshot if node.served_snapshot.index >= index else None

    # --- queries -----------------------------------------------------------------------

    def leader(self) -> Node | None:
        """Return the running leader of the highest term."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.is_running and core.role_of(node.replica) == core.LEADER
        ]
        return max(leaders, key=lambda node: core.term_of(node.replica), default=None)

    def node_at(self, position: int) -> Node:
        """Return the machine at a position, modulo the number of machines."""
        names = list(self.nodes)
        return self.nodes[names[position % len(names)]]

    # --- repairs and rounds ----------------------------------------------------------

    def clear_repaired_faults(self) -> None:
        """Count no machine as faulty any more if the system has recovered.

        After `REPAIR_US` without a fault they count as repaired whether it has or not.
        """
        if self.fault_free_us >= REPAIR_US or (
            self.fault_free_us >= RECONNECT_US and self.is_recovered()
        ):
            self.faulty.clear()

    def is_recovered(self) -> bool:
        """True if all voters are connected and have all committed entries on disk.

        There must also be a leader whose newest membership is committed.
        """
        leader = self.leader()
        if (
            leader is None
            or self.blocked_links
            or not all(node.is_running for node in self.nodes.values())
        ):
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
        """Deliver all messages, sync all disks, run all timers and renew the leases."""
        self.now_us += ROUND_US
        is_healthy = not self.blocked_links and all(node.is_running for node in self.nodes.values())
        self.fault_free_us = self.fault_free_us + ROUND_US if is_healthy else 0
        for _ in range(len(self.packets)):
            self.deliver(self.packets.popleft())
        for node in self.nodes.values():
            if not node.is_running:
                continue
            node.sync(count=len(node.disk.queue))
            for _ in range(len(node.fetches)):
                node.advance_fetch(position=0)
            node.tick()
        self._renew_edges()

    def _renew_edges(self) -> None:
        leader = self.leader()
        for edge in self.sessions.edges.by_name.values():
            is_due = self.now_us - edge.renewed_us >= RENEW_INTERVAL_US
            if leader is not None and is_due and not edge.lease_holder.has_left:
                self.sessions.edges.renew(edge=edge, to=leader.address)
