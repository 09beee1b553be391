"""The model checker: walks over the control side's own code, and traces that it found."""

from __future__ import annotations

import unittest

from proof.model.walk import Outcome, Walk, random_walk, replay
from proof.model.world import Action, Scope

THREE = Scope(machines=3, voters=3, tolerance=1)
FIVE = Scope(machines=5, voters=5, tolerance=2)
WITH_SPARE = Scope(machines=4, voters=3, tolerance=1, edges=3)


class FoundTest(unittest.TestCase):
    """Traces that broke an invariant once, each with its cause in the commit."""

    def replay(self, *, scope: Scope, actions: list[Action], seed: int = 1) -> Outcome:
        """Run a trace to its end, with the liveness check."""
        outcome = replay(walk=Walk(scope=scope, seed=seed, actions=actions))
        self.assertEqual("", outcome.detail)
        return outcome

    def test_learner_that_was_removed_while_cut_off_comes_back(self) -> None:
        outcome = self.replay(
            scope=WITH_SPARE,
            actions=[
                Action("rounds", 100),
                Action("isolate", 3),
                Action("rounds", 200),
                Action("heal"),
            ],
        )
        self.assertGreaterEqual(outcome.membership_changes, 3, "the learner was never removed")


class WalkTest(unittest.TestCase):
    """Seeded walks far past what a search reaches; each ends with the liveness check."""

    def walk(self, *, scope: Scope, seeds: range, steps: int, profile: str) -> list[Outcome]:
        """Walks of some seeds, all of which must keep every invariant."""
        outcomes = []
        for seed in seeds:
            outcome = random_walk(scope=scope, seed=seed, steps=steps, profile=profile)
            self.assertEqual("", outcome.invariant, f"seed {seed}: {outcome.detail}")
            outcomes.append(outcome)
        return outcomes

    def test_three_voters(self) -> None:
        outcomes = self.walk(scope=THREE, seeds=range(30), steps=2_000, profile="chaos")
        self.assertGreater(sum(o.acknowledged for o in outcomes), 90)
        self.assertGreater(sum(o.membership_changes for o in outcomes), 15)

    def test_five_voters(self) -> None:
        outcomes = self.walk(scope=FIVE, seeds=range(8), steps=2_500, profile="chaos")
        self.assertGreater(sum(o.acknowledged for o in outcomes), 30)

    def test_hundreds_of_entries_with_a_learner_standing_by(self) -> None:
        outcomes = self.walk(scope=WITH_SPARE, seeds=range(4), steps=1_000, profile="long")
        self.assertGreater(min(o.entries for o in outcomes), 300)
        self.assertGreater(sum(o.snapshots_fetched for o in outcomes), 6)
