"""Edge leases: which edges may serve which epoch during network partitions of core machines.

Simulations with fixed seeds: cores and edges on the same machines, writes and reads at every
core. In addition to the checks of `test_core_cuts`, every edge is checked each 20 ms. Once a
write is acknowledged, no edge may hold a lease with an older epoch installed. One second later
(the maximum age of a peer's confirmation), no edge may serve an older version.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, field, replace
from typing import Awaitable, Callable
from unittest import mock

from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.transport.messages import LeaseReply
from kelpstage.core.leases.lease_service import LeaseService
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import TransferLeadership
from kelpstage.edge.backend.endpoint_list import EndpointList
from kelpstage.edge.backend.instance import Instance
from kelpstage.edge.lease.lease_holder import CONFIRMATION_TTL_US, LeaseHolder
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from kelpstage.testbed.simulation.world import SimClock
from tests.test_core_cuts import CALL_US, PARTITION_US, History, Links, Operators

POLL_INTERVAL_US = 20_000
ACKNOWLEDGED_WITHIN_US = 5_000_000
# A leader that receives nothing keeps sending for one more check-quorum span.
ACKNOWLEDGED_LATE_US = ACKNOWLEDGED_WITHIN_US + 1_600_000
READY_AGAIN_US = 4_000_000
MIN_WRITES_WHILE_RELAYED = 80  # in a run of 24 s, with one write each 0.2 s without faults
SEEDS = (1, 2)


class FleetCores:
    """The cores of a simulated fleet, with the interface that `Operators` needs."""

    def __init__(self, *, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.outside = fleet.outside
        self.names = list(fleet.core_address)

    def address(self, name: str, port: int) -> str:
        return self.fleet.core_http(name=name)

    def document(self, note: str) -> bytes:
        return self.fleet.configuration(note=note)

    def up(self) -> list[str]:
        return [n for n in self.names if self.fleet.processes[f"core/{n}"].is_alive]

    async def sleep(self, us: int) -> None:
        await self.fleet.sleep(us=us)


@dataclass(kw_only=True)
class EdgeMonitor:
    """Checks every edge continuously and records violations."""

    fleet: SimFleet
    history: History
    violations: list[str] = field(default_factory=list)
    unready_us: dict[str, int] = field(default_factory=dict)
    is_open: bool = True

    async def run(self) -> None:
        while self.is_open:
            self.check_edges()
            await self.fleet.sleep(us=POLL_INTERVAL_US)

    def check_edges(self) -> None:
        now_us = self.fleet.now_us()
        newest = self.history.newest_before(at_us=now_us)
        settled = self.history.newest_before(at_us=now_us - CONFIRMATION_TTL_US - POLL_INTERVAL_US)
        for node in self.fleet.deployment.nodes:
            edge = self.fleet.daemons[f"edge/{node.name}"]
            process = self.fleet.processes[f"edge/{node.name}"]
            if not process.is_alive or process.is_frozen:
                continue
            version = edge.lease_holder.configuration.version
            own_us = edge.ports.clock.now_us()
            if version < newest and edge.lease_holder.has_lease(now_us=own_us):
                self._add_violation(
                    name=node.name, what=f"a lease at {version}, acknowledged {newest}"
                )
            if edge.not_ready_reason():
                self.unready_us[node.name] = self.unready_us.get(node.name, 0) + POLL_INTERVAL_US
            elif version < settled:
                self._add_violation(
                    name=node.name, what=f"serves {version}, acknowledged {settled}"
                )

    def _add_violation(self, *, name: str, what: str) -> None:
        self.violations.append(f"{self.fleet.now_us()}: {name}: {what}")


@dataclass(kw_only=True)
class ScenarioResult:
    """The result of one scenario run."""

    history: History
    monitor: EdgeMonitor
    acknowledged_after_us: int = 0
    ready_after_us: int = 0
    unready_us: dict[str, int] = field(default_factory=dict)  # during the partition


Scenario = Callable[[SimFleet, ScenarioResult], Awaitable[None]]


def links_between(*, left: list[str], right: list[str]) -> Links:
    """Every link between two sets of machines, in both directions."""
    return [p for a in left for b in right if a != b for p in ((a, b), (b, a))]


def machines(*, fleet: SimFleet) -> list[str]:
    return [node.name for node in fleet.deployment.nodes]


async def hold_partition(*, fleet: SimFleet, result: ScenarioResult, pairs: Links) -> None:
    """Apply a network partition for 20 s, heal it, and wait until every edge serves."""
    began_us = fleet.now_us()
    before = dict(result.monitor.unready_us)
    fleet.world.blocked_paths |= set(pairs)
    await fleet.sleep(us=PARTITION_US)
    result.unready_us = {
        name: us - before.get(name, 0) for name, us in result.monitor.unready_us.items()
    }
    after = [when for when, _ in result.history.acknowledged if when > began_us + 50_000]
    result.acknowledged_after_us = min(after, default=began_us + PARTITION_US) - began_us
    fleet.world.blocked_paths -= set(pairs)
    fleet.world.send_waiting()
    result.ready_after_us = await fleet.wait_for(
        what="all edges ready",
        condition=lambda: len(fleet.ready_edges()) == len(machines(fleet=fleet)),
    )


def run_scenario(scenario: Scenario, *, seed: int) -> ScenarioResult:
    """Run a scenario while operators write and read configurations."""
    results: list[ScenarioResult] = []

    async def play(fleet: SimFleet) -> None:
        await fleet.start()
        await fleet.wait_for(what="a complete membership", condition=fleet.is_membership_complete)
        operators = Operators(cores=FleetCores(fleet=fleet), call_us=CALL_US)
        await operators.write()
        await fleet.wait_for(
            what="all ready",
            condition=lambda: len(fleet.ready_edges()) == len(machines(fleet=fleet)),
        )
        monitor = EdgeMonitor(fleet=fleet, history=operators.history)
        result = ScenarioResult(history=operators.history, monitor=monitor)
        results.append(result)
        tasks = [asyncio.ensure_future(monitor.run())]
        tasks += [asyncio.ensure_future(operators.keep_writing())]
        tasks += [
            asyncio.ensure_future(operators.keep_reading(member=m)) for m in fleet.core_address
        ]
        await fleet.sleep(us=1_500_000)
        await scenario(fleet, result)
        operators.is_open = monitor.is_open = False
        for task in tasks:
            await task

    run_sim(seed=seed, deployment=load(name="tiny"), scenario=play)
    return results[0]


async def leader_isolated_with_one_edge(fleet: SimFleet, result: ScenarioResult) -> None:
    """The leader's machine and one other edge are partitioned from all other machines."""
    left = [fleet.leader(), "node-04"]
    right = [n for n in machines(fleet=fleet) if n not in left]
    await hold_partition(fleet=fleet, result=result, pairs=links_between(left=left, right=right))


