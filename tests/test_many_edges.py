"""The cost of gossip, lease replies and deltas in large fleets, tested on their own and in
simulated fleets of 12, 24 and 30 edges."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import unittest
from collections import Counter
from typing import Awaitable, Callable

from kelpstage.common.transport.connections import IDLE_CHECK_INTERVAL_US, IDLE_TIMEOUT_US
from kelpstage.common.transport.delta import apply_delta, pack_delta
from kelpstage.common.transport.messages import EdgeContact, MemberMsg
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.edge.gossip.members import ALIVE, DEAD
from kelpstage.edge.gossip.swim import PING, SUSPECT, TICK_US, Swim
from kelpstage.edge.lease.timing import LARGE_RENEW_TIMEOUT_US, renew_period_us
from kelpstage.testbed.fleet.deployment import Deployment, Node, load
from kelpstage.testbed.measure.choices import constants_set
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim

SECOND = 1_000_000
MAX_DATAGRAM_BYTES = 1_400
ZONES = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1", "z4": "r2", "z5": "r2"}


def wide_deployment(*, nodes: int, cores: int) -> Deployment:
    """The tiny deployment with this many edges in six zones; the first `cores` nodes also run
    a core."""
    zones = list(ZONES)
    return dataclasses.replace(
        load(name="tiny"),
        zones=zones,
        nodes=[
            Node(name=f"n{n:02d}", zone=zones[n % len(zones)], has_disk=n < cores)
            for n in range(nodes)
        ],
    )


def run_fleet(
    scenario: Callable[[SimFleet], Awaitable[None]], *, nodes: int, cores: int = 6
) -> SimFleet:
    """Bring up a fleet until it serves, and run a scenario on it."""

    async def bring_up_and_run(fleet: SimFleet) -> None:
        await fleet.bring_up()
        await fleet.sleep(us=8 * SECOND)
        await scenario(fleet)

    return run_sim(
        seed=3, deployment=wide_deployment(nodes=nodes, cores=cores), scenario=bring_up_and_run
    )


def document(*, routes: int, serial: int) -> bytes:
    """A configuration of many routes; two serials differ in one route."""
    rows = {
        f"r{n}": {
            "host": "h.example",
            "prefix": f"/p{n}/",
            "is_repeatable": True,
            "attempts": 2,
            "deadline_us": 1_000_000 + (serial if n == 7 else 0),
            "weights": {"s": 1.0},
        }
        for n in range(routes)
    }
    services = {"s": {"health_path": "/health", "max_connections": 8}}
    return json.dumps({"services": services, "forward": rows}).encode()


def member(*, n: int, beat: int = 1, **more) -> MemberMsg:
    name = f"node-{n:04d}"
    return MemberMsg(
        name=name,
        address=f"10.0.{n // 250}.{n % 250 + 1}:7000",
        incarnation=1_700_000_000_000_000,
        beat=beat,
        zone=f"zone-{n % 6}",
        http=f"10.0.{n // 250}.{n % 250 + 1}:8000",
        **more,
    )


def swim_with_members(*, n: int, count: int) -> Swim:
    """The protocol of edge `n`, which has merged a table of `count` edges."""
    swim = Swim(
        me=member(n=n),
        rand=random.Random(n),
        backend_states=list,
        on_backend_state=lambda backend_state: None,
        is_near=lambda zone: zone in ("zone-0", "zone-1"),
    )
    swim.merge_table(table=[bytes(member(n=i)) for i in range(count) if i != n], now_us=0)
    return swim


class GossipProtocol(unittest.TestCase):
    def test_datagram_size_is_bounded_with_many_updates(self) -> None:
        swim = swim_with_members(n=0, count=400)
        for i in range(1, 200):
            swim.suspect(name=f"node-{i:04d}", now_us=TICK_US, why="test")
        sizes = [
            len(bytes(message))
            for tick in range(1, 60)
            for _, message in swim.tick(now_us=tick * TICK_US)
        ]
        self.assertLess(max(sizes), MAX_DATAGRAM_BYTES)

    def test_update_is_sent_a_bounded_number_of_times(self) -> None:
        swim = swim_with_members(n=0, count=60)
        swim.suspect(name="node-0001", now_us=TICK_US, why="test")
        sent = 0
        for tick in range(2, 200):
            for _, message in swim.tick(now_us=TICK_US + tick):  # before a timeout
                infos = [MemberMsg().parse(packed) for packed in message.members]
                sent += any(info.name == "node-0001" for info in infos)
        in_samples = 200 * 2 / 59  # expected number of times in random samples
        self.assertLess(sent, 11 + 4 * in_samples)
        self.assertGreater(sent, 8)

    def test_most_probes_stay_in_the_region_and_all_members_are_probed(self) -> None:
        swim = swim_with_members(n=0, count=90)
        probed: Counter = Counter()
        for tick in range(1, 600):
            now_us = tick * TICK_US
            for _, message in swim.tick(now_us=now_us):
                if message.kind == PING:
                    probe = swim._probes.pop(message.number)
                    probed[probe.name] += 1
                    info = member(n=int(probe.name[-4:]), beat=tick + 1)
                    swim._membership.merge(info=info, now_us=now_us, is_direct=True)
        near = sum(count for name, count in probed.items() if int(name[-4:]) % 6 < 2)
        self.assertEqual(89, len(probed))
        self.assertAlmostEqual(0.75, near / sum(probed.values()), delta=0.03)

    def test_suspicion_is_adopted_by_an_edge_that_received_a_later_beat(self) -> None:
        """A suspicion must not count as older than the last beat of another edge.

        The edge whose probe failed knows beat 10, the other one received beat 14 before the
        member stopped.
        """
        a, b = swim_with_members(n=0, count=3), swim_with_members(n=1, count=3)
        a._membership.merge(info=member(n=2, beat=10), now_us=10 * TICK_US, is_direct=True)
        b._membership.merge(info=member(n=2, beat=14), now_us=14 * TICK_US, is_direct=True)
        a.suspect(name="node-0002", now_us=20 * TICK_US, asked_us=17 * TICK_US, why="no ack")
        _, message = a._build_message(to="node-0001", kind=PING, number=9)
        b.on_message(message=message, now_us=20 * TICK_US)
        self.assertEqual(SUSPECT, b.status(name="node-0002"))
        # The member is alive: its own ack refutes the suspicion, whatever beat that has.
        c = Swim(
            me=member(n=2, beat=12),
            rand=random.Random(2),
            backend_states=list,
            on_backend_state=lambda backend_state: None,
        )
        c.add_peer(name="node-0001", address="10.0.0.2:7000", incarnation=0, now_us=0)
        _, ping = b._build_message(to="node-0002", kind=PING, number=9)
        [(_, ack)] = c.on_message(message=ping, now_us=21 * TICK_US)
        b.on_message(message=ack, now_us=21 * TICK_US)
        self.assertEqual(ALIVE, b.status(name="node-0002"))

    def test_merged_table_is_not_sent_as_updates(self) -> None:
        swim = swim_with_members(n=0, count=300)
        self.assertEqual(300, len(swim.live()))
        pings = [
            message
            for tick in range(2, 10)
            for _, message in swim.tick(now_us=tick * TICK_US)
            if message.kind == PING
        ]
        self.assertTrue(pings)
        self.assertLessEqual(max(len(message.members) for message in pings), 3)

    def test_invalid_entries_of_a_table_are_ignored(self) -> None:
        swim = swim_with_members(n=0, count=3)
        before = swim.live()
        junk = [b"", b"\x0a", b"\x10\x01", b"\x0a\x7fx", bytes(MemberMsg())]
        swim.merge_table(table=junk, now_us=1)
        self.assertEqual(before, swim.live())

    def test_dead_member_is_not_added_again(self) -> None:
        """An edge that has removed a dead member must not add it again from a peer's table."""
        swim = swim_with_members(n=0, count=3)
        swim.merge_table(table=[bytes(member(n=9, status=DEAD))], now_us=TICK_US)
        self.assertNotIn("node-0009", swim.members)

    def test_newest_update_is_sent_first(self) -> None:
        """The update of a lost member must not wait behind the updates of a starting fleet."""
        swim = swim_with_members(n=0, count=60)
        for i in range(1, 40):
            swim._membership.updates.add(name=f"node-{i:04d}")
        swim.suspect(name="node-0050", now_us=TICK_US, why="test")
        _, message = swim._build_message(to="node-0001", kind=PING, number=1)
        names = [MemberMsg().parse(packed).name for packed in message.members]
        self.assertIn("node-0050", names)

    def test_stale_member_is_suspected_on_a_peers_report(self) -> None:
        swim = swim_with_members(n=0, count=60)
        swim._membership.merge(info=member(n=5, beat=900), now_us=TICK_US, is_direct=True)
        for now_us, status in ((2_000_000, ALIVE), (9_000_000, SUSPECT)):
            swim._membership.merge(info=member(n=5, beat=880, status=SUSPECT), now_us=now_us)
            self.assertEqual(status, swim.status(name="node-0005"))


