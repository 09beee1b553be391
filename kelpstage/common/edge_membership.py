"""The membership of edges, and which subsets of it are a majority.

A voting member is an edge on a machine whose loss a deployment counts; any number of the
others, the observers, may go. Source: docs/notes/edge-membership.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import Collection


@dataclass(frozen=True, kw_only=True)
class EdgeMembership:
    """Names of edges, some of which are observers.

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
        """A membership from lists, as messages carry them."""
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
        """Are these more than half of all members, or more than half of the voting ones?

        That many may confirm an epoch to an edge without a lease. An epoch is settled when
        those that lack it are no such majority.
        """
        present = set(names)
        return any(len(present.intersection(of)) * 2 > len(of) for of in (self.names, self.voters))

    def has_half(self, names: Collection[str]) -> bool:
        """Are these at least half of all members, or at least half of the voting ones?"""
        present = set(names)
        groups = [of for of in (self.names, self.voters) if of]
        return any(len(present.intersection(of)) * 2 >= len(of) for of in groups)

    def is_observer(self, name: str) -> bool:
        """Is this member an observer, whose silence holds up nothing for long?"""
        return name in self._not_voting