async def leader_isolated_from_cores(fleet: SimFleet, result: ScenarioResult) -> None:
    """The leader is partitioned from the other cores; all edges without a disk reach it."""
    leader = fleet.leader()
    await hold_partition(
        fleet=fleet,
        result=result,
        pairs=links_between(left=[leader], right=list(fleet.core_address)),
    )


async def follower_isolated_from_cores(fleet: SimFleet, result: ScenarioResult) -> None:
    leader = fleet.leader()
    name = next(n for n in fleet.core_address if n != leader)
    await hold_partition(
        fleet=fleet, result=result, pairs=links_between(left=[name], right=list(fleet.core_address))
    )


async def leader_receives_nothing(fleet: SimFleet, result: ScenarioResult) -> None:
    leader = fleet.leader()
    others = [n for n in machines(fleet=fleet) if n != leader]
    await hold_partition(fleet=fleet, result=result, pairs=[(n, leader) for n in others])


async def leader_sends_nothing(fleet: SimFleet, result: ScenarioResult) -> None:
    leader = fleet.leader()
    others = [n for n in machines(fleet=fleet) if n != leader]
    await hold_partition(fleet=fleet, result=result, pairs=[(leader, n) for n in others])


async def leadership_transfer_with_isolated_edge(fleet: SimFleet, result: ScenarioResult) -> None:
    """An edge is isolated and the leader hands over at once, so that a new leader is elected
    while the edge holds a lease from the previous one."""
    others = [n for n in machines(fleet=fleet) if n != "node-04"]
    for _ in range(4):
        fleet.world.blocked_paths |= set(links_between(left=["node-04"], right=others))
        leader = fleet.leader()
        fleet.daemons[f"core/{leader}"].task.inbox.put_nowait(TransferLeadership())
        await fleet.sleep(us=4_000_000)
        fleet.world.blocked_paths.clear()
        fleet.world.send_waiting()
        await fleet.sleep(us=1_100_000)


