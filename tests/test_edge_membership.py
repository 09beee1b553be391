"""Rules over the edge membership: settlement, quorum, removal and who may confirm an epoch."""

from __future__ import annotations

import asyncio
import itertools
import json
import unittest
from typing import Any

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.common.lease_timing import (
    CONFIRMS_AFTER_LEASE_US,
    LEASE_MARGIN_US,
    LEASE_SPAN_US,
    OBSERVER_MARGIN_US,
    OBSERVER_SPAN_US,
)
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.transport.messages import LeaseReply, StateDoc
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.leases.membership_changes import (
    OBSERVER_REMOVAL_TIMEOUT_US,
    VOTER_REMOVAL_TIMEOUT_US,
    edge_to_remove,
)
from kelpstage.core.state.commands import AddEdge, Command, PutConfiguration, RemoveEdge
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.replicated_state import edge_membership, previous_edge_membership
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim

OBSERVER_EXPIRY_US = OBSERVER_SPAN_US + OBSERVER_MARGIN_US
LONG_AFTER_US = 10 * OBSERVER_EXPIRY_US


def membership_of(names: str, observers: str = "") -> EdgeMembership:
    return EdgeMembership.of(names=list(names), observers=list(observers))


def report(lease_table: LeaseTable, edge: str, *, epoch: int, now_us: int) -> bool:
    return lease_table.record_report(
        edge=edge, incarnation=1, epoch=epoch, contact=None, now_us=now_us
    )


def subsets(names: tuple[str, ...]) -> list[tuple[str, ...]]:
    return [
        chosen for count in range(len(names) + 1) for chosen in itertools.combinations(names, count)
    ]


def membership_changes() -> list[tuple[EdgeMembership, EdgeMembership]]:
    """Memberships of up to four edges, each with the memberships that one change leads to."""
    out = []
    for count in range(1, 5):
        names = "abcde"[:count]
        for observers in subsets(tuple(names)):
            before = EdgeMembership.of(names=list(names), observers=observers)
            out += [(before, membership_of(names + "x", "".join(observers) + "x"))]
            out += [(before, membership_of(names + "x", "".join(observers)))]
            out += [(before, membership_of(names + "xyz", "".join(observers) + "z"))]
            out += [
                (before, membership_of(names.replace(removed, ""), "".join(observers)))
                for removed in names
            ]
    return out


class EpochSettlement(unittest.TestCase):
    def test_no_majority_lacks_a_settled_epoch(self) -> None:
        """Tries every change of small memberships with every subset of edges that installed it.

        When it counts as settled, the edges without it are no majority of either membership.
        """
        settled = 0
        for before, after in membership_changes():
            all_edges = tuple(sorted({*before.names, *after.names}))
            for installed in subsets(all_edges):
                lease_table = LeaseTable(since_us=0)
                for edge in installed:
                    report(lease_table, edge, epoch=2, now_us=1)
                if not all(
                    lease_table.is_settled(epoch=2, membership=m, now_us=LEASE_SPAN_US * 2)
                    for m in (before, after)
                ):
                    continue
                settled += 1
                for membership in (before, after):
                    edges_without = set(all_edges) - set(installed)
                    self.assertFalse(
                        membership.has_majority(edges_without), (before, after, installed)
                    )
        self.assertGreater(settled, 500)

    def test_half_of_the_voting_members_are_needed_to_settle(self) -> None:
        for voters, needed in ((1, 1), (2, 1), (3, 2), (4, 2), (5, 3), (6, 3)):
            membership = membership_of("abcdef"[:voters] + "uvwxyz", "uvwxyz")
            for count in range(voters + 1):
                lease_table = LeaseTable(since_us=0)
                for edge in membership.voters[:count]:
                    report(lease_table, edge, epoch=2, now_us=1)
                is_settled = lease_table.is_settled(
                    epoch=2, membership=membership, now_us=LONG_AFTER_US
                )
                self.assertEqual(count >= needed, is_settled, (voters, count))
                quorum = lease_table.has_quorum(membership=membership, now_us=2)
                self.assertEqual(count >= needed, quorum, (voters, count))

    def test_unresponsive_observers_delay_settlement_only_for_their_span(self) -> None:
        membership = membership_of("abcdefg", "cdefg")
        lease_table = LeaseTable(since_us=0)
        for edge in membership.names:
            report(lease_table, edge, epoch=1, now_us=LONG_AFTER_US)
            lease_table.record_lease(edge=edge, epoch=1, now_us=LONG_AFTER_US)
        for edge in "ab":
            report(lease_table, edge, epoch=2, now_us=LONG_AFTER_US + 1)

        def is_settled(after_us: int) -> bool:
            return lease_table.is_settled(
                epoch=2, membership=membership, now_us=LONG_AFTER_US + after_us
            )

        self.assertFalse(is_settled(OBSERVER_EXPIRY_US - 1))
        self.assertTrue(is_settled(OBSERVER_EXPIRY_US))

    def test_one_unresponsive_edge_delays_settlement_for_a_lease(self) -> None:
        membership = membership_of("abc", "c")
        lease_table = LeaseTable(since_us=0)
        for edge in "ab":
            report(lease_table, edge, epoch=2, now_us=1)
        span_us = LEASE_SPAN_US + LEASE_MARGIN_US
        for now_us, expected in ((span_us - 1, False), (span_us, True)):
            self.assertEqual(
                expected, lease_table.is_settled(epoch=2, membership=membership, now_us=now_us)
            )

    def test_a_lease_for_the_newer_epoch_does_not_delay_settlement(self) -> None:
        membership = membership_of("abc", "bc")
        lease_table = LeaseTable(since_us=0)
        report(lease_table, "a", epoch=2, now_us=1)
        for edge in "bc":
            lease_table.record_lease(edge=edge, epoch=2, now_us=LONG_AFTER_US)
        self.assertTrue(
            lease_table.is_settled(epoch=2, membership=membership, now_us=LONG_AFTER_US)
        )

    def test_an_edge_that_left_does_not_delay_settlement(self) -> None:
        membership = membership_of("abc")
        lease_table = LeaseTable(since_us=0)
        report(lease_table, "a", epoch=2, now_us=1)
        for edge in "bc":
            report(lease_table, edge, epoch=1, now_us=1)
            lease_table.record_lease(edge=edge, epoch=1, now_us=1)
            lease_table.record_leave(edge=edge, incarnation=1, now_us=2)
        self.assertTrue(lease_table.is_settled(epoch=2, membership=membership, now_us=3))
        self.assertTrue(lease_table.has_quorum(membership=membership, now_us=3))
        self.assertFalse(report(lease_table, "b", epoch=1, now_us=4))  # sent before it left
        self.assertTrue(lease_table.is_settled(epoch=2, membership=membership, now_us=5))
        lease_table.record_report(edge="b", incarnation=2, epoch=0, contact=None, now_us=6)
        self.assertFalse(lease_table.is_settled(epoch=2, membership=membership, now_us=7))

    def test_leaving_of_an_older_incarnation_is_ignored(self) -> None:
        lease_table = LeaseTable(since_us=0)
        lease_table.record_report(edge="a", incarnation=2, epoch=1, contact=None, now_us=1)
        lease_table.record_leave(edge="a", incarnation=1, now_us=2)
        self.assertFalse(lease_table.has_left(edge="a"))


