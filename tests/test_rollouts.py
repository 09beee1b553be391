"""Rollouts of a new version: the replicated state, the decisions, and whole scenarios.

The scenarios run on the platform model with fixed seeds: good versions and bad ones of each
kind, while machines and backends fail, with every checker.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from tornado.locks import Lock

from kelpstage.common.errors.requests import BadRequestError
from kelpstage.common.rollouts.assessment import bad_version_reason
from kelpstage.common.rollouts.condition import COMPLETE_SHARE, RolloutCondition
from kelpstage.common.rollouts.totals import VersionTotals
from kelpstage.common.transport.messages import RolloutState, StateDoc
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.rollouts import schedule
from kelpstage.core.rollouts.order_ages import OrderAges
from kelpstage.core.rollouts.orders import RolloutOrders
from kelpstage.core.rollouts.reports import RolloutEvidence
from kelpstage.core.rollouts.schedule import LATER_STEPS, StepProgress, next_change
from kelpstage.core.state.commands import BeginRollout, ChangeRollout, Command
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.outcomes import (
    RolloutBegun,
    RolloutChanged,
    RolloutUnchanged,
    RolloutUnderWay,
)
from kelpstage.core.state.replicated_state import CoreState, adopt, previous_edge_membership
from kelpstage.core.state.rollouts import LEGACY_REPEAT_WINDOW_US, rollout_of
from kelpstage.core.web.rollouts import read_order
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.instance import Instance
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.backend.version_routing import VersionChoice, VersionRouting
from kelpstage.testbed.platform_model.machines import load
from kelpstage.testbed.platform_model.scenario import Outcome, Plan, as_text, run_scenario
from tests.async_case import AsyncCase

S = 1_000_000  # a second in microseconds
BAD_KINDS = (
    "rollout_errors",
    "rollout_slow",
    "rollout_under_load",
    "rollout_one_kind",
    "rollout_late",
)


def run(*, faults: tuple[str, ...], closing: str = "", **more) -> Outcome:
    fields = {
        "deployment": "netherlands",
        "seed": 1,
        "seconds": 6,
        "rate": 0.5,
        "start_us": 6 * S,
        "settle_s": 2,
        **more,
    }
    return run_scenario(plan=Plan(faults=faults, closing=closing, **fields))


class RolloutScenarios(unittest.TestCase):
    def run_clean(self, **fields) -> Outcome:
        outcome = run(**fields)
        self.assertEqual([], outcome.violations, as_text(outcome=outcome))
        self.assertTrue(all(order.acked_us for order in outcome.history.rollouts))
        return outcome

    def test_a_rollout_is_acknowledged_and_complete(self):
        """An order that no code takes has no acknowledgement."""
        for deployment in ("netherlands", "senegal"):
            outcome = self.run_clean(deployment=deployment, faults=("rollout_good",))
            self.assertEqual(["complete"], [one.condition for one in outcome.history.rollouts])

    def test_bad_versions_are_reverted(self):
        for kind in BAD_KINDS:
            with self.subTest(kind):
                outcome = self.run_clean(faults=(kind,), rate=1.0)
                self.assertEqual(["reverted"], [one.condition for one in outcome.history.rollouts])

    def test_an_order_is_sent_again_after_lost_answers(self):
        outcome = self.run_clean(faults=("rollout_answers_lost",))
        order = outcome.history.rollouts[0]
        self.assertTrue(order.lost_us)
        self.assertEqual([], [status for status in order.statuses if 400 <= status < 500])

    def test_cores_are_killed_cut_off_and_replaced_during_rollouts(self):
        for fault in ("core_kill", "core_cut", "core_herd", "replace_core"):
            with self.subTest(fault):
                self.run_clean(faults=("rollout_good", "rollout_errors", fault), seconds=10)

    def test_backends_fail_during_rollouts(self):
        for fault in ("srv_crash", "many_slow", "srv_dark", "garble"):
            with self.subTest(fault):
                self.run_clean(faults=("rollout_errors", fault), seconds=10, rate=1.0)

    def test_rollouts_beside_changes_of_the_configuration_and_new_shards(self):
        self.run_clean(faults=("rollout_good", "config_race", "config_change"), seconds=8)
        self.run_clean(faults=("rollout_good", "reshard"), seconds=8)

    def test_rollouts_survive_the_loss_of_all_power_and_of_disks(self):
        for closing in ("closing_power", "closing_kill", "closing_dark"):
            with self.subTest(closing):
                self.run_clean(faults=("rollout_good", "rollout_errors"), closing=closing)


class PlantedFaults(unittest.TestCase):
    """A scenario reports a violation when the product breaks a rule of rollouts."""

    def violated_rules(self, **fields) -> set[str]:
        return {violation.rule for violation in run(**fields).violations}

    def test_traffic_to_a_bad_version_without_steps_is_detected(self):
        def choose_target(self, *, service, entries, rand):
            rollout = self.rolling_of(service=service)
            if rollout is None:
                return None
            return VersionChoice(target=rollout.target, allows_target=True, allows_others=False)

        with mock.patch.object(VersionRouting, "choose", choose_target):
            rules = self.violated_rules(faults=("rollout_errors",), rate=1.0)
        self.assertIn("EXPOSURE", rules)

    def test_an_acknowledgement_without_a_replicated_order_is_detected(self):
        async def acknowledge(self, *, service, target, over_us, wait_us):
            return RolloutBegun(number=1)

        with mock.patch.object(RolloutOrders, "begin", acknowledge):
            rules = self.violated_rules(faults=("rollout_good",))
        self.assertTrue({"LOST rollout", "DUTY rollout"} <= rules, rules)

    def test_a_version_that_is_never_judged_is_detected(self):
        with (
            mock.patch.object(schedule, "revert_reason", lambda **_: ""),
            mock.patch.object(schedule, "suspicion_of", lambda **_: ""),
            mock.patch.object(VersionRouting, "block", lambda self, *, number: None),
        ):
            rules = self.violated_rules(faults=("rollout_slow",), rate=1.0)
        self.assertTrue({"EXPOSURE", "DUTY rollout"} <= rules, rules)

    def test_requests_to_the_old_version_of_a_complete_rollout_are_detected(self):
        choose = VersionRouting.choose

        def choose_old(self, **fields):
            choice = choose(self, **fields)
            if choice is None or choice.allows_others:
                return choice
            return replace(choice, allows_target=False, allows_others=True)

        with mock.patch.object(VersionRouting, "choose", choose_old):
            rules = self.violated_rules(faults=("rollout_good",), rate=2.0, deployment="senegal")
        self.assertIn("LOST version", rules)


class ReplicatedRollouts(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = Machine(
            cluster="c", state=CoreState(cluster="c", epoch=3, membership=["a", "b"])
        )

    def begin(self, *, target: str = "v2", at_us: int = 0, over_us: int = 9 * S, service="s"):
        order = BeginRollout(service=service, target=target, over_us=over_us, at_us=at_us)
        return self.machine.apply(data=bytes(Command(begin_rollout=order)))

    def change(self, *, number: int, at_us: int = 0, **fields):
        change = ChangeRollout(service="s", number=number, at_us=at_us, **fields)
        return self.machine.apply(data=bytes(Command(change_rollout=change)))

    def restart(self) -> None:
        state = CoreState().parse(bytes(self.machine.state))
        self.machine = Machine(cluster="c", state=state)

    def test_an_order_sent_again_does_not_begin_again(self):
        self.assertEqual(RolloutBegun(number=4), self.begin())
        self.restart()
        self.assertEqual(RolloutBegun(number=4), self.begin(at_us=S))
        self.assertEqual(4, self.machine.state.epoch)

    def test_a_late_copy_of_an_older_order_changes_nothing(self):
        self.begin()
        self.change(number=4, condition=RolloutCondition.REVERTED, at_us=2 * S)
        self.assertEqual(RolloutBegun(number=6), self.begin(target="v3", at_us=3 * S))
        self.restart()
        self.assertEqual(RolloutBegun(number=4), self.begin(at_us=5 * S))
        self.assertEqual("v3", rollout_of(state=self.machine.state, service="s").target)

    def test_the_same_content_long_after_the_end_is_a_new_order(self):
        self.begin()
        self.change(number=4, condition=RolloutCondition.REVERTED, at_us=2 * S)
        self.assertEqual(RolloutBegun(number=6), self.begin(at_us=2 * S + LEGACY_REPEAT_WINDOW_US))

    def test_another_version_is_refused_while_one_is_rolling(self):
        self.begin()
        self.assertEqual(RolloutUnderWay(target="v2"), self.begin(target="v3"))
        self.assertEqual(RolloutBegun(number=5), self.begin(target="v3", service="t"))

    def test_an_ended_rollout_never_changes_again(self):
        self.begin()
        self.assertEqual(RolloutChanged(epoch=5), self.change(number=4, share=60))
        self.assertEqual(RolloutUnchanged(), self.change(number=4, share=50))
        reverted = self.change(number=4, condition=RolloutCondition.REVERTED, why="bad")
        self.assertEqual(RolloutChanged(epoch=6), reverted)
        self.restart()
        for fields in ({"share": 900}, {"condition": RolloutCondition.COMPLETE}):
            self.assertEqual(RolloutUnchanged(), self.change(number=4, **fields))
        self.assertEqual(0, rollout_of(state=self.machine.state, service="s").share)

    def test_a_change_of_a_replaced_rollout_is_ignored(self):
        self.begin()
        self.change(number=4, condition=RolloutCondition.COMPLETE, at_us=2 * S)
        self.begin(target="v3", at_us=3 * S)
        self.assertEqual(RolloutUnchanged(), self.change(number=4, share=500))

    def test_reverted_versions_are_kept_until_they_are_ordered_again(self):
        self.begin()
        self.change(number=4, condition=RolloutCondition.REVERTED)
        self.begin(target="v3")
        self.change(number=6, condition=RolloutCondition.REVERTED)
        self.begin(target="v4")
        self.restart()
        rollout = rollout_of(state=self.machine.state, service="s")
        self.assertEqual(["v2", "v3"], rollout.reverted)
        self.change(number=8, condition=RolloutCondition.COMPLETE)
        self.begin(target="v2", over_us=11 * S)
        self.assertEqual(["v3"], rollout_of(state=self.machine.state, service="s").reverted)

    def test_each_change_settles_in_the_same_membership(self):
        self.begin()
        previous = previous_edge_membership(state=self.machine.state)
        self.assertEqual(("a", "b"), previous.names)

    def test_a_recovered_cluster_keeps_what_edges_have_installed(self):
        self.begin()
        doc = StateDoc().parse(bytes(self.machine.doc()))
        state = CoreState()
        adopt(state=state, doc=doc)
        self.assertEqual("v2", rollout_of(state=state, service="s").target)


class Decisions(unittest.TestCase):
    """When a share is raised, and when a version is reverted."""

    def setUp(self) -> None:
        self.rollout = RolloutState(service="s", target="v2", over_us=10 * S, number=1, share=60)
        self.evidence = RolloutEvidence(
            target={"r": VersionTotals(untimed=50)},
            other_versions={"r": VersionTotals(untimed=500)},
            targets=4,
            others=4,
        )
        self.progress = StepProgress(
            elapsed_us=5 * S, held_us=5 * S, target_answers=50, other_answers=500
        )

    def change(self, **progress):
        return next_change(
            rollout=self.rollout,
            evidence=self.evidence,
            progress=replace(self.progress, **progress),
            drain_us=4 * S,
            bad_traffic_share=0.1,
        )

    def test_the_share_is_raised_when_its_time_has_come(self):
        self.assertEqual(LATER_STEPS[0].share, self.change().share)
        self.assertIsNone(self.change(elapsed_us=4 * S))

    def test_the_share_waits_for_answers_and_for_instances(self):
        self.assertIsNone(self.change(target_answers=2))
        self.evidence.targets = 0
        self.assertIsNone(self.change())

    def test_a_service_without_requests_moves_on(self):
        self.assertIsNotNone(self.change(target_answers=0, other_answers=0))

    def test_a_service_that_lost_its_requests_moves_on(self):
        """A service that the configuration dropped after a few answers stayed at its share."""
        self.assertIsNotNone(self.change(target_answers=6, other_answers=172))
        self.assertIsNone(self.change(target_answers=2, other_answers=172))

    def test_late_in_its_time_a_rollout_goes_on_with_half_of_the_instances(self):
        self.rollout.share = 500
        self.evidence.targets = 2
        self.assertIsNone(self.change(elapsed_us=7 * S))
        self.assertEqual(COMPLETE_SHARE, self.change(elapsed_us=8 * S).share)

    def test_a_rollout_past_its_time_with_too_few_instances_is_reverted(self):
        """It stayed rolling for good, and each later order of the service was refused."""
        for share in (0, 60, 500, COMPLETE_SHARE):
            for targets in (0, 1):
                with self.subTest(share=share, targets=targets):
                    self.rollout.share, self.evidence.targets = share, targets
                    self.evidence.others = 4 if share > 60 else 40
                    change = self.change(elapsed_us=10 * S, held_us=5 * S)
                    self.assertEqual(RolloutCondition.REVERTED, change.condition)

    def test_a_rollout_past_its_time_without_answers_of_the_target_is_reverted(self):
        self.assertIsNone(self.change(elapsed_us=10 * S, held_us=4 * S, target_answers=0))
        change = self.change(elapsed_us=10 * S, target_answers=0)
        self.assertEqual(RolloutCondition.REVERTED, change.condition)

    def test_a_rollout_past_its_time_goes_on_while_its_steps_end(self):
        self.assertEqual(LATER_STEPS[0].share, self.change(elapsed_us=30 * S).share)

    def test_nothing_is_complete_once_the_target_has_no_instance_left(self):
        """The platform stops the old instances at once when a rollout is complete."""
        self.rollout.share = COMPLETE_SHARE
        self.evidence.targets, self.evidence.is_drained = 0, True
        self.assertEqual(RolloutCondition.REVERTED, self.change(held_us=S).condition)

    def test_a_new_leader_without_reports_changes_nothing(self):
        self.evidence = RolloutEvidence()
        self.assertIsNone(self.change(target_answers=0, other_answers=0))

    def test_an_order_to_the_version_in_place_is_complete_without_a_comparison(self):
        self.rollout.in_place = ["v2"]
        self.evidence = RolloutEvidence()
        self.assertIsNone(self.change(elapsed_us=6 * S))
        self.assertEqual(RolloutCondition.COMPLETE, self.change(elapsed_us=7 * S).condition)

    def test_nothing_moves_before_an_instance_of_the_target_is_listed(self):
        self.rollout.share = 0
        self.evidence.targets = 0
        self.assertIsNone(self.change())

    def test_failures_of_one_instance_do_not_revert(self):
        self.evidence.target["r"].failed = 20
        self.evidence.failing = {"i1"}
        self.assertIsNone(self.change())
        self.evidence.failing = {"i1", "i2"}
        self.assertEqual(RolloutCondition.REVERTED, self.change().condition)

    def test_a_fault_of_both_versions_does_not_revert(self):
        self.evidence.failing = {"i1", "i2"}
        self.evidence.target["r"].failed = 20
        self.evidence.other_versions["r"].failed = 200
        self.assertEqual(LATER_STEPS[0].share, self.change().share)

    def test_a_version_in_doubt_waits_and_is_reverted_near_the_end(self):
        self.evidence.target["r"].failed = 2
        self.assertIsNone(self.change())
        self.assertEqual(RolloutCondition.REVERTED, self.change(elapsed_us=8 * S).condition)

    def test_complete_waits_for_requests_to_the_old_version(self):
        self.rollout.share = COMPLETE_SHARE
        self.assertIsNone(self.change(held_us=2 * S))
        self.evidence.is_drained = True
        self.assertEqual(RolloutCondition.COMPLETE, self.change(held_us=2 * S).condition)
        self.evidence.is_drained = False
        self.assertEqual(RolloutCondition.COMPLETE, self.change(held_us=4 * S).condition)

    def test_slow_answers_on_a_single_route_revert(self):
        def totals(*, quick: int, slow: int) -> VersionTotals:
            out = VersionTotals()
            for _ in range(quick):
                out.add_answer(took_us=8_000)
            for _ in range(slow):
                out.add_answer(took_us=70_000)
            return out

        others = {name: totals(quick=400, slow=4) for name in ("full", "quick")}
        target = {"full": totals(quick=90, slow=1), "quick": totals(quick=6, slow=6)}
        self.assertIn("route quick", bad_version_reason(target=target, others=others))
        target["quick"] = totals(quick=12, slow=0)
        self.assertEqual("", bad_version_reason(target=target, others=others))


class RequestsByVersion(unittest.TestCase):
    """Which instances of a service an edge may send to."""

    def setUp(self) -> None:
        self.registry = BackendRegistry(me="n1")
        instances = [
            Instance(
                instance_id=f"{version}-{number}",
                service="s",
                address=f"127.0.0.1:{number}{index}",
                revision=version,
            )
            for index, version in enumerate(("v1", "v2"))
            for number in (1, 2)
        ]
        self.registry.set_instances(instances, now_us=1)

    def allowed(self, **fields) -> set[str]:
        rollout = RolloutState(**{"service": "s", "target": "v2", "number": 7, **fields})
        self.registry.version_routing.apply(rollouts=[rollout])
        entries = [self.registry.entries[name] for name in self.registry.instances_of("s")]
        choice = self.registry.version_routing.choose(service="s", entries=entries, rand=None)
        return {
            entry.revision for entry in entries if choice is None or not self.refused(choice, entry)
        }

    def refused(self, choice, entry: BackendEntry) -> str:
        return choice.refusal(entry=entry)

    def test_nothing_goes_to_a_version_before_its_first_step(self):
        self.assertEqual({"v1"}, self.allowed(share=0))

    def test_everything_stays_as_it_was_while_the_version_in_place_is_the_target(self):
        """Nearly all requests were refused, since all instances were those of the target."""
        order = {"target": "v1", "in_place": ["v1"], "reverted": ["v2"]}
        self.assertEqual({"v1"}, self.allowed(**order))
        complete = {"condition": RolloutCondition.COMPLETE, "share": COMPLETE_SHARE}
        self.assertEqual({"v1"}, self.allowed(**order, **complete))

    def test_a_target_that_is_not_in_place_stays_below_its_share_without_other_instances(self):
        """Its old instances may have crashed, so the list alone does not show what is in place."""
        instances = [
            Instance(instance_id="v2-1", service="s", address="127.0.0.1:9", revision="v2")
        ]
        self.registry.set_instances(instances, now_us=2)
        self.assertEqual(set(), self.allowed(in_place=["v1"], share=60))

    def test_versions_that_were_removed_lately_are_still_reported_as_in_use(self):
        listed = [
            Instance(instance_id="v2-1", service="s", address="127.0.0.1:9", revision="v2"),
            Instance(
                instance_id="v2-2",
                service="s",
                address="127.0.0.1:8",
                revision="v3",
                is_draining=True,
            ),
        ]
        self.registry.set_instances(listed, now_us=2)
        self.assertEqual(["v1", "v2"], self.registry.versions_of(service="s"))

    def test_nothing_goes_to_the_old_version_at_the_full_share(self):
        self.assertEqual({"v2"}, self.allowed(share=COMPLETE_SHARE))
        complete = {"condition": RolloutCondition.COMPLETE, "share": COMPLETE_SHARE}
        self.assertEqual({"v2"}, self.allowed(**complete))

    def test_nothing_goes_to_a_reverted_version(self):
        self.assertEqual({"v1"}, self.allowed(condition=RolloutCondition.REVERTED))

    def test_nothing_goes_to_a_version_that_was_reverted_before_a_newer_order(self):
        """While a third version is rolling, instances of the reverted second one still run."""
        newer = Instance(instance_id="v3-1", service="s", address="127.0.0.1:9", revision="v3")
        known = [
            Instance(instance_id=name, service="s", address=entry.address, revision=entry.revision)
            for name, entry in self.registry.entries.items()
        ]
        self.registry.set_instances([*known, newer], now_us=2)
        order = {"target": "v3", "reverted": ["v2"]}
        self.assertEqual({"v1"}, self.allowed(**order))
        self.assertEqual({"v1", "v3"}, self.allowed(**order, share=600))
        self.assertEqual({"v1"}, self.allowed(**order, condition=RolloutCondition.REVERTED))

    def test_a_complete_rollout_whose_version_is_gone_restricts_nothing(self):
        self.registry.set_instances(
            [Instance(instance_id="v3-1", service="s", address="127.0.0.1:9", revision="v3")],
            now_us=2,
        )
        complete = {"condition": RolloutCondition.COMPLETE, "share": COMPLETE_SHARE}
        self.assertEqual({"v3"}, self.allowed(**complete))

    def test_an_edge_with_proof_of_its_own_stops_before_the_leaders_decision(self):
        self.assertEqual({"v1", "v2"}, self.allowed(share=600))
        statistics = self.registry.version_statistics
        for _ in range(60):
            entry = self.registry.entries["v1-1"]
            statistics.note_answer(entry=entry, route="r", took_us=5_000, median_us=5_000)
        for number in (1, 2, 1, 2):
            statistics.note_failure(entry=self.registry.entries[f"v2-{number}"], route="r")
        self.assertEqual({"v1"}, self.allowed(share=600))
        report = statistics.reports()[0]
        self.assertEqual((["v2-1", "v2-2"], 2, 2), (report.failing, report.targets, report.others))


class OrderBodies(unittest.TestCase):
    def test_a_body_that_is_no_order_is_rejected_without_reaching_the_log(self):
        configuration = load(name="configuration")
        for body in (
            b"",
            b"[]",
            b'{"Service":"s","TargetVersion":"v2"}',
            b'{"Service":"s","TargetVersion":2,"OverS":9}',
            b'{"Service":"s","TargetVersion":"v2","OverS":-1}',
            b'{"Service":"s","TargetVersion":"v2","OverS":1e999}',
            b'{"Service":"s","Service":"t","TargetVersion":"v2","OverS":9}',
        ):
            with self.subTest(body), self.assertRaises(configuration.ConfigurationFormatError):
                configuration.to_rollout_order(body=body)
        for body in (b'{"service":"s","target":"","over_us":9000000}', b'{"service":"s"}', b"x"):
            with self.subTest(body):
                self.assertIsInstance(read_order(body=body), BadRequestError)


class Acknowledgement(AsyncCase):
    async def test_an_order_that_edges_have_not_installed_is_not_acknowledged(self):
        """The order is committed, but an edge could still serve the epoch before it."""
        for is_settled, is_acknowledged in ((False, False), (True, True)):
            with self.subTest(is_settled=is_settled):
                outcome = await self.begin(is_settled=is_settled)
                self.assertEqual(is_acknowledged, isinstance(outcome, RolloutBegun))

    async def begin(self, *, is_settled: bool):
        machine = Machine(cluster="c")
        task = mock.create_autospec(ReplicaTask, instance=True)
        task.machine = machine
        task.confirm.return_value = None
        task.propose.side_effect = lambda data, put_id, wait_us: machine.apply(data=data)
        settlement = mock.create_autospec(EpochSettlement, instance=True)
        settlement.change_lock = Lock()
        settlement.wait_settled.return_value = is_settled
        ports = mock.Mock()
        ports.spawn = lambda work: asyncio.get_running_loop().create_task(work)
        ports.clock.now_us.return_value = ports.clock.wall_us.return_value = S

        async def within(future, us):
            return await future

        ports.clock.within = within
        readiness = mock.Mock()
        readiness.check = mock.AsyncMock(return_value=None)
        orders = RolloutOrders(
            ports=ports,
            journal=mock.Mock(),
            task=task,
            settlement=settlement,
            readiness=readiness,
            listed_versions=mock.Mock(fetch=mock.AsyncMock(return_value=["v1"])),
            ages=OrderAges(),
            repeat_within_us=8 * S,
        )
        return await orders.begin(service="s", target="v2", over_us=9 * S, wait_us=S)


if __name__ == "__main__":
    unittest.main()
