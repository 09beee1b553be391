"""A hollow fleet: the daemons' own code at many nodes, without traffic.

Every node is a whole `Edge`, the first ones of some zones a `Core` beside it, all in
one process on virtual time. What is measured: bytes, processor time and memory a
node while nothing happens; then, while configurations change and nodes fail, the
time until each change is in force everywhere, until each loss is noticed everywhere,
and who was suspected though it was well.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.core.app import Core
from kelpstage.edge.app import Edge
from kelpstage.edge.events import Installed, PeerChanged
from kelpstage.testbed.hollow.configuration import document
from kelpstage.testbed.hollow.load import FRONT_PORT, Load
from kelpstage.testbed.hollow.metered_network import HollowProcess, HollowWorld
from kelpstage.testbed.hollow.options import Options
from kelpstage.testbed.simulation.world import Machine

SECOND = 1_000_000
START_SPREAD_US = 100_000
SETTLE_US = 4 * SECOND
DOWN_US = 8 * SECOND
LATE_US = 20 * SECOND
GRACE_US = 5 * SECOND  # a node that was down so lately is no false alarm


class HollowTimeoutError(Exception):
    """A condition that had to come did not come in its virtual time."""


@dataclass(kw_only=True)
class Loss:
    """One node that was killed, and who noticed when."""

    names: list[str]
    at_us: int
    watchers: int  # edges that were up and had been for a while
    suspected_us: dict[tuple[str, str], int] = field(default_factory=dict)
    dead_us: dict[tuple[str, str], int] = field(default_factory=dict)


class HollowFleet:
    """The nodes, the operator and the measurements of one run."""

    def __init__(self, *, world: HollowWorld, options: Options, say: Callable[[str], None]) -> None:
        self.world = world
        self.options = options
        self.say = say
        self.processes: dict[str, HollowProcess] = {}
        self.edges: dict[str, Edge] = {}
        self.cores: dict[str, Core] = {}
        self.instances: dict[str, int] = {}
        self.machines: list[Machine] = []
        self.down_us: dict[str, int] = {}  # when it was down last
        self.down: set[str] = set()
        self.losses: list[Loss] = []
        self.false_alarms: list[tuple[int, str, str]] = []
        self.in_force: dict[int, dict[str, int]] = {}
        self.put_us: dict[int, tuple[int, int]] = {}  # version -> asked, acknowledged
        self.here: dict[int, set[str]] = {}  # edges that were up when it was asked
        self.version = 0
        self.is_watching = False
        zones = [f"z{n:02d}" for n in range(options.zones)]
        self.regions = {zone: f"r{n % options.regions}" for n, zone in enumerate(zones)}
        world.regions = self.regions
        for n in range(options.nodes):
            machine = world.add_machine(name=f"n{n:04d}", zone=zones[n % len(zones)])
            self.machines.append(machine)
            for port in (7000, 7100, 8000, 8100, FRONT_PORT):
                world.homes[self.address(n=n, port=port)] = machine
        outside = world.add_machine(name="outside", zone="outside")
        world.homes["10.255.0.1:9500"] = outside
        self.outside = self.add_process(name="outside", machine=outside)
        self.load = Load(fleet=self)
        self.seeds = [self.address(n=n, port=7100) for n in range(min(3, options.cores))]

    @staticmethod
    def address(*, n: int, port: int) -> str:
        """The address of a node's port."""
        return f"10.{n // 62500}.{n // 250 % 250}.{n % 250 + 1}:{port}"

    def add_process(self, *, name: str, machine: Machine) -> HollowProcess:
        """Start a process on a machine; a new instance of it each time."""
        self.instances[name] = self.instances.get(name, 0) + 1
        process = HollowProcess(
            world=self.world, name=name, machine=machine, instance=self.instances[name]
        )
        self.processes[name] = process
        return process

    # --- starting ----------------------------------------------------------------------

    async def start(self) -> None:
        """Start the cores, then the edges, evenly spread."""
        for n in range(self.options.cores):
            await self.start_core(n=n)
        step_us = START_SPREAD_US // self.options.nodes
        for n in range(self.options.nodes):
            await self.start_edge(n=n)
            await self.sleep(us=step_us)

    async def start_core(self, *, n: int) -> None:
        """Start the core of a node."""
        process = self.add_process(name=f"core/{n}", machine=self.machines[n])
        settings = {
            "domain": self.machines[n].zone,
            "own": self.address(n=n, port=7100),
            "http": self.address(n=n, port=8100),
            "seeds": self.seeds,
            "data": "data",
        }
        core = Core(ports=process.ports, settings=settings)
        await self._open(process=process, daemon=core)
        self.cores[f"core/{n}"] = core

    async def start_edge(self, *, n: int) -> None:
        """Start the edge of a node."""
        machine = self.machines[n]
        process = self.add_process(name=machine.name, machine=machine)
        settings = {
            "name": machine.name,
            "domain": machine.zone,
            "own": self.address(n=n, port=7000),
            "http": self.address(n=n, port=8000),
            "seeds": self.seeds,
            "bounds": {"zones": self.regions, "region": self.regions[machine.zone]},
        }
        if self.options.backends or self.options.shards:
            settings["list"] = {"calls_per_s": 50.0}
        if self.options.shards:
            settings["front"] = self.address(n=n, port=FRONT_PORT)
        edge = self._make_edge(process=process, settings=settings)
        edge.journal.view(fold=lambda at_us, event: self._note(by=machine.name, event=event))
        await self._open(process=process, daemon=edge)
        self.edges[machine.name] = edge
        self.down.discard(machine.name)

    def _make_edge(self, *, process: HollowProcess, settings: dict) -> Edge:
        if not self.options.backends and not self.options.shards:
            return Edge(ports=process.ports, settings=settings)
        from kelpstage.edge.backend.endpoint_source import HttpEndpointSource

        return Edge(
            ports=process.ports,
            settings=settings,
            lists=HttpEndpointSource(url="http://10.255.0.1:9500/lives"),
        )

    async def _open(self, *, process: HollowProcess, daemon: Any) -> None:
        error = await process.spawn(daemon.open())
        if isinstance(error, KelpstageError):
            raise HollowTimeoutError(f"open: {error}")

    async def serve_list(self) -> None:
        """The list of backends, a thousand a page."""
        count = self.options.backends
        rows = [
            {
                "instance": f"i-{n:06d}",
                "service": f"service-{n % self.options.routes:04d}",
                "address": f"10.254.{n // 250}.{n % 250 + 1}:9000",
                "slots": 2,
                "zone": f"z{n % self.options.zones:02d}",
            }
            for n in range(count)
        ]
        rows += self.load.rows()
        pages = [rows[at : at + 1000] for at in range(0, len(rows), 1000)]

        async def serve(call: HttpCall) -> HttpReply:
            _, _, token = call.url.partition("page=")
            at = int(token or 0)
            then = str(at + 1) if at + 1 < len(pages) else None
            return HttpReply(
                status=200, body=json.dumps({"lives": pages[at], "next": then}).encode()
            )

        await self.outside.ports.net.serve_http(
            address="10.255.0.1:9500", on_call=serve, body_limit=1024
        )

    # --- looking ------------------------------------------------------------------------

    async def sleep(self, *, us: int) -> None:
        """Let virtual time pass."""
        await asyncio.sleep(us / SECOND)

    async def wait_for(self, *, what: str, is_there: Callable[[], bool], us: int) -> int:
        """Wait for a condition; how long it took."""
        started_us = self.world.now_us()
        while not is_there():
            if self.world.now_us() - started_us > us:
                raise HollowTimeoutError(what)
            await self.sleep(us=50_000)
        return self.world.now_us() - started_us

    def ready_count(self) -> int:
        """How many edges serve."""
        return sum(
            self.processes[name].is_alive and not edge.refusal()
            for name, edge in self.edges.items()
        )

    def ready_to_put(self) -> bool:
        """Is every edge in the membership and does it hold a lease?"""
        core = self.cores[self.leader()]
        if len(core.task.machine.state.membership) < self.options.nodes:
            return False
        now_us = self.world.now_us()
        return all(edge.lease_holder.has_lease(now_us=now_us) for edge in self.edges.values())

    def leader(self) -> str:
        """The name of the process that leads, or nothing."""
        for name, core in self.cores.items():
            if core.task is not None and core.task.is_leader:
                return name
        return ""

    def _note(self, *, by: str, event: Any) -> None:
        now_us = self.world.now_us()
        if isinstance(event, Installed):
            self.in_force.setdefault(event.version, {}).setdefault(by, now_us)
        if not isinstance(event, PeerChanged) or event.status not in ("suspect", "dead"):
            return
        for loss in reversed(self.losses):
            if event.peer in loss.names and now_us - loss.at_us < LATE_US:
                if by in self.down or self.down_us.get(by, -1) >= loss.at_us - DOWN_US:
                    return  # it was not there itself
                if event.peer not in self.down:
                    return  # old news of it, after it came back
                key = (by, event.peer)
                loss.suspected_us.setdefault(key, now_us - loss.at_us)
                if event.status == "dead":
                    loss.dead_us.setdefault(key, now_us - loss.at_us)
                return
        lately = now_us - self.down_us.get(event.peer, -GRACE_US) < GRACE_US
        if self.is_watching and event.peer not in self.down and not lately:
            self.false_alarms.append((now_us, by, event.peer))

    # --- acting -------------------------------------------------------------------------

    async def put(self) -> bool:
        """One change of configuration through the leader's machine."""
        serial = self.version + 1
        asked_us = self.world.now_us()
        here = set(self.edges) - self.down
        n = int((self.leader() or "core/0").removeprefix("core/"))
        reply = await self.outside.ports.net.fetch(
            call=HttpCall(
                method="PUT",
                url=f"http://{self.address(n=n, port=8100)}/v1/configuration",
                headers={
                    "If-Match": str(self.version),
                    "Kelp-Put-Id": f"put-{serial}",
                    "Kelp-Time-Left-Us": "10000000",
                },
                body=document(
                    routes=self.options.routes, serial=serial, shards=self.options.shards
                ),
                wait_us=11 * SECOND,
            )
        )
        if isinstance(reply, KelpstageError) or reply.status != 200:
            self.say(f"put {serial}: {reply}")
            return False
        self.version = json.loads(reply.body)["version"]
        self.put_us[self.version] = (asked_us, self.world.now_us())
        self.here[self.version] = here
        return True

    def lose(self, *, numbers: list[int]) -> Loss:
        """Kill edges at once; they start again a little later."""
        names = [self.machines[n].name for n in numbers]
        now_us = self.world.now_us()
        watchers = [
            name
            for name in self.edges
            if name not in names
            and name not in self.down
            and self.down_us.get(name, -1) < now_us - DOWN_US
        ]
        loss = Loss(names=names, at_us=now_us, watchers=len(watchers))
        self.losses.append(loss)
        for name in names:
            self.down.add(name)
            self.processes[name].kill()
        return loss

    async def raise_again(self, *, numbers: list[int]) -> None:
        """Start edges that were killed."""
        for n in numbers:
            self.down_us[self.machines[n].name] = self.world.now_us()
            await self.start_edge(n=n)

    async def fail_one(self) -> None:
        """Kill some edge and start it again a little later."""
        if self.options.cores >= self.options.nodes:
            return
        n = self.world.rand.randrange(self.options.cores, self.options.nodes)
        if self.machines[n].name in self.down:
            return
        self.lose(numbers=[n])
        await self.sleep(us=DOWN_US)
        await self.raise_again(numbers=[n])

    def cut_region(self, *, region: str) -> list[str]:
        """Cut one region off from all others; the names of its nodes."""
        inside = [m.name for m in self.machines if self.regions[m.zone] == region]
        outside = [m.name for m in self.machines if self.regions[m.zone] != region]
        for a in inside:
            for b in outside:
                self.world.cut(a=a, b=b)
        return inside

    # --- measuring ----------------------------------------------------------------------

    def reading(self) -> dict[str, tuple]:
        """The counters of every process: processor time, bytes by way, packets, bytes by kind."""
        return {
            name: (process.cpu_ns, dict(process.sent), process.packets, dict(process.kinds))
            for name, process in self.processes.items()
        }

    def rates(self, *, before: dict[str, tuple], us: int) -> dict[str, dict[str, float]]:
        """Shares of a core, bytes and packets a second for each process."""
        out = {}
        for name, now in self.reading().items():
            old = before.get(name)
            if old is None or now[0] < old[0] or not self.processes[name].is_alive:
                continue
            sent = {way: now[1].get(way, 0) - old[1].get(way, 0) for way in now[1]}
            kinds = {kind: now[3].get(kind, 0) - old[3].get(kind, 0) for kind in now[3]}
            out[name] = {
                "cpu": (now[0] - old[0]) / 1e3 / us,
                "bytes": sum(sent.values()) * SECOND / us,
                "far_bytes": sent.get("far", 0) * SECOND / us,
                "udp_bytes": kinds.get("udp", 0) * SECOND / us,
                "packets": (now[2] - old[2]) * SECOND / us,
            }
        return out
