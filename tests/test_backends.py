"""Instances of backends: the endpoint list and its reader, dissemination of updates, health,
selection, and the budget of retries."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from bisect import bisect_left
from collections import Counter
from types import SimpleNamespace
from typing import Any, Awaitable, Callable

from kelpstage.common.configuration.types import EMPTY_CONFIGURATION
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    BackendStateMsg,
    EndpointUpdate,
    FetchEndpoints,
    MemberMsg,
)
from kelpstage.common.transport.server import TransportServer
from kelpstage.edge.app import Edge
from kelpstage.edge.backend import outlier_detection
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.discovery import DiscoveryTask
from kelpstage.edge.backend.ejected_check import EjectedCheckTask
from kelpstage.edge.backend.endpoint_list import EndpointList
from kelpstage.edge.backend.endpoint_source import HttpEndpointSource
from kelpstage.edge.backend.instance import Instance
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.backend.selection import Candidate, options
from kelpstage.edge.backend.zones import ZoneDistances
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gossip.members import LEAVING
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.gossip.task import GossipTask
from kelpstage.edge.retries.budget import Budget
from kelpstage.testbed.simulation.loop import VirtualLoop
from kelpstage.testbed.simulation.world import SimProcess, World
from kelpstage.testbed.stand_ins.backend import SENDER_HEADER

LIST = "10.9.0.1:80"
SECOND = 1_000_000


def instance(name: str, service: str = "s", **fields: Any) -> Instance:
    fields.setdefault("address", f"10.8.0.1:{1000 + sum(name.encode())}")
    return Instance(instance_id=name, service=service, **{"slots": 2, "zone": "a1", **fields})


class EndpointListServer:
    """Serves the endpoint list in pages, with injected faults, and records the calls."""

    def __init__(self, *, world: World) -> None:
        self.world = world
        self.rows: list[dict] = []
        self.page_size = 4
        self.fault = ""
        self.calls: list[tuple[int, str]] = []
        self.first_page_calls: list[tuple[int, str]] = []

    def add(self, *, one: Instance) -> None:
        self.rows.append(
            {
                "instance": one.instance_id,
                "service": one.service,
                "address": one.address,
                "zone": one.zone,
                "slots": one.slots,
                "state": "ready",
                "cold_us": one.cold_us,
            }
        )

    def row(self, name: str) -> dict:
        return next(row for row in self.rows if row["instance"] == name)

    def drop(self, name: str) -> None:
        self.rows.remove(self.row(name))

    async def serve(self, call: HttpCall) -> HttpReply:
        now_us, node = self.world.now_us(), call.headers[SENDER_HEADER]
        self.calls.append((now_us, node))
        token = call.url.partition("page=")[2]
        if not token:
            self.first_page_calls.append((now_us, node))
        at = int(token or 0)
        page: Any = {
            "lives": self.rows[at : at + self.page_size],
            "next": str(at + self.page_size) if at + self.page_size < len(self.rows) else None,
        }
        if self.fault in ("429", "500"):
            return HttpReply(status=int(self.fault))
        if self.fault == "loop":
            page["next"] = "0"
        if self.fault == "endless":
            page["next"] = str(at + 1)
        if self.fault == "empty":
            page = {"lives": [], "next": None}
        if self.fault == "no list":
            page = {"lives": 7}
        if self.fault == "twice":
            page = {
                "lives": [
                    {**row, "address": f"10.8.8.8:{n + 1}"} for n in (1, 2) for row in self.rows
                ],
                "next": None,
            }
        if self.fault == "one bad":
            page = {"lives": [{**self.rows[0], "instance": 9}, *self.rows], "next": None}
        body = json.dumps(page).encode()
        return HttpReply(status=200, body=body[:-3] if self.fault == "cut" else body)


class Node:
    """The parts of an edge that handle the endpoint list and its peers."""

    def __init__(self, *, world: World, name: str, zone: str, turn: int) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.own = f"10.{turn // 200}.{turn % 200}.1:7000"
        self.machine = world.add_machine(name=name, zone=zone)
        world.machine_by_address[self.own] = self.machine
        self.incarnation_number = 0

    async def start(self, *, seeds: list["Node"], adapter: Any) -> None:
        self.incarnation_number += 1
        self.process = SimProcess(
            world=self.world,
            name=f"{self.name}",
            machine=self.machine,
            instance=self.incarnation_number,
        )
        ports, counts = self.process.ports, Counter()
        self.counts = counts
        self.transport = Transport(ports=ports, counts=counts)
        self.registry = BackendRegistry(me=self.name, zone_distances=ZoneDistances(zone=self.zone))
        self.swim = Swim(
            me=MemberMsg(
                name=self.name,
                address=self.own,
                incarnation=self.incarnation_number,
                beat=1,
                zone=self.zone,
                is_ready=True,
            ),
            rand=ports.rand,
            backend_states=lambda: [],
            on_backend_state=lambda backend_state: None,
        )
        self.gossip = GossipTask(
            ports=ports,
            journal=Journal(now=ports.clock.now_us),
            swim=self.swim,
            registry=self.registry,
            address=self.own,
            counts=counts,
            refresh=lambda: None,
        )
        await self.gossip.open()
        for seed in seeds:
            self.swim.add_peer(name=seed.name, address=seed.own, incarnation=1, now_us=0)
        self.update_times_us: list[int] = []
        self.discovery = DiscoveryTask(
            ports=ports,
            transport=self.transport,
            swim=self.swim,
            registry=self.registry,
            adapter=adapter,
            own=self.own,
            counts=counts,
            calls_per_s=52.0,
        )
        await TransportServer(
            ports=ports, address=self.own, on_message=self._on_message, counts=counts
        ).open()

    async def _on_message(self, message: Any, source: str) -> Any:
        if isinstance(message, EndpointUpdate):
            self.update_times_us.append(self.world.now_us())
            self.discovery.on_update(update=message)
        if isinstance(message, FetchEndpoints):
            return self.discovery.on_fetch(ask=message)
        return None


class EndpointListScenario(unittest.TestCase):
    """Base class: a fleet that reads an endpoint list, on virtual time."""

    zones = ("a1", "b1", "c1")
    count = 9

    def run_scenario(self, scenario: Callable[[], Awaitable], seed: int = 1) -> None:
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(self._with_fleet(loop=loop, scenario=scenario, seed=seed))
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    async def _with_fleet(self, *, loop: Any, scenario: Callable, seed: int) -> None:
        self.world = World(seed=seed, loop=loop, far_us=(8_000, 9_000))
        outside = self.world.add_machine(name="outside", zone="out")
        self.world.machine_by_address[LIST] = outside
        self.list = EndpointListServer(world=self.world)
        for n in range(10):
            self.list.add(one=instance(f"i{n}", service=f"s{n // 2}", zone=self.zones[n % 3]))
        process = SimProcess(world=self.world, name="list", machine=outside, instance=1)
        await process.ports.net.serve_http(
            address=LIST, on_call=self.list.serve, body_limit=1_000_000
        )
        self.nodes = [
            Node(world=self.world, name=f"n{n:02}", zone=self.zones[n % len(self.zones)], turn=n)
            for n in range(self.count)
        ]
        for node in self.nodes:
            await self.start(node)
        try:
            await scenario()
            self.assertEqual([], self.world.failed_tasks)
        finally:
            for one in [process, *(node.process for node in self.nodes)]:
                one.kill()
            await asyncio.sleep(0)

    async def start(self, node: Node) -> None:
        seeds = [one for one in self.nodes[:4] if one is not node]
        await node.start(seeds=seeds, adapter=HttpEndpointSource(url=f"http://{LIST}/lives"))

    async def wait(self, us: int) -> None:
        await asyncio.sleep(us / SECOND)

    def running_nodes(self) -> list[Node]:
        return [node for node in self.nodes if node.process.is_alive]

    def readers(self) -> list[Node]:
        return [node for node in self.running_nodes() if node.discovery.is_reader]

    async def wait_for(self, condition: Callable[[], bool], within_us: int) -> int:
        """Return how long it took; fails after `within_us`."""
        started_us = self.world.now_us()
        while not condition():
            if self.world.now_us() - started_us > within_us:
                self.fail(f"condition not met within {within_us} us")
            await self.wait(10_000)
        return self.world.now_us() - started_us

    def all_have(self, names: set[str]) -> bool:
        return all(
            set(node.discovery.endpoints.instances) == names for node in self.running_nodes()
        )


class ListReaderTest(EndpointListScenario):
    def test_one_edge_reads_the_list_and_all_receive_it(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            self.assertEqual(1, len(self.readers()))
            self.list.calls.clear()
            await self.wait(10 * SECOND)
            self.assertEqual({self.readers()[0].name}, {node for _, node in self.list.calls})
            self.assertIn(len(self.list.calls), range(27, 34))  # ten readings of three pages
            self.assertTrue(self.all_have({f"i{n}" for n in range(10)}))
            for node in self.nodes:
                self.assertEqual(("i2", "i3"), node.registry.instances_of("s1"))
                self.assertLess(self.world.now_us() - node.discovery.endpoints.fresh_us, 1_300_000)

        self.run_scenario(scenario)

    def test_call_rate_at_startup_is_bounded(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            calls = [at for at, _ in self.list.calls]
            busiest = max(sum(at <= one < at + SECOND for one in calls) for at in calls)
            self.assertLessEqual(busiest, 40)

        self.run_scenario(scenario)

    def test_another_edge_reads_after_the_reader_is_killed(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            reader = self.readers()[0]
            reader.process.kill()
            self.list.row("i4")["state"] = "draining"
            took_us = await self.wait_for(
                lambda: all(n.registry.entries["i4"].is_draining for n in self.running_nodes()),
                3 * SECOND,
            )
            self.assertLess(took_us, 2_600_000)
            await self.wait(3 * SECOND)
            self.assertEqual(1, len(self.readers()))
            self.list.calls.clear()
            await self.wait(10 * SECOND)
            self.assertLessEqual(len(self.list.calls), 33)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.run_scenario(scenario, seed=seed)

    def test_drain_is_received_in_time_when_the_reader_is_killed(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            for turn in range(6):
                victim = self.readers()[0]
                before = len(self.list.first_page_calls)
                await self.wait_for(
                    lambda before=before: len(self.list.first_page_calls) > before, 2 * SECOND
                )
                await self.wait(turn * 7_000)  # between two pages, or while it sends its update
                name = f"i{turn}"
                self.list.row(name)["state"] = "draining"
                victim.process.kill()
                await self.wait_for(
                    lambda name=name: all(
                        n.registry.entries[name].is_draining for n in self.running_nodes()
                    ),
                    3 * SECOND,
                )
                await self.start(victim)
                await self.wait(6 * SECOND)

        self.run_scenario(scenario)

    def test_leaving_reader_hands_over_at_once(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            reader = self.readers()[0]
            reader.discovery.leave()
            self.list.first_page_calls.clear()
            await self.wait_for(lambda: bool(self.list.first_page_calls), 700_000)
            self.assertNotEqual(reader.name, self.list.first_page_calls[0][1])
            reader.swim.me.status = LEAVING
            reader.gossip.send_updates()
            await self.wait(1_500_000)
            self.list.row("i6")["state"] = "draining"
            await self.wait_for(lambda: reader.registry.entries["i6"].is_draining, 1_500_000)
            self.assertNotIn(reader.name, {name for _, name in self.list.first_page_calls})

        self.run_scenario(scenario)

    def test_a_reader_that_cannot_reach_the_list_is_replaced(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            reader = self.readers()[0]
            self.world.block_path(a=reader.machine.name, b="outside")
            self.list.drop("i9")
            await self.wait_for(lambda: self.all_have({f"i{n}" for n in range(9)}), 4 * SECOND)
            await self.wait(4 * SECOND)
            self.assertEqual(1, len(self.readers()))
            self.assertIsNot(reader, self.readers()[0])

        self.run_scenario(scenario)

    def test_both_sides_of_a_partition_read_and_one_reader_remains(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            here = [node for node in self.nodes if node.zone == "a1"]
            there = [node for node in self.nodes if node.zone != "a1"]
            for a in here:
                for b in there:
                    self.world.block_path(a=a.machine.name, b=b.machine.name)
            await self.wait(8 * SECOND)
            self.list.drop("i9")
            await self.wait_for(lambda: self.all_have({f"i{n}" for n in range(9)}), 3 * SECOND)
            self.assertEqual(1, sum(node.discovery.is_reader for node in here))
            self.assertEqual(1, sum(node.discovery.is_reader for node in there))
            self.world.heal()
            await self.wait(8 * SECOND)
            self.assertEqual(1, len(self.readers()))

        self.run_scenario(scenario)

    def test_simultaneous_readers_are_reduced_to_one(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            now_us = self.world.now_us()
            for node in self.nodes:
                node.discovery.is_reader, node.discovery._next_read_us = True, now_us + 200_000
                node.discovery._wake.set_result(None)
            await self.wait(3 * SECOND)
            self.assertEqual(1, len(self.readers()))

        for seed in (1, 2, 3, 4):
            with self.subTest(seed=seed):
                self.run_scenario(scenario, seed=seed)

    def test_a_lost_update_is_fetched_from_a_peer(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            node = next(node for node in self.nodes if not node.discovery.is_reader)
            endpoints = node.discovery.endpoints
            endpoints._apply_changes(
                changed=[instance("ghost")], gone=["i1"], now_us=self.world.now_us()
            )
            await self.wait_for(lambda: self.all_have({f"i{n}" for n in range(10)}), 2 * SECOND)
            self.assertEqual(1, node.counts["list_gaps"])

        self.run_scenario(scenario)

    def test_a_restarted_node_fetches_the_list_from_a_peer(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            node = next(node for node in self.nodes if not node.discovery.is_reader)
            node.process.kill()
            await self.wait(500_000)
            self.list.calls.clear()
            await self.start(node)
            await self.wait_for(lambda: len(node.discovery.endpoints.instances) == 10, 500_000)
            await self.wait(5 * SECOND)
            self.assertNotIn(node.name, {name for _, name in self.list.calls})

        self.run_scenario(scenario)


class InvalidListTest(EndpointListScenario):
    count = 3

    def test_an_invalid_list_changes_nothing(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            known = {f"i{n}" for n in range(10)}
            for fault in ("429", "500", "loop", "endless", "empty", "no list", "twice", "cut"):
                with self.subTest(fault=fault):
                    self.list.fault = fault
                    self.list.calls.clear()
                    for _ in range(60):
                        await self.wait(100_000)
                        self.assertTrue(self.all_have(known))
                        self.assertEqual(
                            2, len(self.nodes[0].registry.instances_of("s0")), "still offered"
                        )
                    busiest = len(self.list.calls) / 6
                    self.assertLess(busiest, 30 if fault == "endless" else 12)
                    self.list.fault = ""
                    await self.wait_for(
                        lambda: all(
                            self.world.now_us() - node.discovery.endpoints.fresh_us < SECOND
                            for node in self.nodes
                        ),
                        14 * SECOND,
                    )

        self.run_scenario(scenario)

    def test_one_invalid_entry_is_skipped(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            self.list.fault = "one bad"
            self.list.add(one=instance("new"))
            await self.wait_for(
                lambda: self.all_have({f"i{n}" for n in range(10)} | {"new"}), 3 * SECOND
            )

        self.run_scenario(scenario)


class LargeFleetTest(EndpointListScenario):
    """A fleet of 60 edges in six zones of three regions."""

    zones = ("a1", "a2", "b1", "b2", "c1", "c2")
    count = 60

    def test_updates_reach_all_nodes_through_relays(self) -> None:
        async def scenario() -> None:
            await self.wait(15 * SECOND)
            self.assertEqual(1, len(self.readers()))
            reader = self.readers()[0]
            sent: list[str] = []
            original_send = reader.transport.send

            def send(*, address: str, message: Any, **rest: Any) -> None:
                if isinstance(message, EndpointUpdate):
                    sent.append(address)
                original_send(address=address, message=message, **rest)

            reader.transport.send = send
            self.list.calls.clear()
            self.list.drop("i0")
            took_us = await self.wait_for(
                lambda: self.all_have({f"i{n}" for n in range(1, 10)}), 2 * SECOND
            )
            self.assertLess(took_us, 1_300_000)
            await self.wait(5 * SECOND - took_us)
            zones = {node.own: node.zone for node in self.nodes}
            other = [address for address in sent if zones[address] != reader.zone]
            self.assertLessEqual(len(other), 5 * 6)  # one per other zone and second
            self.assertEqual({reader.name}, {name for _, name in self.list.calls})
            asks = sum(node.counts["list_asks"] for node in self.nodes)
            relay = next(
                node
                for node in self.running_nodes()
                if node.zone != reader.zone and node.own in sent
            )
            relay.process.kill()
            self.list.row("i5")["state"] = "draining"
            await self.wait_for(
                lambda: all(n.registry.entries["i5"].is_draining for n in self.running_nodes()),
                3 * SECOND,
            )
            self.assertLess(sum(node.counts["list_asks"] for node in self.nodes) - asks, 30)

        self.run_scenario(scenario)

    def test_a_drain_reported_in_a_reply_reaches_all_nodes_within_a_second(self) -> None:
        async def scenario() -> None:
            await self.wait(15 * SECOND)
            node = self.nodes[7]
            node.registry.observe(
                name="i3",
                state=BackendState.DRAINING,
                why="sign in a reply",
                now_us=self.world.now_us(),
            )
            node.gossip.send_updates()
            await self.wait_for(
                lambda: all(n.registry.entries["i3"].is_draining for n in self.running_nodes()),
                SECOND,
            )

        self.run_scenario(scenario)


class BackendRegistryTest(unittest.TestCase):
    def registry(self, *instances: Instance, now_us: int = 0) -> BackendRegistry:
        registry = BackendRegistry(
            me="n1",
            zone_distances=ZoneDistances(zone="a1", zones={"a1": "a", "a2": "a", "b1": "b"}),
        )
        registry.set_instances(instances, now_us)
        return registry

    def choose(self, registry: BackendRegistry, now_us: int, rand: Any = None) -> list[Candidate]:
        return options(
            configuration=EMPTY_CONFIGURATION,
            registry=registry,
            latencies=LatencyEstimates(),
            collection="c",
            shard="s",
            zone="a1",
            now_us=now_us,
            rand=rand,
        )

    def best(self, registry: BackendRegistry, now_us: int) -> str:
        first = self.choose(registry, now_us)[0]
        return "" if first.refusal else first.backend

    def test_a_drain_is_permanent(self) -> None:
        registry = self.registry(instance("i1"), instance("i2", is_draining=True), instance("i3"))
        self.assertTrue(self.choose(registry, 1)[-1].refusal.startswith("draining"))
        self.assertTrue(
            registry.observe(
                name="i1", state=BackendState.DRAINING, why="sign in a reply", now_us=2
            )
        )
        self.assertEqual(
            [(BackendState.DRAINING, 1)],
            [(r.state, r.turn) for r in registry.backend_states(now_us=3)],
        )
        for n in range(3, 9):
            registry.set_instances([instance("i1"), instance("i2"), instance("i3")], n)
            registry.observe(name="i1", state=BackendState.UP, why="probe", now_us=n, asked_us=n)
            registry.on_backend_state_received(
                backend_state=BackendStateMsg(
                    backend="i2", state=BackendState.UP, turn=99, seen_by="n2"
                ),
                now_us=n,
            )
            self.assertEqual("i3", self.best(registry, n))
        registry.set_instances([instance("i3")], 10)
        registry.set_instances(
            [instance("i1"), instance("i2"), instance("i3")], 11
        )  # a list that lost its rows
        self.assertEqual("i3", self.best(registry, 12))

    def test_a_gossiped_drain_is_applied(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        backend_state = BackendStateMsg(
            backend="i1", state=BackendState.DRAINING, turn=1, seen_by="n2", why="sign"
        )
        self.assertTrue(registry.on_backend_state_received(backend_state=backend_state, now_us=1))
        self.assertFalse(registry.on_backend_state_received(backend_state=backend_state, now_us=2))
        self.assertEqual("i2", self.best(registry, 3))

    def test_an_unlisted_instance_is_removed_and_its_address_can_be_reused(self) -> None:
        old, new = instance("i1", address="10.8.0.1:80"), instance("j1", "t", address="10.8.0.1:80")
        registry = self.registry(old, instance("i2"))
        registry.entries["i1"].in_flight = 1
        self.assertEqual(["j1", "i1"], registry.set_instances([instance("i2"), new], 5))
        self.assertEqual(("i2",), registry.instances_of("s"))
        self.assertEqual(("j1",), registry.instances_of("t"))
        self.assertEqual("10.8.0.1:80", registry.entries["j1"].address)
        registry.note_failure(
            name="i1", why=outlier_detection.RESET, now_us=6
        )  # a request in flight
        self.assertEqual("", self.choose(registry, 7)[0].refusal)

    def test_expired_entries_are_not_recreated_by_late_answers(self) -> None:
        registry = self.registry(instance("i1"))
        registry.set_instances([instance("i2")], 10)
        registry.set_instances([instance("i3")], 70 * SECOND)
        self.assertEqual({"i2", "i3"}, set(registry.entries))
        registry.note_answer(name="i1", took_us=9, now_us=70 * SECOND)
        registry.note_overloaded(name="i1", now_us=70 * SECOND)
        self.assertFalse(
            registry.note_failure(name="i1", why=outlier_detection.RESET, now_us=70 * SECOND)
        )
        self.assertEqual({"i2", "i3"}, set(registry.entries))

    def test_one_instance_is_offered_when_all_are_ejected(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        for n, name in enumerate(("i1", "i2")):
            self.assertTrue(
                registry.note_failure(name=name, why=outlier_detection.REFUSED, now_us=n)
            )
        ranked = self.choose(registry, 5)
        self.assertEqual(["", "shunned"], [option.refusal for option in ranked])
        self.assertEqual("i1", ranked[0].backend, "its ejection ends first")

    def test_ejections_double_and_end_with_one_request_at_a_time(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        now_us, spans = 0, []
        for _ in range(7):
            registry.note_failure(name="i1", why=outlier_detection.REFUSED, now_us=now_us)
            until_us = registry.entries["i1"].outlier_statistics.ejected_until_us
            spans.append(until_us - now_us)
            now_us = until_us
            self.assertEqual(
                "", {o.backend: o.refusal for o in self.choose(registry, now_us)}["i1"]
            )
            registry.entries["i1"].in_flight = 1
            refusals = {o.backend: o.refusal for o in self.choose(registry, now_us)}
            self.assertEqual("on trial", refusals["i1"])
            registry.entries["i1"].in_flight = 0
        self.assertEqual([500_000 << n for n in (0, 1, 2, 3, 4, 4, 4)], spans)
        registry.note_answer(name="i1", took_us=9_000, now_us=now_us)
        registry.entries["i1"].in_flight = 1
        self.assertEqual("", {o.backend: o.refusal for o in self.choose(registry, now_us)}["i1"])

    def test_one_late_answer_does_not_eject(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        registry.note_overdue(name="i1", now_us=1_000)
        self.assertEqual("i2", self.best(registry, 2_000))
        self.assertTrue(all(not o.refusal for o in self.choose(registry, 2_000)))
        self.assertEqual("i1", self.best(registry, 102_000))
        self.assertFalse(registry.note_no_answer(name="i1", now_us=103_000))
        self.assertTrue(all(not o.refusal for o in self.choose(registry, 104_000)))
        self.assertTrue(registry.note_no_answer(name="i1", now_us=105_000))

    def test_a_slow_instance_is_tried_again_later(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"), instance("i3"))
        for name, took_us in (("i1", 60_000), ("i2", 12_000), ("i3", 13_000)):
            for _ in range(9):
                registry.note_answer(name=name, took_us=took_us, now_us=0)
        rand = random.Random(1)

        def chosen(now_us: int) -> int:
            for name in ("i2", "i3"):
                registry.note_answer(name=name, took_us=12_500, now_us=now_us)
            return sum(self.choose(registry, now_us, rand)[0].backend == "i1" for _ in range(300))

        self.assertLess(chosen(SECOND), 3)
        self.assertGreater(chosen(40 * SECOND), 30)

    def test_signs_of_load_do_not_eject(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        registry.note_answer(name="i1", took_us=12_000, now_us=SECOND)
        seen = registry.entries["i1"].outlier_statistics
        for _n in range(5):  # sent shortly before the caller's deadline
            self.assertFalse(
                registry.note_failure(
                    name="i1", why=outlier_detection.SILENT, now_us=SECOND, waited_us=90_000
                )
            )
        self.assertEqual(0, seen.failures_in_a_row)
        registry.note_failure(name="i1", why=outlier_detection.REFUSED, now_us=SECOND + 50_000)
        self.assertEqual((1, 0), (seen.failures_in_a_row, seen.ejected_until_us))
        self.assertEqual("i2", self.best(registry, SECOND + 60_000))
        self.assertTrue(
            registry.note_failure(name="i1", why=outlier_detection.REFUSED, now_us=2 * SECOND)
        )
        self.assertTrue(
            registry.note_failure(
                name="i2", why=outlier_detection.SILENT, now_us=9, waited_us=800_000
            )
        )

    def test_overload_does_not_eject(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        for n in range(20):
            registry.note_overloaded(name="i1", now_us=n)
        self.assertEqual("i2", self.best(registry, 50_000))
        self.assertEqual("i1", self.best(registry, 200_000))

    def test_an_instance_ejected_by_peers_ranks_last_until_it_answers(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        for peer in ("n2", "n3"):
            registry.on_backend_state_received(
                backend_state=BackendStateMsg(
                    backend="i1", state=BackendState.UNREACHABLE, seen_by=peer
                ),
                now_us=1_000,
            )
        self.assertEqual("i2", self.best(registry, 2_000))
        registry.note_answer(name="i1", took_us=9_000, now_us=3_000)
        self.assertEqual("i1", self.best(registry, 4_000))

    def test_a_refused_connection_is_gossiped_for_a_limited_time(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        self.assertTrue(
            registry.observe(name="i1", state=BackendState.GONE, why="refused", now_us=5)
        )
        self.assertEqual(
            [(BackendState.UNREACHABLE, "i1")],
            [(r.state, r.backend) for r in registry.backend_states(now_us=6)],
        )
        self.assertEqual([], registry.backend_states(now_us=3 * SECOND))

    def test_slow_start_and_distance_rank_lower(self) -> None:
        registry = self.registry(instance("i1", cold_us=5 * SECOND), instance("i2"))
        self.assertEqual("i2", self.best(registry, 1))
        self.assertEqual("i1", self.best(registry, 6 * SECOND))
        far = instance("i0", zone="b1")
        registry = self.registry(far, instance("i1", zone="a2"), instance("i2"))
        self.assertEqual(["i2", "i1", "i0"], [o.backend for o in self.choose(registry, 1)])
        registry.entries["i2"].in_flight = registry.entries["i1"].in_flight = 5
        self.assertEqual("i0", self.best(registry, 1), "the near ones have a higher cost")

    def test_a_near_instance_that_often_fails_ranks_after_a_distant_one(self) -> None:
        registry = self.registry(instance("i1"), instance("i2", zone="b1"))
        for name in ("i1", "i2"):
            for _ in range(9):
                registry.note_answer(name=name, took_us=14_000, now_us=0)
        self.assertEqual("i1", self.best(registry, 1))
        registry.note_failure(name="i1", why=outlier_detection.RESET, now_us=2)
        self.assertEqual("i1", self.best(registry, 3), "one failure does not outweigh the distance")
        for n in range(3, 9):  # every other request fails
            registry.note_answer(name="i1", took_us=14_000, now_us=n)
            registry.note_failure(name="i1", why=outlier_detection.FAILED, now_us=n)
        self.assertEqual("i2", self.best(registry, 10))
        self.assertEqual("i1", self.best(registry, 20 * SECOND))

    def test_an_instance_at_its_connection_limit_is_refused(self) -> None:
        class Configuration:
            services = {"s": type("S", (), {"max_connections": 30})}
            backends: dict = {}

        registry = self.registry(instance("i1"), instance("i2"))
        registry.set_live_edges(count=12, now_us=0)
        registry.apply_configuration(configuration=Configuration(), listed={})  # type: ignore[arg-type]
        self.assertEqual(2, registry.entries["i1"].connection_limit)
        registry.entries["i1"].in_flight = 2
        refusals = {o.backend: o.refusal for o in self.choose(registry, 1)}
        self.assertEqual({"i1": "connection limit reached", "i2": ""}, refusals)


class ReadinessTest(unittest.TestCase):
    def test_an_edge_is_not_ready_before_it_has_the_list(self) -> None:
        endpoints = EndpointList(me="n", own="n:1")
        edge = SimpleNamespace(
            is_leaving=False,
            lease_holder=SimpleNamespace(refusal=lambda now_us: ""),
            ports=SimpleNamespace(clock=SimpleNamespace(now_us=lambda: 5)),
            discovery=SimpleNamespace(endpoints=endpoints),
        )
        self.assertEqual("the list of backends is not known yet", Edge.not_ready_reason(edge))
        endpoints.apply_listing(instances=[instance("i1")], read_us=1, now_us=2)
        self.assertEqual("", Edge.not_ready_reason(edge))
        edge.discovery = None  # a deployment without an endpoint list
        self.assertEqual("", Edge.not_ready_reason(edge))


class EjectedCheckTest(EndpointListScenario):
    """Which edge checks an ejected instance, and what the result of the check does."""

    count = 3

    async def start(self, node: Node) -> None:
        await super().start(node)
        node.ejected_checks = EjectedCheckTask(
            ports=node.process.ports,
            registry=node.registry,
            me=node.name,
            edges=lambda: {one.name: one.zone for one in self.running_nodes()},
            health_path=lambda service: "/health",
            instance_header="Kelp-Instance",
            counts=node.counts,
        )

    def check_counts(self) -> dict[str, int]:
        return {node.name: node.counts["life_probes"] for node in self.nodes}

    def test_one_edge_checks_an_ejected_instance_and_a_valid_answer_ends_the_ejection(self) -> None:
        reply = HttpReply(status=200, headers={"kelp-instance": "i1"})
        requested_urls = []

        async def answer(call: HttpCall) -> HttpReply:
            requested_urls.append(call.url)
            return reply

        async def scenario() -> None:
            nonlocal reply
            machine = self.world.add_machine(name="backend", zone="b1")
            address = self.list.row("i1")["address"]
            self.world.machine_by_address[address] = machine
            process = SimProcess(world=self.world, name="backend", machine=machine, instance=1)
            await process.ports.net.serve_http(address=address, on_call=answer, body_limit=9)
            await self.wait(8 * SECOND)
            self.assertEqual({0}, set(self.check_counts().values()))
            for node in self.nodes:
                for _ in range(5):  # an ejection of eight seconds
                    now_us = self.world.now_us()
                    node.registry.entries["i1"].outlier_statistics.ejected_until_us = 0
                    node.registry.note_failure(
                        name="i1", why=outlier_detection.REFUSED, now_us=now_us
                    )
            for other in ({"kelp-instance": "i9"}, {}):
                reply = HttpReply(status=200, headers=other)
                await self.wait(1_100_000)
                self.assertTrue(all(self.is_ejected_at(node) for node in self.nodes))
            reply = HttpReply(status=200, headers={"kelp-instance": "i1"})
            await self.wait(1_100_000)
            near = next(node for node in self.nodes if node.zone == "b1")
            self.assertFalse(self.is_ejected_at(near))
            self.assertEqual({near.name}, {n for n, count in self.check_counts().items() if count})
            self.assertIn(len(requested_urls), (3, 4))
            await self.wait(10 * SECOND)
            self.assertLessEqual(len(requested_urls), 4)
            process.kill()

        self.run_scenario(scenario)

    def is_ejected_at(self, node: Node) -> bool:
        return node.registry.entries["i1"].outlier_statistics.is_ejected(now_us=self.world.now_us())


class InstanceSelectionTest(unittest.TestCase):
    """How twelve nodes spread requests over two instances of two slots, and how long they wait."""

    def simulate(
        self, *, choose: Callable, rate: int, zones: tuple[str, ...], seed: int
    ) -> Counter:
        """Run 30 s of 12 ms requests with `rate` per second; return counts and total waits."""
        rand = random.Random(seed)
        instances = [instance(f"i{n}", zone=zone) for n, zone in enumerate(zones)]
        node_zones = ("a1", "b1", "c1")
        registries = []
        for n in range(12):
            registry = BackendRegistry(
                me=f"n{n}", zone_distances=ZoneDistances(zone=node_zones[n % 3])
            )
            registry.set_instances(instances, 0)
            registries.append(registry)
        totals: Counter = Counter()
        # The times at which the slots of each instance become free.
        free = {one.instance_id: [0.0] * one.slots for one in instances}
        pending_answers: list[tuple[float, int, str, float]] = []
        now_us = 0.0
        while now_us < 30 * SECOND:
            now_us += rand.expovariate(rate) * SECOND
            pending_answers.sort()
            while pending_answers and pending_answers[0][0] <= now_us:
                done_us, n, name, sent_us = pending_answers.pop(0)
                registries[n].entries[name].in_flight -= 1
                registries[n].note_answer(
                    name=name, took_us=int(done_us - sent_us), now_us=int(done_us)
                )
            n = rand.randrange(12)
            name = choose(registry=registries[n], now_us=int(now_us), rand=rand)
            entry = registries[n].entries[name]
            entry.in_flight += 1
            one_way_us = entry.distance_us / 2
            slots = free[name]
            slot = min(range(len(slots)), key=slots.__getitem__)
            start_us = max(now_us + one_way_us, slots[slot])
            slots[slot] = start_us + 12_000 * rand.uniform(0.7, 1.3)
            pending_answers.append((slots[slot] + one_way_us, n, name, now_us))
            totals[name] += 1
            totals["wait_us"] += int(start_us - now_us - one_way_us)
            totals["took_us"] += int(slots[slot] + one_way_us - now_us)
            totals["far"] += entry.distance_us > 5_000
        return totals

    @staticmethod
    def by_selection(*, registry: BackendRegistry, now_us: int, rand: random.Random) -> str:
        return options(
            configuration=EMPTY_CONFIGURATION,
            registry=registry,
            latencies=LatencyEstimates(),
            collection="c",
            shard="s",
            zone="",
            now_us=now_us,
            rand=rand,
        )[0].backend

    @staticmethod
    def at_random(*, registry: BackendRegistry, now_us: int, rand: random.Random) -> str:
        return rand.choice(registry.instances_of("s"))

    def test_equal_instances_share_the_load(self) -> None:
        totals = self.simulate(choose=self.by_selection, rate=77, zones=("a1", "a1"), seed=1)
        self.assertLess(abs(totals["i0"] - totals["i1"]), 0.12 * (totals["i0"] + totals["i1"]))

    def test_selection_is_faster_and_sends_less_far_than_random_choice(self) -> None:
        for rate in (77, 200):
            with self.subTest(rate=rate):
                case = {"rate": rate, "zones": ("a1", "b1"), "seed": 2}
                selected, drawn = (
                    self.simulate(choose=choose, **case)
                    for choose in (self.by_selection, self.at_random)
                )
                self.assertLess(selected["took_us"], 0.85 * drawn["took_us"])
                self.assertLess(selected["wait_us"], 1.1 * drawn["wait_us"])
                self.assertLess(selected["far"], 0.65 * drawn["far"])

    def test_waiting_stays_bounded_at_high_load(self) -> None:
        """At 80 % load the mean wait stays below two service times."""
        totals = self.simulate(choose=self.by_selection, rate=266, zones=("a1", "b1"), seed=3)
        self.assertLess(totals["wait_us"] / (totals["i0"] + totals["i1"]), 24_000)


class RetryBudgetTest(unittest.TestCase):
    """The retries of all nodes together stay within the configured budget."""

    def simulate(
        self,
        *,
        nodes: int,
        ratio: float,
        slack: int,
        rate: float,
        seed: int,
        restarts: int = 0,
        contenders: int = 4,
        seconds: int = 60,
    ) -> tuple[list[int], list[int]]:
        """Let all nodes request retries continuously.

        Returns the times of first attempts and of retries, in microseconds.
        """
        rand = random.Random(seed)
        started = [0] * nodes

        def new_budget(n: int, now_us: int) -> Budget:
            return Budget(ratio=ratio, slack=slack, me=f"n{n}", started_us=now_us)

        budgets = [new_budget(n, 0) for n in range(nodes)]
        restart_times = sorted(rand.randrange(seconds * SECOND) for _ in range(restarts))
        first_attempts, retries, now_us = [], [], 0
        while now_us < seconds * SECOND:
            now_us += int(rand.expovariate(rate) * SECOND)
            while restart_times and restart_times[0] < now_us:
                n = rand.randrange(nodes)
                budgets[n], started[n] = new_budget(n, restart_times.pop(0)), now_us
            budget = budgets[rand.randrange(nodes)]
            budget.note_edges(edges=nodes, now_us=now_us)
            budget.count_first(service="s", shard="", now_us=now_us)
            first_attempts.append(now_us)
            for one in (budget, *rand.sample(budgets, min(nodes, contenders))):
                while one.try_acquire(service="s", shard="", now_us=now_us, edges=nodes):
                    retries.append(now_us)
        return first_attempts, retries

    def worst_excess(
        self, *, first_attempts: list[int], retries: list[int], ratio: float, slack: int
    ) -> float:
        """Return by how much the worst window exceeds the bound; negative if none does."""
        span_us = 10 * SECOND

        def count(times: list[int], start_us: int) -> int:
            return bisect_left(times, start_us + span_us) - bisect_left(times, start_us)

        worst = -float("inf")
        for start_us in retries:
            asked = max(
                count(first_attempts, start_us - back) for back in (0, span_us, span_us // 2)
            )
            worst = max(worst, count(retries, start_us) - ratio * asked - slack)
        return worst

    def test_total_retries_stay_within_the_budget_with_restarts(self) -> None:
        cases = {
            "ten nodes": {"nodes": 10, "ratio": 0.17, "slack": 57, "rate": 77},
            "twelve nodes": {"nodes": 12, "ratio": 0.2, "slack": 64, "rate": 93},
            "ninety nodes": {"nodes": 90, "ratio": 0.087, "slack": 96, "rate": 67},
            "ninety nodes, seldom": {"nodes": 90, "ratio": 0.087, "slack": 96, "rate": 9},
            "more nodes than slack": {"nodes": 200, "ratio": 0.087, "slack": 60, "rate": 60},
        }
        for name, case in cases.items():
            for restarts in (0, 60):
                with self.subTest(case=name, restarts=restarts):
                    first_attempts, retries = self.simulate(**case, restarts=restarts, seed=1)
                    over = self.worst_excess(
                        first_attempts=first_attempts,
                        retries=retries,
                        ratio=case["ratio"],
                        slack=case["slack"],
                    )
                    self.assertLess(over, 0)
                    self.assertTrue(retries)

    def test_every_node_may_retry_when_its_share_is_below_one(self) -> None:
        """Each of ninety nodes, with a share of 0.75 and few requests, gets retries at times."""
        spent: Counter = Counter()
        for n in range(90):
            budget = Budget(ratio=0.087, slack=96, me=f"n{n}", started_us=0)
            for at in range(0, 60 * SECOND, 100_000):
                budget.note_edges(edges=90, now_us=at)
                spent[n] += budget.try_acquire(service="s", shard="", now_us=at, edges=90)
        self.assertTrue(all(2 <= spent[n] <= 5 for n in range(90)), spent)

    def test_a_restarted_edge_has_no_slack_for_one_window(self) -> None:
        budget = Budget(ratio=0.2, slack=64, me="n", started_us=5 * SECOND)
        for at in range(5 * SECOND, 15 * SECOND, 50_000):
            self.assertFalse(budget.try_acquire(service="s", shard="", now_us=at, edges=4))
        self.assertTrue(budget.try_acquire(service="s", shard="", now_us=15 * SECOND, edges=4))

    def test_the_budget_of_a_shard_is_shared_by_its_routes(self) -> None:
        budget = Budget(ratio=0.2, slack=0, me="n", started_us=0)
        budget.note_edges(edges=10, now_us=0)
        for n in range(100):
            budget.count_first(service=f"route{n % 2}", shard=f"s{n % 4}", now_us=n)
        taken = [
            budget.try_acquire(service=f"route{n % 2}", shard="s1", now_us=200, edges=10)
            for n in range(20)
        ]
        self.assertEqual(4, sum(taken))  # 0.8 of a fifth of the 25 first attempts of s1

    def test_a_network_partition_does_not_double_the_slack(self) -> None:
        budget = Budget(ratio=0.2, slack=100, me="n", started_us=0)
        budget.note_edges(edges=10, now_us=10 * SECOND)
        self.assertEqual(7, budget.available(service="s", now_us=60 * SECOND, edges=2))
        self.assertEqual(35, budget.available(service="s", now_us=200 * SECOND, edges=2))


if __name__ == "__main__":
    unittest.main()
