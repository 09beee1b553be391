"""Several orders of one service, one after another, on the platform model with fixed seeds."""

from __future__ import annotations

import unittest
from unittest import mock

from kelpstage.testbed.platform_model.faults import rollout_histories
from kelpstage.testbed.platform_model.faults.rollout_histories import (
    DrawnOrder,
    Instances,
    OrderKind,
    Pause,
)
from kelpstage.testbed.platform_model.scenario import Outcome, Plan, as_text, run_scenario

S = 1_000_000  # a second in microseconds
SERVICE = "results"  # three backends


def order(kind: OrderKind, **more) -> DrawnOrder:
    fields = {
        "kind": kind,
        "is_bad": False,
        "instances": Instances.AS_MANY,
        "pause": Pause.BEYOND,
        "has_order_over": False,
    }
    return DrawnOrder(**{**fields, **more})


def play(*orders: DrawnOrder, faults: tuple[str, ...] = (), **more) -> Outcome:
    """Play a history of these orders, or a drawn one without any."""
    fields = {"deployment": "netherlands", "seed": 3, "seconds": 6, "rate": 1.2, **more}
    plan = Plan(faults=("rollout_history", *faults), start_us=6 * S, settle_s=2, **fields)
    if not orders:
        return run_scenario(plan=plan)
    with (
        mock.patch.object(rollout_histories, "draw_orders", lambda rand: list(orders)),
        mock.patch.object(rollout_histories, "draw_service", lambda play, rand: SERVICE),
    ):
        return run_scenario(plan=plan)


class Histories(unittest.TestCase):
    def play_clean(self, *orders: DrawnOrder, **more) -> list[str]:
        """Play a history without a violation; the final condition of each order."""
        outcome = play(*orders, **more)
        self.assertEqual([], outcome.violations, as_text(outcome=outcome))
        self.assertTrue(all(one.acked_us for one in outcome.history.rollouts))
        return [one.condition for one in outcome.history.rollouts]

    def test_a_version_ordered_again_after_another_one_is_carried_out(self):
        """Such an order was taken for a copy of the first one: acknowledged, never begun."""
        conditions = self.play_clean(
            order(OrderKind.NEW), order(OrderKind.BACK), order(OrderKind.BACK)
        )
        self.assertEqual(["complete"] * 3, conditions)

    def test_stepped_clocks_of_the_cores_change_no_decision(self):
        """The time since an order was read off the leader's wall clock."""
        orders = [order(OrderKind.NEW, is_bad=True), order(OrderKind.AGAIN)]
        conditions = self.play_clean(*orders, faults=("clock_steps", "core_kill"))
        self.assertEqual(["reverted", "complete"], conditions)

    # --- the version in place -------------------------------------------------------------

    def test_an_order_to_the_version_in_place_refuses_no_requests(self):
        """Nearly all requests were refused, since all instances were those of the target."""
        conditions = self.play_clean(
            order(OrderKind.IN_PLACE), order(OrderKind.NEW, is_bad=True), order(OrderKind.IN_PLACE)
        )
        self.assertEqual(["complete", "reverted", "complete"], conditions)

    # --- the end of each rollout ----------------------------------------------------------

    def test_a_rollout_with_half_of_the_instances_ends_and_the_next_order_is_taken(self):
        """It stayed rolling for good, and each later order of the service was refused."""
        first = order(OrderKind.NEW, instances=Instances.HALF)
        self.assertEqual(["complete"] * 2, self.play_clean(first, order(OrderKind.NEW)))

    def test_a_rollout_without_instances_ends_and_the_next_order_is_taken(self):
        """It stayed rolling for good, and each later order of the service was refused."""
        first = order(OrderKind.NEW, instances=Instances.NONE)
        conditions = self.play_clean(first, order(OrderKind.NEW))
        self.assertEqual(["reverted", "complete"], conditions)


if __name__ == "__main__":
    unittest.main()
