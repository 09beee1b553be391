"""The whole model, driven by actions.

An action is a name and small numbers, so that a walk is a plain list: it can be run
again, shortened, and written down as a test.
"""

from __future__ import annotations

from kelpstage.testbed.model.actions import ACTIONS, CALM_ACTIONS
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
        """Do one action, and check the invariants after each step of it."""
        self.steps += 1
        if action.name not in CALM_ACTIONS:
            self.calm_us = 0
        ACTIONS[action.name](self, action.a, action.b)