class LeaseReplies(unittest.TestCase):
    def contact(self, name: str, incarnation: int = 1) -> EdgeContact:
        return EdgeContact(name=name, address=f"{name}:1", incarnation=incarnation)

    def test_only_changes_are_sent(self) -> None:
        lease_table = LeaseTable(since_us=5)
        for n in range(90):
            lease_table.record_report(
                edge=f"n{n}", incarnation=1, epoch=1, contact=self.contact(f"n{n}"), now_us=9
            )
        lease_table.contacts.set_cores(cores=["a:1", "b:1"])
        mark = lease_table.contacts.mark()
        self.assertEqual(
            ([], []), lease_table.contacts.changes_since(known=mark, now_us=10, limit=32)
        )
        # A renewal without a contact changes nothing, a new incarnation does.
        lease_table.record_report(
            edge="n1", incarnation=1, epoch=2, contact=EdgeContact(), now_us=11
        )
        self.assertEqual(mark, lease_table.contacts.mark())
        lease_table.record_report(
            edge="n2", incarnation=2, epoch=2, contact=self.contact("n2", 2), now_us=11
        )
        contacts, cores = lease_table.contacts.changes_since(known=mark, now_us=12, limit=32)
        self.assertEqual((["n2"], []), ([contact.name for contact in contacts], cores))

    def test_offset_of_another_lease_table_is_ignored(self) -> None:
        old, new = LeaseTable(since_us=5), LeaseTable(since_us=6)
        for lease_table in (old, new):
            lease_table.record_report(
                edge="n", incarnation=1, epoch=1, contact=self.contact("n"), now_us=9
            )
            lease_table.contacts.set_cores(cores=["a:1"])
        contacts, cores = new.contacts.changes_since(known=old.contacts.mark(), now_us=10, limit=32)
        self.assertEqual((1, ["a:1"]), (len(contacts), cores))

    def test_lease_survives_one_renewal_without_a_reply(self) -> None:
        """After a timeout and a pause, the lease lasts long enough for the next reply."""
        lease_us, pause_us = 2_000_000, 60_000
        for count in (21, 60, 1400):
            again_us = renew_period_us(count=count) + LARGE_RENEW_TIMEOUT_US + pause_us
            self.assertGreater(lease_us - again_us, LARGE_RENEW_TIMEOUT_US)


