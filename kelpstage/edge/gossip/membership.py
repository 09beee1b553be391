"""What this edge believes of the others: reports are merged, suspects confirmed as dead.

A report counts if its mark, incarnation and beat, is later than the known one, or the
same with a worse status (SWIM, section 4.2). Only the member itself counts its marks up.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import MemberMsg
from kelpstage.edge.gossip.dissemination import UpdateQueue
from kelpstage.edge.gossip.members import (
    ALIVE,
    DEAD,
    LEAVING,
    SUSPECT,
    Group,
    Member,
    MemberTable,
    StatusChange,
)

REMOVED_MEMBER_TTL_US = 120_000_000  # then a dead one is forgotten
SUSPICION_TIMEOUT_US = 800_000  # then a suspect is dead
SETTLING_US = 10_000_000  # an edge younger than that takes whom it meets for known
STALE_US = 5_000_000  # with nothing new of a member for so long, others are believed
NAME_KEY = b"\x0a"  # what a packed member begins with, then its name's length


class Membership:
    """Changes the member table, and queues the updates that come of it.

    `me` is this edge's own record, which its protocol keeps up to date; `tick_us` the
    time from one beat to the next. `born_us` is the first tick of this edge.
    """

    def __init__(self, *, me: MemberMsg, table: MemberTable, tick_us: int) -> None:
        self.table = table
        self.members = table.members
        self.updates = UpdateQueue()
        self.born_us: int | None = None
        self._me = me
        self._tick_us = tick_us
        self._outranked: dict[str, None] = {}  # they speak under a former incarnation

    def meet(
        self, *, name: str, address: str, incarnation: int, now_us: int, zone: str = ""
    ) -> None:
        """Learn of an edge by another way than gossip."""
        known = self.members.get(name)
        if name == self._me.name or not address:
            return
        if known is not None and known.info.incarnation >= incarnation:
            return
        info = MemberMsg(name=name, address=address, incarnation=incarnation, zone=zone)
        if known is not None:
            info.zone, info.http = zone or known.info.zone, known.info.http
        served = self.served(name=name)
        self.members[name] = Member(info=info, since_us=now_us, served=served)
        self.updates.discard(name=name)  # sent once it has spoken itself
        self.table.note_changed(name=name)

    def status(self, *, name: str) -> int:
        """The status of an edge; `DEAD` if it is not known."""
        if name == self._me.name:
            return self._me.status
        member = self.members.get(name)
        return DEAD if member is None else member.info.status

    def served(self, *, name: str) -> int:
        """The newest configuration version that a peer reported to serve, over all its
        incarnations."""
        member = self.members.get(name)
        return 0 if member is None else max(member.served, member.info.version)

    def is_lost_to_others(self, *, name: str) -> bool:
        """Do others hold a member for lost, or for another incarnation?"""
        return name in self.table.not_alive or name in self._outranked

    def packed(self, *, name: str) -> bytes:
        """A member as it travels."""
        member = self.members[name]
        if not member.packed:
            member.packed = bytes(member.info)
        return member.packed

    def packed_members(self) -> list[bytes]:
        """All members as they travel, for an edge that knows few."""
        return [self.packed(name=name) for name in self.table.group(Group.KNOWN)]

    def suspect(self, *, name: str, now_us: int, why: str, asked_us: int = 0) -> None:
        """Suspect a member; other evidence than probes counts too: a refused connection, a
        missed window. What is suspected is that it was silent at the beat that it had when
        it was asked: else whoever received its beat a little later than this edge would not
        believe it."""
        member = self.members.get(name)
        if member is not None and member.info.status == ALIVE:
            if member.info.beat:
                beat = member.expected_beat(now_us=asked_us or now_us, tick_us=self._tick_us)
                member.info.beat = max(member.info.beat, beat)
            self._set_status(member=member, status=SUSPECT, now_us=now_us, why=why)

    def _set_status(self, *, member: Member, status: int, now_us: int, why: str) -> None:
        member.info.status = status
        member.packed = b""
        member.since_us = now_us
        name = member.info.name
        self._note_changed(name=name, is_update=bool(member.info.beat))
        self.table.changes.append(StatusChange(name=name, status=status, why=why))

    def _note_changed(self, *, name: str, is_update: bool) -> None:
        self.table.note_changed(name=name)
        if is_update:
            self.updates.add(name=name)

    def expire(self, *, name: str, now_us: int) -> None:
        """Confirm a suspect as dead, or forget a dead one, if the time for it is over."""
        member = self.members[name]
        age_us = now_us - member.since_us
        if member.info.status == SUSPECT and age_us > SUSPICION_TIMEOUT_US:
            self._set_status(member=member, status=DEAD, now_us=now_us, why="suspicion ran out")
        elif member.info.status in (DEAD, LEAVING) and age_us > REMOVED_MEMBER_TTL_US:
            del self.members[name]
            self._outranked.pop(name, None)
            self.updates.discard(name=name)
            self.table.note_changed(name=name)

    def merge_table(self, *, table: list[bytes], now_us: int) -> None:
        """Take over another edge's members, which are no updates to the others."""
        for packed in table:
            self.merge_packed(packed=packed, now_us=now_us, is_update=False)

    def merge_packed(self, *, packed: bytes, now_us: int, is_update: bool = True) -> None:
        """Take over a member as it travels; garbage is passed over."""
        if packed[:1] == NAME_KEY:  # most were received before, as the same bytes
            name = packed[2 : 2 + packed[1]] if len(packed) > 1 else b""
            known = self.members.get(name.decode("utf-8", "replace"))
            if known is not None and known.packed == packed:
                return
        try:
            info = MemberMsg()
            info.parse(packed)
        except Exception:  # betterproto raises many kinds on garbage
            return
        if not info.name:
            return
        self.merge(info=info, now_us=now_us, packed=packed, is_update=is_update)

    def merge(
        self,
        *,
        info: MemberMsg,
        now_us: int,
        packed: bytes = b"",
        is_direct: bool = False,
        is_update: bool = True,
    ) -> None:
        """Take over a report of a member, if it is later knowledge; `is_direct` if the
        member sent it itself, `is_update` if it is to be sent on."""
        if info.name == self._me.name:
            self._refute(info=info)
            return
        known = self.members.get(info.name)
        if known is None:
            if info.status in (DEAD, LEAVING) and not is_direct:
                return  # else the dead would be sent around for ever
            self.members[info.name] = Member(
                info=info,
                since_us=now_us,
                packed=packed,
                seen_beat=info.beat,
                seen_us=now_us,
                heard_us=now_us,
            )
            is_update = is_update and self._is_settled(now_us=now_us)
            self._note_changed(name=info.name, is_update=is_update)
            return
        old = known.info
        mark, old_mark = (info.incarnation, info.beat), (old.incarnation, old.beat)
        if is_direct:
            self._note_outranked(info=info, old=old)
        if mark < old_mark:
            if info.status in (SUSPECT, DEAD) and old.status == ALIVE:
                self._on_suspected_by_peer(known=known, info=info, now_us=now_us)
            return
        if mark == old_mark and info.status <= old.status:
            return
        if info.status in (ALIVE, LEAVING) or info.incarnation != old.incarnation:
            is_direct = is_direct or info.incarnation != old.incarnation
            known.note_beat(
                beat=info.beat, now_us=now_us, is_direct=is_direct, tick_us=self._tick_us
            )
        known.served = max(known.served, old.version)
        known.info, known.packed, known.heard_us = info, packed, now_us
        if info.status != old.status:
            known.since_us = now_us
            self.table.changes.append(
                StatusChange(name=info.name, status=info.status, why="heard by gossip")
            )
        is_new = not old.beat or info.incarnation != old.incarnation
        if is_new or info.status != old.status or info.zone != old.zone:
            is_update = is_update and self._is_settled(now_us=now_us)
            has_new_status = info.status != old.status
            self._note_changed(name=info.name, is_update=is_update or has_new_status)
        elif info.is_ready != old.is_ready:
            self.updates.add_ready(name=info.name, member_count=len(self.members))

    def _note_outranked(self, *, info: MemberMsg, old: MemberMsg) -> None:
        """A member that speaks under a lower incarnation than is known of it is to be notified."""
        if info.incarnation < old.incarnation:
            self._outranked[info.name] = None
        else:
            self._outranked.pop(info.name, None)

    def _is_settled(self, *, now_us: int) -> bool:
        """In a large fleet, whom a new edge meets first is no update to the others."""
        is_old = self.born_us is not None and now_us - self.born_us > SETTLING_US
        return self.table.is_small or is_old

    def _on_suspected_by_peer(self, *, known: Member, info: MemberMsg, now_us: int) -> None:
        """Another suspects a member as of a beat before the one known here. Whoever
        received a beat lately says so; whoever did not believes the other."""
        if info.incarnation == known.info.incarnation and now_us - known.heard_us > STALE_US:
            self.suspect(name=info.name, now_us=now_us, why="heard by gossip")
        else:
            self.updates.add(name=info.name)

    def outrank(self, *, incarnation: int) -> None:
        """Another process of this name speaks under this incarnation: the one before
        this, if the clock was stepped back since. What this one says has to count for more."""
        if incarnation > self._me.incarnation:
            self._me.incarnation = incarnation + 1

    def _refute(self, *, info: MemberMsg) -> None:
        """A suspicion of this edge itself is refuted by a later mark."""
        self.outrank(incarnation=info.incarnation)
        if info.incarnation == self._me.incarnation and info.status in (SUSPECT, DEAD):
            self._me.beat = max(self._me.beat, info.beat + 1)
