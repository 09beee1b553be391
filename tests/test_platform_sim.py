"""Short scenarios of the platform model with fixed seeds, checked against every rule.

The model starts the product through the modules of the folder `platform/`.
"""

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
    run_scenario,
)
from kelpstage.testbed.platform_model.shape import SHAPES


def run(*, deployment: str = "senegal", faults: tuple = (), closing: str = "", **more) -> Outcome:
    fields = {"seed": 1, "seconds": 5, "rate": 0.12, "start_us": 6_000_000, "settle_s": 2, **more}
    return run_scenario(plan=Plan(deployment=deployment, faults=faults, closing=closing, **fields))


class Scenarios(unittest.TestCase):
    def run_clean(self, *, least: float = 0.9, **fields) -> Outcome:
        """Run a scenario without violations that earns at least the share `least` of its worth."""
        outcome = run(**fields)
        text = as_text(outcome=outcome)
        self.assertEqual(outcome.violations, [], text)
        earned = sum(score.earned_worth for score in outcome.scores.values())
        self.assertGreaterEqual(
            earned, least * sum(score.possible_worth for score in outcome.scores.values()), text
        )
        return outcome

    def test_scenario_without_faults(self):
        outcome = self.run_clean(deployment="netherlands", least=0.99)
        self.assertEqual(outcome.counts["acked"], 1)
        self.assertLess(outcome.counts["list_calls"], 60)

    def test_the_same_plan_gives_the_same_result(self):
        first, again = (
            run(seconds=1, rate=0.1, settle_s=0, faults=("srv_crash", "garble")) for _ in range(2)
        )
        self.assertEqual(first.counts, again.counts)
        self.assertEqual(as_text(outcome=first), as_text(outcome=again))

    def test_backends_crash_drain_and_send_faulty_replies(self):
        outcome = self.run_clean(faults=("garble", "srv_drain", "srv_crash"))
        self.assertTrue(outcome.history.shown)

    def test_backends_reset_hang_and_drop_idle_connections(self):
        self.run_clean(faults=("srv_reset", "srv_dark", "idle_race"))

    def test_resharding_and_concurrent_operators(self):
        outcome = self.run_clean(faults=("reshard", "config_race"))
        self.assertTrue(any(order.refused_us for order in outcome.history.orders))

    def test_eight_concurrent_writes_with_lost_replies(self):
        outcome = self.run_clean(faults=("ack_lost",))
        self.assertGreaterEqual(outcome.counts["acked"], 4)
        repeats = [order for order in outcome.history.orders if len(order.tries) > 2]
        self.assertGreater(len(repeats), 4)

    def test_two_operators_use_the_same_revision_while_the_core_is_killed(self):
        outcome = self.run_clean(deployment="netherlands", faults=("one_number",))
        self.assertGreaterEqual(outcome.counts["acked"], 4)
        self.assertTrue(any(order.refused_us for order in outcome.history.orders))

    def test_two_operators_race_while_a_core_machine_is_partitioned(self):
        for seed in (1, 2):
            outcome = self.run_clean(faults=("race_in_cut",), seconds=8, seed=seed)
            self.assertGreaterEqual(outcome.counts["acked"], 3)

    def test_acknowledged_writes_are_repeated(self):
        outcome = self.run_clean(faults=("order_repeated",))
        self.assertGreaterEqual(outcome.counts["acked"], 4)

    def test_invalid_configurations_are_rejected(self):
        outcome = self.run_clean(faults=("config_invalid",))
        self.assertEqual(outcome.counts["acked"], 1)

    def test_writes_with_lost_replies_while_machines_are_killed(self):
        self.run_clean(deployment="netherlands", faults=("config_changes", "node_kill"), least=0.8)

    def test_rolling_restart(self):
        self.run_clean(faults=("roll_term",))

    def test_configuration_write_during_a_core_partition(self):
        self.run_clean(faults=("core_cut",), seconds=8)

    def test_a_core_machine_is_replaced_and_seeds_change(self):
        self.run_clean(faults=("replace_core", "seed_turnover"))

    def test_a_disk_is_lost_right_after_an_acknowledgement(self):
        self.run_clean(faults=("after_ack_wipe", "disk_stall"))

    def test_every_machine_loses_power_at_the_end(self):
        self.run_clean(closing="closing_power", least=0.5)

    def test_a_core_disk_is_lost_and_other_core_machines_lose_power_at_the_end(self):
        self.run_clean(deployment="netherlands", closing="closing_wipe", least=0.5)

    def test_a_core_disk_is_lost_and_every_machine_loses_power_at_the_end(self):
        self.run_clean(closing="closing_dark", least=0.5)

    def test_a_disk_and_all_power_are_lost_during_a_configuration_write(self):
        for seed in (1, 2, 3):
            self.run_clean(deployment="netherlands", closing="closing_early", least=0.4, seed=seed)

    def test_the_core_is_partitioned_into_halves(self):
        for seed in (1, 2):
            outcome = self.run_clean(faults=("core_halves",), seconds=8, seed=seed)
            self.assertGreaterEqual(len(outcome.history.reads), 10)

    def test_machine_losses_overlap_beyond_the_tolerance(self):
        for seed in (1, 2):
            self.run_clean(faults=("losses_overlap",), seconds=8, seed=seed, least=0.2)

    def test_most_machines_stop_or_lose_power_for_good(self):
        for faults in (("most_leave",), ("most_go_dark",)):
            self.run_clean(faults=faults, seconds=14, rate=0.08, closing="closing_kill", least=0.5)

    def test_most_machines_freeze_and_resume_together(self):
        self.run_clean(deployment="netherlands", faults=("most_freeze",), seconds=14, least=0.5)

    def test_every_machine_is_replaced(self):
        self.run_clean(
            faults=("all_replaced",), seconds=14, rate=0.08, closing="closing_wipe", least=0.5
        )

    def test_clients_disconnect_before_their_replies(self):
        outcome = self.run_clean(faults=("clients_leave",), seconds=8, rate=0.3, least=0.3)
        left = [request for request in outcome.history.requests if request.end == "left"]
        self.assertGreater(len(left), 20)


