"""The size of a modelled system, and the actions that drive it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Action(NamedTuple):
    """One step of a walk."""

    name: str
    a: int = 0
    b: int = 0


@dataclass(frozen=True, kw_only=True)
class Scope:
    """How large the modelled system is.

    `machines` above `voters` are learners that stand by; `tolerance` disks may be lost
    for good before the first of them counts as repaired. The last `observers` of the edges
    do not vote.
    """

    machines: int = 3
    voters: int = 3
    tolerance: int = 1
    operators: int = 2
    edges: int = 2
    observers: int = 0
