"""Searches whose shards are in another region, in a fleet too large to measure every peer."""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace
from typing import Coroutine
from unittest import mock

from kelpstage.common.event_journal import Journal
from kelpstage.common.transport.messages import MemberMsg
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.backend.zones import ZoneDistances
from kelpstage.edge.gather import context as context_module
from kelpstage.edge.gather.child_queries import ChildQueries
from kelpstage.edge.gather.context import REPLY_MARGIN_US, GatherContext
from kelpstage.edge.gather.helper_connections import HelperConnections
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.messages import QueryChild
from kelpstage.edge.gather.request_state import ROOT, Child, RequestState, ShardState
from kelpstage.edge.gather.stages.attempts import _begin_attempt
from kelpstage.edge.gather.stages.send import _send_child
from kelpstage.edge.gather.stages.windows import child_window_end_us
from kelpstage.edge.gather.tree import Subtree, build_zone_tree
from kelpstage.edge.gossip.members import ALIVE, Member
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.retries.budget import Budget
from kelpstage.testbed.platform_model.scenario import Outcome, Plan, as_text, run_scenario
from kelpstage.testbed.platform_model.shape import far_clients

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
FAR_ROUND_TRIP_US = 24_000
AIM_US = 80_000


def context(*, me: str = "me", peers: dict[str, str]) -> GatherContext:
    """The context of a node in zone a1 with ready peers, given with their zones."""
    swim = Swim(
        me=MemberMsg(name=me, zone="a1"),
        rand=random.Random(1),
        backend_states=list,
        on_backend_state=lambda backend_state: None,
    )
    for name, zone in peers.items():
        info = MemberMsg(name=name, address=name, zone=zone, status=ALIVE, is_ready=True)
        swim.members[name] = Member(info=info, status_since_us=0)
    lease_holder = LeaseHolder(me=me)
    lease_holder.configuration = SimpleNamespace(is_gatherer=lambda **_: True)
    return GatherContext(
        me=me,
        zone="a1",
        own="",
        rand=random.Random(1),
        lease_holder=lease_holder,
        swim=swim,
        registry=BackendRegistry(
            me=me, zone_distances=ZoneDistances(zone="a1", region="a", zones=REGIONS)
        ),
        latencies=LatencyEstimates(),
        budget=Budget(),
        journal=Journal(now=lambda: 0),
        regions=REGIONS,
    )


