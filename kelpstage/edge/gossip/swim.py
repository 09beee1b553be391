"""Membership of edges, after SWIM: probe, probe through others, suspect, bury.

Plain: ticks and datagrams go in, datagrams to send come out. Each node counts
its own beat up; news of a higher beat clears a suspicion, so a member that is
alive need only be heard of by anybody.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Callable

from kelpstage.base.wire.messages import GossipMsg, MemberMsg, RumorMsg

ALIVE, SUSPECT, DEAD, LEAVING = 0, 1, 2, 3
STATUS_NAMES = {ALIVE: "alive", SUSPECT: "suspect", DEAD: "dead", LEAVING: "leaving"}
PING, ACK, PING_FOR = 1, 2, 3

TICK_US = 200_000
ACK_US = 250_000
INDIRECT_US = 350_000
SUSPECT_US = 800_000
FORGET_US = 120_000_000
TABLE_COUNT = 4
NEWS_US = 3_000_000

Sends = list[tuple[str, GossipMsg]]


@dataclass(kw_only=True)
class Member:
    info: MemberMsg
    since_us: int
    served: int = 0  # its newest blueprint version, over all its lives


@dataclass(kw_only=True)
class Probe:
    name: str
    sent_us: int
    is_indirect: bool = False
    for_whom: str = ""
    for_number: int = 0


@dataclass(frozen=True, kw_only=True)
class StatusChange:
    name: str
    status: int
    why: str


@dataclass(kw_only=True)
class Swim:
    """The table of edges, this one included.

    >>> def node(name): return Swim(me=MemberMsg(name=name, address=name, incarnation=1),
    ...     rand=random.Random(1), rumors=lambda: [], on_rumor=lambda rumor: None)
    >>> a, b = node("a"), node("b")
    >>> a.meet(name="b", address="b", incarnation=0, now_us=0)
    >>> [(to, ping)] = a.tick(now_us=TICK_US)
    >>> [(to, ack)] = b.heard(message=ping, now_us=TICK_US)
    >>> a.heard(message=ack, now_us=TICK_US), sorted(b.live())
    ([], ['a', 'b'])
    """

    me: MemberMsg
    rand: random.Random
    rumors: Callable[[], list[RumorMsg]]
    on_rumor: Callable[[RumorMsg], None]
    on_silent: Callable[[str], None] = lambda name: None
    on_ack: Callable[[str, int], None] = lambda name, took_us: None
    cluster: str = ""
    members: dict[str, Member] = field(default_factory=dict)
    changes: list[StatusChange] = field(default_factory=list)
    _probes: dict[int, Probe] = field(default_factory=dict)
    _number: int = 0
    _order: list[str] = field(default_factory=list)
    _ticks: int = 0
    _last_tick_us: int = 0

    # --- the table ------------------------------------------------------------------

    def meet(self, *, name: str, address: str, incarnation: int, now_us: int) -> None:
        """Hear of an edge by another way than gossip."""
        known = self.members.get(name)
        if name == self.me.name or not address:
            return
        if known is not None and known.info.incarnation >= incarnation:
            return
        info = MemberMsg(name=name, address=address, incarnation=incarnation)
        served = self.served(name=name)
        self.members[name] = Member(info=info, since_us=now_us, served=served)

    def live(self) -> list[str]:
        """Names of edges that are not dead or leaving, this one among them."""
        return sorted(
            [self.me.name]
            + [n for n, m in self.members.items() if m.info.status in (ALIVE, SUSPECT)]
        )

    def status(self, *, name: str) -> int:
        if name == self.me.name:
            return self.me.status
        member = self.members.get(name)
        return DEAD if member is None else member.info.status

    def served(self, *, name: str) -> int:
        """The newest blueprint version that a partner was heard to serve, over all its
        lives."""
        member = self.members.get(name)
        return 0 if member is None else max(member.served, member.info.version)

    def suspect(self, *, name: str, now_us: int, why: str) -> None:
        """Other lines may tell too: a refused connection, a missed window."""
        member = self.members.get(name)
        if member is not None and member.info.status == ALIVE:
            self._set_status(member=member, status=SUSPECT, now_us=now_us, why=why)

    def _set_status(self, *, member: Member, status: int, now_us: int, why: str) -> None:
        member.info.status = status
        member.since_us = now_us
        self.changes.append(StatusChange(name=member.info.name, status=status, why=why))

    # --- events -----------------------------------------------------------------------

    def tick(self, *, now_us: int) -> Sends:
        """A clock event: look at open probes, begin the next one."""
        self.me.beat += 1
        self._ticks += 1
        sends: Sends = []
        if now_us - self._last_tick_us > 3 * TICK_US:
            self._probes.clear()  # this process was away; the others were not
        self._last_tick_us = now_us
        for number, probe in list(self._probes.items()):
            sends += self._look_at(number=number, probe=probe, now_us=now_us)
        for member in list(self.members.values()):
            self._age(member=member, now_us=now_us)
        target = self._next_target()
        if target is not None:
            sends.append(self._ping(name=target, now_us=now_us))
        return sends

    def _look_at(self, *, number: int, probe: Probe, now_us: int) -> Sends:
        age_us = now_us - probe.sent_us
        if probe.for_whom:
            if age_us > ACK_US + INDIRECT_US:
                del self._probes[number]
            return []
        if age_us > ACK_US + INDIRECT_US:
            del self._probes[number]
            self.suspect(name=probe.name, now_us=now_us, why="no ack, directly or through others")
            return []
        if age_us <= ACK_US or probe.is_indirect:
            return []
        probe.is_indirect = True
        self.on_silent(probe.name)
        member = self.members.get(probe.name)
        others = [n for n in self._partners(statuses=(ALIVE,)) if n != probe.name]
        if member is None:
            return []
        return [
            self._message(
                to=name, kind=PING_FOR, number=number, target=probe.name,
                target_address=member.info.address,
            )
            for name in self.rand.sample(others, min(2, len(others)))
        ]

    def _age(self, *, member: Member, now_us: int) -> None:
        age_us = now_us - member.since_us
        if member.info.status == SUSPECT and age_us > SUSPECT_US:
            self._set_status(member=member, status=DEAD, now_us=now_us, why="suspicion ran out")
        elif member.info.status in (DEAD, LEAVING) and age_us > FORGET_US:
            del self.members[member.info.name]

    def _partners(self, *, statuses: tuple[int, ...]) -> list[str]:
        return sorted(n for n, m in self.members.items() if m.info.status in statuses)

    def _next_target(self) -> str | None:
        """Round-robin over the living; every fifth tick one of the others."""
        if self._ticks % 5 == 0:
            others = self._partners(statuses=(DEAD, LEAVING))
            if others:
                return self.rand.choice(others)
        while self._order:
            name = self._order.pop()
            if name in self.members and self.members[name].info.status in (ALIVE, SUSPECT):
                return name
        self._order = self._partners(statuses=(ALIVE, SUSPECT))
        self.rand.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _ping(self, *, name: str, now_us: int) -> tuple[str, GossipMsg]:
        self._number += 1
        self._probes[self._number] = Probe(name=name, sent_us=now_us)
        return self._message(to=name, kind=PING, number=self._number)

    def _message(
        self, *, to: str, kind: int, number: int, target: str = "", target_address: str = ""
    ) -> tuple[str, GossipMsg]:
        message = GossipMsg(
            kind=kind,
            number=number,
            target=target,
            target_address=target_address,
            sender=self.me,
            members=[self.members[name].info for name in self._table()],
            rumors=self.rumors(),
            cluster=self.cluster,
        )
        member = self.members.get(to)
        return (member.info.address if member else to), message

    def _table(self) -> list[str]:
        """Members whose status changed lately, and a few of the others by lot."""
        known = [name for name in sorted(self.members) if self.members[name].info.beat]
        news = [
            name
            for name in known
            if self.members[name].info.status != ALIVE
            or self._last_tick_us - self.members[name].since_us < NEWS_US
        ]
        rest = [name for name in known if name not in news]
        return news + self.rand.sample(rest, min(TABLE_COUNT, len(rest)))

    def spread(self) -> Sends:
        """News that should not wait for the next tick, to every living partner."""
        names = self._partners(statuses=(ALIVE, SUSPECT))
        if not names:
            return []
        _, news = self._message(to=names[0], kind=ACK, number=0)
        return [(self.members[name].info.address, news) for name in names]

    def heard(self, *, message: GossipMsg, now_us: int) -> Sends:
        """A datagram came."""
        if message.cluster and self.cluster and message.cluster != self.cluster:
            return []
        sender = message.sender
        if sender.name == self.me.name:
            return []
        self._merge(info=sender, now_us=now_us)
        for info in message.members:
            self._merge(info=info, now_us=now_us)
        for rumor in message.rumors:
            self.on_rumor(rumor)
        if message.kind == PING:
            return [self._message(to=sender.name, kind=ACK, number=message.number)]
        if message.kind == PING_FOR:
            return self._probe_for(message=message, now_us=now_us)
        return self._take_ack(message=message, now_us=now_us)

    def _probe_for(self, *, message: GossipMsg, now_us: int) -> Sends:
        self._number += 1
        self._probes[self._number] = Probe(
            name=message.target,
            sent_us=now_us,
            for_whom=message.sender.name,
            for_number=message.number,
        )
        _, ping = self._message(to=message.target, kind=PING, number=self._number)
        return [(message.target_address, ping)]

    def _take_ack(self, *, message: GossipMsg, now_us: int) -> Sends:
        probe = self._probes.get(message.number)
        if probe is None:
            return []
        if probe.for_whom:
            if message.sender.name != probe.name:
                return []
            del self._probes[message.number]
            return [self._message(to=probe.for_whom, kind=ACK, number=probe.for_number)]
        # An ack through another carries the target's newest beat in its table.
        if message.sender.name == probe.name:
            self.on_ack(probe.name, now_us - probe.sent_us)
        del self._probes[message.number]
        return []

    def _merge(self, *, info: MemberMsg, now_us: int) -> None:
        if info.name == self.me.name:
            self._refute(info=info)
            return
        known = self.members.get(info.name)
        if known is None:
            self.members[info.name] = Member(info=info, since_us=now_us)
            return
        old = known.info
        mark, old_mark = (info.incarnation, info.beat), (old.incarnation, old.beat)
        if mark < old_mark or mark == old_mark and info.status <= old.status:
            return
        known.served = max(known.served, old.version)
        known.info = info
        if info.status != old.status:
            known.since_us = now_us
            self.changes.append(
                StatusChange(name=info.name, status=info.status, why="heard by gossip")
            )

    def _refute(self, *, info: MemberMsg) -> None:
        if info.incarnation == self.me.incarnation and info.status in (SUSPECT, DEAD):
            self.me.beat = max(self.me.beat, info.beat + 1)
