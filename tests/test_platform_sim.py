"""Short days of the users' platform from fixed seeds, judged by every rule. The days
reach the product through the folder `platform/`."""

from __future__ import annotations

import unittest
from unittest import mock

from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.forward.sealed_answer import SealedCodec
from kelpstage.edge.gather.child_queries import ChildQueries
from kelpstage.edge.gather.request_state import RequestState
from kelpstage.edge.retries.budget import Budget
from kelpstage.testbed.platform_model.scenario import (
    CLOSING_FAULTS,
    PLATFORM_FAULTS,
    Outcome,
    Plan,
    as_text,
    play_scenario,
)
from kelpstage.testbed.platform_model.shape import SHAPES


def play(*, deployment: str = "senegal", faults: tuple = (), closing: str = "", **more) -> Outcome:
    fields = {"seed": 1, "seconds": 5, "rate": 0.12, "start_us": 6_000_000, "settle_s": 2, **more}
    return play_scenario(plan=Plan(deployment=deployment, faults=faults, closing=closing, **fields))


class Days(unittest.TestCase):
    def clean(self, *, least: float = 0.9, **fields) -> Outcome:
        """A day without a broken rule that earns at least this share of its worth."""
        outcome = play(**fields)
        text = as_text(outcome=outcome)
        self.assertEqual(outcome.violations, [], text)
        earned = sum(owed.earned for owed in outcome.owed.values())
        self.assertGreaterEqual(earned, least * sum(o.owed for o in outcome.owed.values()), text)
        return outcome

    def test_a_quiet_day(self):
        outcome = self.clean(deployment="netherlands", least=0.99)
        self.assertEqual(outcome.counts["acked"], 1)
        self.assertLess(outcome.counts["list_calls"], 60)

    def test_the_same_plan_gives_the_same_day(self):
        first, again = (
            play(seconds=1, rate=0.1, settle_s=0, faults=("srv_crash", "garble")) for _ in range(2)
        )
        self.assertEqual(first.counts, again.counts)
        self.assertEqual(as_text(outcome=first), as_text(outcome=again))

    def test_backends_crash_leave_and_answer_badly(self):
        outcome = self.clean(faults=("garble", "srv_drain", "srv_crash"))
        self.assertTrue(outcome.history.shown)

    def test_backends_reset_fall_silent_and_forget_connections(self):
        self.clean(faults=("srv_reset", "srv_dark", "idle_race"))

    def test_the_index_is_cut_again_and_operators_race(self):
        outcome = self.clean(faults=("reshard", "config_race"))
        self.assertTrue(any(order.refused_us for order in outcome.history.orders))

    def test_eight_orders_at_once_whose_answers_are_lost(self):
        outcome = self.clean(faults=("ack_lost",))
        self.assertGreaterEqual(outcome.counts["acked"], 4)
        repeats = [order for order in outcome.history.orders if len(order.tries) > 2]
        self.assertGreater(len(repeats), 4)

    def test_two_operators_with_one_number_while_the_core_is_killed(self):
        outcome = self.clean(deployment="netherlands", faults=("one_number",))
        self.assertGreaterEqual(outcome.counts["acked"], 4)
        self.assertTrue(any(order.refused_us for order in outcome.history.orders))

    def test_two_operators_race_while_a_core_machine_is_cut_off(self):
        for seed in (1, 2):
            outcome = self.clean(faults=("race_in_cut",), seconds=8, seed=seed)
            self.assertGreaterEqual(outcome.counts["acked"], 3)

    def test_what_was_acknowledged_is_sent_again(self):
        outcome = self.clean(faults=("order_repeated",))
        self.assertGreaterEqual(outcome.counts["acked"], 4)

    def test_invalid_configurations_are_refused(self):
        outcome = self.clean(faults=("config_invalid",))
        self.assertEqual(outcome.counts["acked"], 1)

    def test_changes_whose_answers_are_lost_while_machines_are_killed(self):
        self.clean(deployment="netherlands", faults=("config_changes", "node_kill"), least=0.8)

    def test_machines_are_stopped_in_turn(self):
        self.clean(faults=("roll_term",))

    def test_the_core_is_cut_and_changed(self):
        self.clean(faults=("core_cut",), seconds=8)

    def test_a_core_machine_is_replaced(self):
        self.clean(faults=("replace_core", "seed_turnover"))

    def test_a_disk_is_gone_right_after_an_acknowledgement(self):
        self.clean(faults=("after_ack_wipe", "disk_stall"))

    def test_every_machine_loses_power_at_the_close(self):
        self.clean(closing="closing_power", least=0.5)

    def test_a_disk_is_gone_and_the_power_of_the_others_at_the_close(self):
        self.clean(deployment="netherlands", closing="closing_wipe", least=0.5)

    def test_every_machine_goes_dark_and_a_disk_is_gone(self):
        self.clean(closing="closing_dark", least=0.5)

    def test_the_same_while_a_change_is_on_its_way(self):
        for seed in (1, 2, 3):
            self.clean(deployment="netherlands", closing="closing_early", least=0.4, seed=seed)

    def test_the_core_falls_into_halves(self):
        for seed in (1, 2):
            outcome = self.clean(faults=("core_halves",), seconds=8, seed=seed)
            self.assertGreaterEqual(len(outcome.history.reads), 10)

    def test_losses_overlap_beyond_what_may_be_lost(self):
        for seed in (1, 2):
            self.clean(faults=("losses_overlap",), seconds=8, seed=seed, least=0.2)

    def test_most_machines_leave_or_go_dark_for_good(self):
        for faults in (("most_leave",), ("most_go_dark",)):
            self.clean(faults=faults, seconds=14, rate=0.08, closing="closing_kill", least=0.5)

    def test_most_machines_stand_still_and_wake_together(self):
        self.clean(deployment="netherlands", faults=("most_freeze",), seconds=14, least=0.5)

    def test_each_machine_is_replaced_by_a_new_one(self):
        self.clean(
            faults=("all_replaced",), seconds=14, rate=0.08, closing="closing_wipe", least=0.5
        )

    def test_clients_leave_before_their_answers(self):
        outcome = self.clean(faults=("clients_leave",), seconds=8, rate=0.3, least=0.3)
        left = [request for request in outcome.history.requests if request.end == "left"]
        self.assertGreater(len(left), 20)


