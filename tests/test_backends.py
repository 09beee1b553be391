"""Lives of backends: the list and who reads it, its news, the choice among lives and
the budget of further attempts."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from bisect import bisect_left
from collections import Counter
from types import SimpleNamespace
from typing import Any, Awaitable, Callable

from kelpstage.common.configuration.types import EMPTY
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
from kelpstage.edge.backend.selection import Option, options
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


class ListServer:
    """The list as a platform serves it: pages, a lag, a rate, and troubles."""

    def __init__(self, *, world: World) -> None:
        self.world = world
        self.rows: list[dict] = []
        self.page_size = 4
        self.trouble = ""
        self.calls: list[tuple[int, str]] = []
        self.readings: list[tuple[int, str]] = []

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
            self.readings.append((now_us, node))
        at = int(token or 0)
        page: Any = {
            "lives": self.rows[at : at + self.page_size],
            "next": str(at + self.page_size) if at + self.page_size < len(self.rows) else None,
        }
        if self.trouble in ("429", "500"):
            return HttpReply(status=int(self.trouble))
        if self.trouble == "loop":
            page["next"] = "0"
        if self.trouble == "endless":
            page["next"] = str(at + 1)
        if self.trouble == "empty":
            page = {"lives": [], "next": None}
        if self.trouble == "no list":
            page = {"lives": 7}
        if self.trouble == "twice":
            page = {
                "lives": [
                    {**row, "address": f"10.8.8.8:{n + 1}"} for n in (1, 2) for row in self.rows
                ],
                "next": None,
            }
        if self.trouble == "one bad":
            page = {"lives": [{**self.rows[0], "instance": 9}, *self.rows], "next": None}
        body = json.dumps(page).encode()
        return HttpReply(status=200, body=body[:-3] if self.trouble == "cut" else body)


class Node:
    """The parts of an edge that know of the list and of peers."""

    def __init__(self, *, world: World, name: str, zone: str, turn: int) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.own = f"10.{turn // 200}.{turn % 200}.1:7000"
        self.machine = world.add_machine(name=name, zone=zone)
        world.homes[self.own] = self.machine
        self.serial = 0

    async def start(self, *, seeds: list["Node"], adapter: Any) -> None:
        self.serial += 1
        self.process = SimProcess(
            world=self.world, name=f"{self.name}", machine=self.machine, instance=self.serial
        )
        ports, counts = self.process.ports, Counter()
        self.counts = counts
        self.transport = Transport(ports=ports, counts=counts)
        self.registry = BackendRegistry(me=self.name, zone_distances=ZoneDistances(zone=self.zone))
        self.swim = Swim(
            me=MemberMsg(
                name=self.name,
                address=self.own,
                incarnation=self.serial,
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
            self.swim.meet(name=seed.name, address=seed.own, incarnation=1, now_us=0)
        self.heard: list[int] = []
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
            self.heard.append(self.world.now_us())
            self.discovery.take(update=message)
        if isinstance(message, FetchEndpoints):
            return self.discovery.answer(ask=message)
        return None


class ListStory(unittest.TestCase):
    """A fleet that reads a list, on virtual time."""

    zones = ("a1", "b1", "c1")
    count = 9

    def run_story(self, scenario: Callable[[], Awaitable], seed: int = 1) -> None:
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
        self.world.homes[LIST] = outside
        self.list = ListServer(world=self.world)
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
            self.assertEqual([], self.world.broken)
        finally:
            for one in [process, *(node.process for node in self.nodes)]:
                one.kill()
            await asyncio.sleep(0)

    async def start(self, node: Node) -> None:
        seeds = [one for one in self.nodes[:4] if one is not node]
        await node.start(seeds=seeds, adapter=HttpEndpointSource(url=f"http://{LIST}/lives"))

    async def wait(self, us: int) -> None:
        await asyncio.sleep(us / SECOND)

    def alive(self) -> list[Node]:
        return [node for node in self.nodes if node.process.is_alive]

    def readers(self) -> list[Node]:
        return [node for node in self.alive() if node.discovery.is_reader]

    async def wait_for(self, is_there: Callable[[], bool], within_us: int) -> int:
        """How long it took; fails after `within_us`."""
        started_us = self.world.now_us()
        while not is_there():
            if self.world.now_us() - started_us > within_us:
                self.fail(f"not within {within_us} us")
            await self.wait(10_000)
        return self.world.now_us() - started_us

    def all_know(self, names: set[str]) -> bool:
        return all(set(node.discovery.endpoints.instances) == names for node in self.alive())


class ReaderTest(ListStory):
    def test_one_reads_and_all_know(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            self.assertEqual(1, len(self.readers()))
            self.list.calls.clear()
            await self.wait(10 * SECOND)
            self.assertEqual({self.readers()[0].name}, {node for _, node in self.list.calls})
            self.assertIn(len(self.list.calls), range(27, 34))  # ten readings of three pages
            self.assertTrue(self.all_know({f"i{n}" for n in range(10)}))
            for node in self.nodes:
                self.assertEqual(("i2", "i3"), node.registry.instances_of("s1"))
                self.assertLess(self.world.now_us() - node.discovery.endpoints.fresh_us, 1_300_000)

        self.run_story(scenario)

    def test_start_keeps_to_the_rate(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            calls = [at for at, _ in self.list.calls]
            busiest = max(sum(at <= one < at + SECOND for one in calls) for at in calls)
            self.assertLessEqual(busiest, 40)

        self.run_story(scenario)

    def test_another_reads_on_when_the_reader_is_killed(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            reader = self.readers()[0]
            reader.process.kill()
            self.list.row("i4")["state"] = "draining"
            took_us = await self.wait_for(
                lambda: all(n.registry.entries["i4"].is_draining for n in self.alive()), 3 * SECOND
            )
            self.assertLess(took_us, 2_600_000)
            await self.wait(3 * SECOND)
            self.assertEqual(1, len(self.readers()))
            self.list.calls.clear()
            await self.wait(10 * SECOND)
            self.assertLessEqual(len(self.list.calls), 33)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.run_story(scenario, seed=seed)

    def test_drain_is_known_in_time_with_the_reader_killed_at_any_moment(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            for turn in range(6):
                victim = self.readers()[0]
                before = len(self.list.readings)
                await self.wait_for(
                    lambda before=before: len(self.list.readings) > before, 2 * SECOND
                )
                await self.wait(turn * 7_000)  # between its pages, or as it tells the others
                name = f"i{turn}"
                self.list.row(name)["state"] = "draining"
                victim.process.kill()
                await self.wait_for(
                    lambda name=name: all(
                        n.registry.entries[name].is_draining for n in self.alive()
                    ),
                    3 * SECOND,
                )
                await self.start(victim)
                await self.wait(6 * SECOND)

        self.run_story(scenario)

    def test_leaving_reader_hands_over_at_once(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            reader = self.readers()[0]
            reader.discovery.leave()
            self.list.readings.clear()
            await self.wait_for(lambda: bool(self.list.readings), 700_000)
            self.assertNotEqual(reader.name, self.list.readings[0][1])
            reader.swim.me.status = LEAVING
            reader.gossip.spread()
            await self.wait(1_500_000)
            self.list.row("i6")["state"] = "draining"
            await self.wait_for(lambda: reader.registry.entries["i6"].is_draining, 1_500_000)
            self.assertNotIn(reader.name, {name for _, name in self.list.readings})

        self.run_story(scenario)

    def test_a_reader_that_the_list_turns_away_is_followed_by_another(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            reader = self.readers()[0]
            self.world.cut(a=reader.machine.name, b="outside")
            self.list.drop("i9")
            await self.wait_for(lambda: self.all_know({f"i{n}" for n in range(9)}), 4 * SECOND)
            await self.wait(4 * SECOND)
            self.assertEqual(1, len(self.readers()))
            self.assertIsNot(reader, self.readers()[0])

        self.run_story(scenario)

    def test_both_sides_of_a_cut_read_and_one_goes_on_after_it(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            here = [node for node in self.nodes if node.zone == "a1"]
            there = [node for node in self.nodes if node.zone != "a1"]
            for a in here:
                for b in there:
                    self.world.cut(a=a.machine.name, b=b.machine.name)
            await self.wait(8 * SECOND)
            self.list.drop("i9")
            await self.wait_for(lambda: self.all_know({f"i{n}" for n in range(9)}), 3 * SECOND)
            self.assertEqual(1, sum(node.discovery.is_reader for node in here))
            self.assertEqual(1, sum(node.discovery.is_reader for node in there))
            self.world.heal()
            await self.wait(8 * SECOND)
            self.assertEqual(1, len(self.readers()))

        self.run_story(scenario)

    def test_two_that_read_at_the_same_moment_settle_it(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            now_us = self.world.now_us()
            for node in self.nodes:
                node.discovery.is_reader, node.discovery._read_us = True, now_us + 200_000
                node.discovery._wake.set_result(None)
            await self.wait(3 * SECOND)
            self.assertEqual(1, len(self.readers()))

        for seed in (1, 2, 3, 4):
            with self.subTest(seed=seed):
                self.run_story(scenario, seed=seed)

    def test_lost_news_are_asked_for(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            node = next(node for node in self.nodes if not node.discovery.is_reader)
            endpoints = node.discovery.endpoints
            endpoints._change(changed=[instance("ghost")], gone=["i1"], now_us=self.world.now_us())
            await self.wait_for(lambda: self.all_know({f"i{n}" for n in range(10)}), 2 * SECOND)
            self.assertEqual(1, node.counts["list_gaps"])

        self.run_story(scenario)

    def test_a_restarted_node_asks_a_peer_and_not_the_list(self) -> None:
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

        self.run_story(scenario)


class BadListTest(ListStory):
    count = 3

    def test_a_bad_list_changes_nothing(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            known = {f"i{n}" for n in range(10)}
            for trouble in ("429", "500", "loop", "endless", "empty", "no list", "twice", "cut"):
                with self.subTest(trouble=trouble):
                    self.list.trouble = trouble
                    self.list.calls.clear()
                    for _ in range(60):
                        await self.wait(100_000)
                        self.assertTrue(self.all_know(known))
                        self.assertEqual(
                            2, len(self.nodes[0].registry.instances_of("s0")), "still offered"
                        )
                    busiest = len(self.list.calls) / 6
                    self.assertLess(busiest, 30 if trouble == "endless" else 12)
                    self.list.trouble = ""
                    await self.wait_for(
                        lambda: all(
                            self.world.now_us() - node.discovery.endpoints.fresh_us < SECOND
                            for node in self.nodes
                        ),
                        14 * SECOND,
                    )

        self.run_story(scenario)

    def test_one_bad_entry_is_passed_over(self) -> None:
        async def scenario() -> None:
            await self.wait(8 * SECOND)
            self.list.trouble = "one bad"
            self.list.add(one=instance("new"))
            await self.wait_for(
                lambda: self.all_know({f"i{n}" for n in range(10)} | {"new"}), 3 * SECOND
            )

        self.run_story(scenario)


class LargeFleetTest(ListStory):
    """Six zones in three regions."""

    zones = ("a1", "a2", "b1", "b2", "c1", "c2")
    count = 60

    def test_all_are_told_through_relays(self) -> None:
        async def scenario() -> None:
            await self.wait(15 * SECOND)
            self.assertEqual(1, len(self.readers()))
            reader = self.readers()[0]
            sent: list[str] = []
            lines_send = reader.transport.send

            def send(*, address: str, message: Any, **rest: Any) -> None:
                if isinstance(message, EndpointUpdate):
                    sent.append(address)
                lines_send(address=address, message=message, **rest)

            reader.transport.send = send
            self.list.calls.clear()
            self.list.drop("i0")
            took_us = await self.wait_for(
                lambda: self.all_know({f"i{n}" for n in range(1, 10)}), 2 * SECOND
            )
            self.assertLess(took_us, 1_300_000)
            await self.wait(5 * SECOND - took_us)
            zones = {node.own: node.zone for node in self.nodes}
            other = [address for address in sent if zones[address] != reader.zone]
            self.assertLessEqual(len(other), 5 * 6)  # one in each zone, each second
            self.assertEqual({reader.name}, {name for _, name in self.list.calls})
            asks = sum(node.counts["list_asks"] for node in self.nodes)
            relay = next(
                node for node in self.alive() if node.zone != reader.zone and node.own in sent
            )
            relay.process.kill()
            self.list.row("i5")["state"] = "draining"
            await self.wait_for(
                lambda: all(n.registry.entries["i5"].is_draining for n in self.alive()), 3 * SECOND
            )
            self.assertLess(sum(node.counts["list_asks"] for node in self.nodes) - asks, 30)

        self.run_story(scenario)

    def test_a_drain_seen_in_a_reply_is_known_to_all_in_a_second(self) -> None:
        async def scenario() -> None:
            await self.wait(15 * SECOND)
            node = self.nodes[7]
            node.registry.observe(
                name="i3",
                state=BackendState.DRAINING,
                why="sign in a reply",
                now_us=self.world.now_us(),
            )
            node.gossip.spread()
            await self.wait_for(
                lambda: all(n.registry.entries["i3"].is_draining for n in self.alive()), SECOND
            )

        self.run_story(scenario)


class BackendRegistryTest(unittest.TestCase):
    def registry(self, *instances: Instance, now_us: int = 0) -> BackendRegistry:
        registry = BackendRegistry(
            me="n1",
            zone_distances=ZoneDistances(zone="a1", zones={"a1": "a", "a2": "a", "b1": "b"}),
        )
        registry.set_instances(instances, now_us)
        return registry

    def choose(self, registry: BackendRegistry, now_us: int, rand: Any = None) -> list[Option]:
        return options(
            configuration=EMPTY,
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

    def test_drains_are_for_ever(self) -> None:
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

    def test_a_rumor_of_a_drain_is_taken(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        backend_state = BackendStateMsg(
            backend="i1", state=BackendState.DRAINING, turn=1, seen_by="n2", why="sign"
        )
        self.assertTrue(registry.on_backend_state_received(backend_state=backend_state, now_us=1))
        self.assertFalse(registry.on_backend_state_received(backend_state=backend_state, now_us=2))
        self.assertEqual("i2", self.best(registry, 3))

    def test_gone_at_once_and_its_address_may_be_anothers(self) -> None:
        old, new = instance("i1", address="10.8.0.1:80"), instance("j1", "t", address="10.8.0.1:80")
        registry = self.registry(old, instance("i2"))
        registry.entries["i1"].in_flight = 1
        self.assertEqual(["j1", "i1"], registry.set_instances([instance("i2"), new], 5))
        self.assertEqual(("i2",), registry.instances_of("s"))
        self.assertEqual(("j1",), registry.instances_of("t"))
        self.assertEqual("10.8.0.1:80", registry.entries["j1"].address)
        registry.note_failure(
            name="i1", why=outlier_detection.RESET, now_us=6
        )  # what was in flight
        self.assertEqual("", self.choose(registry, 7)[0].refusal)

    def test_what_is_forgotten_leaves_no_trace(self) -> None:
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

    def test_never_all_are_shunned(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        for n, name in enumerate(("i1", "i2")):
            self.assertTrue(
                registry.note_failure(name=name, why=outlier_detection.REFUSED, now_us=n)
            )
        ranked = self.choose(registry, 5)
        self.assertEqual(["", "shunned"], [option.refusal for option in ranked])
        self.assertEqual("i1", ranked[0].backend, "its time is nearest")

    def test_shunned_longer_each_time_and_tried_one_by_one(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        now_us, spans = 0, []
        for _ in range(7):
            registry.note_failure(name="i1", why=outlier_detection.REFUSED, now_us=now_us)
            until_us = registry.entries["i1"].seen.ejected_until_us
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

    def test_one_late_answer_is_no_illness(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        registry.note_overdue(name="i1", now_us=1_000)
        self.assertEqual("i2", self.best(registry, 2_000))
        self.assertTrue(all(not o.refusal for o in self.choose(registry, 2_000)))
        self.assertEqual("i1", self.best(registry, 102_000))
        self.assertFalse(registry.note_no_answer(name="i1", now_us=103_000))
        self.assertTrue(all(not o.refusal for o in self.choose(registry, 104_000)))
        self.assertTrue(registry.note_no_answer(name="i1", now_us=105_000))

    def test_a_instance_that_was_slow_is_tried_again(self) -> None:
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

    def test_what_may_be_load_is_no_illness(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        registry.note_answer(name="i1", took_us=12_000, now_us=SECOND)
        seen = registry.entries["i1"].seen
        for _n in range(5):  # sent just before the caller's time was over
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

    def test_full_is_loaded_and_not_ill(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        for n in range(20):
            registry.note_overloaded(name="i1", now_us=n)
        self.assertEqual("i2", self.best(registry, 50_000))
        self.assertEqual("i1", self.best(registry, 200_000))

    def test_peers_that_shun_make_it_second_choice(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        for voice in ("n2", "n3"):
            registry.on_backend_state_received(
                backend_state=BackendStateMsg(
                    backend="i1", state=BackendState.UNREACHABLE, seen_by=voice
                ),
                now_us=1_000,
            )
        self.assertEqual("i2", self.best(registry, 2_000))
        registry.note_answer(name="i1", took_us=9_000, now_us=3_000)
        self.assertEqual("i1", self.best(registry, 4_000))

    def test_a_refused_connection_is_told_for_a_while(self) -> None:
        registry = self.registry(instance("i1"), instance("i2"))
        self.assertTrue(
            registry.observe(name="i1", state=BackendState.GONE, why="refused", now_us=5)
        )
        self.assertEqual(
            [(BackendState.UNREACHABLE, "i1")],
            [(r.state, r.backend) for r in registry.backend_states(now_us=6)],
        )
        self.assertEqual([], registry.backend_states(now_us=3 * SECOND))

    def test_cold_and_far_ones_come_after(self) -> None:
        registry = self.registry(instance("i1", cold_us=5 * SECOND), instance("i2"))
        self.assertEqual("i2", self.best(registry, 1))
        self.assertEqual("i1", self.best(registry, 6 * SECOND))
        far = instance("i0", zone="b1")
        registry = self.registry(far, instance("i1", zone="a2"), instance("i2"))
        self.assertEqual(["i2", "i1", "i0"], [o.backend for o in self.choose(registry, 1)])
        registry.entries["i2"].in_flight = registry.entries["i1"].in_flight = 5
        self.assertEqual("i0", self.best(registry, 1), "the near ones are clearly worse")

    def test_a_near_one_that_often_fails_comes_after_a_far_one(self) -> None:
        registry = self.registry(instance("i1"), instance("i2", zone="b1"))
        for name in ("i1", "i2"):
            for _ in range(9):
                registry.note_answer(name=name, took_us=14_000, now_us=0)
        self.assertEqual("i1", self.best(registry, 1))
        registry.note_failure(name="i1", why=outlier_detection.RESET, now_us=2)
        self.assertEqual("i1", self.best(registry, 3), "one failure is little")
        for n in range(3, 9):  # every other one fails
            registry.note_answer(name="i1", took_us=14_000, now_us=n)
            registry.note_failure(name="i1", why=outlier_detection.FAILED, now_us=n)
        self.assertEqual("i2", self.best(registry, 10))
        self.assertEqual("i1", self.best(registry, 20 * SECOND))

    def test_a_instance_whose_lines_are_in_use_is_refused(self) -> None:
        class Configuration:
            services = {"s": type("S", (), {"max_connections": 30})}
            backends: dict = {}

        registry = self.registry(instance("i1"), instance("i2"))
        registry.set_live_edges(count=12, now_us=0)
        registry.declare(configuration=Configuration(), listed={})  # type: ignore[arg-type]
        self.assertEqual(2, registry.entries["i1"].connection_limit)
        registry.entries["i1"].in_flight = 2
        refusals = {o.backend: o.refusal for o in self.choose(registry, 1)}
        self.assertEqual({"i1": "no free line", "i2": ""}, refusals)


class ReadyTest(unittest.TestCase):
    def test_an_edge_is_not_ready_before_it_knows_the_list(self) -> None:
        endpoints = EndpointList(me="n", own="n:1")
        edge = SimpleNamespace(
            is_leaving=False,
            lease_holder=SimpleNamespace(refusal=lambda now_us: ""),
            ports=SimpleNamespace(clock=SimpleNamespace(now_us=lambda: 5)),
            discovery=SimpleNamespace(endpoints=endpoints),
        )
        self.assertEqual("the list of backends is not known yet", Edge.refusal(edge))
        endpoints.apply_listing(instances=[instance("i1")], read_us=1, now_us=2)
        self.assertEqual("", Edge.refusal(edge))
        edge.discovery = None  # a deployment without a list
        self.assertEqual("", Edge.refusal(edge))


class SuspectTest(ListStory):
    """Who probes what, and what a probe's answer does."""

    count = 3

    async def start(self, node: Node) -> None:
        await super().start(node)
        node.probes = EjectedCheckTask(
            ports=node.process.ports,
            registry=node.registry,
            me=node.name,
            edges=lambda: {one.name: one.zone for one in self.alive()},
            health_path=lambda service: "/health",
            instance_header="Kelp-Instance",
            counts=node.counts,
        )

    def probes(self) -> dict[str, int]:
        return {node.name: node.counts["life_probes"] for node in self.nodes}

    def test_only_suspects_are_probed_by_one_and_a_good_answer_ends_it(self) -> None:
        said = HttpReply(status=200, headers={"kelp-instance": "i1"})
        taken = []

        async def answer(call: HttpCall) -> HttpReply:
            taken.append(call.url)
            return said

        async def scenario() -> None:
            nonlocal said
            machine = self.world.add_machine(name="backend", zone="b1")
            address = self.list.row("i1")["address"]
            self.world.homes[address] = machine
            process = SimProcess(world=self.world, name="backend", machine=machine, instance=1)
            await process.ports.net.serve_http(address=address, on_call=answer, body_limit=9)
            await self.wait(8 * SECOND)
            self.assertEqual({0}, set(self.probes().values()))
            for node in self.nodes:
                for _ in range(5):  # eight seconds
                    now_us = self.world.now_us()
                    node.registry.entries["i1"].seen.ejected_until_us = 0
                    node.registry.note_failure(
                        name="i1", why=outlier_detection.REFUSED, now_us=now_us
                    )
            for other in ({"kelp-instance": "i9"}, {}):
                said = HttpReply(status=200, headers=other)
                await self.wait(1_100_000)
                self.assertTrue(all(self.shuns(node) for node in self.nodes))
            said = HttpReply(status=200, headers={"kelp-instance": "i1"})
            await self.wait(1_100_000)
            near = next(node for node in self.nodes if node.zone == "b1")
            self.assertFalse(self.shuns(near))
            self.assertEqual({near.name}, {n for n, count in self.probes().items() if count})
            self.assertIn(len(taken), (3, 4))
            await self.wait(10 * SECOND)
            self.assertLessEqual(len(taken), 4)
            process.kill()

        self.run_story(scenario)

    def shuns(self, node: Node) -> bool:
        return node.registry.entries["i1"].seen.is_ejected(now_us=self.world.now_us())


