"""The members of the Raft group, as the newest membership entry defines them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.messages import CoreMember, LogEntry
from kelpstage.core.raft.types import MEMBERSHIP


@dataclass
class Members(bp.Message):
    """The data of a membership entry."""

    members: List[CoreMember] = bp.message_field(1)


def write_members(*, members: list[CoreMember]) -> bytes:
    """Encode members as the data of a log entry, sorted by name.

    >>> read_members(data=write_members(members=[CoreMember(replica="a")]))[0].replica
    'a'
    """
    return bytes(Members(members=sorted(members, key=lambda m: m.replica)))


def read_members(*, data: bytes) -> list[CoreMember]:
    """Decode members from the data of a log entry.

    >>> read_members(data=b"")
    []
    """
    return list(Members().parse(data).members)


class MemberList:
    """The memberships of the log. Each takes effect when its entry is appended.

    >>> one = CoreMember(replica="a", is_voter=True)
    >>> members = MemberList(base=[one], entries=[], base_index=0)
    >>> members.is_majority(names={"a"}), members.is_voter(replica="b")
    (True, False)
    """

    def __init__(self, *, base: list[CoreMember], entries: list[LogEntry], base_index: int) -> None:
        self._history: list[tuple[int, list[CoreMember]]] = [(base_index, list(base))]
        for entry in entries:
            self.append(entry=entry)

    @property
    def current(self) -> list[CoreMember]:
        """The current members."""
        return self._history[-1][1]

    @property
    def index(self) -> int:
        """The log index of the entry or snapshot that defines the current members."""
        return self._history[-1][0]

    def at(self, *, index: int) -> list[CoreMember]:
        """Return the members that were current at a log index."""
        fitting = [members for step, members in self._history if step <= index]
        return fitting[-1] if fitting else self._history[0][1]

    def append(self, *, entry: LogEntry) -> None:
        """Apply a membership entry; entries of other kinds change nothing."""
        if entry.kind == MEMBERSHIP:
            self._history.append((entry.index, read_members(data=entry.data)))

    def truncate_from(self, *, index: int) -> None:
        """Undo the membership changes of entries from `index` on, which the log truncates."""
        self._history = [self._history[0]] + [s for s in self._history[1:] if s[0] < index]

    def rebase(self, *, index: int) -> None:
        """Merge the memberships up to `index`, which a snapshot covers, into one."""
        members = self.at(index=index)
        self._history = [(index, members)] + [s for s in self._history if s[0] > index]

    def get(self, *, replica: str) -> CoreMember | None:
        """Return a member by name, or `None`."""
        return next((m for m in self.current if m.replica == replica), None)

    def has(self, *, replica: str) -> bool:
        """True when the replica is a member."""
        return self.get(replica=replica) is not None

    def address(self, *, replica: str) -> str:
        """Return a member's address; empty if the replica is not a member."""
        member = self.get(replica=replica)
        return member.address if member else ""

    def is_voter(self, *, replica: str) -> bool:
        """True when the replica is a voter."""
        member = self.get(replica=replica)
        return bool(member and member.is_voter)

    def others(self, *, replica: str) -> list[CoreMember]:
        """Return all members except this one."""
        return [m for m in self.current if m.replica != replica]

    @property
    def voters(self) -> list[CoreMember]:
        """The current members that are voters."""
        return [m for m in self.current if m.is_voter]

    def is_majority(self, *, names: set[str]) -> bool:
        """True when these names include a majority of the current voters."""
        return is_majority_of(members=self.current, names=names)


def quorum_size(*, voters: int) -> int:
    """Return the size of the smallest majority.

    >>> [quorum_size(voters=count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voters // 2 + 1


def is_majority_of(*, members: list[CoreMember], names: set[str]) -> bool:
    """True when these names include a majority of the voters among the members."""
    voters = {m.replica for m in members if m.is_voter}
    return bool(voters) and len(voters & names) >= quorum_size(voters=len(voters))
