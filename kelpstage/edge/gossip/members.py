"""The member table: every other edge that is known, with its status.

A member's beat is a counter that it counts up itself once a tick: within one
incarnation it has the part of the incarnation number in the SWIM paper (section 4.2),
so that a higher beat refutes a suspicion.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Callable, Iterable

from kelpstage.common.transport.messages import MemberMsg


class MemberStatus(IntEnum):
    """The status of a member; the numbers travel in gossip and never change.

    Of two reports as of the same beat, the one of the higher number counts.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # "confirm" in the SWIM paper
    LEAVING = 3


# Bound once, for those who walk over all members.
ALIVE, SUSPECT, DEAD, LEAVING = MemberStatus

STATUS_NAMES: dict[int, str] = {
    ALIVE: "alive",
    SUSPECT: "suspect",
    DEAD: "dead",
    LEAVING: "leaving",
}
SMALL_COUNT = 20  # fleets up to this size: every peer alike, all of them notified at once


class Group(StrEnum):
    """Members that are listed together."""

    LIVE = "live"  # alive or suspect, and this edge
    PEERS = "peers"  # alive or suspect
    ALIVE = "alive"
    KNOWN = "known"  # more than the address is known
    NEAR = "near"  # peers in this edge's region
    FAR = "far"  # the other peers


@dataclass(kw_only=True)
class Member:
    """One other edge, as this one knows it; times are clock readings in microseconds."""

    info: MemberMsg
    since_us: int  # of its status
    served: int = 0  # its newest configuration version, over all its incarnations
    packed: bytes = b""  # `info` as it travels; empty once it has changed
    seen_beat: int = 0  # the latest beat that was received, and when
    seen_us: int = 0
    heard_us: int = 0  # when anything new of it was received last

    def note_beat(self, *, beat: int, now_us: int, is_direct: bool, tick_us: int) -> None:
        """Note a beat; one that came through others may be old by the time it arrives."""
        if is_direct or beat >= self.expected_beat(now_us=now_us, tick_us=tick_us):
            self.seen_beat, self.seen_us = beat, now_us

    def expected_beat(self, *, now_us: int, tick_us: int) -> int:
        """The beat that this member has by now, if it is well."""
        return self.seen_beat + max(0, now_us - self.seen_us) // tick_us


@dataclass(frozen=True, kw_only=True)
class StatusChange:
    """A member's status has changed; `why` is shown to operators."""

    name: str
    status: int
    why: str


class MemberTable:
    """Owns the members, the groups made of them, and the changes of status.

    `is_near` tells whether a zone lies in this edge's region.
    """

    def __init__(self, *, me: MemberMsg, is_near: Callable[[str], bool]) -> None:
        self.members: dict[str, Member] = {}
        self.changes: list[StatusChange] = []
        self.not_alive: dict[str, None] = {}  # names, the latest last
        self._me = me
        self._is_near = is_near
        self._groups: dict[str, list[str]] = {}  # made when asked for

    @property
    def is_small(self) -> bool:
        """Is the fleet so small that every peer is treated alike?"""
        return len(self.members) < SMALL_COUNT

    def group(self, group: Group) -> list[str]:
        """Sorted names, kept until the table changes."""
        if group not in self._groups:
            self._groups[group] = sorted(self._make_group(group))
        return self._groups[group]

    def _make_group(self, group: Group) -> Iterable[str]:
        members = self.members.items()
        if group == Group.LIVE:
            return [self._me.name, *self.group(Group.PEERS)]
        if group == Group.PEERS:
            return [name for name, one in members if one.info.status in (ALIVE, SUSPECT)]
        if group == Group.ALIVE:
            return [name for name, one in members if one.info.status == ALIVE]
        if group == Group.KNOWN:
            return [name for name, one in members if one.info.beat]
        return [name for name in self.group(Group.PEERS) if self.is_in(group, name=name)]

    def is_in(self, group: Group, *, name: str) -> bool:
        """Does a peer belong to `PEERS`, `NEAR` or `FAR`?"""
        if group == Group.PEERS:
            return True
        zone = self.members[name].info.zone or self._me.zone
        return self._is_near(zone) == (group == Group.NEAR)

    def note_changed(self, *, name: str) -> None:
        """A member is new, removed or of another status: the groups are made anew."""
        self._groups.clear()
        member = self.members.get(name)
        if member is None or member.info.status == ALIVE:
            self.not_alive.pop(name, None)
        else:
            self.not_alive[name] = None

    def take_changes(self) -> list[StatusChange]:
        """The changes of status since the last call."""
        changes, self.changes = self.changes, []
        return changes
