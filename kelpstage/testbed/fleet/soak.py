"""A soak of real processes: signals, restarts and changes in series that overlap, by a seed.

Callers keep their connections and use them until the process is gone. Edges on machines
without a disk are disturbed freely, most of them at one time now and then; of the machines
with a disk, one at a time. At the end every process is killed and started again.
"""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, Awaitable, Callable

from kelpstage.testbed.fleet.deployment import Deployment, Node, load
from kelpstage.testbed.fleet.fleet import Fleet, FleetTimeoutError
from kelpstage.testbed.fleet.processes import PORTS
from kelpstage.testbed.fleet.scenario import bring_up
from kelpstage.testbed.fleet.soak_rules import find_violations
from kelpstage.testbed.stand_ins.kept_callers import KeptCallers

SECOND_US = 1_000_000
ACKNOWLEDGED_WITHIN_S = 5.0  # of an order in calm
RECOVERY_S = 12.0
CATCH_UP_S = 4.0
ORDER_TRY_US = 1_500_000
TERM_GRACE_S = 8.0  # until a process that was told to stop counts as one that does not
AFTER_US = 3 * SECOND_US  # what a disturbance excuses when it is over
CLOSING_DOWN_S = 0.5
FREEZE = "freeze while stopping"
SHOWN = 8  # violations that are printed


@dataclass(frozen=True, kw_only=True)
class SoakResult:
    """What a soak came to."""

    seed: int
    processes: int
    calls: int
    answered: int
    orders: int
    disturbances: dict[str, int]
    violations: list[str]
    logs: dict[str, str] = field(repr=False)
    history: list[dict[str, Any]] = field(repr=False, default_factory=list)


def soak_text(*, result: SoakResult) -> str:
    """A soak as a line of text, and one for each of its first violations.

    >>> soak_text(result=SoakResult(seed=1, processes=2, calls=3, answered=3, orders=4,
    ...     disturbances={"kill": 1}, violations=[], logs={}))
    'seed 1: 2 processes, 3 of 3 calls answered, 4 orders, kill 1: kept'
    """
    what = ", ".join(f"{name} {count}" for name, count in result.disturbances.items())
    head = (
        f"seed {result.seed}: {result.processes} processes, {result.answered} of {result.calls} "
        f"calls answered, {result.orders} orders, {what}: "
    )
    if not result.violations:
        return head + "kept"
    lines = [f"  {violation}" for violation in result.violations[:SHOWN]]
    return "\n".join([head + f"{len(result.violations)} violations", *lines])


