"""The member table: every other known edge, with its status.

A member's beat is a counter that the member itself increments once per tick. Within one
incarnation it plays the role of the incarnation number of the SWIM paper (section 4.2): a
higher beat refutes a suspicion.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Callable, Iterable

from kelpstage.common.transport.messages import MemberMsg


class MemberStatus(IntEnum):
    """The status of a member; the numbers are sent in gossip and must not change.

    Of two reports with the same beat, the one with the higher number takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # "confirm" in the SWIM paper
    LEAVING = 3


# Module-level names, to avoid attribute lookups in loops over all members.
ALIVE, SUSPECT, DEAD, LEAVING = MemberStatus

MEMBER_STATUS_NAMES: dict[int, str] = {
    ALIVE: "alive",
    SUSPECT: "suspect",
    DEAD: "dead",
    LEAVING: "leaving",
}
SMALL_FLEET_SIZE = 20  # smaller fleets ignore regions and notify all peers at once


class Group(StrEnum):
    """Groups of members."""

    LIVE = "live"  # alive or suspect, including this edge
    PEERS = "peers"  # alive or suspect
    ALIVE = "alive"
    KNOWN = "known"  # more than their address is known
    NEAR = "near"  # peers in this edge's region
    FAR = "far"  # the other peers


@dataclass(kw_only=True)
class Member:
    """Another edge, as this edge knows it; times are clock readings in microseconds."""

    info: MemberMsg
    status_since_us: int  # time of the last change of status
    # Newest configuration version of its earlier reports, over all incarnations.
    served_version: int = 0
    packed: bytes = b""  # serialized `info`; empty after a change
    last_beat: int = 0  # the last beat that was noted, and when
    last_beat_us: int = 0
    last_update_us: int = 0  # when a newer report of it was last received

    def note_beat(self, *, beat: int, now_us: int, is_direct: bool, tick_us: int) -> None:
        """Record a beat.

        A beat received indirectly may be out of date, so it must not be below the expected one.
        """
        if is_direct or beat >= self.expected_beat(now_us=now_us, tick_us=tick_us):
            self.last_beat, self.last_beat_us = beat, now_us

    def expected_beat(self, *, now_us: int, tick_us: int) -> int:
        """The beat that this member has reached by now if it is alive."""
        return self.last_beat + max(0, now_us - self.last_beat_us) // tick_us


@dataclass(frozen=True, kw_only=True)
class StatusChange:
    """A change of a member's status; `why` is shown to operators."""

    name: str
    status: int
    why: str


class MemberTable:
    """Owns the members, the groups of members, and the changes of status.

    `is_near` is true for a zone in this edge's region.
    """

    def __init__(self, *, me: MemberMsg, is_near: Callable[[str], bool]) -> None:
        self.members: dict[str, Member] = {}
        self.changes: list[StatusChange] = []
        self.not_alive: dict[str, None] = {}  # names, most recent last
        self._me = me
        self._is_near = is_near
        self._groups: dict[str, list[str]] = {}  # cache, filled on demand

    @property
    def is_small(self) -> bool:
        """True if the fleet is small enough to treat every peer alike."""
        return len(self.members) < SMALL_FLEET_SIZE

    def group(self, group: Group) -> list[str]:
        """The sorted names of a group, cached until the table changes."""
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
        return [name for name in self.group(Group.PEERS) if self.is_in_group(group, name=name)]

    def is_in_group(self, group: Group, *, name: str) -> bool:
        """True if a peer belongs to the group, which is `PEERS`, `NEAR` or `FAR`."""
        if group == Group.PEERS:
            return True
        zone = self.members[name].info.zone or self._me.zone
        return self._is_near(zone) == (group == Group.NEAR)

    def on_member_changed(self, *, name: str) -> None:
        """Invalidate the groups after a member was added or removed or its status changed."""
        self._groups.clear()
        member = self.members.get(name)
        if member is None or member.info.status == ALIVE:
            self.not_alive.pop(name, None)
        else:
            self.not_alive[name] = None

    def take_changes(self) -> list[StatusChange]:
        """Return the changes of status since the last call, and clear them."""
        changes, self.changes = self.changes, []
        return changes
