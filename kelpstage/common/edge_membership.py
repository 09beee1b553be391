"""The membership of edges, and which subsets of it are a majority.

A voting member is an edge on a machine whose loss counts against the tolerated losses of a
deployment; any number of the others, the observers, may be lost.
Source: docs/notes/edge-membership.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import Collection


@dataclass(frozen=True, kw_only=True)
class EdgeMembership:
    """The names of the member edges, some of which are observers.

    >>> membership = EdgeMembership.of(names=["a", "b", "c", "d"], observers=["b", "c", "d"])
    >>> membership.voters
    ('a',)
    >>> [membership.has_majority(names) for names in (["a"], ["b", "c"], ["b", "c", "d"])]
    [True, False, True]
    """

    names: tuple[str, ...] = ()
    observers: frozenset[str] = frozenset()

    @staticmethod
    def of(*, names: Collection[str], observers: Collection[str]) -> EdgeMembership:
        """Build a membership from the lists in a message."""
        return EdgeMembership(names=tuple(names), observers=frozenset(observers))

    @cached_property
    def voters(self) -> tuple[str, ...]:
        """The voting members: all but the observers, or all if there are only observers."""
        voters = tuple(name for name in self.names if name not in self.observers)
        return voters or self.names

    @cached_property
    def _not_voting(self) -> frozenset[str]:
        return self.observers.difference(self.voters)

    def has_majority(self, names: Collection[str]) -> bool:
        """True if these are more than half of all members, or more than half of the voting ones.

        Such a majority may confirm an epoch to an edge without a lease. An epoch is settled when
        the members that lack it are not such a majority.
        """
        present = set(names)
        return any(
            len(present.intersection(group)) * 2 > len(group) for group in (self.names, self.voters)
        )

    def has_half(self, names: Collection[str]) -> bool:
        """True if these are at least half of all members, or at least half of the voting ones."""
        present = set(names)
        groups = [group for group in (self.names, self.voters) if group]
        return any(len(present.intersection(group)) * 2 >= len(group) for group in groups)

    def is_observer(self, name: str) -> bool:
        """True if this member is an observer, whose silence delays others only briefly."""
        return name in self._not_voting
