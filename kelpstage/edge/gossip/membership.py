"""Maintains this edge's view of the others: merges reports and declares suspects dead.

A report replaces the known one if its rank, the pair of incarnation and beat, is higher, or
if the rank is the same and the status is worse (SWIM, section 4.2). A member raises the
rank itself; a suspicion sets the beat that the member was expected to have.
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

REMOVED_MEMBER_TTL_US = 120_000_000  # then a dead or leaving member is removed from the table
SUSPICION_TIMEOUT_US = 800_000  # then a suspect is declared dead
SETTLING_PERIOD_US = 10_000_000  # in a large fleet, a younger edge sends no updates on new members
STALE_MEMBER_US = 5_000_000  # age of the last report at which a peer's suspicion is adopted
NAME_FIELD_TAG = b"\x0a"  # first byte of a serialized member; the length of its name follows


class Membership:
    """Changes the member table, and queues the resulting updates.

    `me` is this edge's own record, which its protocol keeps up to date; `tick_us` is the
    time from one beat to the next; `started_us` is the time of this edge's first tick.
    """

    def __init__(self, *, me: MemberMsg, table: MemberTable, tick_us: int) -> None:
        self.table = table
        self.members = table.members
        self.updates = UpdateQueue()
        self.started_us: int | None = None
        self._me = me
        self._tick_us = tick_us
        self._stale_incarnations: dict[str, None] = {}  # members that send an old incarnation

    def add_peer(
        self, *, name: str, address: str, incarnation: int, now_us: int, zone: str = ""
    ) -> None:
        """Add an edge that was discovered by other means than gossip."""
        known = self.members.get(name)
        if name == self._me.name or not address:
            return
        if known is not None and known.info.incarnation >= incarnation:
            return
        info = MemberMsg(name=name, address=address, incarnation=incarnation, zone=zone)
        if known is not None:
            info.zone, info.http = zone or known.info.zone, known.info.http
        served = self.served_version(name=name)
        self.members[name] = Member(info=info, status_since_us=now_us, served_version=served)
        self.updates.discard(name=name)  # sent once a report of its own exists
        self.table.on_member_changed(name=name)

    def status(self, *, name: str) -> int:
        """The status of an edge; `DEAD` if the edge is unknown."""
        if name == self._me.name:
            return self._me.status
        member = self.members.get(name)
        return DEAD if member is None else member.info.status

    def served_version(self, *, name: str) -> int:
        """The newest configuration version that a peer has reported, over all its
        incarnations."""
        member = self.members.get(name)
        return 0 if member is None else max(member.served_version, member.info.version)

    def needs_refutation(self, *, name: str) -> bool:
        """True if a member is believed not alive, or sends an old incarnation."""
        return name in self.table.not_alive or name in self._stale_incarnations

    def packed(self, *, name: str) -> bytes:
        """A member in serialized form."""
        member = self.members[name]
        if not member.packed:
            member.packed = bytes(member.info)
        return member.packed

    def packed_members(self) -> list[bytes]:
        """All known members in serialized form, for an edge that knows few."""
        return [self.packed(name=name) for name in self.table.group(Group.KNOWN)]

    def suspect(self, *, name: str, now_us: int, why: str, asked_us: int = 0) -> None:
        """Suspect a member, after a failed probe or on other evidence.

        Other evidence is, for example, a refused connection or a missed window. The suspicion
        has the beat that the member should have had when it was asked. Otherwise an edge that
        received a slightly later beat than this one would ignore it.
        """
        member = self.members.get(name)
        if member is not None and member.info.status == ALIVE:
            if member.info.beat:
                beat = member.expected_beat(now_us=asked_us or now_us, tick_us=self._tick_us)
                member.info.beat = max(member.info.beat, beat)
            self._set_status(member=member, status=SUSPECT, now_us=now_us, why=why)

    def _set_status(self, *, member: Member, status: int, now_us: int, why: str) -> None:
        member.info.status = status
        member.packed = b""
        member.status_since_us = now_us
        name = member.info.name
        self._record_change(name=name, is_update=bool(member.info.beat))
        self.table.changes.append(StatusChange(name=name, status=status, why=why))

    def _record_change(self, *, name: str, is_update: bool) -> None:
        self.table.on_member_changed(name=name)
        if is_update:
            self.updates.add(name=name)

    def expire(self, *, name: str, now_us: int) -> None:
        """Declare a suspect dead, or remove a dead or leaving member, once its timeout is over."""
        member = self.members[name]
        age_us = now_us - member.status_since_us
        if member.info.status == SUSPECT and age_us > SUSPICION_TIMEOUT_US:
            self._set_status(member=member, status=DEAD, now_us=now_us, why="suspicion timed out")
        elif member.info.status in (DEAD, LEAVING) and age_us > REMOVED_MEMBER_TTL_US:
            del self.members[name]
            self._stale_incarnations.pop(name, None)
            self.updates.discard(name=name)
            self.table.on_member_changed(name=name)

    def merge_table(self, *, table: list[bytes], now_us: int) -> None:
        """Merge another edge's member table, without sending the members as updates."""
        for packed in table:
            self.merge_packed(packed=packed, now_us=now_us, is_update=False)

    def merge_packed(self, *, packed: bytes, now_us: int, is_update: bool = True) -> None:
        """Merge a serialized member; invalid data is ignored."""
        if packed[:1] == NAME_FIELD_TAG:  # most are equal to what was received before
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
        """Merge a report of a member if it is newer than the known one.

        `is_direct` is true if the member itself sent it, `is_update` if it may be sent on as
        an update.
        """
        if info.name == self._me.name:
            self._refute(info=info)
            return
        known = self.members.get(info.name)
        if known is None:
            if info.status in (DEAD, LEAVING) and not is_direct:
                return  # else reports of dead members would circulate forever
            self.members[info.name] = Member(
                info=info,
                status_since_us=now_us,
                packed=packed,
                last_beat=info.beat,
                last_beat_us=now_us,
                last_update_us=now_us,
            )
            is_update = is_update and self._is_settled(now_us=now_us)
            self._record_change(name=info.name, is_update=is_update)
            return
        old = known.info
        rank, old_rank = (info.incarnation, info.beat), (old.incarnation, old.beat)
        if is_direct:
            self._note_stale_incarnation(info=info, old=old)
        if rank < old_rank:
            if info.status in (SUSPECT, DEAD) and old.status == ALIVE:
                self._on_older_suspicion(known=known, info=info, now_us=now_us)
            return
        if rank == old_rank and info.status <= old.status:
            return
        if info.status in (ALIVE, LEAVING) or info.incarnation != old.incarnation:
            is_direct = is_direct or info.incarnation != old.incarnation
            known.note_beat(
                beat=info.beat, now_us=now_us, is_direct=is_direct, tick_us=self._tick_us
            )
        known.served_version = max(known.served_version, old.version)
        known.info, known.packed, known.last_update_us = info, packed, now_us
        if info.status != old.status:
            known.status_since_us = now_us
            self.table.changes.append(
                StatusChange(name=info.name, status=info.status, why="reported by gossip")
            )
        is_new = not old.beat or info.incarnation != old.incarnation
        if is_new or info.status != old.status or info.zone != old.zone:
            is_update = is_update and self._is_settled(now_us=now_us)
            has_new_status = info.status != old.status
            self._record_change(name=info.name, is_update=is_update or has_new_status)
        elif info.is_ready != old.is_ready:
            self.updates.add_ready(name=info.name, member_count=len(self.members))

    def _note_stale_incarnation(self, *, info: MemberMsg, old: MemberMsg) -> None:
        """Record whether a member sends a lower incarnation than the known one."""
        if info.incarnation < old.incarnation:
            self._stale_incarnations[info.name] = None
        else:
            self._stale_incarnations.pop(info.name, None)

    def _is_settled(self, *, now_us: int) -> bool:
        """False for a new edge in a large fleet: members that it learns of are known to others."""
        is_old = self.started_us is not None and now_us - self.started_us > SETTLING_PERIOD_US
        return self.table.is_small or is_old

    def _on_older_suspicion(self, *, known: Member, info: MemberMsg, now_us: int) -> None:
        """Handle a suspicion that is older than the report known here.

        If the known report is recent, it is sent as an update; otherwise the suspicion is
        adopted.
        """
        if (
            info.incarnation == known.info.incarnation
            and now_us - known.last_update_us > STALE_MEMBER_US
        ):
            self.suspect(name=info.name, now_us=now_us, why="reported by gossip")
        else:
            self.updates.add(name=info.name)

    def raise_incarnation(self, *, incarnation: int) -> None:
        """Raise this edge's incarnation above one that is known for its name.

        If the clock was stepped back, the process before this one had a higher incarnation,
        which would take precedence over this edge's reports.
        """
        if incarnation > self._me.incarnation:
            self._me.incarnation = incarnation + 1

    def _refute(self, *, info: MemberMsg) -> None:
        """Refute a suspicion of this edge itself with a higher incarnation or beat."""
        self.raise_incarnation(incarnation=info.incarnation)
        if info.incarnation == self._me.incarnation and info.status in (SUSPECT, DEAD):
            self._me.beat = max(self._me.beat, info.beat + 1)
