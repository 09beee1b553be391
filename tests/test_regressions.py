"""Regression tests: each reproduces a past failure with a minimal setup."""

from __future__ import annotations

import json
import random
import unittest

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.event_journal import Journal
from kelpstage.common.transport.messages import (
    BackendStateMsg,
    ConfirmEpochReply,
    Gathered,
    MemberMsg,
    PartMsg,
    StateDoc,
)
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.backend.reply import ValidatedPart
from kelpstage.edge.backend.selection import options
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.messages import BackendReplied, ChildReplied
from kelpstage.edge.gather.record_order import pack_records
from kelpstage.edge.gather.request_state import GATHERING, ROOT, Child, RequestState, ShardState
from kelpstage.edge.gather.stages.merge import apply_reply
from kelpstage.edge.gather.tree import Subtree
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.retries.budget import Budget
from kelpstage.testbed.fleet.deployment import configuration_of, load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from tests.test_fleet_sim import fetch


class BackendSelection(unittest.TestCase):
    """A near backend with invalid or slow replies must not be ranked first each time."""

    def setUp(self) -> None:
        addresses = {
            b.name: f"10.0.0.1:{9000 + n}" for n, b in enumerate(load(name="tiny").backends)
        }
        self.configuration = read_configuration(
            data=configuration_of(deployment=load(name="tiny"), addresses=addresses), version=1
        )
        self.registry, self.latencies = BackendRegistry(me="n"), LatencyEstimates()
        self.registry.apply_configuration(configuration=self.configuration, listed={})

    def order(self, now_us: int) -> list[str]:
        ranked = options(
            configuration=self.configuration,
            registry=self.registry,
            latencies=self.latencies,
            collection="tiny",
            shard="s1",
            zone="east",
            now_us=now_us,
            rand=random.Random(1),
        )
        return [option.backend for option in ranked if not option.refusal]

    def test_a_backend_with_an_invalid_reply_is_ranked_last_for_a_while(self) -> None:
        self.assertEqual(["b-01", "b-02"], self.order(0))
        self.registry.note_invalid_reply(name="b-01", now_us=0)
        self.assertEqual(["b-02", "b-01"], self.order(1))
        self.assertEqual(["b-01", "b-02"], self.order(60_000_000))

    def test_other_edges_receive_the_invalid_reply_state(self) -> None:
        self.registry.note_invalid_reply(name="b-01", now_us=0)
        [backend_state] = [
            r
            for r in self.registry.backend_states(now_us=1)
            if r.state == BackendState.INVALID_REPLIES
        ]
        other = BackendRegistry(me="m")
        other.apply_configuration(configuration=self.configuration, listed={})
        self.assertTrue(other.on_backend_state_received(backend_state=backend_state, now_us=5))
        self.assertTrue(other.is_suspected(name="b-01", now_us=6))

    def test_a_slow_backend_is_ranked_last_and_tried_again_later(self) -> None:
        for _ in range(20):
            self.latencies.observe(name="b-01", took_us=900_000, now_us=0)
        self.assertEqual(["b-02", "b-01"], self.order(1_000))
        self.assertEqual(["b-01", "b-02"], self.order(60_000_000))


class SlowShards(unittest.TestCase):
    def test_slow_shards_are_awaited_until_the_deadline(self) -> None:
        """The root must not use up its retry budget and fail with most of the time left.

        The initial windows are 10 ms long and the backends take 150 ms.
        """

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for name in fleet.backends:
                await fleet.set_backend(name=name, slow_us=150_000)
            for number in range(12):
                reply = await fetch(
                    fleet,
                    fleet.edge_http["node-04"],
                    "/v1/collections/tiny/search",
                    "POST",
                    headers={"Kelp-Time-Left-Us": "2000000"},
                    body=json.dumps({"q": "name-01", "call": f"x{number}"}).encode(),
                )
                self.assertEqual(200, reply.status, reply.body[:300])
            firsts = {(r["call"], r["shard"]) for r in fleet.history if r["event"] == "receipt"}
            count = sum(r["event"] == "receipt" for r in fleet.history)
            self.assertLess(count - len(firsts), 40)

        run_sim(seed=1, deployment=load(name="tiny"), scenario=scenario)


