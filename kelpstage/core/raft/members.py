"""The replicas of the log, as the newest membership entry states them."""

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
    """Members as the bytes of a log entry, in the order of their names.

    >>> read_members(data=write_members(members=[CoreMember(replica="a")]))[0].replica
    'a'
    """
    return bytes(Members(members=sorted(members, key=lambda m: m.replica)))


def read_members(*, data: bytes) -> list[CoreMember]:
    """The reverse of `write_members`.

    >>> read_members(data=b"")
    []
    """
    return list(Members().parse(data).members)


class MemberList:
    """Membership takes effect when its entry is in the log, committed or not.

    >>> one = CoreMember(replica="a", is_voter=True)
    >>> members = MemberList(base=[one], entries=[], base_index=0)
    >>> members.is_majority(names={"a"}), members.is_voter(replica="b")
    (True, False)
    """

    def __init__(self, *, base: list[CoreMember], entries: list[LogEntry], base_index: int) -> None:
        self._steps: list[tuple[int, list[CoreMember]]] = [(base_index, list(base))]
        for entry in entries:
            self.append(entry=entry)

    @property
    def current(self) -> list[CoreMember]:
        """The members in force."""
        return self._steps[-1][1]

    @property
    def index(self) -> int:
        """The log index that the current members come from."""
        return self._steps[-1][0]

    def at(self, *, index: int) -> list[CoreMember]:
        """The members in force at a log index."""
        fitting = [members for step, members in self._steps if step <= index]
        return fitting[-1] if fitting else self._steps[0][1]

    def append(self, *, entry: LogEntry) -> None:
        """Put a membership entry in force; other entries change nothing."""
        if entry.kind == MEMBERSHIP:
            self._steps.append((entry.index, read_members(data=entry.data)))

    def cut(self, *, index: int) -> None:
        """Entries from `index` on are dropped, and so is what they changed."""
        self._steps = [self._steps[0]] + [s for s in self._steps[1:] if s[0] < index]

    def rebase(self, *, index: int) -> None:
        """A snapshot holds everything up to `index`."""
        members = self.at(index=index)
        self._steps = [(index, members)] + [s for s in self._steps if s[0] > index]

    def get(self, *, replica: str) -> CoreMember | None:
        """A member by its name."""
        return next((m for m in self.current if m.replica == replica), None)

    def has(self, *, replica: str) -> bool:
        """Is the replica a member?"""
        return self.get(replica=replica) is not None

    def address(self, *, replica: str) -> str:
        """A member's address; empty if it is none."""
        member = self.get(replica=replica)
        return member.address if member else ""

    def is_voter(self, *, replica: str) -> bool:
        """Does the replica vote?"""
        member = self.get(replica=replica)
        return bool(member and member.is_voter)

    def others(self, *, replica: str) -> list[CoreMember]:
        """All members but this one."""
        return [m for m in self.current if m.replica != replica]

    @property
    def voters(self) -> list[CoreMember]:
        """The members that vote."""
        return [m for m in self.current if m.is_voter]

    def is_majority(self, *, names: set[str]) -> bool:
        """Are these names a majority of the voters in force?"""
        return is_majority_of(members=self.current, names=names)


def quorum_size(*, voters: int) -> int:
    """The least majority of so many voters.

    >>> [quorum_size(voters=count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voters // 2 + 1


def is_majority_of(*, members: list[CoreMember], names: set[str]) -> bool:
    """Are these names a majority of the voters among the members?"""
    voters = {m.replica for m in members if m.is_voter}
    return bool(voters) and len(voters & names) >= quorum_size(voters=len(voters))