class Deltas(unittest.TestCase):
    def test_delta_restores_any_document(self) -> None:
        rand = random.Random(4)
        for _ in range(200):
            base = rand.randbytes(rand.randrange(200)) * rand.randrange(1, 300)
            target = bytearray(base)
            for _ in range(rand.randrange(4)):
                at = rand.randrange(len(target) + 1)
                target[at : at + rand.randrange(20)] = rand.randbytes(rand.randrange(20))
            delta = pack_delta(base=base, target=bytes(target))
            self.assertEqual(bytes(target), apply_delta(base=base, delta=delta))
            # With another base the result is the target (if the delta does not use what
            # differs) or None, never another document.
            wrong = apply_delta(base=base + b"x", delta=delta)
            self.assertIn(wrong, (None, bytes(target)))
        self.assertIsNone(apply_delta(base=b"another", delta=pack_delta(base=b"ab", target=b"abc")))

    def test_delta_of_one_route_is_small(self) -> None:
        one, two = document(routes=300, serial=1), document(routes=300, serial=2)
        self.assertLess(len(pack_delta(base=one, target=two)), 700)


class SimulatedFleets(unittest.TestCase):
    async def time_until_installed_us(
        self, fleet: SimFleet, *, names: set[str], version: int
    ) -> int:
        """The time until all these edges have installed a version."""
        began_us = fleet.world.now_us()
        while any(
            fleet.daemons[f"edge/{name}"].lease_holder.configuration.version < version
            for name in names
        ):
            await fleet.sleep(us=5_000)
        return fleet.world.now_us() - began_us

    def names(self, fleet: SimFleet) -> set[str]:
        return {node.name for node in fleet.deployment.nodes}

    def test_thirty_edges_join_change_and_lose_one(self) -> None:
        """Joins share epochs, changes and losses are known in time, no edge is suspected
        wrongly, and the number of connections is bounded."""

        async def scenario(fleet: SimFleet) -> None:
            names = self.names(fleet)
            edges = {name: fleet.daemons[f"edge/{name}"] for name in names}
            self.assertLess(edges["n09"].lease_holder.epoch, 12, "an epoch for each join")
            for _ in range(4):
                began_us = fleet.world.now_us()
                putting = asyncio.ensure_future(fleet.put_next())
                took_us = await self.time_until_installed_us(
                    fleet, names=names, version=fleet.version + 1
                )
                self.assertLess(took_us, 400_000)
                self.assertEqual(200, (await putting)["status"])
                self.assertLess(fleet.world.now_us() - began_us, 500_000)
                await fleet.sleep(us=SECOND)
            await self.check_detection_of_a_killed_edge(fleet, edges=edges)
            await fleet.sleep(us=IDLE_TIMEOUT_US + IDLE_CHECK_INTERVAL_US)
            living = [edge for name, edge in edges.items() if name != "n25"]
            kept = max(len(edge.transport._connections) for edge in living)
            self.assertLessEqual(kept, 6, "unused connections must be closed")

        run_fleet(scenario, nodes=30)

    async def check_detection_of_a_killed_edge(self, fleet: SimFleet, *, edges: dict) -> None:
        fleet.kill_edge(name="n25")
        lost_us = fleet.world.now_us()
        suspected: dict[str, int] = {}
        dead: dict[str, int] = {}
        while fleet.world.now_us() < lost_us + 6 * SECOND:
            await fleet.sleep(us=20_000)
            for name, edge in edges.items():
                member = edge.swim.members.get("n25")
                status = member.info.status if member else DEAD
                if name != "n25" and status != ALIVE:
                    suspected.setdefault(name, fleet.world.now_us() - lost_us)
                if name != "n25" and status == DEAD:
                    dead.setdefault(name, fleet.world.now_us() - lost_us)
                others = [m for n, m in edge.swim.members.items() if n != "n25"]
                self.assertTrue(name == "n25" or all(m.info.status == ALIVE for m in others))
        self.assertEqual((29, 29), (len(suspected), len(dead)))
        self.assertLess(max(suspected.values()), 2_500_000)
        self.assertLess(max(dead.values()), 3_500_000)

    def test_configuration_arrives_when_the_forwarding_edges_are_frozen(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            leader = fleet.daemons[f"core/{fleet.leader()}"]
            contacts = leader.lease_service.lease_table.recent_contacts(now_us=fleet.world.now_us())
            first_by_zone: dict[str, str] = {}
            for contact in contacts:
                first_by_zone.setdefault(contact.zone, contact.name)
            # Makes the leader's random choice always the first edge of each zone.
            leader.ports.rand.randrange = lambda *_: 0
            silent = set(first_by_zone.values())
            self.assertTrue(silent)
            for name in silent:
                fleet.processes[f"edge/{name}"].freeze()
            putting = asyncio.ensure_future(fleet.put_next())
            others = self.names(fleet) - silent
            took_us = await self.time_until_installed_us(
                fleet, names=others, version=fleet.version + 1
            )
            self.assertLess(took_us, 600_000)
            for name in silent:
                fleet.processes[f"edge/{name}"].thaw()
            await putting

        run_fleet(scenario, nodes=30)

    def test_put_is_acknowledged_as_soon_as_it_is_installed(self) -> None:
        """An edge that installs during a renewal must report it at once.

        Otherwise the leader learns of it only with the next renewal, half a second later.
        """

        async def scenario(fleet: SimFleet) -> None:
            for _ in range(8):
                began_us = fleet.world.now_us()
                self.assertEqual(200, (await fleet.put_next())["status"])
                self.assertLess(fleet.world.now_us() - began_us, 300_000)
                await fleet.sleep(us=730_000)

        run_fleet(scenario, nodes=12, cores=3)

    def test_sides_that_removed_each_other_rejoin_after_a_partition(self) -> None:
        """The sides of a partition find each other again after both removed the other's members.

        A shorter TTL of removed members stands for a partition of an hour.
        """

        async def scenario(fleet: SimFleet) -> None:
            machines = fleet.world.machines
            inside = {n.name for n in fleet.deployment.nodes if ZONES[n.zone] == "r2"}
            outside = self.names(fleet) - inside
            far = {m for m in machines if ZONES.get(machines[m].zone) == "r2"}
            fleet.world.blocked_paths |= {(a, b) for a in far for b in set(machines) - far}
            fleet.world.blocked_paths |= {(b, a) for a in far for b in set(machines) - far}
            await fleet.sleep(us=75 * SECOND)
            for name in self.names(fleet):
                others = outside if name in inside else inside
                known = set(fleet.daemons[f"edge/{name}"].swim.members)
                self.assertFalse(others & known)
            self.assertEqual(outside, set(fleet.ready_edges()), "an isolated region must not serve")
            self.assertEqual(200, (await fleet.put_next())["status"])
            fleet.world.blocked_paths.clear()
            fleet.world.send_waiting()
            await fleet.wait_for(
                what="all edges to know each other again",
                condition=lambda: all(
                    len(fleet.daemons[f"edge/{name}"].swim.live()) == 24
                    for name in self.names(fleet)
                ),
                us=15 * SECOND,
            )
            self.assertEqual(24, len(fleet.ready_edges()))
            self.assertEqual(
                {fleet.version},
                {
                    fleet.daemons[f"edge/{name}"].lease_holder.configuration.version
                    for name in self.names(fleet)
                },
            )

        with constants_set(
            constants={"kelpstage.edge.gossip.membership:REMOVED_MEMBER_TTL_US": 15 * SECOND}
        ):
            run_fleet(scenario, nodes=24)

    async def min_ready_edges(self, fleet: SimFleet, *, tenths: int) -> int:
        least = len(fleet.deployment.nodes)
        for _ in range(tenths):
            await fleet.sleep(us=100_000)
            least = min(least, len(fleet.ready_edges()))
        return least

    def test_all_edges_serve_while_the_leader_is_frozen(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            fleet.processes[f"core/{fleet.leader()}"].freeze()
            self.assertEqual(24, await self.min_ready_edges(fleet, tenths=60))

        run_fleet(scenario, nodes=24, cores=3)

    def test_all_edges_serve_without_any_core(self) -> None:
        """A random majority confirms the epoch, and is asked again before that expires."""

        async def scenario(fleet: SimFleet) -> None:
            for name in fleet.core_address:
                fleet.kill_core(name=name)
            self.assertEqual(30, await self.min_ready_edges(fleet, tenths=100))

        run_fleet(scenario, nodes=30)


if __name__ == "__main__":
    unittest.main()
