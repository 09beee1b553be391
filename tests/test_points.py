"""Failpoints: the register is complete, and a process killed at any of them recovers."""

from __future__ import annotations

import pathlib
import re
import unittest

import kelpstage
from kelpstage.testbed.checkers.register import find_violations
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.failpoints import FAILPOINTS, is_core_failpoint
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from kelpstage.testbed.simulation.world import SimProcess

SOURCE = pathlib.Path(kelpstage.__file__).parent


class FailpointRegister(unittest.TestCase):
    def test_register_lists_every_failpoint_in_the_code(self) -> None:
        found = set()
        for path in SOURCE.rglob("*.py"):
            found |= set(re.findall(r"point\(\"([a-z_.]+)\"\)", path.read_text(encoding="utf-8")))
        self.assertEqual(set(FAILPOINTS.values()), found)


def scenario_with_kill_at(*, failpoint: str, visit: int):
    """Kill the process that reaches the failpoint for the n-th time, restart it, and go on."""

    async def scenario(fleet: SimFleet) -> None:
        world = fleet.world
        killed: list[str] = []
        killed_nodes: list[str] = []
        await fleet.bring_up()
        fleet.start_callers()
        await fleet.sleep(us=4_000_000)
        visits_left = [visit]

        def kill_on_visit(process: SimProcess) -> bool:
            visits_left[0] -= 1
            if visits_left[0] != 0 or not process.name.startswith(("core/", "edge/")):
                return False
            killed.append(process.name)
            killed_nodes.append(process.name.partition("/")[2])
            kind, _, name = process.name.partition("/")
            if kind == "core":
                fleet.kill_core(name=name, is_power=True)
            else:
                fleet.kill_edge(name=name)
            return True

        number = fleet.fault(
            what=f"point {failpoint}",
            excuses=[] if is_core_failpoint(name=failpoint) else ["edge"],
            nodes=killed_nodes,
            after_us=1_000_000,
        )
        world.armed_failpoints[failpoint] = kill_on_visit
        for _ in range(4):
            await fleet.put_next(wait_us=6_000_000)
            if killed:
                break
            await force_snapshot(fleet=fleet)
        del world.armed_failpoints[failpoint]
        await fleet.sleep(us=1_500_000)
        for process_name in killed:
            kind, _, name = process_name.partition("/")
            await (fleet.start_core if kind == "core" else fleet.start_edge)(name=name)
        fleet.fault_end(fault=number)
        fleet.note({"event": "hits", "names": killed})
        fleet.note({"event": "returned", "what": failpoint})
        await fleet.sleep(us=16_000_000)
        await fleet.put_next()
        await fleet.sleep(us=500_000)
        await fleet.drain_callers()
        await fleet.read_back()

    return scenario


async def force_snapshot(*, fleet: SimFleet) -> None:
    """Make every running core take a snapshot now, as it does after many entries."""
    for name in fleet.core_address:
        core = fleet.daemons[f"core/{name}"]
        if fleet.processes[f"core/{name}"].is_alive and core.task is not None:
            core.task.snapshot_now()
    await fleet.sleep(us=200_000)


class EveryFailpoint(unittest.TestCase):
    """One test for each failpoint; `_add` creates them."""

    def check_failpoint(self, *, number: int, failpoint: str) -> None:
        fleet = run_sim(
            seed=number,
            deployment=load(name="tiny"),
            scenario=scenario_with_kill_at(failpoint=failpoint, visit=1 + number % 2),
            rate=0.15,
        )
        killed = [row["names"] for row in fleet.history if row["event"] == "hits"]
        self.assertTrue(killed and killed[0], "no process reached the failpoint")
        self.assertEqual([], find_violations(history=fleet.history))
        self.assertEqual([], fleet.world.failed_tasks)


def _add(number: int, failpoint: str) -> None:
    def test(self: EveryFailpoint) -> None:
        self.check_failpoint(number=number, failpoint=failpoint)

    setattr(EveryFailpoint, f"test_{number:02d}_{failpoint.replace('.', '_')}", test)


for _number, _failpoint in FAILPOINTS.items():
    _add(_number, _failpoint)