class LateChildReply(unittest.TestCase):
    """A late child's reply must not be dropped because the root has one of its shards.

    The root gathers one of the child's two shards itself; then the reply arrives with both.
    Dropping it would lose the other shard.
    """

    def test_a_late_child_reply_is_accepted_completely(self) -> None:
        configuration = read_configuration(
            data=configuration_of(deployment=load(name="tiny"), addresses={}), version=1
        )
        context = GatherContext(
            me="r",
            zone="east",
            own="",
            rand=random.Random(1),
            lease_holder=LeaseHolder(me="r"),
            swim=Swim(
                me=MemberMsg(name="r"),
                rand=random.Random(1),
                backend_states=list,
                on_backend_state=lambda backend_state: None,
            ),
            registry=BackendRegistry(me="r"),
            latencies=LatencyEstimates(),
            budget=Budget(),
            journal=Journal(now=lambda: 0),
        )
        child = Child(slot=0, subtree=Subtree(node="k", shards=("s1", "s2")), is_sent=True)
        record = RequestState(
            key=1,
            kind=ROOT,
            collection="tiny",
            arrived_us=0,
            due_us=10,
            version=1,
            phase=GATHERING,
            configuration=configuration,
            route=configuration.route(collection="tiny"),
            children=[child],
            shard_states={"s1": ShardState(shard="s1", is_extra=True)},
        )
        own = ValidatedPart(shard="s1", cut="c1", stamp="x", count=1, records=[(-5, b"own")])
        apply_reply(
            BackendReplied(
                key=1, generation=0, shard="s1", number=1, backend="b", sent_us=0, outcome=own
            ),
            record,
            context,
        )
        self.assertEqual(["s1"], list(record.parts))
        parts = [PartMsg(shard=s, backend="b", stamp="x", count=1, cut="c1") for s in ("s1", "s2")]
        reply = Gathered(
            version=1, parts=parts, records=pack_records(records=[(-7, b"two"), (-5, b"own")])
        )
        apply_reply(
            ChildReplied(key=1, generation=0, slot=0, node="k", sent_us=0, outcome=reply),
            record,
            context,
        )
        self.assertEqual(["s1", "s2"], sorted(record.parts))
        self.assertEqual([[(-7, b"two"), (-5, b"own")]], list(record.runs.values()))
        self.assertEqual(set(), record.waiting_shards())


class NewLeader(unittest.TestCase):
    def test_a_put_to_a_newly_elected_leader_is_accepted(self) -> None:
        """A leader without contact to its edges yet must not report that most are missing."""

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            old = fleet.leader()
            fleet.kill_core(name=old)
            await fleet.wait_for(
                what="a leader", condition=lambda: fleet.leader() not in (None, old)
            )
            row = await fleet.put(
                document=fleet.configuration(note="x"), expected=1, put_id="x", core=fleet.leader()
            )
            self.assertEqual("ok", row["end"])

        run_sim(seed=1, deployment=load(name="tiny"), scenario=scenario)