class Seen(unittest.TestCase):
    """The days notice a product that breaks a rule."""

    def lines(self, **fields) -> set[str]:
        return {violation.rule for violation in play(**fields).violations}

    def test_a_budget_that_allows_all(self):
        with mock.patch.object(Budget, "try_acquire", lambda self, **_: True):
            found = self.lines(faults=("many_slow",), rate=0.3)
        self.assertIn("BUDGET", found)

    def test_drains_that_are_not_heeded(self):
        with mock.patch.object(BackendRegistry, "refusal_of_instance", lambda self, **_: ""):
            found = self.lines(faults=("srv_drain",), seconds=10)
        self.assertIn("DRAIN", found)

    def test_requests_that_go_on_when_their_clients_have_left(self):
        with mock.patch.object(RequestState, "is_droppable", lambda self: False):
            found = self.lines(faults=("clients_leave",), seconds=8, rate=0.3)
        self.assertIn("GONE", found)

    def test_children_that_are_not_told(self):
        with mock.patch.object(ChildQueries, "cancel", lambda self, *, record: None):
            found = self.lines(faults=("clients_leave",), seconds=8, rate=0.3)
        self.assertIn("GONE", found)

    def test_answers_that_are_not_told_apart(self):
        with mock.patch.object(SealedCodec, "_validate_reply", lambda self, **_: None):
            found = self.lines(faults=("garble",) * 4, rate=0.3)
        self.assertIn("MIXED", found)


class Names(unittest.TestCase):
    def test_every_trouble_says_what_it_does_by_its_name(self):
        for name in (*PLATFORM_FAULTS, *CLOSING_FAULTS):
            self.assertRegex(name, r"^[a-z]+(_[a-z]+)*$")

    def test_every_deployment_has_more_backends_than_machines_can_lose(self):
        for shape in SHAPES.values():
            self.assertTrue(all(service.backends > 1 for service in shape().services.values()))


if __name__ == "__main__":
    unittest.main()