class TimeOfAFarChild(unittest.TestCase):
    def setUp(self) -> None:
        self.context = context(peers={"near": "a1", "far": "b1", "far-2": "b1"})
        self.context.registry.zone_distances.note_round_trip(zone="b1", took_us=FAR_ROUND_TRIP_US)

    def window_end_us(self, *, node: str, quorum: int) -> int:
        record = RequestState(
            key=1, kind=ROOT, collection="r", arrived_us=0, due_us=800_000, aim_us=AIM_US
        )
        record.omit_at_us = 64_000 if quorum < 4 else record.due_us
        record.route = SimpleNamespace(window_us=10_000, is_strict=quorum >= 4)
        child = Child(slot=0, subtree=Subtree(node=node, shards=("s1", "s2", "s3", "s4")))
        return child_window_end_us(child=child, record=record, context=self.context)

    def test_a_peer_that_was_never_measured_is_as_far_as_its_zone(self) -> None:
        self.assertEqual(
            REPLY_MARGIN_US + FAR_ROUND_TRIP_US, self.context.reply_margin_us(name="far")
        )

    def test_the_margin_of_a_measured_and_of_an_unknown_peer(self) -> None:
        self.context.note_round_trip(name="far", took_us=120_000)
        margins_us = [self.context.reply_margin_us(name=name) for name in ("far", "unknown")]
        self.assertEqual([124_000, 4_000], margins_us)

    def record(self, *, node: str) -> RequestState:
        record = RequestState(
            key=1, kind=ROOT, collection="r", arrived_us=0, due_us=800_000, aim_us=AIM_US
        )
        record.omit_at_us = 64_000
        record.route = SimpleNamespace(window_us=10_000, is_strict=False)
        record.addresses = {node: node}
        record.children = [Child(slot=0, subtree=Subtree(node=node, shards=("s1",)))]
        return record

    def test_a_child_is_given_neither_the_way_nor_a_tenth_for_its_work(self) -> None:
        record = self.record(node="far")
        _send_child(child=record.children[0], record=record, context=self.context)
        (query,) = self.context.effects
        self.assertEqual(64_000 - REPLY_MARGIN_US - FAR_ROUND_TRIP_US - 6_400, query.wait_us)

    def given_us(self, *, is_connected: bool) -> tuple[int, int]:
        record = self.record(node="far")
        queries = ChildQueries(
            ports=None,
            transport=SimpleNamespace(is_connected=lambda **_: is_connected),
            context=self.context,
            on_reply=lambda reply: None,
        )
        ask = QueryChild(
            record=record,
            generation=0,
            slot=0,
            node="far",
            address="far",
            wait_us=40_000,
            query_id=1,
            is_resumed=False,
        )
        message = queries._message(ask=ask, sent_us=0)
        return message.wait_us, message.due_us

    def test_the_time_for_opening_a_connection_is_taken_off(self) -> None:
        known, new = (self.given_us(is_connected=is_open) for is_open in (True, False))
        self.assertEqual(40_000, known[0])
        self.assertEqual([FAR_ROUND_TRIP_US] * 2, [a - b for a, b in zip(known, new, strict=True)])

    def test_the_window_of_an_attempt_includes_the_distance_of_the_backend(self) -> None:
        record = self.record(node="far")
        cut = SimpleNamespace(shards={"s1": SimpleNamespace(cut="c")})
        record.configuration = SimpleNamespace(collections={"r": cut})
        self.context.registry.entry(name="backend").distance_us = FAR_ROUND_TRIP_US
        shard_state = ShardState(shard="s1")
        _begin_attempt(
            backend="backend",
            shard_state=shard_state,
            record=record,
            context=self.context,
            why="first",
            ranked=(),
        )
        self.assertEqual(10_000 + FAR_ROUND_TRIP_US, shard_state.attempts[0].window_end_us)

    def test_a_measured_peer_is_as_far_as_was_measured(self) -> None:
        self.context.note_round_trip(name="far", took_us=30_000)
        self.assertEqual(30_000, self.context.round_trip_us(name="far"))
        self.assertEqual(FAR_ROUND_TRIP_US, self.context.round_trip_us(name="far-2"))

    def test_a_far_child_is_not_late_before_its_partial_reply_is_due(self) -> None:
        self.assertEqual(64_000, self.window_end_us(node="far", quorum=1))

    def test_a_near_child_is_late_while_a_second_attempt_is_possible(self) -> None:
        self.assertLess(self.window_end_us(node="near", quorum=1), 40_000)

    def test_the_window_of_a_strict_search_includes_the_round_trip(self) -> None:
        near_us, far_us = (self.window_end_us(node=node, quorum=4) for node in ("near", "far"))
        self.assertLess(far_us, 70_000)
        self.assertGreater(far_us - near_us, 20_000)


class ChoiceOfHelpers(unittest.TestCase):
    PEERS = {f"p{number:02d}": "b1" for number in range(30)}

    @staticmethod
    def zone_of(name: str) -> str:
        return {"n1": "a1", "n2": "a2", "f1": "b1", "f2": "b1"}[name]

    def first(self, *, me: str) -> str:
        return context(me=me, peers=self.PEERS).helpers_by_zone(collection="r")["b1"][0]

    def test_a_node_uses_the_same_helpers_for_every_search(self) -> None:
        """Drawn at random, a helper is not asked again before its connection is closed as idle."""
        node = context(peers=self.PEERS)
        orders = {tuple(node.helpers_by_zone(collection="r")["b1"]) for _ in range(20)}
        self.assertEqual(1, len(orders))

    def test_nodes_prefer_different_helpers(self) -> None:
        firsts = [self.first(me=f"n{number}") for number in range(200)]
        self.assertGreater(len(set(firsts)), 25)
        self.assertLess(max(firsts.count(name) for name in set(firsts)), 20)

    def test_the_preferences_of_many_peers_take_bounded_memory(self) -> None:
        node = context(peers={})
        before = node.preference("p00")
        with mock.patch.object(context_module, "MAX_PREFERENCES", 5):
            for number in range(40):
                node.preference(f"p{number:02d}")
                self.assertLessEqual(len(node._preferences), 5)
            self.assertEqual(before, node.preference("p00"))

    def test_a_late_helper_is_replaced_until_its_penalty_has_expired(self) -> None:
        node = context(peers=self.PEERS)
        preferred = node.helpers_by_zone(collection="r")["b1"][0]
        node.note_late(name=preferred)
        self.assertNotEqual(preferred, node.helpers_by_zone(collection="r")["b1"][0])
        node.now_us = 2_000_000
        self.assertEqual(preferred, node.helpers_by_zone(collection="r")["b1"][0])


