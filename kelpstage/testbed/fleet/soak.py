"""A soak of real processes: signals, restarts and changes in series that overlap, by a seed.

Callers keep their connections and use them until the process is gone. Edges on machines
without a disk are disturbed freely, most of them at one time now and then; of the machines
with a disk, one at a time. Machines of both kinds are replaced by empty ones under new names.
At the end every process is killed and started again.
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

SECOND_US = 1_000_000
ACKNOWLEDGED_WITHIN_S = 5.0  # of an order in calm
RECOVERY_S = 12.0
CATCH_UP_S = 4.0
ORDER_TRY_US = 1_500_000
AFTER_US = 3 * SECOND_US  # what a disturbance excuses when it is over
CLOSING_DOWN_S = 0.5


class Soak:
    """One soak: its fleet, its series of disturbances, and what they have under way."""

    def __init__(self, *, fleet: Fleet, seed: int, say: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._seed = seed
        self._say = say
        self._until_us = 0
        self._busy: set[str] = set()  # machines that are disturbed just now
        self._counted = asyncio.Lock()  # one machine with a disk at a time
        self._version = 1
        self._orders_sent = 0
        self._added = 0  # machines that came under a new name
        self._faults = ProcessFaults(fleet=fleet)
        self._violations: list[str] = []
        self.orders = 0  # that were acknowledged

    @property
    def violations(self) -> list[str]:
        """What was seen that may not be."""
        return self._violations + self._faults.violations

    @property
    def disturbances(self) -> dict[str, int]:
        """How many there were of each kind."""
        return dict(sorted(self._faults.counts.items()))

    async def run(self, *, seconds: float) -> None:
        """All series side by side, then the closing fault."""
        self._until_us = self._fleet.now_us() + int(seconds * SECOND_US)
        async with asyncio.TaskGroup() as series:
            series.create_task(self._series("edges", self._disturb_edge, most_pause_s=1.0))
            series.create_task(self._series("others", self._disturb_edge, most_pause_s=2.5))
            series.create_task(self._series("most", self._disturb_most, most_pause_s=8.0))
            series.create_task(self._series("replaced", self._replace_edge, most_pause_s=6.0))
            series.create_task(self._series("counted", self._disturb_counted, most_pause_s=2.0))
            series.create_task(self._series("orders", self._order, most_pause_s=0.6))
        await self._close()

    async def _series(
        self,
        name: str,
        work: Callable[[random.Random], Awaitable[None]],
        *,
        most_pause_s: float,
    ) -> None:
        rand = random.Random(f"{self._seed}/{name}")
        while self._fleet.now_us() < self._until_us:
            await asyncio.sleep(rand.random() * most_pause_s)
            await work(rand)

    # --- edges on machines of which any number may go -------------------------------------

    def _free_observers(self) -> list[str]:
        return [
            node.name
            for node in self._fleet.deployment.nodes
            if not node.has_disk and node.name not in self._busy
        ]

    async def _disturb_edge(self, rand: random.Random) -> None:
        names = self._free_observers()
        if names:
            await self._disturb(names=[rand.choice(names)], rand=rand)

    async def _disturb_most(self, rand: random.Random) -> None:
        names = self._free_observers()
        count = round(len(names) * (0.5 + rand.random() / 2))
        if count > 1:
            await self._disturb(names=rand.sample(names, count), rand=rand, is_most=True)

    async def _disturb(
        self, *, names: list[str], rand: random.Random, is_most: bool = False
    ) -> None:
        what = self._some_fault(rand)
        kind = what.__name__ + (" most" if is_most else "")
        self._faults.counts[kind] += 1
        processes = [f"edge-{name}" for name in names]
        await self._under_fault(what=kind, names=names, work=what(processes, rand), is_away=is_most)

    def _some_fault(
        self, rand: random.Random
    ) -> Callable[[list[str], random.Random], Awaitable[None]]:
        faults = self._faults
        return rand.choice((faults.restart, faults.kill, faults.freeze, faults.hang_up))

    async def _under_fault(
        self,
        *,
        what: str,
        names: list[str],
        work: Awaitable[None],
        is_away: bool = False,
    ) -> None:
        """Do something to machines, as a fault of the history that ends when all are ready."""
        self._busy |= set(names)
        excuses = ["edge", "line", "away"] if is_away else ["edge", "line"]
        number = self._fleet.fault(what=what, excuses=excuses, nodes=names, after_us=AFTER_US)
        try:
            await work
            await self._wait_until_ready(names=names)
        finally:
            self._fleet.fault_end(fault=number)
            self._busy -= set(names)

    async def _wait_until_ready(self, *, names: list[str]) -> None:
        for name in names:
            if name in self._fleet.edge_http:  # it may be gone for good
                await self._fleet.wait_for(
                    what=f"{name} to be ready",
                    condition=partial(self._fleet.is_ready, name=name),
                )

    # --- machines that are gone for good --------------------------------------------------

    async def _replace_edge(self, rand: random.Random) -> None:
        """One that is not counted leaves, or is gone without a word; another one comes."""
        names = self._free_observers()
        if names:
            await self._replace(name=rand.choice(names), rand=rand)

    async def _replace(self, *, name: str, rand: random.Random) -> None:
        node = self._node(name=name)
        is_in_order = rand.random() < 0.5
        kind = "leave" if is_in_order else "gone"
        self._faults.counts[kind + (" counted" if node.has_disk else "")] += 1
        is_new_first = is_in_order and node.has_disk
        fresh = self._add_like(node=node) if is_new_first else None
        if fresh is not None:
            await self._wait_until_ready(names=[fresh])
            await asyncio.sleep(CATCH_UP_S)
        work = self._remove(node=node, rand=rand, is_in_order=is_in_order)
        await self._under_fault(what=kind, names=[name], work=work)
        if fresh is None:
            await asyncio.sleep(rand.random() * 3)
            fresh = self._add_like(node=node)
        await self._wait_until_ready(names=[fresh])

    def _node(self, *, name: str) -> Node:
        return next(node for node in self._fleet.deployment.nodes if node.name == name)

    def _add_like(self, *, node: Node) -> str:
        self._added += 1
        fresh = replace(node, name=f"new-{self._added:02}")
        add_node(fleet=self._fleet, node=fresh)
        return fresh.name

    async def _remove(self, *, node: Node, rand: random.Random, is_in_order: bool) -> None:
        processes = _processes_of(node=node)
        if is_in_order:
            await self._faults.stop(processes, rand)
        else:
            self._faults.kill_now(processes)
        self._fleet.note({"event": "ended", "edge": node.name})
        forget_node(fleet=self._fleet, name=node.name)

    # --- machines that count ----------------------------------------------------------------

    async def _disturb_counted(self, rand: random.Random) -> None:
        """One machine with a disk, the leader's half of the time: its core, its edge or both
        are disturbed, or it is replaced."""
        async with self._counted:
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
        what = self._some_fault(rand)
        kind = f"{what.__name__} counted"
        self._faults.counts[kind] += 1
        await self._under_fault(what=kind, names=[name], work=what(processes, rand))

    async def _wait_for_cores(self) -> None:
        """Wait until the cores that there are, and no others, vote and are ready."""
        names = [node.name for node in self._fleet.core_nodes]
        await self._fleet.wait_for(
            what=f"the cores of {', '.join(names)}",
            condition=partial(has_voters, fleet=self._fleet, names=names),
        )
        for name in names:
            await self._fleet.wait_for(
                what=f"the core of {name}",
                condition=partial(self._fleet.is_core_ready, name=name),
            )

    # --- the operator -----------------------------------------------------------------------

    async def _order(self, rand: random.Random) -> None:
        """One change, sent again to any core until it is acknowledged."""
        await self._order_within(rand=rand, seconds=60.0, why="during the soak")

    async def _order_within(self, *, rand: random.Random, seconds: float, why: str) -> None:
        fleet = self._fleet
        self._orders_sent += 1
        note = f"order-{self._orders_sent}"
        document = fleet.configuration(note=note)
        until_us = fleet.now_us() + int(seconds * SECOND_US)
        reply: Any = None
        while fleet.now_us() < until_us:
            reply = await fleet.put(
                document=document,
                expected=self._version,
                put_id=note,
                core=rand.choice(list(fleet.core_http)),
                wait_us=ORDER_TRY_US,
            )
            if getattr(reply, "status", 0) == 200:
                self.orders += 1
                self._version += 1
                return
            await asyncio.sleep(0.1)
        self._violations.append(f"{why}: no acknowledgement within {seconds} s: {reply}")

    # --- the end ----------------------------------------------------------------------------

    async def _close(self) -> None:
        """Every process is killed at once and started again; all serve soon after."""
        fleet = self._fleet
        self._say("the closing fault")
        names = [node.name for node in fleet.deployment.nodes]
        processes = [name for node in fleet.deployment.nodes for name in _processes_of(node=node)]
        number = fleet.fault(what="all killed", excuses=["edge", "line", "away"], after_us=AFTER_US)
        self._faults.kill_now(processes)
        await asyncio.sleep(CLOSING_DOWN_S)
        self._faults.start(processes)
        began_us = fleet.now_us()
        await self._wait_until_ready(names=names)
        took_s = (fleet.now_us() - began_us) / SECOND_US
        fleet.fault_end(fault=number)
        self._say(f"all serve {took_s:.1f} s after the closing fault")
        if took_s > RECOVERY_S:
            self._violations.append(f"all serve only {took_s:.1f} s after the closing fault")
        rand = random.Random(f"{self._seed}/close")
        await self._order_within(
            rand=rand, seconds=ACKNOWLEDGED_WITHIN_S, why="after the closing fault"
        )


def _processes_of(*, node: Node) -> list[str]:
    """The names of a machine's processes, its core first.

    >>> _processes_of(node=Node(name="n", zone="z", has_disk=True))
    ['core-n', 'edge-n']
    """
    return [f"core-{node.name}"] * node.has_disk + [f"edge-{node.name}"]