def enlarged(*, deployment: Deployment, edges: int) -> Deployment:
    """A deployment with more machines without a disk, so that it has so many in all.

    >>> len(enlarged(deployment=load(name="tiny"), edges=8).nodes)
    8
    """
    nodes = list(deployment.nodes)
    while len(nodes) < edges:
        number = len(nodes) + 1
        zone = deployment.zones[number % len(deployment.zones)]
        nodes.append(Node(name=f"node-{number:02}", zone=zone, has_disk=False))
    return replace(deployment, nodes=nodes)


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
        self._orders = 0
        self.disturbances: dict[str, int] = {}
        self.violations: list[str] = []

    @property
    def orders(self) -> int:
        """How many orders were acknowledged."""
        return self._orders

    async def run(self, *, seconds: float) -> None:
        """All series side by side, then the closing fault."""
        self._until_us = self._fleet.now_us() + int(seconds * SECOND_US)
        async with asyncio.TaskGroup() as series:
            series.create_task(self._series("edges", self._disturb_edge, most_pause_s=1.0))
            series.create_task(self._series("others", self._disturb_edge, most_pause_s=2.5))
            series.create_task(self._series("most", self._disturb_most, most_pause_s=8.0))
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
        what = rand.choice((self._restart, self._kill, self._freeze, self._hang_up))
        kind = what.__name__.strip("_") + (" most" if is_most else "")
        self.disturbances[kind] = self.disturbances.get(kind, 0) + 1
        processes = [f"edge-{name}" for name in names]
        await self._under_fault(what=kind, names=names, work=what(processes, rand), is_away=is_most)

    async def _under_fault(
        self, *, what: str, names: list[str], work: Awaitable[None], is_away: bool
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
            if self._fleet.processes.all[f"edge-{name}"].is_running:
                await self._fleet.wait_for(
                    what=f"{name} to be ready",
                    is_there=partial(self._fleet.is_ready, name=name),
                )

    # --- what is done to processes -------------------------------------------------------

    def _send(self, processes: list[str], number: int) -> None:
        for name in processes:
            self._fleet.processes.all[name].send(number=number)

    def _start(self, processes: list[str]) -> None:
        for name in processes:
            kind, _, node = name.partition("-")
            if kind == "edge":
                self._fleet.note({"event": "ended", "edge": node})
                self._fleet.start_edge(name=node)
                self._fleet.note({"event": "started", "edge": node})
            else:
                self._fleet.note({"event": "core", "core": node, "is_up": False})
                self._fleet.start_core(name=node)

    async def _restart(self, processes: list[str], rand: random.Random) -> None:
        """SIGTERM, at times with other signals on top, and a start when all have ended."""
        self._send(processes, signal.SIGTERM)
        if rand.random() < 0.5:
            await asyncio.sleep(rand.random() * 1.5)
            self._send(processes, rand.choice((signal.SIGTERM, signal.SIGHUP)))
        if rand.random() < 0.2:
            await self._freeze_for(processes, seconds=rand.random() * 2)
        await asyncio.gather(*(self._wait_for_end(name) for name in processes))
        await self._kill_now(processes)
        await asyncio.sleep(rand.random() * 2)
        self._start(processes)

    async def _freeze_for(self, processes: list[str], *, seconds: float) -> None:
        """Processes that are stopping stand still: trouble of its own beside a planned stop."""
        nodes = [name.partition("-")[2] for name in processes]
        number = self._fleet.fault(what=FREEZE, excuses=["edge", "line"], nodes=nodes, after_us=0)
        self._send(processes, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._send(processes, signal.SIGCONT)
        self._fleet.fault_end(fault=number)
        self.disturbances[FREEZE] = self.disturbances.get(FREEZE, 0) + 1

    async def _wait_for_end(self, name: str) -> None:
        process = self._fleet.processes.all[name]
        if not await asyncio.to_thread(process.is_ended_within, seconds=TERM_GRACE_S):
            self.violations.append(f"{name} still runs {TERM_GRACE_S} s after SIGTERM")

    async def _kill_now(self, processes: list[str]) -> None:
        for name in processes:
            self._fleet.processes.all[name].kill()

    async def _kill(self, processes: list[str], rand: random.Random) -> None:
        """SIGKILL, and a start after up to six seconds."""
        await self._kill_now(processes)
        await asyncio.sleep(rand.choice((0.1, 1.0, 6.0)) * rand.random())
        self._start(processes)

    async def _freeze(self, processes: list[str], rand: random.Random) -> None:
        """SIGSTOP for up to seven seconds, at times with a SIGTERM that waits meanwhile."""
        self._send(processes, signal.SIGSTOP)
        await asyncio.sleep(rand.choice((0.5, 3.0, 7.0)) * rand.random())
        is_stopped = rand.random() < 0.2
        if is_stopped:
            self._send(processes, signal.SIGTERM)
        self._send(processes, signal.SIGCONT)
        if is_stopped:
            await self._restart(processes, rand)

    async def _hang_up(self, processes: list[str], rand: random.Random) -> None:
        """SIGHUP, several times."""
        for _ in range(rand.randrange(1, 4)):
            self._send(processes, signal.SIGHUP)
            await asyncio.sleep(rand.random() * 0.3)

    # --- machines that count ----------------------------------------------------------------

    async def _disturb_counted(self, rand: random.Random) -> None:
        """One machine with a disk: its core, its edge, or both; the leader half of the time."""
        async with self._counted:
            names = [node.name for node in self._fleet.core_nodes]
            leader = await self._fleet.leader()
            name = leader if leader and rand.random() < 0.5 else rand.choice(names)
            roles = rand.choice((("core",), ("core", "edge"), ("edge",)))
            processes = [f"{role}-{name}" for role in roles]
            what = rand.choice((self._restart, self._kill, self._freeze, self._hang_up))
            kind = f"{what.__name__.strip('_')} counted"
            self.disturbances[kind] = self.disturbances.get(kind, 0) + 1
            await self._under_fault(
                what=kind, names=[name], work=what(processes, rand), is_away=False
            )
            await self._wait_for_core(name=name)
            await asyncio.sleep(CATCH_UP_S)

    async def _wait_for_core(self, *, name: str) -> None:
        await self._fleet.wait_for(
            what=f"the core of {name}",
            is_there=lambda: self._fleet.is_core_ready(name=name),
        )

    # --- the operator -----------------------------------------------------------------------

    async def _order(self, rand: random.Random) -> None:
        """One change, sent again to any core until it is acknowledged."""
        await self._order_within(rand=rand, seconds=60.0, why="during the soak")

    async def _order_within(self, *, rand: random.Random, seconds: float, why: str) -> None:
        fleet = self._fleet
        self.disturbances["order"] = self.disturbances.get("order", 0) + 1
        note = f"order-{self.disturbances['order']}"
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
                self._orders += 1
                self._version += 1
                return
            await asyncio.sleep(0.1)
        self.violations.append(f"{why}: no acknowledgement within {seconds} s: {reply}")

    # --- the end ----------------------------------------------------------------------------

    async def _close(self) -> None:
        """Every process is killed at once and started again; all serve soon after."""
        fleet = self._fleet
        self._say("the closing fault")
        names = [node.name for node in fleet.deployment.nodes]
        processes = [f"core-{node.name}" for node in fleet.core_nodes]
        processes += [f"edge-{name}" for name in names]
        number = fleet.fault(what="all killed", excuses=["edge", "line", "away"], after_us=AFTER_US)
        self._send(processes, signal.SIGKILL)
        await self._kill_now(processes)
        await asyncio.sleep(CLOSING_DOWN_S)
        self._start(processes)
        began_us = fleet.now_us()
        await self._wait_until_ready(names=names)
        took_s = (fleet.now_us() - began_us) / SECOND_US
        fleet.fault_end(fault=number)
        self._say(f"all serve {took_s:.1f} s after the closing fault")
        if took_s > RECOVERY_S:
            self.violations.append(f"all serve only {took_s:.1f} s after the closing fault")
        rand = random.Random(f"{self._seed}/close")
        await self._order_within(
            rand=rand, seconds=ACKNOWLEDGED_WITHIN_S, why="after the closing fault"
        )


async def run_soak(
    *,
    name: str,
    seed: int,
    seconds: float,
    callers: int,
    edges: int,
    say: Callable[[str], None],
    port_range: range = PORTS,
) -> SoakResult:
    """One soak of a deployment, enlarged to so many machines; what it came to."""
    deployment = enlarged(deployment=load(name=name), edges=edges)
    fleet = Fleet(
        deployment=deployment,
        seed=seed,
        pause_share=0.0,
        has_observers=True,
        port_range=port_range,
    )
    soak = Soak(fleet=fleet, seed=seed, say=say)
    kept = KeptCallers(callers=fleet.callers)
    logs: dict[str, str] = {}
    try:
        await bring_up(fleet=fleet, say=say)
        kept.start(count=callers)
        await soak.run(seconds=seconds)
        await kept.stop()
        await fleet.collect_receipts()
        await fleet.read_back()
    except* FleetTimeoutError as errors:
        soak.violations += [str(error) for error in errors.exceptions]
    finally:
        logs = fleet.stop()
    rows = [row for row in fleet.history if row["event"] in ("call", "kept_call")]
    return SoakResult(
        seed=seed,
        processes=len(fleet.processes.all),
        calls=len(rows),
        answered=sum(row["event"] == "call" and row["end"] == "ok" for row in rows),
        orders=soak.orders,
        disturbances=dict(sorted(soak.disturbances.items())),
        violations=soak.violations + find_violations(history=fleet.history, logs=logs),
        logs=logs,
        history=fleet.history,
    )
