"""Drawn membership scenarios from a few fixed seeds, and faults that they find."""

from __future__ import annotations

import unittest
from unittest import mock

from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.edge.lease.lease_holder import LeaseHolder
from tests.drawn_membership import DEPLOYMENTS, run_drawn
from tests.test_membership_scenarios import confirms_for_ever


class Drawn(unittest.TestCase):
    def judge(self, *, seeds: tuple[int, ...], is_lead_changing: bool) -> None:
        for deployment in DEPLOYMENTS:
            for seed in seeds:
                with self.subTest(deployment=deployment, seed=seed):
                    outcome = run_drawn(
                        deployment=deployment, seed=seed, is_lead_changing=is_lead_changing
                    )
                    self.assertEqual((), outcome.violations, outcome.steps)

    def test_edges_and_cores_come_and_go_in_any_order(self) -> None:
        """Guards against review cases 1 and 3 in other orders of events than their own."""
        self.judge(seeds=(3, 5), is_lead_changing=False)

    def test_the_same_while_the_lead_changes(self) -> None:
        """Guards against the same under leaders whose lease table is new."""
        self.judge(seeds=(6, 8), is_lead_changing=True)


class PlantedFaults(unittest.TestCase):
    """The drawn scenarios find what they are there for."""

    def test_an_observer_that_confirms_without_a_bound(self) -> None:
        with mock.patch.object(LeaseHolder, "may_confirm", confirms_for_ever):
            outcome = run_drawn(deployment="senegal", seed=3, is_lead_changing=False)
        self.assertIn("serves", " ".join(outcome.violations))

    def test_a_fleet_without_observers(self) -> None:
        """The fault of review cases 1 and 3: silence of any edge counts for ever."""
        with mock.patch.object(EdgeMembership, "is_observer", lambda *_: False):
            outcome = run_drawn(deployment="senegal", seed=7, is_lead_changing=False)
        self.assertIn("unresolved", " ".join(outcome.violations))


if __name__ == "__main__":
    unittest.main()
