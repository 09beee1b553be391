"""The whole model: machines, network, operators, edges and one clock, driven by actions.

An action is a name and small numbers, so that a walk is a plain list: it can be run
again, shortened, and written down as a test. An action that does not fit the state it
meets (a crash of a machine that is down, a delivery where nothing travels) does nothing.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from typing import Any, Callable, NamedTuple

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model.checks import Checks
from kelpstage.testbed.model.node import Hooks, Node, seeded
from kelpstage.testbed.model.sessions import OrderCall, ReadCall, Sessions

ROUND_US = 20_000
RENEW_US = 400_000
BAG_LIMIT = 600
CATCH_UP_US = 5_000_000  # of undisturbed time; a replaced machine counts as repaired after it
HEARD_AGAIN_US = 500_000  # of undisturbed time; the leader has heard every member since
SILENCE_US = 1_500_000
STEPS_US = (1_000, 20_000, 100_000, 400_000, 1_700_000, 3_000_000)


class Action(NamedTuple):
    """One step of a walk."""

    name: str
    a: int = 0
    b: int = 0


@dataclass(frozen=True, kw_only=True)
class Scope:
    """How large the modelled system is.

    `machines` above `voters` are learners that stand by; `tolerance` disks may be lost
    for good before the first of them counts as repaired.
    """

    machines: int = 3
    voters: int = 3
    tolerance: int = 1
    operators: int = 2
    edges: int = 2


@dataclass(frozen=True, kw_only=True)
class Packet:
    """Something under way."""

    source: str
    to: str
    body: Any


@dataclass(frozen=True, kw_only=True)
class JoinCall:
    """A replica without a place, or without a leader, asks for one."""

    member: core.CoreMember


@dataclass(frozen=True, kw_only=True)
class LeaveCall:
    """A replica is about to stop for good and asks whether it may."""

    replica: str
    term: int
    last_index: int


@dataclass(frozen=True, kw_only=True)
class LeaveAnswer:
    """It may."""

    replica: str


class World:
    """The modelled system.

    >>> world = World(scope=Scope(), seed=1)
    >>> world.act(Action("rounds", 100)); world.leader() is not None
    True
    """

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
        self.sessions = Sessions(world=self, operators=scope.operators, edges=scope.edges)
        self.nodes: dict[str, Node] = {}
        self.bind_actions()
        self._found()

    def bind_actions(self) -> None:
        """Have the actions' names stand for this world's own methods."""
        self._actions = self._action_table()

    def random_for(self, *, name: str) -> random.Random:
        """The generator of one life of one replica."""
        return seeded(seed=self.seed, name=name)

    def make_lease_table(self) -> core.LeaseTable:
        """The lease table of a leader that was elected now."""
        return core.LeaseTable(since_us=self.now_us)

    def _found(self) -> None:
        names = [f"n{i}" for i in range(self.scope.machines)]
        founders = names[: self.scope.voters]
        members = [core.CoreMember(replica=n, address=n, is_voter=True) for n in founders]
        state = core.first_state(edges=list(self.sessions.edges))
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
        self._send_to_all(source=node.address, body=JoinCall(member=member))

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
        self._send_to_all(source=node.address, body=call)

    def _send_to_all(self, *, source: str, body: Any) -> None:
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
        if len(self.packets) > BAG_LIMIT:
            self.packets.popleft()

    def deliver(self, packet: Packet) -> None:
        """A packet arrives, unless its way is cut or nobody is there."""
        if (packet.source, packet.to) in self.cuts:
            return
        if {packet.source, packet.to} & self.muted:
            return
        node = self.nodes.get(packet.to)
        if node is None:
            self.sessions.hear(name=packet.to, body=packet.body)
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

    # --- actions -------------------------------------------------------------------------

    def act(self, action: Action) -> None:
        """Do one action, and check the invariants after each step of it."""
        self.steps += 1
        if action.name not in CALM_ACTIONS:
            self.calm_us = 0
        self._actions[action.name](action.a, action.b)

    def _action_table(self) -> dict[str, Callable[[int, int], None]]:
        return {
            "deliver": self._act_deliver,
            "drop": self._act_drop,
            "duplicate": self._act_duplicate,
            "tick": self._act_tick,
            "sync": self._act_sync,
            "crash": self._act_crash,
            "power": self._act_power,
            "start": self._act_start,
            "wipe": self._act_wipe,
            "freeze": self._act_freeze,
            "wake": self._act_wake,
            "cut": self._act_cut,
            "isolate": self._act_isolate,
            "heal": self._act_heal,
            "snapshot": self._act_snapshot,
            "fetch": self._act_fetch,
            "transfer": self._act_transfer,
            "leave": self._act_leave,
            "order": self._act_order,
            "repeat": self._act_repeat,
            "read": self._act_read,
            "renew": self._act_renew,
            "restart_edge": self._act_restart_edge,
            "mute": self._act_mute,
            "fill": self._act_fill,
            "rounds": self._act_rounds,
            "busy": self._act_busy,
        }

    def _act_deliver(self, a: int, b: int) -> None:
        if self.packets:
            self.deliver(self._take_packet(a))

    def _take_packet(self, place: int) -> Packet:
        place %= len(self.packets)
        packet = self.packets[place]
        del self.packets[place]
        return packet

    def _act_drop(self, a: int, b: int) -> None:
        if self.packets:
            self._take_packet(a)

    def _act_duplicate(self, a: int, b: int) -> None:
        if self.packets:
            self.deliver(self.packets[a % len(self.packets)])

    def _act_tick(self, a: int, b: int) -> None:
        node = self.node_at(a)
        step_us = STEPS_US[b % len(STEPS_US)]
        self.now_us += step_us
        if step_us >= SILENCE_US:
            self.lost.update(self.nodes)  # nobody heard anybody for that long
        if node.runs:
            node.tick()

    def _act_sync(self, a: int, b: int) -> None:
        node = self.node_at(a)
        if node.runs:
            node.sync(count=1 + b)

    def _act_crash(self, a: int, b: int) -> None:
        """A process is killed; `b` of its unsynced writes are on disk all the same, and
        an odd one finds a snapshot there without its segment."""
        node = self.node_at(a)
        if node.is_up:
            self.lost.add(node.address)
            node.crash(kept=b // 2, is_torn=bool(b % 2))
            self.sessions.node_ended(node=node)
            self.checks.disks_changed()

    def _act_power(self, a: int, b: int) -> None:
        """All machines lose power and start again, but for those in the bits of `b`."""
        for place, node in enumerate(self.nodes.values()):
            if b >> place & 1:
                continue
            was_lost = node.address in self.lost
            self._act_crash(place, 0)
            node.start()
            if not was_lost:
                self.lost.discard(node.address)  # a power cut of all counts for none

    def _act_start(self, a: int, b: int) -> None:
        node = self.node_at(a)
        if not node.is_up:
            node.start()

    def _act_wipe(self, a: int, b: int) -> None:
        """A disk is lost for good, if the deployment says that this is to be borne."""
        node = self.node_at(a)
        self._note_repairs()
        if len(self.lost | {node.address}) > self.scope.tolerance:
            return
        self.lost.add(node.address)
        node.replace_disk()
        self.sessions.node_ended(node=node)
        self.checks.disks_changed()
        node.start()

    def _note_repairs(self) -> None:
        """Lost machines count as repaired when all voters are there again with all that
        is committed, or after an undisturbed while, whatever the system made of it."""
        if self.calm_us >= CATCH_UP_US or (self.calm_us >= HEARD_AGAIN_US and self._is_whole()):
            self.lost.clear()

    def _is_whole(self) -> bool:
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

    def _act_freeze(self, a: int, b: int) -> None:
        node = self.node_at(a)
        if node.runs:
            self.lost.add(node.address)
            node.is_frozen = True

    def _act_wake(self, a: int, b: int) -> None:
        node = self.node_at(a)
        if node.is_frozen:
            node.is_frozen = False
            node.tick()

    def _act_cut(self, a: int, b: int) -> None:
        """One way."""
        source, to = self.node_at(a).address, self.node_at(b).address
        if source != to:
            self.lost.add(source)
            self.cuts.add((source, to))

    def _act_isolate(self, a: int, b: int) -> None:
        """Both ways, or with `b` 1 only what the machine sends, with 2 only what it hears."""
        one = self.node_at(a).address
        self.lost.add(one)
        for other in self.nodes:
            if other == one:
                continue
            if b != 2:
                self.cuts.add((one, other))
            if b != 1:
                self.cuts.add((other, one))

    def _act_heal(self, a: int, b: int) -> None:
        self.cuts.clear()

    def _act_snapshot(self, a: int, b: int) -> None:
        node = self.node_at(a)
        if node.runs:
            node.take_snapshot()

    def _act_fetch(self, a: int, b: int) -> None:
        node = self.node_at(a)
        if node.runs and node.fetches:
            node.advance_fetch(place=b)

    def _act_transfer(self, a: int, b: int) -> None:
        node = self.node_at(a)
        if node.runs:
            node.take(core.TransferLeadership())

    def _act_leave(self, a: int, b: int) -> None:
        """A planned stop, begun only while nothing is lost."""
        node = self.node_at(a)
        self._note_repairs()
        if node.runs and not self.lost:
            self.lost.add(node.address)
            node.is_leaving = True

    def _act_order(self, a: int, b: int) -> None:
        if not self.sessions.operators:
            return
        operator = self.sessions.operators[f"op{a % self.scope.operators}"]
        call = OrderCall(order=operator.order())
        self.send(source=operator.name, to=self.node_at(b).address, body=call)

    def _act_repeat(self, a: int, b: int) -> None:
        """An order that was acknowledged is sent again, at any node."""
        if not self.sessions.operators:
            return
        operator = self.sessions.operators[f"op{a % self.scope.operators}"]
        if operator.acknowledged:
            order = operator.acknowledged[b // len(self.nodes) % len(operator.acknowledged)]
            self.send(source=operator.name, to=self.node_at(b).address, body=OrderCall(order=order))

    def _act_read(self, a: int, b: int) -> None:
        call = ReadCall(floor=self.checks.newest_version)
        self.send(source="op0", to=self.node_at(a).address, body=call)

    def _act_renew(self, a: int, b: int) -> None:
        if self.sessions.edges:
            edge = self.sessions.edges[f"e{a % self.scope.edges}"]
            self.sessions.renew(edge=edge, to=self.node_at(b).address)

    def _act_restart_edge(self, a: int, b: int) -> None:
        if self.sessions.edges:
            self.sessions.restart_edge(edge=self.sessions.edges[f"e{a % self.scope.edges}"])

    def _act_mute(self, a: int, b: int) -> None:
        """An edge is cut off from all cores, or no longer so."""
        if self.sessions.edges:
            self.muted ^= {f"e{a % self.scope.edges}"}

    def _act_fill(self, a: int, b: int) -> None:
        """The leader's log grows by `a` entries that change no state."""
        leader = self.leader()
        for _ in range(a if leader is not None else 0):
            leader.take(core.Propose(kind=core.NOOP, data=b"", token=0))

    def _act_rounds(self, a: int, b: int) -> None:
        """Rounds in which all that travels arrives, all disks sync and all clocks tick."""
        for _ in range(a):
            self._round()

    def _act_busy(self, a: int, b: int) -> None:
        """Rounds with orders of all operators at the leader."""
        for _ in range(a):
            leader = self.leader()
            if leader is not None:
                place = list(self.nodes).index(leader.address)
                for number in range(self.scope.operators):
                    self._act_order(number, place)
            self._round()

    def _round(self) -> None:
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
        for edge in self.sessions.edges.values():
            if leader is not None and self.now_us - edge.renewed_us >= RENEW_US:
                self.sessions.renew(edge=edge, to=leader.address)


CALM_ACTIONS = frozenset({"rounds", "busy", "order", "repeat", "read", "renew", "snapshot", "fill"})
