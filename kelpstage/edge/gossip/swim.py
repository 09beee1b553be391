"""Membership of edges, after SWIM: probe, probe through others, suspect, bury.

Plain: ticks and datagrams go in, datagrams to send come out. Each node counts
its own beat up; news of a higher beat clears a suspicion, so a member that is
alive need only be heard of by anybody.

A message costs the same however many members there are: what changed is told a
bounded number of times (as SWIM's piggy-backed updates are), a few at a time,
the least told first, and beside it a few members by lot. In a fleet that is not
small most probes stay in the own region, and beyond a hundred members or so they
grow rarer with the logarithm of their number.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from itertools import islice
from typing import Callable

from kelpstage.common.transport.messages import BackendStateMsg, GossipMsg, MemberMsg

ALIVE, SUSPECT, DEAD, LEAVING = 0, 1, 2, 3
STATUS_NAMES = {ALIVE: "alive", SUSPECT: "suspect", DEAD: "dead", LEAVING: "leaving"}
PING, ACK, PING_FOR = 1, 2, 3

TICK_US = 200_000
ACK_US = 250_000
INDIRECT_US = 350_000
SUSPECT_US = 800_000
FORGET_US = 120_000_000
SMALL_COUNT = 20  # fleets up to this size: every peer alike, everyone told at once
LOT_COUNT = 4
LARGE_LOT_COUNT = 2
NEWS_COUNT = 6
SMALL_TOLD = 16
READY_TOLD = 4
NEWS_TOLD = 4  # more than the logarithm of the number of members
FAR_EVERY = 4
SPARSE_FROM = 50
SPREAD_COUNT = 12
BORN_US = 10_000_000  # whoever is younger takes the others for known
STALE_US = 5_000_000
NAME_KEY = b"\x0a"  # what a packed member begins with, then its name's length

Sends = list[tuple[str, GossipMsg]]


@dataclass(kw_only=True)
class Member:
    info: MemberMsg
    since_us: int
    served: int = 0  # its newest configuration version, over all its lives
    packed: bytes = b""  # `info` as it travels; empty once it has changed
    seen_beat: int = 0  # the freshest beat that was heard, and when
    seen_us: int = 0
    heard_us: int = 0  # when anything new of it was heard last

    def saw(self, *, beat: int, now_us: int, is_direct: bool) -> None:
        """What came by others may be old by the time that it arrives."""
        if is_direct or beat >= self.beat_at(now_us=now_us):
            self.seen_beat, self.seen_us = beat, now_us

    def beat_at(self, *, now_us: int) -> int:
        """The beat that this member has by now, if it is well."""
        return self.seen_beat + max(0, now_us - self.seen_us) // TICK_US


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


def probe_ticks(*, count: int) -> int:
    """Ticks from one probe to the next, for this many members.

    >>> [probe_ticks(count=count) for count in (10, 90, 200, 1400)]
    [1, 1, 2, 5]
    """
    return max(1, round(math.log2(max(1, count) / SPARSE_FROM)))


def times_told(*, count: int) -> int:
    """How often one node tells a piece of news, for this many members. With k tellings
    by each that heard it, a share of about exp(-k) hears it by lot only.

    >>> [times_told(count=count) for count in (10, 90, 1400)]
    [16, 11, 15]
    """
    if count < SMALL_COUNT:
        return SMALL_TOLD
    return NEWS_TOLD + math.ceil(math.log2(count))


@dataclass(kw_only=True)
class Swim:
    """The table of edges, this one included.

    `is_near` tells whether a zone lies in this node's region.

    >>> def node(name): return Swim(me=MemberMsg(name=name, address=name, incarnation=1),
    ...     rand=random.Random(1), backend_states=lambda: [],
    ...     on_backend_state=lambda backend_state: None)
    >>> a, b = node("a"), node("b")
    >>> a.meet(name="b", address="b", incarnation=0, now_us=0)
    >>> [(to, ping)] = a.tick(now_us=TICK_US)
    >>> [(to, ack)] = b.heard(message=ping, now_us=TICK_US)
    >>> a.heard(message=ack, now_us=TICK_US), sorted(b.live())
    ([], ['a', 'b'])
    """

    me: MemberMsg
    rand: random.Random
    backend_states: Callable[[], list[BackendStateMsg]]
    on_backend_state: Callable[[BackendStateMsg], None]
    on_silent: Callable[[str], None] = lambda name: None
    on_ack: Callable[[str, int], None] = lambda name, took_us: None
    is_near: Callable[[str], bool] = lambda zone: True
    cluster: str = ""
    members: dict[str, Member] = field(default_factory=dict)
    changes: list[StatusChange] = field(default_factory=list)
    _probes: dict[int, Probe] = field(default_factory=dict)
    _number: int = 0
    _near: list[str] = field(default_factory=list)
    _far: list[str] = field(default_factory=list)
    _begun: int = 0
    _ticks: int = 0
    _last_tick_us: int = 0
    _born_us: int | None = None
    _fresh: dict[str, None] = field(default_factory=dict)  # news that was not told yet
    _news: dict[str, int] = field(default_factory=dict)  # told so often, the latest last
    _odd: dict[str, None] = field(default_factory=dict)  # those that are not alive
    _outranked: dict[str, None] = field(default_factory=dict)  # speak as of a former life
    _lists: dict[str, list[str]] = field(default_factory=dict)  # made when asked for

    # --- the table ------------------------------------------------------------------

    def meet(
        self, *, name: str, address: str, incarnation: int, now_us: int, zone: str = ""
    ) -> None:
        """Hear of an edge by another way than gossip."""
        known = self.members.get(name)
        if name == self.me.name or not address:
            return
        if known is not None and known.info.incarnation >= incarnation:
            return
        info = MemberMsg(name=name, address=address, incarnation=incarnation, zone=zone)
        if known is not None:
            info.zone, info.http = zone or known.info.zone, known.info.http
        served = self.served(name=name)
        self.members[name] = Member(info=info, since_us=now_us, served=served)
        self._forget_news(name=name)  # told once it has spoken itself
        self._note(name=name)

    def _note(self, *, name: str, is_news: bool = False) -> None:
        """A member is new, gone or of another status: lists made before are void."""
        self._lists.clear()
        member = self.members.get(name)
        if member is None or member.info.status == ALIVE:
            self._odd.pop(name, None)
        else:
            self._odd[name] = None
        if is_news and member is not None:
            self._tell(name=name)

    def _tell(self, *, name: str) -> None:
        """This is news: it goes out before what was told already."""
        self._forget_news(name=name)
        self._fresh[name] = None

    def _forget_news(self, *, name: str) -> None:
        self._fresh.pop(name, None)
        self._news.pop(name, None)

    def _next_news(self) -> list[str]:
        """A few pieces of news, the newest first, then the least lately told; each is
        told so often."""
        names = list(islice(reversed(self._fresh), NEWS_COUNT))
        names += islice(self._news, NEWS_COUNT - len(names))
        limit = times_told(count=len(self.members))
        for name in names:
            told = self._news.pop(name, 0) + 1
            self._fresh.pop(name, None)
            if told < limit:
                self._news[name] = told
        return names

    def live(self) -> list[str]:
        """Names of edges that are not dead or leaving, this one among them."""
        return self._list(key="live")

    def _list(self, *, key: str) -> list[str]:
        """A sorted list of names, kept until the table changes."""
        if key not in self._lists:
            self._lists[key] = sorted(self._make_list(key=key))
        return self._lists[key]

    def _make_list(self, *, key: str) -> list[str]:
        if key == "live":
            return [self.me.name, *self._list(key="partners")]
        if key == "partners":
            return [n for n, m in self.members.items() if m.info.status in (ALIVE, SUSPECT)]
        if key == "alive":
            return [n for n, m in self.members.items() if m.info.status == ALIVE]
        if key == "told":
            return [n for n, m in self.members.items() if m.info.beat]
        return [name for name in self._list(key="partners") if self._is_of(name=name, key=key)]

    def _is_of(self, *, name: str, key: str) -> bool:
        if key == "partners":
            return True
        zone = self.members[name].info.zone or self.me.zone
        return self.is_near(zone) == (key == "near")

    def status(self, *, name: str) -> int:
        if name == self.me.name:
            return self.me.status
        member = self.members.get(name)
        return DEAD if member is None else member.info.status

    def served(self, *, name: str) -> int:
        """The newest configuration version that a peer was heard to serve, over all its
        lives."""
        member = self.members.get(name)
        return 0 if member is None else max(member.served, member.info.version)

    def suspect(self, *, name: str, now_us: int, why: str, asked_us: int = 0) -> None:
        """Other lines may tell too: a refused connection, a missed window. What is
        suspected is that it was silent at the beat that it had when it was asked: else
        whoever heard of it a little later than this node would not believe it."""
        member = self.members.get(name)
        if member is not None and member.info.status == ALIVE:
            if member.info.beat:
                beat = member.beat_at(now_us=asked_us or now_us)
                member.info.beat = max(member.info.beat, beat)
            self._set_status(member=member, status=SUSPECT, now_us=now_us, why=why)

    def _set_status(self, *, member: Member, status: int, now_us: int, why: str) -> None:
        member.info.status = status
        member.packed = b""
        member.since_us = now_us
        self._note(name=member.info.name, is_news=bool(member.info.beat))
        self.changes.append(StatusChange(name=member.info.name, status=status, why=why))

    @property
    def is_small(self) -> bool:
        return len(self.members) < SMALL_COUNT

    # --- events -----------------------------------------------------------------------

    def tick(self, *, now_us: int) -> Sends:
        """A clock event: look at open probes, begin the next one."""
        self.me.beat += 1
        self._ticks += 1
        if self._born_us is None:
            self._born_us = now_us
        sends: Sends = []
        if now_us - self._last_tick_us > 3 * TICK_US:
            self._probes.clear()  # this process was away; the others were not
        self._last_tick_us = now_us
        for number, probe in list(self._probes.items()):
            sends += self._look_at(number=number, probe=probe, now_us=now_us)
        for name in list(self._odd):
            self._age(name=name, now_us=now_us)
        if self._ticks % probe_ticks(count=len(self.members) + 1):
            return sends
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
            self.suspect(
                name=probe.name,
                now_us=now_us,
                asked_us=probe.sent_us,
                why="no ack, directly or through others",
            )
            return self._tell_of_suspect(name=probe.name, now_us=now_us)
        if age_us <= ACK_US or probe.is_indirect:
            return []
        probe.is_indirect = True
        self.on_silent(probe.name)
        member = self.members.get(probe.name)
        if member is None:
            return []
        return [
            self._message(
                to=name,
                kind=PING_FOR,
                number=number,
                target=probe.name,
                target_address=member.info.address,
            )
            for name in self._go_betweens(target=probe.name)
        ]

    def _go_betweens(self, *, target: str) -> list[str]:
        """Two others that probe in this node's place; where there are regions, one of
        them in this one, so that not both are beyond the same cut."""
        others = [n for n in self._list(key="alive") if n != target]
        if self.is_small:
            return self.rand.sample(others, min(2, len(others)))
        near = [n for n in self._list(key="near") if n != target and n not in self._odd]
        first = self.rand.sample(near, min(1, len(near)))
        rest = [n for n in others if n not in first]
        return first + self.rand.sample(rest, min(2 - len(first), len(rest)))

    def _tell_of_suspect(self, *, name: str, now_us: int) -> Sends:
        """In a large fleet news takes its time, and the suspect itself may be the last
        to hear of it: tell some at once, and the suspect, whose answer clears it."""
        member = self.members.get(name)
        if self.is_small or member is None or member.info.status != SUSPECT:
            return []
        is_new = member.since_us == now_us
        return [self._ping(name=name, now_us=now_us)] + (self.spread() if is_new else [])

    def _age(self, *, name: str, now_us: int) -> None:
        member = self.members[name]
        age_us = now_us - member.since_us
        if member.info.status == SUSPECT and age_us > SUSPECT_US:
            self._set_status(member=member, status=DEAD, now_us=now_us, why="suspicion ran out")
        elif member.info.status in (DEAD, LEAVING) and age_us > FORGET_US:
            del self.members[name]
            self._outranked.pop(name, None)
            self._forget_news(name=name)
            self._note(name=name)

    def _next_target(self) -> str | None:
        """Attempt-robin over the living, in a fleet that is not small mostly those near;
        every fifth time one of the others."""
        self._begun += 1
        if self._begun % 5 == 0:
            others = [n for n in self._odd if self.members[n].info.status != SUSPECT]
            if others:
                return self.rand.choice(others)
        if self.is_small:
            return self._pop_target(order=self._near, key="partners")
        is_far = self._begun % FAR_EVERY == 0
        ways = [(self._near, "near"), (self._far, "far")]
        for order, key in reversed(ways) if is_far else ways:
            target = self._pop_target(order=order, key=key)
            if target is not None:
                return target
        return None

    def _pop_target(self, *, order: list[str], key: str) -> str | None:
        while order:
            name = order.pop()
            if name not in self.members or not self._is_of(name=name, key=key):
                continue
            if self.members[name].info.status in (ALIVE, SUSPECT):
                return name
        order += self._list(key=key)
        self.rand.shuffle(order)
        return order.pop() if order else None

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
            members=[self._packed(name=name) for name in self._table(to=to, kind=kind)],
            backend_states=self.backend_states(),
            cluster=self.cluster,
        )
        member = self.members.get(to)
        return (member.info.address if member else to), message

    def _packed(self, *, name: str) -> bytes:
        member = self.members[name]
        if not member.packed:
            member.packed = bytes(member.info)
        return member.packed

    def _table(self, *, to: str, kind: int) -> list[str]:
        """Members whose status changed lately, the least told first, and a few of the
        others by lot; whom the others hold for lost hears of it."""
        news = self._next_news()
        is_told = to in self._odd or to in self._outranked
        if is_told and to not in news and self.members[to].info.beat:
            news.append(to)
        if not self.is_small and kind == ACK:
            return news
        count = LOT_COUNT if self.is_small else LARGE_LOT_COUNT
        known = self._list(key="told")
        lot = self.rand.sample(known, min(count, len(known)))
        return news + [name for name in lot if name not in news]

    def spread(self) -> Sends:
        """News that should not wait for the next tick, to every living peer; in a
        fleet that is not small to a few of them, who hear of the rest in their turn."""
        names = self._list(key="partners")
        if not names:
            return []
        if not self.is_small:
            names = self.rand.sample(names, min(SPREAD_COUNT, len(names)))
        _, news = self._message(to="", kind=ACK, number=0)
        return [(self.members[name].info.address, news) for name in names]

    def heard(self, *, message: GossipMsg, now_us: int) -> Sends:
        """A datagram came."""
        if message.cluster and self.cluster and message.cluster != self.cluster:
            return []
        sender = message.sender
        if sender.name == self.me.name:
            return []
        self._merge(info=sender, now_us=now_us, is_direct=True)
        for packed in message.members:
            self._merge_packed(packed=packed, now_us=now_us)
        for backend_state in message.backend_states:
            self.on_backend_state(backend_state)
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
            _, ack = self._message(to=probe.for_whom, kind=ACK, number=probe.for_number)
            if probe.name in self.members:
                ack.members.append(self._packed(name=probe.name))
            member = self.members.get(probe.for_whom)
            return [(member.info.address if member else probe.for_whom, ack)]
        # An ack through another carries the target's newest beat in its table.
        if message.sender.name == probe.name:
            self.on_ack(probe.name, now_us - probe.sent_us)
        del self._probes[message.number]
        return []

    def some_peer(self) -> str | None:
        """One that is alive, mostly in the own region."""
        near = [name for name in self._list(key="near") if name not in self._odd]
        names = near if near and self.rand.randrange(FAR_EVERY) else self._list(key="alive")
        return self.rand.choice(names) if names else None

    def told_count(self) -> int:
        """Edges of which more than the address is known, this one among them."""
        return len(self._list(key="told")) + 1

    def table(self) -> list[bytes]:
        """All that is known, for an edge that knows little."""
        return [self._packed(name=name) for name in self._list(key="told")]

    def take_table(self, *, table: list[bytes], now_us: int) -> None:
        """Take over another's table."""
        for packed in table:
            self._merge_packed(packed=packed, now_us=now_us, is_news=False)

    def _merge_packed(self, *, packed: bytes, now_us: int, is_news: bool = True) -> None:
        if packed[:1] == NAME_KEY:  # most of it was heard before, by the same bytes
            name = packed[2 : 2 + packed[1]] if len(packed) > 1 else b""
            known = self.members.get(name.decode("utf-8", "replace"))
            if known is not None and known.packed == packed:
                return
        try:
            info = MemberMsg().parse(packed)
        except Exception:  # betterproto raises many kinds on garbage
            return
        if not info.name:
            return
        self._merge(info=info, now_us=now_us, packed=packed, is_news=is_news)

    def _merge(
        self,
        *,
        info: MemberMsg,
        now_us: int,
        packed: bytes = b"",
        is_direct: bool = False,
        is_news: bool = True,
    ) -> None:
        if info.name == self.me.name:
            self._refute(info=info)
            return
        known = self.members.get(info.name)
        if known is None:
            if info.status in (DEAD, LEAVING) and not is_direct:
                return  # else the dead would be told round for ever
            self.members[info.name] = Member(
                info=info,
                since_us=now_us,
                packed=packed,
                seen_beat=info.beat,
                seen_us=now_us,
                heard_us=now_us,
            )
            self._note(name=info.name, is_news=is_news and self._knows_the_rest(now_us=now_us))
            return
        old = known.info
        mark, old_mark = (info.incarnation, info.beat), (old.incarnation, old.beat)
        if is_direct:
            self._note_outranked(info=info, old=old)
        if mark < old_mark:
            if info.status in (SUSPECT, DEAD) and old.status == ALIVE:
                self._doubt(known=known, info=info, now_us=now_us)
            return
        if mark == old_mark and info.status <= old.status:
            return
        if info.status in (ALIVE, LEAVING) or info.incarnation != old.incarnation:
            is_direct = is_direct or info.incarnation != old.incarnation
            known.saw(beat=info.beat, now_us=now_us, is_direct=is_direct)
        known.served = max(known.served, old.version)
        known.info, known.packed, known.heard_us = info, packed, now_us
        if info.status != old.status:
            known.since_us = now_us
            self.changes.append(
                StatusChange(name=info.name, status=info.status, why="heard by gossip")
            )
        is_new = not old.beat or info.incarnation != old.incarnation
        if is_new or info.status != old.status or info.zone != old.zone:
            is_news = is_news and self._knows_the_rest(now_us=now_us)
            self._note(name=info.name, is_news=is_news or info.status != old.status)
        elif info.is_ready != old.is_ready and info.name not in self._fresh:
            # All flip at once when a fleet starts: losses must not wait behind that.
            limit = times_told(count=len(self.members))
            self._news.setdefault(info.name, limit - READY_TOLD)

    def _note_outranked(self, *, info: MemberMsg, old: MemberMsg) -> None:
        """A member speaks under a lower incarnation than is known of it: it is told."""
        if info.incarnation < old.incarnation:
            self._outranked[info.name] = None
        else:
            self._outranked.pop(info.name, None)

    def _knows_the_rest(self, *, now_us: int) -> bool:
        """In a large fleet, whom a new node meets first is no news to the others."""
        is_old = self._born_us is not None and now_us - self._born_us > BORN_US
        return self.is_small or is_old

    def _doubt(self, *, known: Member, info: MemberMsg, now_us: int) -> None:
        """Another suspects a member as of a beat before the one known here. Whoever
        heard of it lately says so; whoever did not takes the other's word."""
        if info.incarnation == known.info.incarnation and now_us - known.heard_us > STALE_US:
            self.suspect(name=info.name, now_us=now_us, why="heard by gossip")
        else:
            self._tell(name=info.name)

    def outrank(self, *, incarnation: int) -> None:
        """Another process of this name was heard under this incarnation: the one before
        this, if the clock was stepped back since. What this one says has to count for more."""
        if incarnation > self.me.incarnation:
            self.me.incarnation = incarnation + 1

    def _refute(self, *, info: MemberMsg) -> None:
        self.outrank(incarnation=info.incarnation)
        if info.incarnation == self.me.incarnation and info.status in (SUSPECT, DEAD):
            self.me.beat = max(self.me.beat, info.beat + 1)