class ChoiceSpreadTest(unittest.TestCase):
    """Twelve nodes, two lives of two slots, the choice as it is: what waits, and where."""

    def play(self, *, choose: Callable, rate: int, zones: tuple[str, ...], seed: int) -> Counter:
        """30 s of requests at `rate` a second, 12 ms each; counts by life, and waits."""
        rand = random.Random(seed)
        instances = [instance(f"i{n}", zone=zone) for n, zone in enumerate(zones)]
        homes = ("a1", "b1", "c1")
        registries = []
        for n in range(12):
            registry = BackendRegistry(me=f"n{n}", zone_distances=ZoneDistances(zone=homes[n % 3]))
            registry.set_instances(instances, 0)
            registries.append(registry)
        seen: Counter = Counter()
        free = {one.instance_id: [0.0] * one.slots for one in instances}  # when each slot is free
        back: list[tuple[float, int, str, float]] = []
        now_us = 0.0
        while now_us < 30 * SECOND:
            now_us += rand.expovariate(rate) * SECOND
            back.sort()
            while back and back[0][0] <= now_us:
                done_us, n, name, sent_us = back.pop(0)
                registries[n].entries[name].in_flight -= 1
                registries[n].note_answer(
                    name=name, took_us=int(done_us - sent_us), now_us=int(done_us)
                )
            n = rand.randrange(12)
            name = choose(registry=registries[n], now_us=int(now_us), rand=rand)
            entry = registries[n].entries[name]
            entry.in_flight += 1
            way_us = entry.distance_us / 2
            slots = free[name]
            at = min(range(len(slots)), key=slots.__getitem__)
            start_us = max(now_us + way_us, slots[at])
            slots[at] = start_us + 12_000 * rand.uniform(0.7, 1.3)
            back.append((slots[at] + way_us, n, name, now_us))
            seen[name] += 1
            seen["wait_us"] += int(start_us - now_us - way_us)
            seen["took_us"] += int(slots[at] + way_us - now_us)
            seen["far"] += entry.distance_us > 5_000
        return seen

    @staticmethod
    def as_chosen(*, registry: BackendRegistry, now_us: int, rand: random.Random) -> str:
        return options(
            configuration=EMPTY,
            registry=registry,
            latencies=LatencyEstimates(),
            collection="c",
            shard="s",
            zone="",
            now_us=now_us,
            rand=rand,
        )[0].backend

    @staticmethod
    def by_lot(*, registry: BackendRegistry, now_us: int, rand: random.Random) -> str:
        return rand.choice(registry.instances_of("s"))

    def test_equals_share_alike(self) -> None:
        seen = self.play(choose=self.as_chosen, rate=77, zones=("a1", "a1"), seed=1)
        self.assertLess(abs(seen["i0"] - seen["i1"]), 0.12 * (seen["i0"] + seen["i1"]))

    def test_sooner_than_by_lot_and_less_goes_far(self) -> None:
        for rate in (77, 200):
            with self.subTest(rate=rate):
                kind = {"rate": rate, "zones": ("a1", "b1"), "seed": 2}
                ours, lot = (self.play(choose=c, **kind) for c in (self.as_chosen, self.by_lot))
                self.assertLess(ours["took_us"], 0.85 * lot["took_us"])
                self.assertLess(ours["wait_us"], 1.1 * lot["wait_us"])
                self.assertLess(ours["far"], 0.65 * lot["far"])

    def test_nobody_herds_when_it_is_full(self) -> None:
        """At 80 % of what the slots can do the wait stays under two services."""
        seen = self.play(choose=self.as_chosen, rate=266, zones=("a1", "b1"), seed=3)
        self.assertLess(seen["wait_us"] / (seen["i0"] + seen["i1"]), 24_000)


