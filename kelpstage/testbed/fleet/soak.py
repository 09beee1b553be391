"""A soak test of real processes: overlapping series of signals, restarts, configuration writes and
orders of rollouts.

Callers use persistent connections until the process ends. Any number of edges on machines
without a disk is disturbed, sometimes most of them at the same time; of the machines with a
disk, one at a time. Machines of both kinds are replaced by empty ones under new names. At the
end every process is killed and started again. A seed determines all random choices.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from functools import partial
from typing import Any, Awaitable, Callable

from kelpstage.testbed.fleet.deployment import Node
from kelpstage.testbed.fleet.fleet import Fleet
from kelpstage.testbed.fleet.process_faults import ProcessFaults
from kelpstage.testbed.fleet.replacement import add_node, forget_node, has_voters
from kelpstage.testbed.fleet.soak_rollouts import SoakRollouts

SECOND_US = 1_000_000
CLOSING_WRITE_LIMIT_S = 5.0  # for the configuration write after the closing fault
RECOVERY_LIMIT_S = 12.0
CATCH_UP_S = 4.0
WRITE_ATTEMPT_TIMEOUT_US = 1_500_000
EXCUSED_AFTER_US = 3 * SECOND_US  # time after the end of a fault that the fault still excuses
CLOSING_DOWNTIME_S = 0.5
CLOSING_ROLLOUT_LIMIT_S = 30.0  # of an order after the closing fault, in calm


class Soak:
    """A soak test: its fleet, its series of faults and their state."""

    def __init__(self, *, fleet: Fleet, seed: int, log_progress: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._seed = seed
        self._log_progress = log_progress
        self._deadline_us = 0
        self._disturbed: set[str] = set()  # machines with a fault in progress
        self._core_machine_lock = asyncio.Lock()  # one machine with a disk is disturbed at a time
        self._version = 1
        self._writes_sent = 0
        self._added_count = 0  # machines that were added under a new name
        self._faults = ProcessFaults(fleet=fleet)
        self._rollouts = SoakRollouts(fleet=fleet)
        self._violations: list[str] = []
        self.acknowledged_writes = 0

    @property
    def violations(self) -> list[str]:
        """Violations that the soak itself has seen, without those of the checkers."""
        return self._violations + self._faults.violations + self._rollouts.violations

    @property
    def ended_rollouts(self) -> int:
        """Number of rollouts that were ordered and have ended."""
        return self._rollouts.ended

    @property
    def disturbances(self) -> dict[str, int]:
        """Number of faults by kind."""
        return dict(sorted(self._faults.counts.items()))

    async def run(self, *, seconds: float) -> None:
        """Run all series concurrently, then the closing fault."""
        self._deadline_us = self._fleet.now_us() + int(seconds * SECOND_US)
        async with asyncio.TaskGroup() as series:
            series.create_task(self._series("edges", self._disturb_edge, max_pause_s=1.0))
            series.create_task(self._series("others", self._disturb_edge, max_pause_s=2.5))
            series.create_task(self._series("most", self._disturb_most, max_pause_s=8.0))
            series.create_task(self._series("replaced", self._replace_edge, max_pause_s=6.0))
            series.create_task(self._series("counted", self._disturb_core_machine, max_pause_s=2.0))
            series.create_task(self._series("orders", self._write_configuration, max_pause_s=0.6))
            series.create_task(self._series("rollouts", self._rollouts.order, max_pause_s=2.0))
        await self._run_closing_fault()

    async def _series(
        self,
        name: str,
        work: Callable[[random.Random], Awaitable[None]],
        *,
        max_pause_s: float,
    ) -> None:
        rand = random.Random(f"{self._seed}/{name}")
        while self._fleet.now_us() < self._deadline_us:
            await asyncio.sleep(rand.random() * max_pause_s)
            await work(rand)

    # --- edges on machines without a disk, any number of which may fail --------------------

    def _undisturbed_observers(self) -> list[str]:
        return [
            node.name
            for node in self._fleet.deployment.nodes
            if not node.has_disk and node.name not in self._disturbed
        ]

    async def _disturb_edge(self, rand: random.Random) -> None:
        names = self._undisturbed_observers()
        if names:
            await self._disturb(names=[rand.choice(names)], rand=rand)

    async def _disturb_most(self, rand: random.Random) -> None:
        names = self._undisturbed_observers()
        count = round(len(names) * (0.5 + rand.random() / 2))
        if count > 1:
            await self._disturb(names=rand.sample(names, count), rand=rand, is_most=True)

    async def _disturb(
        self, *, names: list[str], rand: random.Random, is_most: bool = False
    ) -> None:
        what = self._choose_fault(rand)
        kind = what.__name__ + (" most" if is_most else "")
        self._faults.counts[kind] += 1
        processes = [f"edge-{name}" for name in names]
        await self._run_as_fault(
            what=kind, names=names, work=what(processes, rand), is_away=is_most
        )

    def _choose_fault(
        self, rand: random.Random
    ) -> Callable[[list[str], random.Random], Awaitable[None]]:
        faults = self._faults
        return rand.choice((faults.restart, faults.kill, faults.freeze, faults.hang_up))

    async def _run_as_fault(
        self,
        *,
        what: str,
        names: list[str],
        work: Awaitable[None],
        is_away: bool = False,
    ) -> None:
        """Run `work` on machines, recorded as a fault that ends when their edges are ready."""
        self._disturbed |= set(names)
        excuses = ["edge", "line", "away"] if is_away else ["edge", "line"]
        number = self._fleet.fault(
            what=what, excuses=excuses, nodes=names, after_us=EXCUSED_AFTER_US
        )
        try:
            await work
            await self._wait_until_ready(names=names)
        finally:
            self._fleet.fault_end(fault=number)
            self._disturbed -= set(names)

    async def _wait_until_ready(self, *, names: list[str]) -> None:
        for name in names:
            if name in self._fleet.edge_http:  # a removed machine has no address
                await self._fleet.wait_for(
                    what=f"{name} to be ready",
                    condition=partial(self._fleet.is_ready, name=name),
                )

    # --- replacement of machines -----------------------------------------------------------

    async def _replace_edge(self, rand: random.Random) -> None:
        """Replace a machine without a disk, after a graceful stop or a kill."""
        names = self._undisturbed_observers()
        if names:
            await self._replace(name=rand.choice(names), rand=rand)

    async def _replace(self, *, name: str, rand: random.Random) -> None:
        node = self._node(name=name)
        is_graceful = rand.random() < 0.5
        kind = "leave" if is_graceful else "gone"
        self._faults.counts[kind + (" counted" if node.has_disk else "")] += 1
        is_new_first = is_graceful and node.has_disk
        new_name = self._add_replacement(node=node) if is_new_first else None
        if new_name is not None:
            await self._wait_until_ready(names=[new_name])
            await asyncio.sleep(CATCH_UP_S)
        work = self._remove(node=node, rand=rand, is_graceful=is_graceful)
        await self._run_as_fault(what=kind, names=[name], work=work)
        if new_name is None:
            await asyncio.sleep(rand.random() * 3)
            new_name = self._add_replacement(node=node)
        await self._wait_until_ready(names=[new_name])

    def _node(self, *, name: str) -> Node:
        return next(node for node in self._fleet.deployment.nodes if node.name == name)

    def _add_replacement(self, *, node: Node) -> str:
        self._added_count += 1
        new_node = replace(node, name=f"new-{self._added_count:02}")
        add_node(fleet=self._fleet, node=new_node)
        return new_node.name

    async def _remove(self, *, node: Node, rand: random.Random, is_graceful: bool) -> None:
        processes = _processes_of(node=node)
        if is_graceful:
            await self._faults.stop(processes, rand)
        else:
            self._faults.kill_now(processes)
        self._fleet.note({"event": "ended", "edge": node.name})
        forget_node(fleet=self._fleet, name=node.name)

    # --- machines with a core ---------------------------------------------------------------

    async def _disturb_core_machine(self, rand: random.Random) -> None:
        """Disturb the core, the edge or both of a machine with a disk, or replace the machine.

        In half of the cases it is the leader's machine.
        """
        async with self._core_machine_lock:
            names = [node.name for node in self._fleet.core_nodes]
            leader = await self._fleet.leader()
            name = leader if leader and rand.random() < 0.5 else rand.choice(names)
            if rand.random() < 0.25:
                await self._replace(name=name, rand=rand)
            else:
                await self._disturb_processes_of(name=name, rand=rand)
            await self._wait_for_cores()
            await asyncio.sleep(CATCH_UP_S)

    async def _disturb_processes_of(self, *, name: str, rand: random.Random) -> None:
        roles = rand.choice((("core",), ("core", "edge"), ("edge",)))
        processes = [f"{role}-{name}" for role in roles]
        what = self._choose_fault(rand)
        kind = f"{what.__name__} counted"
        self._faults.counts[kind] += 1
        await self._run_as_fault(what=kind, names=[name], work=what(processes, rand))

    async def _wait_for_cores(self) -> None:
        """Wait until exactly the current cores are voters, and all of them are ready."""
        names = [node.name for node in self._fleet.core_nodes]
        await self._fleet.wait_for(
            what=f"the voters to be the cores of {', '.join(names)}",
            condition=partial(has_voters, fleet=self._fleet, names=names),
        )
        for name in names:
            await self._fleet.wait_for(
                what=f"the core of {name} to be ready",
                condition=partial(self._fleet.is_core_ready, name=name),
            )

    # --- the operator -----------------------------------------------------------------------

    async def _write_configuration(self, rand: random.Random) -> None:
        """Write one configuration, retried at random cores until it is acknowledged."""
        await self._write_within(rand=rand, seconds=60.0, why="during the soak")

    async def _write_within(self, *, rand: random.Random, seconds: float, why: str) -> None:
        fleet = self._fleet
        self._writes_sent += 1
        note = f"order-{self._writes_sent}"
        document = fleet.configuration(note=note)
        deadline_us = fleet.now_us() + int(seconds * SECOND_US)
        reply: Any = None
        while fleet.now_us() < deadline_us:
            reply = await fleet.put(
                document=document,
                expected=self._version,
                put_id=note,
                core=rand.choice(list(fleet.core_http)),
                wait_us=WRITE_ATTEMPT_TIMEOUT_US,
            )
            if getattr(reply, "status", 0) == 200:
                self.acknowledged_writes += 1
                self._version += 1
                return
            await asyncio.sleep(0.1)
        self._violations.append(f"{why}: no acknowledgement within {seconds} s: {reply}")

    # --- closing fault ----------------------------------------------------------------------

    async def _run_closing_fault(self) -> None:
        """Kill every process at the same time and start it again; all edges have to be ready within
        `RECOVERY_LIMIT_S`, and a configuration write acknowledged soon after."""
        fleet = self._fleet
        self._log_progress("closing fault: killing all processes")
        names = [node.name for node in fleet.deployment.nodes]
        processes = [name for node in fleet.deployment.nodes for name in _processes_of(node=node)]
        number = fleet.fault(
            what="all killed", excuses=["edge", "line", "away"], after_us=EXCUSED_AFTER_US
        )
        self._faults.kill_now(processes)
        await asyncio.sleep(CLOSING_DOWNTIME_S)
        self._faults.start(processes)
        started_us = fleet.now_us()
        await self._wait_until_ready(names=names)
        took_s = (fleet.now_us() - started_us) / SECOND_US
        fleet.fault_end(fault=number)
        self._log_progress(f"all edges ready {took_s:.1f} s after the closing fault")
        if took_s > RECOVERY_LIMIT_S:
            self._violations.append(f"all edges ready only {took_s:.1f} s after the closing fault")
        rand = random.Random(f"{self._seed}/close")
        await self._write_within(
            rand=rand, seconds=CLOSING_WRITE_LIMIT_S, why="after the closing fault"
        )
        await self._rollouts.check_last(rand, limit_s=CLOSING_WRITE_LIMIT_S)
        await self._rollouts.order(
            rand, ack_s=CLOSING_ROLLOUT_LIMIT_S, end_s=CLOSING_ROLLOUT_LIMIT_S
        )


def _processes_of(*, node: Node) -> list[str]:
    """Returns the names of a machine's processes, the core first.

    >>> _processes_of(node=Node(name="n", zone="z", has_disk=True))
    ['core-n', 'edge-n']
    """
    return [f"core-{node.name}"] * node.has_disk + [f"edge-{node.name}"]
