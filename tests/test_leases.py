"""Leases of edges: who may serve under which epoch while core machines are cut off.

Simulated days with fixed seeds: cores and edges on the same machines, orders and reads at
every core. Beside what `test_core_cuts` judges, every edge is looked at each 20 ms: once
an order is acknowledged, no edge may hold a lease while it has an older epoch installed,
and a second later (the age that a peer's word may have) none may serve an older version.
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
from kelpstage.edge.lease.lease_holder import CONFIRMATION_US, LeaseHolder
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from kelpstage.testbed.simulation.world import SimClock
from tests.test_core_cuts import CALL_US, CUT_US, History, Operators, Pairs

LOOK_US = 20_000
ACKNOWLEDGED_WITHIN_US = 5_000_000
# A leader that hears nothing is heard for one check-quorum span more.
ACKNOWLEDGED_LATE_US = ACKNOWLEDGED_WITHIN_US + 1_600_000
READY_AGAIN_US = 4_000_000
ORDERS_WHILE_RELAYED = 80  # in a day of 24 s, one each 0.2 s without trouble
SEEDS = (1, 2)


class FleetCores:
    """The cores of a simulated fleet, as operators see them."""

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
class Watch:
    """Looks at every edge all the while, and says what may not be."""

    fleet: SimFleet
    history: History
    violations: list[str] = field(default_factory=list)
    unready_us: dict[str, int] = field(default_factory=dict)
    is_open: bool = True

    async def run(self) -> None:
        while self.is_open:
            self.look()
            await self.fleet.sleep(us=LOOK_US)

    def look(self) -> None:
        now_us = self.fleet.now_us()
        newest = self.history.newest_before(at_us=now_us)
        settled = self.history.newest_before(at_us=now_us - CONFIRMATION_US - LOOK_US)
        for node in self.fleet.deployment.nodes:
            edge = self.fleet.daemons[f"edge/{node.name}"]
            process = self.fleet.processes[f"edge/{node.name}"]
            if not process.is_alive or process.is_frozen:
                continue
            version = edge.lease_holder.configuration.version
            own_us = edge.ports.clock.now_us()
            if version < newest and edge.lease_holder.has_lease(now_us=own_us):
                self._note(name=node.name, what=f"a lease at {version}, acknowledged {newest}")
            if edge.refusal():
                self.unready_us[node.name] = self.unready_us.get(node.name, 0) + LOOK_US
            elif version < settled:
                self._note(name=node.name, what=f"serves {version}, acknowledged {settled}")

    def _note(self, *, name: str, what: str) -> None:
        self.violations.append(f"{self.fleet.now_us()}: {name}: {what}")


@dataclass(kw_only=True)
class Day:
    """What a day came to."""

    history: History
    watch: Watch
    acknowledged_after_us: int = 0
    ready_after_us: int = 0
    unready_us: dict[str, int] = field(default_factory=dict)  # while the cut held


Story = Callable[[SimFleet, Day], Awaitable[None]]


def between(*, left: list[str], right: list[str]) -> Pairs:
    """Every link between two sets of machines, in both directions."""
    return [p for a in left for b in right if a != b for p in ((a, b), (b, a))]


def machines(*, fleet: SimFleet) -> list[str]:
    return [node.name for node in fleet.deployment.nodes]


async def hold(*, fleet: SimFleet, day: Day, pairs: Pairs) -> None:
    """Hold a cut for twenty seconds, heal it, wait until every edge serves."""
    began_us = fleet.now_us()
    before = dict(day.watch.unready_us)
    fleet.world.cuts |= set(pairs)
    await fleet.sleep(us=CUT_US)
    day.unready_us = {name: us - before.get(name, 0) for name, us in day.watch.unready_us.items()}
    after = [when for when, _ in day.history.acknowledged if when > began_us + 50_000]
    day.acknowledged_after_us = min(after, default=began_us + CUT_US) - began_us
    fleet.world.cuts -= set(pairs)
    fleet.world.flush()
    day.ready_after_us = await fleet.wait_for(
        what="all edges ready",
        is_there=lambda: len(fleet.ready_edges()) == len(machines(fleet=fleet)),
    )


def run_day(scenario: Story, *, seed: int) -> Day:
    """Operators at work over a story."""
    days: list[Day] = []

    async def tell(fleet: SimFleet) -> None:
        await fleet.start()
        await fleet.wait_for(what="a whole membership", is_there=fleet.is_membership_whole)
        operators = Operators(cores=FleetCores(fleet=fleet), call_us=CALL_US)
        await operators.order()
        await fleet.wait_for(
            what="all ready",
            is_there=lambda: len(fleet.ready_edges()) == len(machines(fleet=fleet)),
        )
        watch = Watch(fleet=fleet, history=operators.history)
        day = Day(history=operators.history, watch=watch)
        days.append(day)
        tasks = [asyncio.ensure_future(watch.run())]
        tasks += [asyncio.ensure_future(operators.keep_ordering())]
        tasks += [
            asyncio.ensure_future(operators.keep_reading(member=m)) for m in fleet.core_address
        ]
        await fleet.sleep(us=1_500_000)
        await scenario(fleet, day)
        operators.is_open = watch.is_open = False
        for task in tasks:
            await task

    run_sim(seed=seed, deployment=load(name="tiny"), scenario=tell)
    return days[0]


async def leader_with_an_edge(fleet: SimFleet, day: Day) -> None:
    """The leader's machine and an edge that reaches it alone, cut from all others."""
    left = [fleet.leader(), "node-04"]
    right = [n for n in machines(fleet=fleet) if n not in left]
    await hold(fleet=fleet, day=day, pairs=between(left=left, right=right))


