"""Cluster recovery loses no acknowledged write, and is refused where it is unsafe."""

from __future__ import annotations

import unittest

from kelpstage.common.errors.control import RecoveryRefusedError
from kelpstage.core.cluster_recovery import RecoveredCluster, recover_cluster
from kelpstage.testbed.checkers.configurations import lost_or_undead, old_configuration
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from kelpstage.testbed.simulation.world import SimProcess


async def run_recovery(fleet: SimFleet, *, name: str, edges: list[str]) -> object:
    """Run the recovery in a process of its own on a core's machine."""
    machine = fleet.world.machines[name]
    process = SimProcess(world=fleet.world, name=f"tool/{name}", machine=machine, instance=1)
    try:
        return await process.spawn(
            recover_cluster(
                ports=process.ports,
                own_address=fleet.core_address[name],
                http=fleet.core_http(name=name),
                edges=[fleet.edge_own[e] for e in edges],
            )
        )
    finally:
        process.kill()


def run_tiny_fleet(scenario, *, seed: int = 1) -> SimFleet:
    return run_sim(seed=seed, deployment=load(name="tiny"), scenario=scenario)


class ClusterRecovery(unittest.TestCase):
    def test_survivor_fetches_a_missing_acknowledged_write_from_an_edge(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            fleet.start_callers()
            leader = fleet.leader()
            left = next(n for n in fleet.core_address if n != leader)
            others = [n for n in fleet.core_address if n != left]
            fleet.kill_core(name=left)
            self.assertEqual(200, (await fleet.put_next())["status"])
            for name in others:
                fleet.kill_core(name=name, is_disk=True)
            edges = list(fleet.edge_own)
            outcome = await run_recovery(fleet, name=left, edges=edges)
            self.assertIsInstance(outcome, RecoveredCluster)
            self.assertEqual(2, outcome.version)
            self.assertIn("the edge at", outcome.source)
            fleet.core_address = {left: fleet.core_address[left]}
            await fleet.start_core(
                name=left, seeds=[fleet.core_address[left], "10.9.9.8:1", "10.9.9.9:1"]
            )
            await fleet.wait_for(what="a leader", condition=lambda: fleet.leader() == left)
            for name in others:
                machine = fleet.world.machines[name]
                fleet.core_address[name] = f"10.0.{1 + others.index(name)}.250:7100"
                fleet.world.machine_by_address[fleet.core_address[name]] = machine
                fleet.world.machine_by_address[fleet.core_http(name=name)] = machine
                await fleet.start_core(
                    name=name, seeds=[fleet.core_address[left], "10.9.9.8:1", "10.9.9.9:1"]
                )
            await fleet.wait_for(what="three voters", condition=fleet.are_cores_healthy)
            for name in edges:
                await fleet.stop_edge(name=name)
                await fleet.start_edge(name=name, seeds=list(fleet.core_address.values()))
                edge = fleet.daemons[f"edge/{name}"]
                await fleet.wait_for(
                    what=f"{name} to serve", condition=lambda e=edge: not e.not_ready_reason()
                )
            self.assertEqual(200, (await fleet.put_next())["status"])
            await fleet.sleep(us=4_000_000)
            await fleet.drain_callers()
            read = await fleet.read_back()
            self.assertEqual(3, read["version"])
            self.assertEqual([], old_configuration(fleet.history))
            self.assertEqual([], lost_or_undead(fleet.history))

        run_tiny_fleet(scenario)

    def test_recovery_is_refused_where_unsafe(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            edges = list(fleet.edge_own)
            names = list(fleet.core_address)
            running = await run_recovery(fleet, name=names[0], edges=edges)
            self.assertIsInstance(running, RecoveryRefusedError)
            self.assertIn("cores answer", running.why)
            fleet.kill_core(name=names[0])
            one_lost = await run_recovery(fleet, name=names[0], edges=edges)
            self.assertIn("cores answer", one_lost.why)
            for name in names[1:]:
                fleet.kill_core(name=name, is_disk=True)
            few = await run_recovery(fleet, name=names[0], edges=edges[:3])
            self.assertIn("3 of 6 edges", few.why)
            empty = await run_recovery(fleet, name=names[1], edges=edges)
            self.assertIn("no member", empty.why)

        run_tiny_fleet(scenario)
