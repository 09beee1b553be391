"""More simultaneous faults than the core tolerates, but no more lost disks: partitions into
halves, overlapping losses, full disks, wrong clocks. Service may stop; no acknowledged write is
lost, and no read returns an older version."""

from __future__ import annotations

import json
import random
import unittest
from typing import Any, Awaitable, Callable
from unittest import mock

from kelpstage.common.errors.base import KelpstageError
from kelpstage.core.raft.state import RaftState
from kelpstage.core.web import operators as operators_module
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from kelpstage.testbed.simulation.world import SimClock
from tests.test_core_cuts import (
    LONG_CALL_US,
    Operators,
    RunResult,
    read_from_memory,
    run_with_operators,
)
from tests.test_cores import SimulatedCores, run_scenario

SEEDS = (1, 2, 3)
CUT_US = 9_000_000
RECOVERY_LIMIT_US = 12_000_000
CLUSTER_SIZES = ((3, 1), (6, 2))  # cores, and disks that may be lost at once


def halves(*, rand: random.Random, names: list[str]) -> tuple[list[str], list[str]]:
    mixed = rand.sample(names, len(names))
    return mixed[: len(names) // 2], mixed[len(names) // 2 :]


async def partition_into_halves(
    cores: SimulatedCores, operators: Operators, result: RunResult
) -> None:
    """Partition the cores into two random halves, twice; operators reach both halves."""
    rand = random.Random(cores.world.seed)
    for _ in range(2):
        left, right = halves(rand=rand, names=cores.names)
        pairs = {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}
        cores.world.blocked_paths |= pairs
        await cores.sleep(CUT_US)
        cores.world.blocked_paths -= pairs
        cores.world.send_waiting()
        healed_us = cores.world.now_us()
        count = len(result.history.acknowledged)
        await cores.wait_for(
            lambda count=count: len(result.history.acknowledged) > count + 2, us=RECOVERY_LIMIT_US
        )
        result.acknowledged_after_us.append(cores.world.now_us() - healed_us)


class PartitionIntoHalves(unittest.TestCase):
    def test_no_stale_read_and_no_permanent_rejection(self) -> None:
        for count, tolerance in CLUSTER_SIZES:
            for seed in SEEDS:
                with self.subTest(count=count, seed=seed):
                    result = run_with_operators(
                        partition_into_halves, seed=seed, count=count, tolerance=tolerance
                    )
                    self.assertEqual([], result.history.violations[:5])
                    self.assertGreater(len(result.history.acknowledged), 20)
                    self.assertLess(max(result.acknowledged_after_us), 5_000_000)

    def test_planted_read_from_memory_is_detected(self) -> None:
        with mock.patch.object(operators_module, "_answer", read_from_memory):
            results = [run_with_operators(partition_into_halves, seed=seed) for seed in SEEDS]
        found = " ".join(one for result in results for one in result.history.violations)
        self.assertIn("older than the acknowledged", found)


# --- overlapping losses -----------------------------------------------------------------------


async def lose_all_cores(cores: SimulatedCores) -> None:
    """All cores are down at once for a while, each from a random time on. As many disks are
    lost as tolerated, the other cores lose power. The acknowledged version is read back."""
    rand = random.Random(cores.world.seed)
    await cores.start(is_first=True)
    await cores.wait_for(lambda: len(cores.voters()) == 2 * cores.tolerance + 1)
    for _ in range(3):
        await cores.put()
    for _ in range(2):
        wiped = set(rand.sample(cores.names, cores.tolerance))
        for name in rand.sample(cores.names, len(cores.names)):
            cores.kill(name, is_power=name not in wiped, is_disk=name in wiped)
            await cores.sleep(rand.randrange(0, 400_000))
        await cores.sleep(rand.randrange(300_000, 2_000_000))
        for name in rand.sample(cores.names, len(cores.names)):
            await cores.start(name)
            await cores.sleep(rand.randrange(0, 700_000))
        began_us = cores.world.now_us()
        version, body = await cores.read()
        assert (version, body) == (cores.version, cores.document(f"put {cores.serial} "))
        await cores.put()
        assert cores.world.now_us() - began_us < RECOVERY_LIMIT_US
        voters = 2 * cores.tolerance + 1
        await cores.wait_for(lambda voters=voters: len(cores.voters()) == voters)


class OverlappingLosses(unittest.TestCase):
    def test_acknowledged_writes_survive_until_all_cores_return(self) -> None:
        for count, tolerance in CLUSTER_SIZES:
            for seed in range(6):
                with self.subTest(count=count, seed=seed):
                    run_scenario(lose_all_cores, seed=seed, count=count, tolerance=tolerance)


# --- full disks -----------------------------------------------------------------------------------


def run_on_three_cores(scenario: Callable[[SimulatedCores], Awaitable[None]]) -> None:
    for seed in SEEDS:
        run_scenario(scenario, seed=seed, count=3, tolerance=1)


def fill(cores: SimulatedCores, *, names: list[str], is_full: bool) -> None:
    for name in names:
        cores.world.machines[name].disk_image.is_full = is_full


class FullDisks(unittest.TestCase):
    """While a disk is full, the process stays up and answers configuration writes with a typed
    error that leaves their outcome open. It recovers by itself once there is space."""

    def check(self, *, of: Callable[[SimulatedCores], list[str]], is_put_possible: bool) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await cores.put()
            names = of(cores)
            fill(cores, names=names, is_full=True)
            if is_put_possible:
                await cores.put(tries=80)
            else:
                await self.expect_rejections(cores)
            await cores.sleep(6_000_000)
            self.assertEqual(cores.names, cores.up())
            before = cores.version
            fill(cores, names=names, is_full=False)
            began_us = cores.world.now_us()
            await cores.put(tries=80)
            self.assertGreater(cores.version, before)
            self.assertLess(cores.world.now_us() - began_us, RECOVERY_LIMIT_US)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            self.assertEqual(cores.version, (await cores.read())[0])

        run_on_three_cores(scenario)

    async def expect_rejections(self, cores: SimulatedCores) -> None:
        """No core acknowledges a write; each reply is a 503 of an expected kind."""
        kinds = set()
        for number in range(12):
            reply = await cores.call(
                cores.names[number % 3],
                "PUT",
                body=cores.document("never"),
                headers={
                    "If-Match": str(cores.version),
                    "Kelp-Version": str(cores.version + 1),
                    "Kelp-Put-Id": "full",
                    "Kelp-Time-Left-Us": "900000",
                },
            )
            self.assertNotIsInstance(reply, KelpstageError)
            kinds.add((reply.status, json.loads(reply.body)["defect"]["kind"]))
        self.assertLessEqual(kinds, {(503, "no_leader"), (503, "unresolved")})
        # A write with an unresolved outcome may be in force; the operator continues from it.
        cores.version += 1

    def test_one_full_disk(self) -> None:
        self.check(of=lambda cores: [cores.leader()], is_put_possible=True)

    def test_all_disks_full(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await cores.put()
            fill(cores, names=cores.names, is_full=True)
            version = cores.version
            await self.expect_rejections(cores)
            cores.version = version
            await cores.sleep(6_000_000)
            self.assertEqual(cores.names, cores.up())
            fill(cores, names=cores.names, is_full=False)
            began_us = cores.world.now_us()
            found, _ = await cores.read()
            self.assertIn(found, (version, version + 1))
            cores.version = found
            await cores.put(tries=80)
            self.assertLess(cores.world.now_us() - began_us, RECOVERY_LIMIT_US)
            await cores.wait_for(lambda: len(cores.voters()) == 3)

        run_on_three_cores(scenario)

    def test_edges_serve_while_all_core_disks_are_full(self) -> None:
        ready: list[int] = []

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for name in fleet.core_address:
                fleet.processes[f"core/{name}"].machine.disk_image.is_full = True
            await fleet.put_next(wait_us=1_000_000)
            for _ in range(20):
                await fleet.sleep(us=500_000)
                ready.append(len(fleet.ready_edges()))

        fleet = run_sim(seed=4, deployment=load(name="tiny"), scenario=scenario)
        self.assertEqual({len(fleet.deployment.nodes)}, set(ready[4:]))


# --- clocks ---------------------------------------------------------------------------------------


async def freeze_and_partition_leaders(
    cores: SimulatedCores, operators: Operators, result: RunResult
) -> None:
    """The leader is frozen, then a leader is partitioned, twice."""
    for _ in range(2):
        leader = cores.leader()
        cores.processes[leader].freeze()
        await cores.sleep(4_000_000)
        cores.processes[leader].thaw()
        await cores.sleep(3_000_000)
        leader = cores.leader()
        pairs = {(leader, other) for other in cores.names if other != leader}
        pairs |= {(b, a) for a, b in pairs}
        cores.world.blocked_paths |= pairs
        await cores.sleep(5_000_000)
        cores.world.blocked_paths -= pairs
        cores.world.send_waiting()
        await cores.sleep(3_000_000)


class WrongClocks(unittest.TestCase):
    """Reads stay current whatever the clocks say: they depend on a round of confirmations that
    began after the request, not on clocks."""

    def play(self, *, rate: dict[str, float], step_us: int) -> RunResult:
        now_us, wall_us = SimClock.now_us, SimClock.wall_us

        def drifting(clock: Any) -> int:
            return int(now_us(clock) * rate.get(clock._process.name, 1.0))

        def stepped(clock: Any) -> int:
            is_late = now_us(clock) // 5_000_000 % 2
            return wall_us(clock) + is_late * step_us

        with (
            mock.patch.object(SimClock, "now_us", drifting),
            mock.patch.object(SimClock, "wall_us", stepped),
        ):
            return run_with_operators(freeze_and_partition_leaders, seed=5, call_us=LONG_CALL_US)

    def test_clocks_drifting_beyond_lease_assumptions(self) -> None:
        for rate in (
            {"core/c0": 0.5, "core/c1": 1.0, "core/c2": 1.9},
            {"core/c0": 1.6, "core/c1": 0.7, "core/c2": 1.0},
        ):
            with self.subTest(rate=rate):
                result = self.play(rate=rate, step_us=0)
                older = [v for v in result.history.violations if "older" in v]
                self.assertEqual([], older)
                self.assertGreater(len(result.history.acknowledged), 20)

    def test_wall_clock_steps(self) -> None:
        for step_us in (-3_600_000_000, 86_400_000_000):
            with self.subTest(step_us=step_us):
                result = self.play(rate={}, step_us=step_us)
                self.assertEqual([], result.history.violations[:5])

    def test_planted_read_from_memory_is_detected(self) -> None:
        with (
            mock.patch.object(operators_module, "_answer", read_from_memory),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            result = self.play(rate={"core/c0": 0.5, "core/c2": 1.9}, step_us=0)
        self.assertIn("older than the acknowledged", " ".join(result.history.violations))


if __name__ == "__main__":
    unittest.main()