async def leader_from_cores_alone(fleet: SimFleet, day: Day) -> None:
    """The leader is cut from the other cores; all edges without a disk reach it."""
    leader = fleet.leader()
    await hold(fleet=fleet, day=day, pairs=between(left=[leader], right=list(fleet.core_address)))


async def follower_from_cores_alone(fleet: SimFleet, day: Day) -> None:
    leader = fleet.leader()
    name = next(n for n in fleet.core_address if n != leader)
    await hold(fleet=fleet, day=day, pairs=between(left=[name], right=list(fleet.core_address)))


async def leader_hears_nothing(fleet: SimFleet, day: Day) -> None:
    leader = fleet.leader()
    others = [n for n in machines(fleet=fleet) if n != leader]
    await hold(fleet=fleet, day=day, pairs=[(n, leader) for n in others])


async def leader_is_not_heard(fleet: SimFleet, day: Day) -> None:
    leader = fleet.leader()
    others = [n for n in machines(fleet=fleet) if n != leader]
    await hold(fleet=fleet, day=day, pairs=[(leader, n) for n in others])


async def transfer_beside_a_cut_off_edge(fleet: SimFleet, day: Day) -> None:
    """An edge is cut off; at once the leader hands over, so that a new leader is there
    while the edge holds a lease of the one before."""
    others = [n for n in machines(fleet=fleet) if n != "node-04"]
    for _ in range(4):
        fleet.world.cuts |= set(between(left=["node-04"], right=others))
        leader = fleet.leader()
        fleet.daemons[f"core/{leader}"].task.inbox.put_nowait(TransferLeadership())
        await fleet.sleep(us=4_000_000)
        fleet.world.cuts.clear()
        fleet.world.flush()
        await fleet.sleep(us=1_100_000)