class NetworkPartitions(unittest.TestCase):
    def check(
        self,
        scenario: Scenario,
        *,
        bound_us: int = ACKNOWLEDGED_WITHIN_US,
        expected_unready: int = 0,
    ) -> list[ScenarioResult]:
        """Run every seed; exactly `expected_unready` edges reject requests in the partition."""
        results = [run_scenario(scenario, seed=seed) for seed in SEEDS]
        for seed, result in zip(SEEDS, results, strict=True):
            context = f"seed {seed}: {result.acknowledged_after_us} {result.ready_after_us}"
            self.assertEqual(result.history.violations[:5], [], context)
            self.assertEqual(result.monitor.violations[:5], [], context)
            self.assertLess(result.acknowledged_after_us, bound_us, context)
            self.assertLess(result.ready_after_us, READY_AGAIN_US, context)
            self.assertEqual(
                len(result.unready_us), expected_unready, f"{context} {result.unready_us}"
            )
        return results

    def test_leader_isolated_with_one_edge(self) -> None:
        for result in self.check(leader_isolated_with_one_edge, expected_unready=2):
            least_us = PARTITION_US - LEASE_SPAN_US - POLL_INTERVAL_US
            self.assertGreaterEqual(min(result.unready_us.values()), least_us)

    def test_leader_isolated_from_the_other_cores(self) -> None:
        for result in self.check(leader_isolated_from_cores):
            self.assertGreater(len(result.history.acknowledged), MIN_WRITES_WHILE_RELAYED)

    def test_follower_isolated_from_the_other_cores(self) -> None:
        for result in self.check(follower_isolated_from_cores):
            self.assertGreater(len(result.history.acknowledged), MIN_WRITES_WHILE_RELAYED)

    def test_leader_receives_nothing(self) -> None:
        self.check(leader_receives_nothing, bound_us=ACKNOWLEDGED_LATE_US, expected_unready=1)

    def test_leadership_transfer_with_an_isolated_edge(self) -> None:
        for seed in SEEDS:
            result = run_scenario(leadership_transfer_with_isolated_edge, seed=seed)
            self.assertEqual(result.history.violations[:5], [])
            self.assertEqual(result.monitor.violations[:5], [])
            self.assertGreater(len(result.history.acknowledged), 10)

    def test_leader_sends_nothing(self) -> None:
        self.check(leader_sends_nothing, expected_unready=1)