class DamagedDisk(unittest.TestCase):
    def test_a_core_with_damaged_files_rejoins_as_a_new_voter(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            name = next(n for n in fleet.core_address if n != fleet.leader())
            before = fleet.daemons[f"core/{name}"].task.me
            fleet.kill_core(name=name)
            files = fleet.world.machines[name].disk_image.files
            path = max(p for p in files if p.endswith(".seg"))
            data = files[path].data
            files[path].data = data[:30] + b"\x00\x00" + data[32:]
            await fleet.sleep(us=6_000_000)
            await fleet.start_core(name=name)
            await fleet.wait_for(what="three voters", condition=fleet.are_cores_healthy)
            core = fleet.daemons[f"core/{name}"]
            self.assertNotEqual(before, core.task.me)
            self.assertEqual(1, core.journal.counts["SetAside"])
            self.assertEqual(200, (await fleet.put_next())["status"])

        run_sim(seed=2, deployment=load(name="tiny"), scenario=scenario)


class RestartWithoutCores(unittest.TestCase):
    """Edges that restart while no core is running fetch state and membership from peers.

    They serve, but do not confirm epochs to others; if too few edges still hold the state to
    confirm it, no edge serves.
    """

    def run_scenario(self, restarted: list[str]) -> tuple[SimFleet, list[str]]:
        seen: list[str] = []

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for name in fleet.core_address:
                fleet.kill_core(name=name)
            await fleet.sleep(us=3_000_000)
            for name in restarted:
                fleet.kill_edge(name=name)
            for name in restarted:
                await fleet.start_edge(name=name)
            await fleet.sleep(us=4_000_000)
            seen.extend(fleet.ready_edges())

        return run_sim(seed=3, deployment=load(name="tiny"), scenario=scenario), seen

    def test_two_of_six_restarted_edges_serve_again(self) -> None:
        fleet, ready = self.run_scenario(["node-02", "node-05"])
        self.assertEqual([n.name for n in fleet.deployment.nodes], ready)
        lease_holder = fleet.daemons["edge/node-02"].lease_holder
        self.assertFalse(lease_holder.may_confirm(now_us=fleet.world.now_us()))
        self.assertEqual(1, lease_holder.configuration.version)

    def test_no_edge_serves_after_half_of_six_restart(self) -> None:
        _, ready = self.run_scenario(["node-02", "node-04", "node-05"])
        self.assertEqual([], ready)

    def test_an_edge_does_not_serve_an_older_version_than_before(self) -> None:
        lease_holder = LeaseHolder(me="a")
        lease_holder.install(
            doc=StateDoc(cluster="k", epoch=4, version=3, membership=["a", "b", "c"]),
            configuration=Configuration(version=3, document=b""),
            now_us=0,
        )
        for edge in ("b", "c"):
            lease_holder.on_epoch_confirmed(
                reply=ConfirmEpochReply(edge=edge, vouches=True, epoch=4, cluster="k"), asked_us=10
            )
        self.assertEqual("", lease_holder.refusal(now_us=20))
        lease_holder.on_epoch_confirmed(
            reply=ConfirmEpochReply(edge="c", vouches=True, epoch=4, cluster="k", asker_version=4),
            asked_us=11,
        )
        self.assertTrue(lease_holder.refusal(now_us=20))


class LateHelper(unittest.TestCase):
    """A peer that answers gossip but not queries is ranked last, each time for longer."""

    def test_the_penalty_doubles_until_a_reply(self) -> None:
        context = GatherContext(
            me="n",
            zone="d",
            own="",
            rand=random.Random(1),
            lease_holder=LeaseHolder(me="n"),
            swim=None,
            registry=BackendRegistry(me="n"),
            latencies=LatencyEstimates(),
            budget=Budget(),
            journal=Journal(now=lambda: 0),
        )
        spans = []
        for _ in range(4):
            context.note_late(name="k")
            start_us = context.now_us
            while context.is_late(name="k"):
                context.now_us += 100_000
            spans.append(context.now_us - start_us)
        self.assertEqual([1_000_000, 2_000_000, 4_000_000, 8_000_000], spans)
        context.note_reply(name="k")
        context.note_late(name="k")
        context.now_us += 1_000_000
        self.assertFalse(context.is_late(name="k"))


class HealedPartition(unittest.TestCase):
    """After a network partition heals, backend states from peers must not exclude backends.

    Each side reports the other side's backends as unreachable, which left no backend to
    choose for seconds.
    """

    def test_unreachable_states_from_peers_lower_the_rank_only(self) -> None:
        configuration = read_configuration(
            data=configuration_of(
                deployment=load(name="tiny"),
                addresses={b.name: "10.0.0.1:9000" for b in load(name="tiny").backends},
            ),
            version=1,
        )
        registry = BackendRegistry(me="n")
        registry.apply_configuration(configuration=configuration, listed={})
        for peer in ("k", "l"):
            for name in configuration.backends:
                registry.on_backend_state_received(
                    backend_state=BackendStateMsg(
                        backend=name, state=BackendState.UNREACHABLE, seen_by=peer
                    ),
                    now_us=1_000,
                )
        ranked = options(
            configuration=configuration,
            registry=registry,
            latencies=LatencyEstimates(),
            collection="tiny",
            shard="s1",
            zone="east",
            now_us=2_000,
            rand=None,
        )
        self.assertEqual(["", ""], [option.refusal for option in ranked])
        self.assertTrue(all(option.is_suspected for option in ranked))
        registry.note_response(name="b-02", now_us=2_500)
        self.assertFalse(registry.is_suspected(name="b-02", now_us=3_000))