class StatedBudgetTest(unittest.TestCase):
    """The sum over all nodes stays inside what the deployment states."""

    def play(
        self,
        *,
        nodes: int,
        ratio: float,
        slack: int,
        rate: float,
        seed: int,
        restarts: int = 0,
        greed: int = 4,
        seconds: int = 60,
    ) -> tuple[list[int], list[int]]:
        """Every node asks for further attempts all the time; (firsts, extras), in us."""
        rand = random.Random(seed)
        born = [0] * nodes

        def fresh(n: int, now_us: int) -> Budget:
            return Budget(ratio=ratio, slack=slack, me=f"n{n}", born_us=now_us)

        budgets = [fresh(n, 0) for n in range(nodes)]
        ends = sorted(rand.randrange(seconds * SECOND) for _ in range(restarts))
        firsts, extras, now_us = [], [], 0
        while now_us < seconds * SECOND:
            now_us += int(rand.expovariate(rate) * SECOND)
            while ends and ends[0] < now_us:
                n = rand.randrange(nodes)
                budgets[n], born[n] = fresh(n, ends.pop(0)), now_us
            budget = budgets[rand.randrange(nodes)]
            budget.note_edges(edges=nodes, now_us=now_us)
            budget.first(service="s", shard="", now_us=now_us)
            firsts.append(now_us)
            for one in (budget, *rand.sample(budgets, min(nodes, greed))):
                while one.take(service="s", shard="", now_us=now_us, edges=nodes):
                    extras.append(now_us)
        return firsts, extras

    def most_over(self, *, firsts: list[int], extras: list[int], ratio: float, slack: int) -> float:
        """By how much the worst window is over the bound; below zero: never."""
        span_us = 10 * SECOND

        def count(times: list[int], start_us: int) -> int:
            return bisect_left(times, start_us + span_us) - bisect_left(times, start_us)

        worst = -float("inf")
        for start_us in extras:
            asked = max(count(firsts, start_us - back) for back in (0, span_us, span_us // 2))
            worst = max(worst, count(extras, start_us) - ratio * asked - slack)
        return worst

    def test_sums_hold_with_restarts(self) -> None:
        kinds = {
            "ten nodes": {"nodes": 10, "ratio": 0.17, "slack": 57, "rate": 77},
            "twelve nodes": {"nodes": 12, "ratio": 0.2, "slack": 64, "rate": 93},
            "ninety nodes": {"nodes": 90, "ratio": 0.087, "slack": 96, "rate": 67},
            "ninety nodes, seldom": {"nodes": 90, "ratio": 0.087, "slack": 96, "rate": 9},
            "more nodes than slack": {"nodes": 200, "ratio": 0.087, "slack": 60, "rate": 60},
        }
        for name, kind in kinds.items():
            for restarts in (0, 60):
                with self.subTest(kind=name, restarts=restarts):
                    firsts, extras = self.play(**kind, restarts=restarts, seed=1)
                    over = self.most_over(
                        firsts=firsts, extras=extras, ratio=kind["ratio"], slack=kind["slack"]
                    )
                    self.assertLess(over, 0)
                    self.assertTrue(extras)

    def test_nobody_starves_where_a_share_is_under_one(self) -> None:
        """Ninety nodes, a share of 0.75 and few requests: each has its turn."""
        spent: Counter = Counter()
        for n in range(90):
            budget = Budget(ratio=0.087, slack=96, me=f"n{n}", born_us=0)
            for at in range(0, 60 * SECOND, 100_000):
                budget.note_edges(edges=90, now_us=at)
                spent[n] += budget.take(service="s", shard="", now_us=at, edges=90)
        self.assertTrue(all(2 <= spent[n] <= 5 for n in range(90)), spent)

    def test_a_new_instance_has_no_slack_until_a_window_has_passed(self) -> None:
        budget = Budget(ratio=0.2, slack=64, me="n", born_us=5 * SECOND)
        for at in range(5 * SECOND, 15 * SECOND, 50_000):
            self.assertFalse(budget.take(service="s", shard="", now_us=at, edges=4))
        self.assertTrue(budget.take(service="s", shard="", now_us=15 * SECOND, edges=4))

    def test_a_shard_is_bounded_whichever_route_asks(self) -> None:
        budget = Budget(ratio=0.2, slack=0, me="n", born_us=0)
        budget.note_edges(edges=10, now_us=0)
        for n in range(100):
            budget.first(service=f"route{n % 2}", shard=f"s{n % 4}", now_us=n)
        taken = [
            budget.take(service=f"route{n % 2}", shard="s1", now_us=200, edges=10)
            for n in range(20)
        ]
        self.assertEqual(4, sum(taken))  # 0.8 of a fifth of the 25 that s1 got

    def test_a_cut_does_not_double_the_slack(self) -> None:
        budget = Budget(ratio=0.2, slack=100, me="n", born_us=0)
        budget.note_edges(edges=10, now_us=10 * SECOND)
        self.assertEqual(7, budget.room(service="s", now_us=60 * SECOND, edges=2))
        self.assertEqual(35, budget.room(service="s", now_us=200 * SECOND, edges=2))


if __name__ == "__main__":
    unittest.main()
