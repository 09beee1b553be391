"""The whole model, driven by actions.

An action is a name and two small numbers, so that a walk is a plain list that can be
replayed, shortened, and printed as a test.
"""

from __future__ import annotations

from kelpstage.testbed.model.actions import ACTIONS, FAULT_FREE_ACTIONS
from kelpstage.testbed.model.cluster import Cluster
from kelpstage.testbed.model.packets import Packet
from kelpstage.testbed.model.scope import Action, Scope

__all__ = ["Action", "Packet", "Scope", "World"]


class World(Cluster):
    """The modelled system.

    >>> world = World(scope=Scope(), seed=1)
    >>> world.act(Action("rounds", 100)); world.leader() is not None
    True
    """

    def act(self, action: Action) -> None:
        """Perform one action; the invariants are checked after each of its steps."""
        self.steps += 1
        if action.name not in FAULT_FREE_ACTIONS:
            self.fault_free_us = 0
        ACTIONS[action.name](self, action.a, action.b)
