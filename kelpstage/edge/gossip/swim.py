"""Membership of edges by SWIM (Das, Gupta, Motivala 2002): ping, ping-req, suspect, confirm.

The protocol is plain state without I/O: it receives ticks and datagrams and returns datagrams
to send. Each edge increments its own beat; a higher beat refutes a suspicion, so any message
that carries a member's beat shows that the member is alive. The parts are the member table
(`members.py`), the merging of reports (`membership.py`), the choice of members to probe
(`probing.py`) and the choice of updates to send (`dissemination.py`).

The size of a message does not depend on the number of members: it carries a few updates and
a random sample of the members.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Callable

from kelpstage.common.transport.messages import BackendStateMsg, GossipMsg, MemberMsg
from kelpstage.edge.gossip.members import (
    SUSPECT,
    Group,
    Member,
    MemberTable,
    StatusChange,
)
from kelpstage.edge.gossip.membership import Membership
from kelpstage.edge.gossip.probing import Probe, ProbeTargets, probe_ticks


class MessageKind(IntEnum):
    """Kinds of messages, as in the SWIM paper; the numbers are sent and must not change."""

    PING = 1
    ACK = 2
    PING_REQ = 3  # asks the receiver to ping another member for the sender


PING, ACK, PING_REQ = MessageKind

TICK_US = 200_000  # the protocol period
ACK_TIMEOUT_US = 250_000  # after a ping; then the member is probed indirectly
INDIRECT_TIMEOUT_US = 350_000  # additional time for an indirect ack; then it is suspected
SAMPLE_COUNT, LARGE_SAMPLE_COUNT = 4, 2  # size of the random sample, in small and larger fleets
SPREAD_COUNT = 12  # peers notified at once, unless the fleet is small

# Messages to send, each with its address.
Sends = list[tuple[str, GossipMsg]]


@dataclass(kw_only=True)
class Swim:
    """The SWIM protocol of one edge.

    `backend_states` returns the backend states that a message carries, and
    `on_backend_state` processes a received one. `on_ping_timeout` gets the name of a member that
    did not acknowledge a ping in time, `on_ack` that of a member that did and the round
    trip in microseconds. `is_near` is true for a zone in this edge's region.

    >>> def node(name): return Swim(me=MemberMsg(name=name, address=name, incarnation=1),
    ...     rand=random.Random(1), backend_states=lambda: [],
    ...     on_backend_state=lambda backend_state: None)
    >>> a, b = node("a"), node("b")
    >>> a.add_peer(name="b", address="b", incarnation=0, now_us=0)
    >>> [(to, ping)] = a.tick(now_us=TICK_US)
    >>> [(to, ack)] = b.on_message(message=ping, now_us=TICK_US)
    >>> a.on_message(message=ack, now_us=TICK_US), sorted(b.live())
    ([], ['a', 'b'])
    """

    me: MemberMsg
    rand: random.Random
    backend_states: Callable[[], list[BackendStateMsg]]
    on_backend_state: Callable[[BackendStateMsg], None]
    on_ping_timeout: Callable[[str], None] = lambda name: None
    on_ack: Callable[[str, int], None] = lambda name, took_us: None
    is_near: Callable[[str], bool] = lambda zone: True
    cluster: str = ""
    members: dict[str, Member] = field(init=False)
    _probes: dict[int, Probe] = field(default_factory=dict)
    _number: int = 0  # of the latest probe
    _ticks: int = 0
    _last_tick_us: int = 0

    def __post_init__(self) -> None:
        self._table = MemberTable(me=self.me, is_near=lambda zone: self.is_near(zone))
        self._membership = Membership(me=self.me, table=self._table, tick_us=TICK_US)
        self._targets = ProbeTargets(table=self._table, rand=self.rand)
        self.members = self._table.members

    # --- the members ----------------------------------------------------------------

    def add_peer(
        self, *, name: str, address: str, incarnation: int, now_us: int, zone: str = ""
    ) -> None:
        """Add an edge that was discovered by other means than gossip."""
        self._membership.add_peer(
            name=name, address=address, incarnation=incarnation, now_us=now_us, zone=zone
        )

    def suspect(self, *, name: str, now_us: int, why: str, asked_us: int = 0) -> None:
        """Suspect a member for the reason `why`; `asked_us` is when it was asked."""
        self._membership.suspect(name=name, now_us=now_us, why=why, asked_us=asked_us)

    def raise_incarnation(self, *, incarnation: int) -> None:
        """Raise this edge's incarnation above one that is known for its name."""
        self._membership.raise_incarnation(incarnation=incarnation)

    def status(self, *, name: str) -> int:
        """The status of an edge; `DEAD` if the edge is unknown."""
        return self._membership.status(name=name)

    def served_version(self, *, name: str) -> int:
        """The newest configuration version that a peer has reported."""
        return self._membership.served_version(name=name)

    def live(self) -> list[str]:
        """Names of edges that are not dead or leaving, including this edge."""
        return self._table.group(Group.LIVE)

    def known_count(self) -> int:
        """The number of edges of which more than the address is known, including this edge."""
        return len(self._table.group(Group.KNOWN)) + 1

    def random_peer(self) -> str | None:
        """A random member that is alive, in most cases from this edge's region."""
        return self._targets.random_peer()

    def table(self) -> list[bytes]:
        """All known members in serialized form, for an edge that knows few."""
        return self._membership.packed_members()

    def merge_table(self, *, table: list[bytes], now_us: int) -> None:
        """Merge another edge's member table."""
        self._membership.merge_table(table=table, now_us=now_us)

    def take_changes(self) -> list[StatusChange]:
        """Return the changes of status since the last call, and clear them."""
        return self._table.take_changes()

    # --- events -----------------------------------------------------------------------

    def tick(self, *, now_us: int) -> Sends:
        """Process a clock tick: check the open probes and start the next one."""
        self.me.beat += 1
        self._ticks += 1
        if self._membership.started_us is None:
            self._membership.started_us = now_us
        sends: Sends = []
        if now_us - self._last_tick_us > 3 * TICK_US:
            self._probes.clear()  # this process was paused, not the members
        self._last_tick_us = now_us
        for number, probe in list(self._probes.items()):
            sends += self._check_probe(number=number, probe=probe, now_us=now_us)
        for name in list(self._table.not_alive):
            self._membership.expire(name=name, now_us=now_us)
        if self._ticks % probe_ticks(count=len(self.members) + 1):
            return sends
        target = self._targets.next()
        if target is not None:
            sends.append(self._ping(name=target, now_us=now_us))
        return sends

    def _check_probe(self, *, number: int, probe: Probe, now_us: int) -> Sends:
        age_us = now_us - probe.sent_us
        if probe.requester:
            if age_us > ACK_TIMEOUT_US + INDIRECT_TIMEOUT_US:
                del self._probes[number]
            return []
        if age_us > ACK_TIMEOUT_US + INDIRECT_TIMEOUT_US:
            del self._probes[number]
            self.suspect(
                name=probe.name,
                now_us=now_us,
                asked_us=probe.sent_us,
                why="no ack to a direct or an indirect probe",
            )
            return self._notify_of_suspect(name=probe.name, now_us=now_us)
        if age_us <= ACK_TIMEOUT_US or probe.is_indirect:
            return []
        probe.is_indirect = True
        self.on_ping_timeout(probe.name)
        member = self.members.get(probe.name)
        if member is None:
            return []
        return [
            self._build_message(
                to=name,
                kind=PING_REQ,
                number=number,
                target=probe.name,
                target_address=member.info.address,
            )
            for name in self._targets.relays(target=probe.name)
        ]

    def _notify_of_suspect(self, *, name: str, now_us: int) -> Sends:
        """Notify the suspect, whose ack refutes the suspicion, and some peers at once.

        In a large fleet an update takes time to spread, and the suspect itself may be the
        last to receive it.
        """
        member = self.members.get(name)
        if self._table.is_small or member is None or member.info.status != SUSPECT:
            return []
        is_new = member.status_since_us == now_us
        return [self._ping(name=name, now_us=now_us)] + (self.send_updates() if is_new else [])

    def _ping(self, *, name: str, now_us: int) -> tuple[str, GossipMsg]:
        self._number += 1
        self._probes[self._number] = Probe(name=name, sent_us=now_us)
        return self._build_message(to=name, kind=PING, number=self._number)

    def _build_message(
        self, *, to: str, kind: MessageKind, number: int, target: str = "", target_address: str = ""
    ) -> tuple[str, GossipMsg]:
        packed = self._membership.packed
        message = GossipMsg(
            kind=kind,
            number=number,
            target=target,
            target_address=target_address,
            sender=self.me,
            members=[packed(name=name) for name in self._members_to_send(to=to, kind=kind)],
            backend_states=self.backend_states(),
            cluster=self.cluster,
        )
        member = self.members.get(to)
        return (member.info.address if member else to), message

    def _members_to_send(self, *, to: str, kind: MessageKind) -> list[str]:
        """Members with an update to send, and a random sample of the known members.

        A receiver that is believed not alive also gets the report of itself, so that it can
        refute it.
        """
        updates = self._membership.updates.next(member_count=len(self.members))
        is_lost = self._membership.needs_refutation(name=to)
        if is_lost and to not in updates and self.members[to].info.beat:
            updates.append(to)
        if not self._table.is_small and kind == ACK:
            return updates
        count = SAMPLE_COUNT if self._table.is_small else LARGE_SAMPLE_COUNT
        known = self._table.group(Group.KNOWN)
        sample = self.rand.sample(known, min(count, len(known)))
        return updates + [name for name in sample if name not in updates]

    def send_updates(self) -> Sends:
        """Send updates now, without waiting for the next tick.

        They go to every live peer in a small fleet, else to a few random ones that send them
        on.
        """
        names = self._table.group(Group.PEERS)
        if not names:
            return []
        if not self._table.is_small:
            names = self.rand.sample(names, min(SPREAD_COUNT, len(names)))
        _, message = self._build_message(to="", kind=ACK, number=0)
        return [(self.members[name].info.address, message) for name in names]

    def on_message(self, *, message: GossipMsg, now_us: int) -> Sends:
        """Process a received datagram; returns the messages to send in response."""
        if message.cluster and self.cluster and message.cluster != self.cluster:
            return []
        sender = message.sender
        if sender.name == self.me.name:
            return []
        self._membership.merge(info=sender, now_us=now_us, is_direct=True)
        for packed in message.members:
            self._membership.merge_packed(packed=packed, now_us=now_us)
        for backend_state in message.backend_states:
            self.on_backend_state(backend_state)
        if message.kind == PING:
            return [self._build_message(to=sender.name, kind=ACK, number=message.number)]
        if message.kind == PING_REQ:
            return self._on_ping_req(message=message, now_us=now_us)
        return self._on_ack_received(message=message, now_us=now_us)

    def _on_ping_req(self, *, message: GossipMsg, now_us: int) -> Sends:
        self._number += 1
        self._probes[self._number] = Probe(
            name=message.target,
            sent_us=now_us,
            requester=message.sender.name,
            requester_number=message.number,
        )
        _, ping = self._build_message(to=message.target, kind=PING, number=self._number)
        return [(message.target_address, ping)]

    def _on_ack_received(self, *, message: GossipMsg, now_us: int) -> Sends:
        probe = self._probes.get(message.number)
        if probe is None:
            return []
        if probe.requester:
            if message.sender.name != probe.name:
                return []
            del self._probes[message.number]
            _, ack = self._build_message(
                to=probe.requester, kind=ACK, number=probe.requester_number
            )
            if probe.name in self.members:
                ack.members.append(self._membership.packed(name=probe.name))
            member = self.members.get(probe.requester)
            return [(member.info.address if member else probe.requester, ack)]
        # An indirect ack carries the target's newest beat among its members.
        if message.sender.name == probe.name:
            self.on_ack(probe.name, now_us - probe.sent_us)
        del self._probes[message.number]
        return []