class ViolationDetection(unittest.TestCase):
    """A scenario reports a violation when the product breaks a rule."""

    def violated_rules(self, **fields) -> set[str]:
        return {violation.rule for violation in run(**fields).violations}

    def test_a_retry_budget_that_always_allows_is_detected(self):
        with mock.patch.object(Budget, "try_acquire", lambda self, **_: True):
            rules = self.violated_rules(faults=("many_slow",), rate=0.3)
        self.assertIn("BUDGET", rules)

    def test_requests_to_draining_backends_are_detected(self):
        with mock.patch.object(BackendRegistry, "refusal_of_instance", lambda self, **_: ""):
            rules = self.violated_rules(faults=("srv_drain",), seconds=10)
        self.assertIn("DRAIN", rules)

    def test_requests_that_outlive_their_client_are_detected(self):
        with mock.patch.object(RequestState, "is_droppable", lambda self: False):
            rules = self.violated_rules(faults=("clients_leave",), seconds=8, rate=0.3)
        self.assertIn("GONE", rules)

    def test_child_queries_that_are_not_cancelled_are_detected(self):
        with mock.patch.object(ChildQueries, "cancel", lambda self, *, record: None):
            rules = self.violated_rules(faults=("clients_leave",), seconds=8, rate=0.3)
        self.assertIn("GONE", rules)

    def test_replies_to_other_requests_are_detected(self):
        with mock.patch.object(SealedCodec, "_validate_reply", lambda self, **_: None):
            rules = self.violated_rules(faults=("garble",) * 4, rate=0.3)
        self.assertIn("MIXED", rules)


class ScenarioNames(unittest.TestCase):
    def test_fault_names_are_lower_case_words(self):
        for name in (*PLATFORM_FAULTS, *CLOSING_FAULTS):
            self.assertRegex(name, r"^[a-z]+(_[a-z]+)*$")

    def test_every_service_has_more_than_one_backend(self):
        for shape in SHAPES.values():
            self.assertTrue(all(service.backends > 1 for service in shape().services.values()))


if __name__ == "__main__":
    unittest.main()
