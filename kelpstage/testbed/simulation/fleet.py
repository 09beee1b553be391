"""A simulated deployment: the daemons' code with stand-in backends, platform and callers."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.core.app import Core
from kelpstage.edge.app import Edge
from kelpstage.testbed.checkers.history import HistoryWriter
from kelpstage.testbed.fleet.deployment import (
    Deployment,
    Node,
    configuration_of,
    digest_of,
    facts_of,
)
from kelpstage.testbed.simulation.world import Machine, SimProcess, World
from kelpstage.testbed.stand_ins.backend import StandIn
from kelpstage.testbed.stand_ins.callers import Callers, Kind
from kelpstage.testbed.stand_ins.platform import Platform


class SimulationTimeoutError(Exception):
    """A condition did not hold within its timeout of virtual time."""


@dataclass(kw_only=True)
class SimFleet(HistoryWriter):
    """One deployment in one simulated world.

    With `has_observers`, only edges on machines with a disk are voting members, of which one
    may be lost at a time; the others are observers, of which any number may be lost. Without
    it every edge is a voting member.
    """

    world: World
    deployment: Deployment
    rate: float = 0.15
    has_observers: bool = False
    history: list[dict] = field(default_factory=list)
    processes: dict[str, SimProcess] = field(default_factory=dict)
    daemons: dict[str, Any] = field(default_factory=dict)
    instances: dict[str, int] = field(default_factory=dict)
    serial: int = 0
    version: int = 0
    put_serial: int = 0

    def __post_init__(self) -> None:
        world, deployment = self.world, self.deployment
        self.core_nodes: dict[str, Node] = {n.name: n for n in deployment.nodes if n.has_disk}
        self.core_address: dict[str, str] = {}
        self.edge_http: dict[str, str] = {}
        self.edge_own: dict[str, str] = {}
        self.cut_in_force = deployment.cut.name
        self.cuts = {c.name: c for c in (deployment.cut, deployment.recut())}
        for index, node in enumerate(deployment.nodes):
            machine = world.add_machine(name=node.name, zone=node.zone)
            self.edge_own[node.name] = self._assign_address(
                machine=machine, host=index + 1, port=7000
            )
            self.edge_http[node.name] = self._assign_address(
                machine=machine, host=index + 1, port=8000
            )
            if node.has_disk:
                self.core_address[node.name] = self._assign_address(
                    machine=machine, host=index + 1, port=7100
                )
                self._assign_address(machine=machine, host=index + 1, port=8100)
        self.backend_address: dict[str, str] = {}
        self.backends: dict[str, StandIn] = {}
        world.on_dead_send = self._note_dead_send
        for index, spec in enumerate(deployment.backends):
            machine = world.add_machine(name=spec.name, zone=spec.zone)
            address = self._assign_address(machine=machine, host=100 + index, port=9000)
            self.backend_address[spec.name] = address
        outside = world.add_machine(name="outside", zone="outside")
        self.outside = self._process(name="outside", machine=outside)
        platform_address = self._assign_address(machine=outside, host=90, port=9500)
        self.platform = Platform(
            ports=self.outside.ports,
            nodes={n.name: (n.zone, self.edge_http[n.name]) for n in deployment.nodes},
            backends=dict(self.backend_address),
            address=platform_address,
            note=self.note,
        )
        self.callers = Callers(
            ports=self.outside.ports,
            platform=self.platform,
            collection=deployment.collection,
            kinds=[
                Kind(
                    name=k.name,
                    per_second=k.per_second * self.rate,
                    time_left_us=k.time_left_us,
                    limit=k.limit,
                    is_single=k.is_single,
                )
                for k in deployment.kinds
            ],
            cuts=self.cuts,
            zones=deployment.zones,
            current_cut=lambda: self.cut_in_force,
            note=self.note,
            quorum=deployment.quorum,
        )

    def _assign_address(self, *, machine: Machine, host: int, port: int) -> str:
        address = f"10.0.{host // 250}.{host % 250 + 1}:{port}"
        self.world.machine_by_address[address] = machine
        return address

    def _process(self, *, name: str, machine: Machine) -> SimProcess:
        self.instances[name] = self.instances.get(name, 0) + 1
        process = SimProcess(
            world=self.world, name=name, machine=machine, instance=self.instances[name]
        )
        self.processes[name] = process
        return process

    def _note_dead_send(self, address: str, by: str, known_us: int) -> None:
        names = {a: n for n, a in self.backend_address.items()}
        if address in names and by.startswith("edge/"):
            self.note(
                {
                    "event": "dead_send",
                    "backend": names[address],
                    "by": by,
                    "known_us": known_us,
                }
            )

    def now_us(self) -> int:
        """Return the virtual time in microseconds, which stamps the rows of the history."""
        return self.world.now_us()

    # --- start -----------------------------------------------------------------------

    async def start(self) -> None:
        """Start backends, the platform, cores and edges."""
        self.note({"event": "lines", "one_way_us": self.world.far_us[1]})
        for cut in self.cuts.values():
            self.note({"event": "cut", "cut": cut.name, "shards": list(cut.shards)})
        for spec in self.deployment.backends:
            await self.start_backend(name=spec.name)
        await self.platform.open()
        for name in self.core_nodes:
            await self.start_core(name=name)
        for node in self.deployment.nodes:
            await self.start_edge(name=node.name)

    async def start_backend(self, *, name: str) -> None:
        """Start a backend's process."""
        process = self._process(name=f"backend/{name}", machine=self.world.machines[name])
        stand_in = StandIn(
            name=name,
            address=self.backend_address[name],
            shards=self.deployment.shards_of(backend=name),
            cuts=self.cuts,
            ports=process.ports,
            on_receipt=self.history.append,
        )
        await stand_in.open()
        self.backends[name] = stand_in

    def is_up(self, *, process: str) -> bool:
        """True if the process runs, also if another fault has started it again."""
        return process in self.processes and self.processes[process].is_alive

    async def start_core(self, *, name: str, seeds: list[str] | None = None) -> None:
        """Start the core of a machine, unless it runs."""
        if self.is_up(process=f"core/{name}"):
            return
        machine = self.world.machines[name]
        process = self._process(name=f"core/{name}", machine=machine)
        own = self.core_address[name]
        settings = {
            "domain": machine.zone,
            "own": own,
            "http": self.core_http(name=name),
            "seeds": seeds or list(self.core_address.values())[:3],
            "data": "data",
        }
        if self.has_observers:
            settings["bounds"] = {"tolerance": 1}
        core = Core(ports=process.ports, settings=settings)
        await _open_daemon(daemon=core)
        self.daemons[f"core/{name}"] = core
        self.note({"event": "core", "core": name, "is_up": True})

    def core_http(self, *, name: str) -> str:
        """Return the address of a core's HTTP interface."""
        return self.core_address[name].replace(":7100", ":8100")

    async def start_edge(self, *, name: str, seeds: list[str] | None = None) -> None:
        """Start the edge of a machine, unless it runs."""
        if self.is_up(process=f"edge/{name}"):
            return
        machine = self.world.machines[name]
        process = self._process(name=f"edge/{name}", machine=machine)
        settings = {
            "name": name,
            "domain": machine.zone,
            "own": self.edge_own[name],
            "http": self.edge_http[name],
            "seeds": seeds or list(self.core_address.values())[:3],
            "platform": f"http://{self.platform.address}/backends",
            "observer": self.has_observers and name not in self.core_address,
        }
        edge = Edge(ports=process.ports, settings=settings)
        await _open_daemon(daemon=edge)
        self.daemons[f"edge/{name}"] = edge
        self.note({"event": "started", "edge": name})

    # --- state ------------------------------------------------------------------------

    async def sleep(self, *, us: int) -> None:
        """Wait for a duration of virtual time."""
        await asyncio.sleep(us / 1_000_000)

    async def wait_for(
        self, *, what: str, condition: Callable[[], bool], us: int = 60_000_000
    ) -> int:
        """Wait until a condition holds; return how long it took, in microseconds."""
        started_us = self.world.now_us()
        while not condition():
            if self.world.now_us() - started_us > us:
                raise SimulationTimeoutError(what)
            await self.sleep(us=20_000)
        return self.world.now_us() - started_us

    def leader(self) -> str | None:
        """Return the machine of the leader, or None."""
        for name in self.core_address:
            core = self.daemons.get(f"core/{name}")
            process = self.processes.get(f"core/{name}")
            if core and process.is_alive and core.task and core.task.is_leader:
                return name
        return None

    def are_cores_healthy(self) -> bool:
        """True if the leader has three voters, all with a contact in the last 500 ms."""
        name = self.leader()
        if name is None:
            return False
        rows = self.daemons[f"core/{name}"].task.raft.replication_progress()
        voters = [row for row in rows if row["is_voter"]]
        return len(voters) == 3 and all(row["heard_us_ago"] < 500_000 for row in voters)

    def ready_edges(self) -> list[str]:
        """Return the edges that run, are not frozen and serve."""
        return [
            node.name
            for node in self.deployment.nodes
            if self.processes[f"edge/{node.name}"].is_alive
            and not self.processes[f"edge/{node.name}"].is_frozen
            and not self.daemons[f"edge/{node.name}"].not_ready_reason()
        ]

    def is_membership_complete(self) -> bool:
        """True if the leader's membership has as many edges as the deployment has nodes."""
        name = self.leader()
        if name is None:
            return False
        membership = self.daemons[f"core/{name}"].task.machine.state.membership
        return len(membership) == len(self.deployment.nodes)

    # --- actions ------------------------------------------------------------------------

    def configuration(self, **more: Any) -> bytes:
        """Return the deployment's configuration document, with changes."""
        return configuration_of(deployment=self.deployment, addresses=self.backend_address, **more)

    async def put(
        self,
        *,
        document: bytes,
        expected: int,
        put_id: str,
        core: str | None = None,
        wait_us: int = 10_000_000,
    ) -> dict:
        """Write a configuration through a core, by default a random one, and note the outcome."""
        name = core or self.random_core()
        row: dict[str, Any] = {
            "event": "put",
            "put_id": put_id,
            "expected": expected,
            "sent_us": self.world.now_us(),
            "digest": digest_of(document=document),
            **facts_of(document=document),
        }
        reply = await self.outside.ports.net.fetch(
            call=HttpCall(
                method="PUT",
                url=f"http://{self.core_http(name=name)}/v1/configuration",
                headers={
                    "If-Match": str(expected),
                    "Kelp-Put-Id": put_id,
                    "Kelp-Time-Left-Us": str(wait_us),
                },
                body=document,
                wait_us=wait_us + 1_000_000,
            )
        )
        if isinstance(reply, KelpstageError):
            row |= {"status": 0, "end": reply.kind}
        else:
            row |= {"status": reply.status, "body": json.loads(reply.body)}
            row["end"] = "ok" if reply.status == 200 else row["body"]["defect"]["kind"]
            self._update_known_version(row=row)
        self.note(row)
        return row

    def _update_known_version(self, *, row: dict) -> None:
        if row["status"] == 200:
            self.version = max(self.version, row["body"]["version"])
            self.cut_in_force = row["cut"]
        if row["end"] == "version_mismatch":
            self.version = max(self.version, row["body"]["defect"]["current"])

    async def put_next(self, *, wait_us: int = 10_000_000, **more: Any) -> dict:
        """Write a changed configuration over the newest version that the operator knows."""
        self.put_serial += 1
        name = f"put-{self.put_serial}"
        more.setdefault("cut", self.cuts[self.cut_in_force])
        return await self.put(
            document=self.configuration(note=name, **more),
            expected=self.version,
            put_id=name,
            wait_us=wait_us,
        )

    def random_core(self) -> str:
        """Return a random core that runs, or any core if none does."""
        up = [n for n in self.core_address if self.processes[f"core/{n}"].is_alive]
        return self.world.rand.choice(up or list(self.core_address))

    async def read_back(self, *, tries: int = 40) -> dict:
        """Read the configuration from random cores until one answers, and note the result."""
        row: dict[str, Any] = {"event": "read_back", "status": 0, "sent_us": self.world.now_us()}
        for _ in range(tries):
            reply = await self.outside.ports.net.fetch(
                call=HttpCall(
                    method="GET",
                    url=f"http://{self.core_http(name=self.random_core())}/v1/configuration",
                    wait_us=3_000_000,
                )
            )
            if not isinstance(reply, KelpstageError) and reply.status == 200:
                row |= {
                    "status": 200,
                    "version": int(reply.headers["etag"].strip('"')),
                    "digest": digest_of(document=reply.body),
                }
                break
            await self.sleep(us=500_000)
        self.note(row)
        return row

    def kill_edge(self, *, name: str) -> None:
        """Kill an edge without a graceful shutdown."""
        self.processes[f"edge/{name}"].kill()
        self.note({"event": "ended", "edge": name})

    def kill_core(self, *, name: str, is_power: bool = False, is_disk: bool = False) -> None:
        """Kill a core; a power loss drops unsynced writes, a lost disk all data."""
        self.processes[f"core/{name}"].kill()
        self.note({"event": "core", "core": name, "is_up": False})
        platter = self.world.machines[name].disk_image
        if is_disk:
            platter.replace_with_empty()
        elif is_power:
            platter.lose_power()

    def power_off_zone(self, *, zone: str) -> list[str]:
        """Power off every machine of a zone; return the processes that ended."""
        ended = []
        for name, machine in self.world.machines.items():
            if machine.zone != zone or not machine.is_on:
                continue
            machine.is_on = False
            for process in list(self.processes.values()):
                if process.machine is machine and process.is_alive:
                    process.kill(is_power=True)
                    ended.append(process.name)
                    if process.name.startswith("core/"):
                        self.note({"event": "core", "core": name, "is_up": False})
            machine.disk_image.lose_power()
        return ended

    async def power_on_zone(self, *, ended_processes: list[str]) -> None:
        """Power the machines on and start their processes again."""
        for name in ended_processes:
            self.processes[name].machine.is_on = True
        self.world.send_waiting()  # breaks connections to the former processes
        for name in ended_processes:
            kind, _, machine = name.partition("/")
            if kind == "core":
                if machine in self.core_address:
                    await self.start_core(name=machine)
            elif kind == "edge":
                await self.start_edge(name=machine)
            else:
                self.world.gone_since_us.pop(self.backend_address[machine], None)
                self.world.timeouts.pop(self.backend_address[machine], None)
                await self.start_backend(name=machine)

    async def replace_core(self, *, name: str) -> str:
        """Start a core on an empty machine at a new address in place of a dead one; return it."""
        index = len(self.world.machine_by_address) + 1
        fresh = f"{name}-new{index}"
        machine = self.world.add_machine(name=fresh, zone=self.world.machines[name].zone)
        self.core_address[fresh] = self._assign_address(
            machine=machine, host=60 + index % 30, port=7100
        )
        self._assign_address(machine=machine, host=60 + index % 30, port=8100)
        del self.core_address[name]
        await self.start_core(name=fresh)
        return fresh

    async def stop_edge(self, *, name: str) -> None:
        """Shut an edge down gracefully; kill it after 6 seconds if it has not stopped."""
        process = self.processes[f"edge/{name}"]
        done = process.spawn(self.daemons[f"edge/{name}"].stop())
        await asyncio.wait({done}, timeout=6.0)
        self.note({"event": "ended", "edge": name, "in_time": done.done()})
        process.kill()

    async def stop_core(self, *, name: str) -> None:
        """Shut a core down gracefully; kill it after 6 seconds if it has not stopped."""
        process = self.processes[f"core/{name}"]
        done = process.spawn(self.daemons[f"core/{name}"].stop())
        await asyncio.wait({done}, timeout=6.0)
        process.kill()

    async def bring_up(self) -> None:
        """Start everything, write the first configuration, wait until every edge serves."""
        await self.start()
        await self.wait_for(what="a complete membership", condition=self.is_membership_complete)
        row = await self.put(document=self.configuration(), expected=0, put_id="first")
        if row["status"] != 200:
            raise SimulationTimeoutError(f"first put: {row}")
        await self.wait_for(
            what="every edge to be ready",
            condition=lambda: len(self.ready_edges()) == len(self.deployment.nodes),
        )
        await self.wait_for(
            what="the platform to see every edge ready",
            condition=lambda: sum(self.platform.ready.values()) == len(self.deployment.nodes),
        )

    def start_callers(self) -> list[asyncio.Future]:
        """Start callers of every kind at their rates, in addition to those that run already."""
        return [self.outside.spawn(self.callers.run(kind=kind)) for kind in self.callers.kinds]

    async def drain_callers(self) -> None:
        """Send no more calls and wait until none is in flight."""
        self.callers.is_open = False
        await self.wait_for(
            what="calls in flight to end",
            condition=lambda: self.callers.in_flight == 0,
            us=15_000_000,
        )

    async def set_backend(self, *, name: str, **mode: Any) -> None:
        """Change a stand-in's behaviour, and note for the checkers what they have to know of it."""
        if "lie" in mode:
            self.note({"event": "lie", "backend": name, "lie": mode["lie"]})
        if {"is_listening", "is_draining"} & set(mode):
            self.note({"event": "backend", "backend": name, **mode})
        if mode.get("is_listening") is True:
            self.world.gone_since_us.pop(self.backend_address[name], None)
        await self.backends[name].set_mode(**mode)

    def end(self) -> None:
        """Kill all processes, so that the loop can close."""
        for process in self.processes.values():
            process.kill()


async def _open_daemon(*, daemon: Any) -> None:
    error = await daemon.open()
    if isinstance(error, KelpstageError):
        raise SimulationTimeoutError(f"open: {error}")


def run_sim(
    *,
    seed: int,
    deployment: Deployment,
    scenario: Callable[[SimFleet], Awaitable[None]],
    rate: float = 0.15,
    far_us: int = 0,
    has_observers: bool = False,
) -> SimFleet:
    """Run a scenario in a world of its own; the same seed gives the same history.

    `far_us` sets the one-way delay between zones, with 30 % jitter and 1 % of datagrams lost.
    """
    from kelpstage.testbed.simulation.loop import VirtualLoop

    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = World(seed=seed, loop=loop)
    if far_us:
        world.far_us, world.loss = (far_us, far_us * 13 // 10), 0.01
    try:
        fleet = loop.run_until_complete(
            _run_scenario(
                SimFleet(
                    world=world, deployment=deployment, rate=rate, has_observers=has_observers
                ),
                scenario=scenario,
            )
        )
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
    return fleet


async def _run_scenario(fleet: SimFleet, *, scenario: Any) -> SimFleet:
    try:
        await scenario(fleet)
    finally:
        fleet.end()
        await asyncio.sleep(0)
    return fleet