class RepliesOfFollowers(unittest.TestCase):
    """A core list from a follower may be stale, so it only adds to the known cores."""

    def test_a_stale_core_list_does_not_replace_known_cores(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            edge = fleet.daemons["edge/node-05"]
            known = set(edge.leases.cores)
            self.assertEqual(known, set(fleet.core_address.values()))
            hint = LeaseReply(
                cluster=edge.lease_holder.cluster, cores=["10.9.9.9:7100"], why="no leader"
            )
            edge.leases.renewal.accept_reply(
                reply=hint, sent_us=fleet.now_us(), target="10.9.9.9:7100"
            )
            self.assertLessEqual(known, set(edge.leases.cores))
            await fleet.sleep(us=2_000_000)
            self.assertEqual(known, set(edge.leases.cores))  # the list from the leader replaces it

        run_sim(seed=1, deployment=load(name="tiny"), scenario=scenario)


class RelayedRenewals(unittest.TestCase):
    def test_relaying_works_again_after_an_attempt_fails(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            leases = fleet.daemons["edge/node-05"].leases
            broken = mock.AsyncMock(side_effect=RuntimeError("planted"))
            with mock.patch.object(leases.relay, "_ask_peers", broken):
                leases.relay.start(target="10.9.9.9:7100")
                await fleet.sleep(us=100_000)
            self.assertEqual(broken.await_count, 1)
            real = mock.AsyncMock(return_value=False)
            with mock.patch.object(leases.relay, "_ask_peers", real):
                leases.relay.start(target="10.9.9.9:7100")
                await fleet.sleep(us=100_000)
            self.assertEqual(real.await_count, 1)

        run_sim(seed=1, deployment=load(name="tiny"), scenario=scenario)


async def edge_isolated_repeatedly(fleet: SimFleet, result: ScenarioResult) -> None:
    """Isolate an edge at eight offsets within a second, so that its lease varies in age."""
    others = [n for n in machines(fleet=fleet) if n != "node-04"]
    for _ in range(8):
        pairs = links_between(left=["node-04"], right=others)
        fleet.world.blocked_paths |= set(pairs)
        await fleet.sleep(us=3_500_000)
        fleet.world.blocked_paths -= set(pairs)
        fleet.world.send_waiting()
        await fleet.sleep(us=565_000)


class SlowClock(unittest.TestCase):
    """An edge with a slow clock keeps its lease for longer than it was granted."""

    def violations_of(self, *, rate: float) -> list[str]:
        real = SimClock.now_us

        def now_us(self: SimClock) -> int:
            is_slow = self._process.name == "edge/node-04"
            return int(real(self) * rate) if is_slow else real(self)

        with mock.patch.object(SimClock, "now_us", now_us):
            result = run_scenario(edge_isolated_repeatedly, seed=1)
        self.assertEqual(result.history.violations[:5], [])
        return result.monitor.violations

    def test_the_lease_margin_covers_an_8_percent_slow_clock(self) -> None:
        self.assertEqual(self.violations_of(rate=0.92)[:5], [])

    def test_the_lease_margin_does_not_cover_a_25_percent_slow_clock(self) -> None:
        self.assertIn("a lease at", " ".join(self.violations_of(rate=0.75)))


class SteppedClock(unittest.TestCase):
    """No result depends on the wall clock.

    Edges that restart after it was stepped back get leases, the other edges accept their gossip,
    and their epochs count as installed.
    """

    def test_edges_restart_after_the_wall_clock_was_set_back(self) -> None:
        stepped_back_us = 3_600_000_000

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            names = ["node-02", "node-03", "node-04", "node-05"]
            for name in names:
                fleet.kill_edge(name=name)
            real = SimClock.wall_us
            with mock.patch.object(SimClock, "wall_us", lambda self: real(self) - stepped_back_us):
                for name in names:
                    await fleet.start_edge(name=name)
            await fleet.wait_for(
                what="all edges ready",
                condition=lambda: len(fleet.ready_edges()) == len(machines(fleet=fleet)),
                us=5_000_000,
            )
            row = await fleet.put_next(wait_us=ACKNOWLEDGED_WITHIN_US)
            self.assertEqual(row["status"], 200, row)
            await fleet.sleep(us=5_000_000)
            for node in fleet.deployment.nodes:
                swim = fleet.daemons[f"edge/{node.name}"].swim
                versions = {name: swim.members[name].info.version for name in swim.members}
                self.assertEqual(set(versions.values()), {2}, f"{node.name}: {versions}")
                self.assertEqual(len(swim.live()), len(machines(fleet=fleet)), node.name)

        for seed in SEEDS:
            run_sim(seed=seed, deployment=load(name="tiny"), scenario=scenario)


class StaleDiscoveryReadings(unittest.TestCase):
    """A reading of the endpoint list that was delayed by a partition is ignored.

    Its stated age does not count: readings are numbered.
    """

    INSTANCE = Instance(instance_id="i", service="s", address="127.0.0.1:1")

    def reader_and_node(self) -> tuple[EndpointList, EndpointList]:
        """A reader, and a node that accepted its first reading."""
        first, node = EndpointList(me="first", own="first:1"), EndpointList(me="node", own="node:1")
        first.apply_listing(instances=[self.INSTANCE], read_us=0, now_us=1_000)
        node.apply_update(update=first.update(now_us=1_000), now_us=2_000)
        return first, node

    def test_a_late_reading_of_a_previous_reader_is_ignored(self) -> None:
        first, node = self.reader_and_node()
        first.apply_listing(instances=[self.INSTANCE], read_us=500_000, now_us=501_000)
        late = first.update(now_us=501_000)  # 1 ms old when sent; delayed by the link
        second = EndpointList(me="second", own="second:1")
        second.apply_update(update=node.update(now_us=600_000, is_whole=True), now_us=601_000)
        draining = replace(self.INSTANCE, is_draining=True)
        for turn in range(3, 10):
            now_us = turn * 1_000_000
            second.apply_listing(instances=[draining], read_us=now_us, now_us=now_us)
            node.apply_update(update=second.update(now_us=now_us), now_us=now_us + 10_000)
        self.assertTrue(node.instances["i"].is_draining)
        node.apply_update(update=late, now_us=9_500_000)
        self.assertTrue(node.instances["i"].is_draining)
        self.assertEqual(node.reader, "second")
        self.assertEqual(node.fresh_us, 9_010_000)

    def test_an_unchanged_late_reading_does_not_refresh_the_list(self) -> None:
        first, node = self.reader_and_node()
        late = first.update(now_us=2_000)
        second = EndpointList(me="second", own="second:1")
        second.apply_update(update=node.update(now_us=600_000, is_whole=True), now_us=601_000)
        second.apply_listing(instances=[self.INSTANCE], read_us=3_000_000, now_us=3_000_000)
        node.apply_update(update=second.update(now_us=3_000_000), now_us=3_000_000)
        node.apply_update(update=late, now_us=9_000_000)
        self.assertEqual(node.fresh_us, 3_000_000)
        self.assertEqual(node.reader, "second")

    def test_a_restarted_reader_continues_above_the_number_it_receives(self) -> None:
        first, node = self.reader_and_node()
        for turn in range(1, 6):
            first.apply_listing(instances=[self.INSTANCE], read_us=turn, now_us=turn)
        node.apply_update(update=first.update(now_us=10), now_us=10)
        fresh = EndpointList(me="fresh", own="fresh:1")
        other = replace(self.INSTANCE, instance_id="j")
        fresh.apply_listing(instances=[other], read_us=2_000_000, now_us=2_000_000)
        node.apply_update(update=fresh.update(now_us=2_000_000, is_whole=True), now_us=2_000_000)
        self.assertEqual(list(node.instances), ["i"])  # its reading has a lower number
        fresh.apply_update(update=node.update(now_us=2_100_000), now_us=2_100_000)
        fresh.apply_listing(instances=[other], read_us=3_000_000, now_us=3_000_000)
        node.apply_update(update=fresh.update(now_us=3_000_000, is_whole=True), now_us=3_000_000)
        self.assertEqual(list(node.instances), ["j"])


async def skip_confirmation(self: LeaseService) -> None:
    """Planted fault: a deposed leader continues to renew leases."""


def expire_unknown_leases(
    self: LeaseTable, *, edge: str, epoch: int, now_us: int, span_us: int
) -> bool:
    """Planted fault: a new leader assumes that unknown leases have expired."""
    holder = self._holders.get(edge)
    return holder is None or not holder.leases


class PlantedFaults(unittest.TestCase):
    """The monitor detects planted faults."""

    def violations_of(self, scenario: Scenario) -> str:
        return " ".join(run_scenario(scenario, seed=1).monitor.violations)

    def test_leases_renewed_by_a_deposed_leader(self) -> None:
        with (
            mock.patch.object(LeaseService, "_confirm", skip_confirmation),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations_of(leader_isolated_with_one_edge)
        self.assertIn("a lease at", found)
        self.assertIn("serves", found)

    def test_a_new_leader_that_does_not_wait(self) -> None:
        with mock.patch.object(LeaseTable, "_have_older_leases_expired", expire_unknown_leases):
            found = self.violations_of(leadership_transfer_with_isolated_edge)
        self.assertIn("a lease at", found)

    def test_an_edge_that_serves_past_its_lease(self) -> None:
        with mock.patch.object(LeaseHolder, "refusal", lambda self, *, now_us: ""):
            found = self.violations_of(leader_isolated_with_one_edge)
        self.assertIn("serves", found)


if __name__ == "__main__":
    unittest.main()