class Cuts(unittest.TestCase):
    def judge(
        self, scenario: Story, *, bound_us: int = ACKNOWLEDGED_WITHIN_US, cut_off: int = 0
    ) -> list[Day]:
        """Every seed's day holds; at most so many edges refuse while the cut holds."""
        days = [run_day(scenario, seed=seed) for seed in SEEDS]
        for seed, day in zip(SEEDS, days, strict=True):
            told = f"seed {seed}: {day.acknowledged_after_us} {day.ready_after_us}"
            self.assertEqual(day.history.violations[:5], [], told)
            self.assertEqual(day.watch.violations[:5], [], told)
            self.assertLess(day.acknowledged_after_us, bound_us, told)
            self.assertLess(day.ready_after_us, READY_AGAIN_US, told)
            self.assertEqual(len(day.unready_us), cut_off, f"{told} {day.unready_us}")
        return days

    def test_the_leader_with_an_edge(self) -> None:
        for day in self.judge(leader_with_an_edge, cut_off=2):
            least_us = CUT_US - LEASE_SPAN_US - LOOK_US
            self.assertGreaterEqual(min(day.unready_us.values()), least_us)

    def test_the_leader_from_the_cores_alone(self) -> None:
        for day in self.judge(leader_from_cores_alone):
            self.assertGreater(len(day.history.acknowledged), ORDERS_WHILE_RELAYED)

    def test_a_follower_from_the_cores_alone(self) -> None:
        for day in self.judge(follower_from_cores_alone):
            self.assertGreater(len(day.history.acknowledged), ORDERS_WHILE_RELAYED)

    def test_the_leader_hears_nothing(self) -> None:
        self.judge(leader_hears_nothing, bound_us=ACKNOWLEDGED_LATE_US, cut_off=1)

    def test_a_transfer_beside_a_cut_off_edge(self) -> None:
        for seed in SEEDS:
            day = run_day(transfer_beside_a_cut_off_edge, seed=seed)
            self.assertEqual(day.history.violations[:5], [])
            self.assertEqual(day.watch.violations[:5], [])
            self.assertGreater(len(day.history.acknowledged), 10)

    def test_the_leader_is_not_heard(self) -> None:
        self.judge(leader_is_not_heard, cut_off=1)


class HintsOfCores(unittest.TestCase):
    """What a core says that does not lead may be of any age: it adds, and replaces nothing."""

    def test_a_core_that_was_away_does_not_take_the_others_from_an_edge(self) -> None:
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
            self.assertEqual(known, set(edge.leases.cores))  # the leader's word replaces

        run_sim(seed=1, deployment=load(name="tiny"), scenario=scenario)


class RelayedRenewals(unittest.TestCase):
    def test_a_wave_that_breaks_off_does_not_end_them_for_good(self) -> None:
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


async def an_edge_cut_off_from_all(fleet: SimFleet, day: Day) -> None:
    """Cut off at eight places of the second, so that a lease is of every age."""
    others = [n for n in machines(fleet=fleet) if n != "node-04"]
    for _ in range(8):
        pairs = between(left=["node-04"], right=others)
        fleet.world.cuts |= set(pairs)
        await fleet.sleep(us=3_500_000)
        fleet.world.cuts -= set(pairs)
        fleet.world.flush()
        await fleet.sleep(us=565_000)


class SlowClock(unittest.TestCase):
    """An edge whose clock runs slow keeps its lease for longer than it was given."""

    def watched(self, *, rate: float) -> list[str]:
        real = SimClock.now_us

        def now_us(self: SimClock) -> int:
            is_slow = self._process.name == "edge/node-04"
            return int(real(self) * rate) if is_slow else real(self)

        with mock.patch.object(SimClock, "now_us", now_us):
            day = run_day(an_edge_cut_off_from_all, seed=1)
        self.assertEqual(day.history.violations[:5], [])
        return day.watch.violations

    def test_the_margin_is_enough_for_eight_percent(self) -> None:
        self.assertEqual(self.watched(rate=0.92)[:5], [])

    def test_it_is_not_for_twenty_five(self) -> None:
        self.assertIn("a lease at", " ".join(self.watched(rate=0.75)))


class SteppedClock(unittest.TestCase):
    """No answer depends on the clock on the wall: edges that start again after it was
    stepped back are heard, hold leases and count as having installed what they have."""

    def test_most_edges_start_again_an_hour_earlier(self) -> None:
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
                is_there=lambda: len(fleet.ready_edges()) == len(machines(fleet=fleet)),
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