class ConnectionsToHelpers(unittest.TestCase):
    def wanted(self, *, fan_out: tuple[str, ...]) -> list[str]:
        node = context(peers={"n1": "a1", "n2": "a2", "f1": "b1", "f2": "b1"})
        node.lease_holder.configuration.forward = {
            "r": SimpleNamespace(name="r", fan_out=fan_out),
        }
        ports = SimpleNamespace(spawn_critical=lambda work: work.close())
        return HelperConnections(ports=ports, transport=None, context=node).wanted()

    def test_one_helper_in_each_zone_is_kept_connected(self) -> None:
        zones = sorted(ChoiceOfHelpers.zone_of(name) for name in self.wanted(fan_out=("s",)))
        self.assertEqual(["a1", "a2", "b1"], zones)

    def test_connections_are_opened_without_a_search(self) -> None:
        opened: list[str] = []
        sleeps: list[int] = []
        tasks: list[Coroutine] = []
        node = context(peers={"f1": "b1"})
        node.lease_holder.configuration.forward = {"r": SimpleNamespace(name="r", fan_out=("s",))}

        async def sleep(*, us: int) -> None:
            sleeps.append(us)
            if len(sleeps) > 1:
                raise asyncio.CancelledError

        ports = SimpleNamespace(
            spawn_critical=tasks.append, clock=SimpleNamespace(sleep=sleep, now_us=lambda: 0)
        )
        transport = SimpleNamespace(open=lambda *, address, channel: opened.append(address))
        HelperConnections(ports=ports, transport=transport, context=node)
        with self.assertRaises(asyncio.CancelledError):
            asyncio.run(tasks[0])
        self.assertEqual(["f1"], opened)

    def test_without_searches_no_connection_is_opened(self) -> None:
        self.assertEqual([], self.wanted(fan_out=()))


class DepthOfTheTree(unittest.TestCase):
    def test_children_in_other_zones_do_not_make_the_tree_in_the_own_zone_deeper(self) -> None:
        groups = [("z0", tuple(f"s{n}" for n in range(9)))]
        groups += [(f"z{n}", (f"t{n}",)) for n in (1, 2, 3)]
        helpers = {f"z{n}": [f"z{n}-{m}" for m in range(9)] for n in range(4)}
        tree = build_zone_tree(root="r", zone="z0", groups=groups, helpers=helpers, fan_out=5)
        self.assertEqual(2, tree.height())
        self.assertEqual(5, len(tree.nodes()))


class SearchesInAFleetOfRegions(unittest.TestCase):
    """Quick searches reach their latency target from a region without backends too."""

    outcome: Outcome

    @classmethod
    def setUpClass(cls) -> None:
        plan = Plan(deployment="far_clients", seed=1, seconds=8, rate=0.3, settle_s=1)
        cls.outcome = run_scenario(plan=plan)

    def test_no_rule_is_violated(self) -> None:
        self.assertEqual([], self.outcome.violations, as_text(outcome=self.outcome))

    def test_quick_searches_from_afar_are_answered_in_time_with_their_shards(self) -> None:
        """A far child got too little time, or a new connection took it: its shards were lost."""
        shape = far_clients()
        aim_us = next(kind.aim_us for kind in shape.kinds if kind.name == "sweep")
        far = [
            request
            for request in self.outcome.history.requests
            if request.kind == "sweep" and shape.zones[request.zone] == "zuid"
        ]
        worth = sum(
            (len(request.part_seals) / len(shape.index)) ** 2
            for request in far
            if request.is_success and request.done_us - request.sent_us <= aim_us
        )
        self.assertGreater(len(far), 6)
        self.assertGreaterEqual(worth / len(far), 0.9, as_text(outcome=self.outcome))


if __name__ == "__main__":
    unittest.main()