class AbsentEdgeRemoval(unittest.TestCase):
    def setUp(self) -> None:
        self.lease_table = LeaseTable(since_us=0)
        self.membership = membership_of("abcxy", "xy")

    def removal_candidate(self, *, now_us: int, min_voters: int = 2) -> str | None:
        return edge_to_remove(
            membership=self.membership,
            lease_table=self.lease_table,
            min_voters=min_voters,
            now_us=now_us,
        )

    def report_edges(self, edges: str, *, now_us: int) -> None:
        for edge in edges:
            report(self.lease_table, edge, epoch=1, now_us=now_us)

    def test_absent_voter_is_removed_unless_needed(self) -> None:
        self.report_edges("bcxy", now_us=VOTER_REMOVAL_TIMEOUT_US)
        self.assertIsNone(self.removal_candidate(now_us=VOTER_REMOVAL_TIMEOUT_US - 1))
        self.assertEqual("a", self.removal_candidate(now_us=VOTER_REMOVAL_TIMEOUT_US))
        self.assertIsNone(self.removal_candidate(now_us=VOTER_REMOVAL_TIMEOUT_US, min_voters=3))

    def test_voter_that_left_is_removed(self) -> None:
        self.report_edges("abcxy", now_us=1)
        self.lease_table.record_leave(edge="b", incarnation=1, now_us=2)
        self.assertEqual("b", self.removal_candidate(now_us=3))

    def test_absent_observer_is_removed(self) -> None:
        self.report_edges("abcxy", now_us=1)
        self.lease_table.record_leave(edge="y", incarnation=1, now_us=2)
        self.report_edges("abcx", now_us=OBSERVER_REMOVAL_TIMEOUT_US)
        self.assertIsNone(self.removal_candidate(now_us=OBSERVER_REMOVAL_TIMEOUT_US + 1))
        self.assertEqual("y", self.removal_candidate(now_us=OBSERVER_REMOVAL_TIMEOUT_US + 2))

    def test_absence_counts_from_the_election(self) -> None:
        self.lease_table = LeaseTable(since_us=LONG_AFTER_US)
        self.assertIsNone(
            self.removal_candidate(now_us=LONG_AFTER_US + VOTER_REMOVAL_TIMEOUT_US - 1)
        )
        self.assertEqual(
            "a", self.removal_candidate(now_us=LONG_AFTER_US + VOTER_REMOVAL_TIMEOUT_US)
        )


