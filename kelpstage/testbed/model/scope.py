"""The size of a modelled system, and the action type."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Action(NamedTuple):
    """One step of a walk: the action's name and its two numbers."""

    name: str
    a: int = 0
    b: int = 0


@dataclass(frozen=True, kw_only=True)
class Scope:
    """The size of the modelled system and the number of lost disks that it must tolerate.

    Machines beyond `voters` are standby learners. A disk is lost permanently only if, with
    its machine, at most `tolerance` machines count as faulty. The last `observers` of the
    edges do not vote.
    """

    machines: int = 3
    voters: int = 3
    tolerance: int = 1
    operators: int = 2
    edges: int = 2
    observers: int = 0
