"""Randomized membership scenarios from a few fixed seeds, and planted faults they detect."""

from __future__ import annotations

import unittest
from unittest import mock

from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.edge.lease.lease_holder import LeaseHolder
from tests.drawn_membership import DEPLOYMENTS, run_drawn
from tests.test_membership_scenarios import confirm_without_limit


class DrawnScenarios(unittest.TestCase):
    def check(self, *, seeds: tuple[int, ...], has_leader_changes: bool) -> None:
        for deployment in DEPLOYMENTS:
            for seed in seeds:
                with self.subTest(deployment=deployment, seed=seed):
                    outcome = run_drawn(
                        deployment=deployment, seed=seed, has_leader_changes=has_leader_changes
                    )
                    self.assertEqual((), outcome.violations, outcome.steps)

    def test_random_membership_steps(self) -> None:
        """Guards against review cases 1 and 3 with other orders of events."""
        self.check(seeds=(3, 5), has_leader_changes=False)

    def test_random_membership_steps_while_the_leader_changes(self) -> None:
        """Guards against the same faults under new leaders, whose lease table is empty."""
        self.check(seeds=(6, 8), has_leader_changes=True)


class PlantedFaults(unittest.TestCase):
    """The randomized scenarios detect planted faults."""

    def test_an_observer_that_confirms_without_limit(self) -> None:
        with mock.patch.object(LeaseHolder, "may_confirm", confirm_without_limit):
            outcome = run_drawn(deployment="senegal", seed=3, has_leader_changes=False)
        self.assertIn("serves", " ".join(outcome.violations))

    def test_a_fleet_without_observers(self) -> None:
        """The fault of review cases 1 and 3: every absent edge counts without a time limit."""
        with mock.patch.object(EdgeMembership, "is_observer", lambda *_: False):
            outcome = run_drawn(deployment="senegal", seed=7, has_leader_changes=False)
        self.assertIn("unresolved", " ".join(outcome.violations))


if __name__ == "__main__":
    unittest.main()