class EpochConfirmation(unittest.TestCase):
    def holder(self, *, me: str, epoch: int = 3) -> LeaseHolder:
        holder = LeaseHolder(me=me)
        doc = StateDoc(
            cluster="c", epoch=epoch, version=1, membership=list("abxyz"), observers=list("xyz")
        )
        configuration = Configuration(version=1, document=b"")
        holder.install(doc=doc, configuration=configuration, now_us=0)
        return holder

    def lease(self, holder: LeaseHolder, *, epoch: int, sent_us: int) -> None:
        reply = LeaseReply(is_granted=True, cluster="c", epoch=epoch, span_us=LEASE_SPAN_US)
        holder.record_lease(reply=reply, sent_us=sent_us)

    def test_an_observer_confirms_for_a_limited_time_after_its_lease(self) -> None:
        holder = self.holder(me="x")
        self.assertFalse(holder.may_confirm(now_us=0))
        self.lease(holder, epoch=3, sent_us=0)
        self.assertTrue(holder.may_confirm(now_us=OBSERVER_SPAN_US - 1))
        self.assertFalse(holder.may_confirm(now_us=OBSERVER_SPAN_US))
        self.assertEqual(OBSERVER_SPAN_US, LEASE_SPAN_US + CONFIRMS_AFTER_LEASE_US)

    def test_a_lease_for_an_epoch_that_is_not_installed_does_not_extend_it(self) -> None:
        holder = self.holder(me="x")
        self.lease(holder, epoch=3, sent_us=0)
        self.lease(holder, epoch=4, sent_us=OBSERVER_SPAN_US - 1)
        self.assertFalse(holder.may_confirm(now_us=OBSERVER_SPAN_US))

    def test_a_voting_member_confirms_without_a_time_limit(self) -> None:
        holder = self.holder(me="a")
        self.lease(holder, epoch=3, sent_us=0)
        self.assertTrue(holder.may_confirm(now_us=LONG_AFTER_US))

    def test_an_edge_that_left_neither_serves_nor_confirms(self) -> None:
        holder = self.holder(me="a")
        self.lease(holder, epoch=3, sent_us=0)
        holder.has_left = True
        self.assertFalse(holder.may_confirm(now_us=1))
        self.assertEqual("left", holder.refusal(now_us=1))


class ReplicatedMembership(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = Machine(cluster="c")

    def apply(self, **what: object) -> None:
        self.machine.apply(data=bytes(Command(**what)))

    def test_observers_join_become_voters_and_leave(self) -> None:
        add = AddEdge(edge="a", more=["x", "y"], observers=["x", "y"], is_joint=True)
        self.apply(add=add)
        self.assertEqual(membership_of("axy", "xy"), edge_membership(state=self.machine.state))
        self.apply(add=AddEdge(edge="x", is_joint=True))
        self.assertEqual(membership_of("axy", "y"), edge_membership(state=self.machine.state))
        self.assertEqual(
            membership_of("axy", "xy"), previous_edge_membership(state=self.machine.state)
        )
        self.apply(remove=RemoveEdge(edge="y", is_joint=True))
        self.assertEqual(membership_of("ax"), edge_membership(state=self.machine.state))
        self.assertEqual(3, self.machine.state.epoch)
        self.assertEqual([], self.machine.doc().observers)

    def test_a_write_does_not_change_the_membership(self) -> None:
        self.apply(add=AddEdge(edge="a", more=["b"]))
        self.assertIsNone(previous_edge_membership(state=self.machine.state))
        self.apply(put=PutConfiguration(put_id="p", expected=0, document=b"{}"))
        self.assertEqual(membership_of("ab"), previous_edge_membership(state=self.machine.state))

    def test_a_single_edge_in_a_log_of_an_older_version_is_not_joint(self) -> None:
        for name in "abc":
            self.apply(add=AddEdge(edge=name))
        self.assertIsNone(previous_edge_membership(state=self.machine.state))


async def fetch_membership(fleet: SimFleet) -> dict[str, Any]:
    """The membership as the leader reports it to operators."""
    leader = fleet.leader()
    assert leader is not None
    call = HttpCall(method="GET", url=f"http://{fleet.core_http(name=leader)}/v1/roster")
    reply = await fleet.outside.ports.net.fetch(call=call)
    assert isinstance(reply, HttpReply)
    return json.loads(reply.body)


class MembershipView(unittest.TestCase):
    def test_view_shows_voters_left_edges_and_settlement(self) -> None:
        """Guards against a delayed change without an indication of which edge delays it."""
        seen: list[dict[str, Any]] = []

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            nodes = fleet.deployment.nodes
            left, failed = [node.name for node in nodes if not node.has_disk][:2]
            await fleet.stop_edge(name=left)
            fleet.processes[f"edge/{failed}"].kill(is_power=True)
            put = asyncio.ensure_future(fleet.put_next())
            await fleet.sleep(us=500_000)
            seen.append(await fetch_membership(fleet))
            await put
            seen.append(await fetch_membership(fleet))
            rows = {row["edge"]: row for row in seen[0]["edges"]}
            self.assertTrue(rows[left]["has_left"])
            self.assertTrue(rows[failed]["is_behind"])
            self.assertFalse(rows[failed]["has_left"])
            voting = {name for name, row in rows.items() if row["is_voting"]}
            self.assertEqual({node.name for node in nodes if node.has_disk}, voting)

        run_sim(seed=1, deployment=load(name="senegal"), scenario=scenario, has_observers=True)
        self.assertEqual([False, True], [view["is_settled"] for view in seen])


if __name__ == "__main__":
    unittest.main()