class SupersededReadings(unittest.TestCase):
    """A reading of the list that lay in a cut link is no news when it arrives, however
    young it says it is: readings are numbered."""

    LIFE = Instance(instance_id="i", service="s", address="127.0.0.1:1")

    def two_rolls(self) -> tuple[EndpointList, EndpointList]:
        """A reader, and a node that took its first reading."""
        first, node = EndpointList(me="first", own="first:1"), EndpointList(me="node", own="node:1")
        first.apply_listing(instances=[self.LIFE], read_us=0, now_us=1_000)
        node.apply_update(update=first.update(now_us=1_000), now_us=2_000)
        return first, node

    def test_a_late_reading_of_a_reader_before(self) -> None:
        first, node = self.two_rolls()
        first.apply_listing(instances=[self.LIFE], read_us=500_000, now_us=501_000)
        late = first.update(now_us=501_000)  # 1 ms old as it is sent; it lies in the link
        second = EndpointList(me="second", own="second:1")
        second.apply_update(update=node.update(now_us=600_000, is_whole=True), now_us=601_000)
        draining = replace(self.LIFE, is_draining=True)
        for turn in range(3, 10):
            now_us = turn * 1_000_000
            second.apply_listing(instances=[draining], read_us=now_us, now_us=now_us)
            node.apply_update(update=second.update(now_us=now_us), now_us=now_us + 10_000)
        self.assertTrue(node.instances["i"].is_draining)
        node.apply_update(update=late, now_us=9_500_000)
        self.assertTrue(node.instances["i"].is_draining)
        self.assertEqual(node.reader, "second")
        self.assertEqual(node.fresh_us, 9_010_000)

    def test_a_late_reading_that_says_the_same_does_not_count_as_fresh(self) -> None:
        first, node = self.two_rolls()
        late = first.update(now_us=2_000)
        second = EndpointList(me="second", own="second:1")
        second.apply_update(update=node.update(now_us=600_000, is_whole=True), now_us=601_000)
        second.apply_listing(instances=[self.LIFE], read_us=3_000_000, now_us=3_000_000)
        node.apply_update(update=second.update(now_us=3_000_000), now_us=3_000_000)
        node.apply_update(update=late, now_us=9_000_000)
        self.assertEqual(node.fresh_us, 3_000_000)
        self.assertEqual(node.reader, "second")

    def test_a_reader_that_began_anew_goes_on_above_what_it_hears(self) -> None:
        first, node = self.two_rolls()
        for turn in range(1, 6):
            first.apply_listing(instances=[self.LIFE], read_us=turn, now_us=turn)
        node.apply_update(update=first.update(now_us=10), now_us=10)
        fresh = EndpointList(me="fresh", own="fresh:1")
        other = replace(self.LIFE, instance_id="j")
        fresh.apply_listing(instances=[other], read_us=2_000_000, now_us=2_000_000)
        node.apply_update(update=fresh.update(now_us=2_000_000, is_whole=True), now_us=2_000_000)
        self.assertEqual(list(node.instances), ["i"])  # its first number counts for little
        fresh.apply_update(update=node.update(now_us=2_100_000), now_us=2_100_000)
        fresh.apply_listing(instances=[other], read_us=3_000_000, now_us=3_000_000)
        node.apply_update(update=fresh.update(now_us=3_000_000, is_whole=True), now_us=3_000_000)
        self.assertEqual(list(node.instances), ["j"])


async def unconfirmed(self: LeaseService) -> None:
    """Planted fault: a deposed leader goes on renewing leases."""


def lapsed_at_once(self: LeaseTable, *, edge: str, epoch: int, now_us: int, span_us: int) -> bool:
    """Planted fault: a new leader holds unknown leases for lapsed."""
    holder = self._holders.get(edge)
    return holder is None or not holder.leases


class PlantedFaults(unittest.TestCase):
    """The watch is shown to notice faults of its kind."""

    def watched(self, scenario: Story) -> str:
        return " ".join(run_day(scenario, seed=1).watch.violations)

    def test_leases_renewed_by_a_deposed_leader(self) -> None:
        with (
            mock.patch.object(LeaseService, "_confirm", unconfirmed),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.watched(leader_with_an_edge)
        self.assertIn("a lease at", found)
        self.assertIn("serves", found)

    def test_a_new_leader_that_does_not_wait(self) -> None:
        with mock.patch.object(LeaseTable, "_have_older_leases_expired", lapsed_at_once):
            found = self.watched(transfer_beside_a_cut_off_edge)
        self.assertIn("a lease at", found)

    def test_an_edge_that_serves_past_its_lease(self) -> None:
        with mock.patch.object(LeaseHolder, "refusal", lambda self, *, now_us: ""):
            found = self.watched(leader_with_an_edge)
        self.assertIn("serves", found)


if __name__ == "__main__":
    unittest.main()
