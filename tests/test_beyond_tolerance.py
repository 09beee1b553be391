"""Days beyond what the core is to bear at once, with no more disks lost than that: the core
cut into halves, losses that overlap, full disks, clocks that are wrong. Service may rest; what
was acknowledged is never lost and never shown in an older state."""

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
from tests.test_core_cuts import PATIENT_US, Day, Operators, read_from_memory, run_day
from tests.test_cores import Cores, play

SEEDS = (1, 2, 3)
CUT_US = 9_000_000
RECOVERY_US = 12_000_000
SHAPES = ((3, 1), (6, 2))  # cores, and how many disks may be lost at once


def halves(*, rand: random.Random, names: list[str]) -> tuple[list[str], list[str]]:
    mixed = rand.sample(names, len(names))
    return mixed[: len(names) // 2], mixed[len(names) // 2 :]


async def cut_into_halves(cores: Cores, operators: Operators, day: Day) -> None:
    """Twice the core falls into two halves, each time other ones; everybody reaches both."""
    rand = random.Random(cores.world.seed)
    for _ in range(2):
        left, right = halves(rand=rand, names=cores.names)
        pairs = {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}
        cores.world.cuts |= pairs
        await cores.sleep(CUT_US)
        cores.world.cuts -= pairs
        cores.world.flush()
        healed_us = cores.world.now_us()
        count = len(day.history.acknowledged)
        await cores.wait_for(
            lambda count=count: len(day.history.acknowledged) > count + 2, us=RECOVERY_US
        )
        day.acknowledged_after_us.append(cores.world.now_us() - healed_us)


class Halves(unittest.TestCase):
    def test_nothing_older_is_shown_and_nothing_refused_for_good(self) -> None:
        for count, tolerance in SHAPES:
            for seed in SEEDS:
                with self.subTest(count=count, seed=seed):
                    day = run_day(cut_into_halves, seed=seed, count=count, tolerance=tolerance)
                    self.assertEqual([], day.history.violations[:5])
                    self.assertGreater(len(day.history.acknowledged), 20)
                    self.assertLess(max(day.acknowledged_after_us), 5_000_000)

    def test_a_planted_read_from_memory_is_seen(self) -> None:
        with mock.patch.object(operators_module, "_answer", read_from_memory):
            days = [run_day(cut_into_halves, seed=seed) for seed in SEEDS]
        found = " ".join(one for day in days for one in day.history.violations)
        self.assertIn("older than the acknowledged", found)


# --- losses that overlap ----------------------------------------------------------------------


async def lose_and_return(cores: Cores) -> None:
    """All cores are away at once for a while, each from a moment of its own; as many disks
    are lost as may be, the rest lose power. Whatever was acknowledged is read back."""
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
        assert cores.world.now_us() - began_us < RECOVERY_US
        voters = 2 * cores.tolerance + 1
        await cores.wait_for(lambda voters=voters: len(cores.voters()) == voters)


class OverlappingLosses(unittest.TestCase):
    def test_what_was_acknowledged_is_there_when_all_are_back(self) -> None:
        for count, tolerance in SHAPES:
            for seed in range(6):
                with self.subTest(count=count, seed=seed):
                    play(lose_and_return, seed=seed, count=count, tolerance=tolerance)


# --- full disks -----------------------------------------------------------------------------------


def on_cores(scenario: Callable[[Cores], Awaitable[None]]) -> None:
    for seed in SEEDS:
        play(scenario, seed=seed, count=3, tolerance=1)


def fill(cores: Cores, *, names: list[str], is_full: bool) -> None:
    for name in names:
        cores.world.machines[name].platter.is_full = is_full


class FullDisks(unittest.TestCase):
    """A full disk refuses every write: the process lives, refuses changes with a typed error
    that promises nothing, and goes on by itself once there is room."""

    def check(self, *, of: Callable[[Cores], list[str]], is_put_possible: bool) -> None:
        async def scenario(cores: Cores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await cores.put()
            names = of(cores)
            fill(cores, names=names, is_full=True)
            if is_put_possible:
                await cores.put(tries=80)
            else:
                await self.refuses(cores)
            await cores.sleep(6_000_000)
            self.assertEqual(cores.names, cores.up())
            before = cores.version
            fill(cores, names=names, is_full=False)
            began_us = cores.world.now_us()
            await cores.put(tries=80)
            self.assertGreater(cores.version, before)
            self.assertLess(cores.world.now_us() - began_us, RECOVERY_US)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            self.assertEqual(cores.version, (await cores.read())[0])

        on_cores(scenario)

    async def refuses(self, cores: Cores) -> None:
        """Nobody acknowledges; each answer is a 503 of a kind, or none."""
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
        # What got no clear answer may be in force; its operator goes on from there.
        cores.version += 1

    def test_one(self) -> None:
        self.check(of=lambda cores: [cores.leader()], is_put_possible=True)

    def test_all(self) -> None:
        async def scenario(cores: Cores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await cores.put()
            fill(cores, names=cores.names, is_full=True)
            version = cores.version
            await self.refuses(cores)
            cores.version = version
            await cores.sleep(6_000_000)
            self.assertEqual(cores.names, cores.up())
            fill(cores, names=cores.names, is_full=False)
            began_us = cores.world.now_us()
            found, _ = await cores.read()
            self.assertIn(found, (version, version + 1))
            cores.version = found
            await cores.put(tries=80)
            self.assertLess(cores.world.now_us() - began_us, RECOVERY_US)
            await cores.wait_for(lambda: len(cores.voters()) == 3)

        on_cores(scenario)

    def test_edges_serve_on_what_they_know(self) -> None:
        ready: list[int] = []

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for name in fleet.core_address:
                fleet.processes[f"core/{name}"].machine.platter.is_full = True
            await fleet.put_next(wait_us=1_000_000)
            for _ in range(20):
                await fleet.sleep(us=500_000)
                ready.append(len(fleet.ready_edges()))

        fleet = run_sim(seed=4, deployment=load(name="tiny"), scenario=scenario)
        self.assertEqual({len(fleet.deployment.nodes)}, set(ready[4:]))


# --- clocks ---------------------------------------------------------------------------------------


async def freezes_and_cuts(cores: Cores, operators: Operators, day: Day) -> None:
    """The leader stands still, then is cut off, twice."""
    for _ in range(2):
        leader = cores.leader()
        cores.processes[leader].freeze()
        await cores.sleep(4_000_000)
        cores.processes[leader].thaw()
        await cores.sleep(3_000_000)
        leader = cores.leader()
        pairs = {(leader, other) for other in cores.names if other != leader}
        pairs |= {(b, a) for a, b in pairs}
        cores.world.cuts |= pairs
        await cores.sleep(5_000_000)
        cores.world.cuts -= pairs
        cores.world.flush()
        await cores.sleep(3_000_000)


class Clocks(unittest.TestCase):
    """Reads stay right whatever the clocks say: they rest on a round of confirmations that
    began after the call, not on a time."""

    def play(self, *, rate: dict[str, float], step_us: int) -> Day:
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
            return run_day(freezes_and_cuts, seed=5, call_us=PATIENT_US)

    def test_clocks_that_drift_far_beyond_what_leases_assume(self) -> None:
        for rate in (
            {"core/c0": 0.5, "core/c1": 1.0, "core/c2": 1.9},
            {"core/c0": 1.6, "core/c1": 0.7, "core/c2": 1.0},
        ):
            with self.subTest(rate=rate):
                day = self.play(rate=rate, step_us=0)
                older = [v for v in day.history.violations if "older" in v]
                self.assertEqual([], older)
                self.assertGreater(len(day.history.acknowledged), 20)

    def test_a_time_of_day_that_is_stepped_back_and_forth(self) -> None:
        for step_us in (-3_600_000_000, 86_400_000_000):
            with self.subTest(step_us=step_us):
                day = self.play(rate={}, step_us=step_us)
                self.assertEqual([], day.history.violations[:5])

    def test_a_planted_read_from_memory_is_seen(self) -> None:
        with (
            mock.patch.object(operators_module, "_answer", read_from_memory),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            day = self.play(rate={"core/c0": 0.5, "core/c2": 1.9}, step_us=0)
        self.assertIn("older than the acknowledged", " ".join(day.history.violations))


if __name__ == "__main__":
    unittest.main()
