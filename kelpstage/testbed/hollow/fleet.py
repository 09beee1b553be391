"""A hollow fleet: the daemons' own code at many nodes, without traffic.

Every node is a whole `Edge`, the first ones of some zones a `Core` beside it, all in
one process on virtual time. What is measured: bytes, processor time and memory a
node while nothing happens; then, while configurations change and nodes fail, the
time until each change is in force everywhere, until each loss is noticed everywhere,
and who was suspected though it was well.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import statistics
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.core.app import Core
from kelpstage.edge.app import Edge
from kelpstage.edge.events import Installed, PeerChanged
from kelpstage.testbed.hollow.load import (
    AIM_US,
    DEADLINE_US,
    FRONT_PORT,
    HOST,
    LIMIT,
    PREFIX,
    QUORUM,
    Load,
)
from kelpstage.testbed.hollow.metered_network import HollowProcess, HollowWorld, metered_loop
from kelpstage.testbed.hollow.options import Options
from kelpstage.testbed.simulation.loop import VirtualLoop
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


def document(*, routes: int, serial: int, shards: int = 0) -> bytes:
    """A configuration of this many routes; each serial differs in one time-out. With
    shards, one route more fans out to all of them.

    >>> len(document(routes=40, serial=1)) > 5_000
    True
    """
    services = {
        f"service-{n:04d}": {"health_path": "/health", "max_connections": 88} for n in range(routes)
    }
    forward = {
        f"route-{n:04d}": {
            "host": f"host-{n % 7}.example",
            "prefix": f"/part-{n:04d}/",
            "is_repeatable": True,
            "attempts": 2,
            "deadline_us": 800_000 + (serial if n == serial % routes else 0),
            "aim_us": 84_000,
            "rank": n % 4,
            "weights": {f"service-{n:04d}": 1.0},
        }
        for n in range(routes)
    }
    names = [f"shard-{n:04d}" for n in range(shards)]
    if names:
        services |= {name: {"health_path": "/health", "max_connections": 400} for name in names}
        forward["search"] = {
            "host": HOST,
            "prefix": PREFIX,
            "is_repeatable": True,
            "attempts": 2,
            "deadline_us": DEADLINE_US,
            "aim_us": AIM_US,
            "rank": 0,
            "fan_out": names,
            "limit": LIMIT,
            "quorum": QUORUM,
        }
    return json.dumps({"services": services, "forward": forward}).encode()


def memory_bytes() -> int:
    """Resident bytes of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


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
        self._is_watching = False
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
        return f"10.{n // 62500}.{n // 250 % 250}.{n % 250 + 1}:{port}"

    def add_process(self, *, name: str, machine: Machine) -> HollowProcess:
        self.instances[name] = self.instances.get(name, 0) + 1
        process = HollowProcess(
            world=self.world, name=name, machine=machine, instance=self.instances[name]
        )
        self.processes[name] = process
        return process

    # --- starting ----------------------------------------------------------------------

    async def start(self) -> None:
        for n in range(self.options.cores):
            await self._start_core(n=n)
        step_us = START_SPREAD_US // self.options.nodes
        for n in range(self.options.nodes):
            await self.start_edge(n=n)
            await self.sleep(us=step_us)

    async def _start_core(self, *, n: int) -> None:
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
        from kelpstage.edge.backend.discovery import OwnListSource

        return Edge(
            ports=process.ports,
            settings=settings,
            lists=OwnListSource(url="http://10.255.0.1:9500/lives"),
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
        await asyncio.sleep(us / SECOND)

    async def wait_for(self, *, what: str, is_there: Callable[[], bool], us: int) -> int:
        started_us = self.world.now_us()
        while not is_there():
            if self.world.now_us() - started_us > us:
                raise HollowTimeoutError(what)
            await self.sleep(us=50_000)
        return self.world.now_us() - started_us

    def ready_count(self) -> int:
        return sum(
            self.processes[name].is_alive and not edge.refusal()
            for name, edge in self.edges.items()
        )

    def ready_to_put(self) -> bool:
        """Is everybody on the membership and granted?"""
        core = self.cores[self.leader()]
        if len(core.task.machine.state.membership) < self.options.nodes:
            return False
        now_us = self.world.now_us()
        return all(edge.lease_holder.has_lease(now_us=now_us) for edge in self.edges.values())

    def leader(self) -> str:
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
        if self._is_watching and event.peer not in self.down and not lately:
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
        for n in numbers:
            self.down_us[self.machines[n].name] = self.world.now_us()
            await self.start_edge(n=n)

    async def fail_one(self) -> None:
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


def _quantiles(values: list[float]) -> tuple[float, float, float]:
    if not values:
        return (0.0, 0.0, 0.0)
    ordered = sorted(values)
    return (statistics.median(ordered), ordered[round(0.99 * (len(ordered) - 1))], ordered[-1])


async def measure(*, fleet: HollowFleet) -> dict[str, Any]:
    """Bring a fleet up, leave it alone, then let things happen; one row of figures."""
    options, world = fleet.options, fleet.world
    empty_bytes = memory_bytes()
    if options.backends or options.shards:
        await fleet.serve_list()
    if options.shards:
        await fleet.load.open()
    await fleet.start()
    start_us = await fleet.wait_for(
        what="everybody ready",
        us=300 * SECOND,
        is_there=lambda: fleet.leader() != "" and fleet.ready_to_put(),
    )
    if not await fleet.put():
        raise HollowTimeoutError("the first configuration was not taken")
    await fleet.wait_for(
        what="everybody serving",
        us=60 * SECOND,
        is_there=lambda: fleet.ready_count() == options.nodes,
    )
    fleet.say(f"up after {start_us / SECOND:.1f} s")
    known_us = await fleet.wait_for(
        what="everybody known to everybody",
        us=600 * SECOND,
        is_there=lambda: min(e.swim.told_count() for e in fleet.edges.values()) >= options.nodes,
    )
    await fleet.sleep(us=SETTLE_US)
    gc.collect()
    gc.freeze()
    gc.disable()
    row: dict[str, Any] = {
        "nodes": options.nodes,
        "cores": options.cores,
        "zones": options.zones,
        "regions": options.regions,
        "backends": options.backends,
        "routes": options.routes,
        "up_s": round(start_us / SECOND, 1),
        "node_kb": round((memory_bytes() - empty_bytes) / options.nodes / 1024),
        "known_s": round((start_us + known_us) / SECOND, 1),
    }
    fleet._is_watching = True
    before, started_us = fleet.reading(), world.now_us()
    await fleet.sleep(us=options.seconds * SECOND)
    row |= _idle(fleet=fleet, before=before, us=world.now_us() - started_us)
    fleet.say(f"idle: {json.dumps(row)}")
    if options.queries:
        row |= await _loaded(fleet=fleet, idle=row)
    if options.changes or options.failures:
        before, started_us = fleet.reading(), world.now_us()
        await _busy(fleet=fleet)
        row |= _busy_figures(fleet=fleet, before=before, us=world.now_us() - started_us)
    if options.zone_loss:
        row |= await _lose_zone(fleet=fleet)
    if options.core_loss:
        row |= await _lose_cores(fleet=fleet)
    if options.cut_s:
        row |= await _cut(fleet=fleet)
    row["false_alarms"] = len(fleet.false_alarms)
    gc.enable()
    return row


def _idle(*, fleet: HollowFleet, before: dict, us: int) -> dict[str, Any]:
    rates = fleet.rates(before=before, us=us)
    edges = [rates[name] for name in fleet.edges if name in rates]
    cores = {name: rates[name] for name in fleet.cores if name in rates}
    leader = cores.get(fleet.leader(), {"cpu": 0.0, "bytes": 0.0})
    others = [rate for name, rate in cores.items() if name != fleet.leader()]

    def mean(key: str) -> float:
        return statistics.fmean(rate[key] for rate in edges)

    return {
        "edge_cpu": round(mean("cpu"), 5),
        "edge_cpu_most": round(max(rate["cpu"] for rate in edges), 5),
        "edge_bytes": round(mean("bytes")),
        "edge_udp_bytes": round(mean("udp_bytes")),
        "edge_far_bytes": round(mean("far_bytes")),
        "edge_packets": round(mean("packets"), 1),
        "leader_cpu": round(leader["cpu"], 5),
        "leader_bytes": round(leader["bytes"]),
        "core_cpu": round(statistics.fmean([r["cpu"] for r in others] or [0.0]), 5),
        "far_bytes_all": round(sum(rate["far_bytes"] for rate in rates.values())),
    }


async def _loaded(*, fleet: HollowFleet, idle: dict[str, Any]) -> dict[str, Any]:
    """What a search costs all edges together beyond idling, and how it goes."""
    options, load = fleet.options, fleet.load
    before, started_us = fleet.reading(), fleet.world.now_us()
    await load.run(seconds=options.seconds)
    us = fleet.world.now_us() - started_us
    rates = fleet.rates(before=before, us=us)
    edges = [rates[name] for name in fleet.edges if name in rates]
    cpu_us = sum(rate["cpu"] for rate in edges) * us - idle["edge_cpu"] * us * len(edges)
    bytes_all = (
        (sum(rate["bytes"] for rate in edges) - idle["edge_bytes"] * len(edges)) * us / SECOND
    )
    return {
        "shards": options.shards,
        "queries": load.asked,
        "queries_failed": load.failed,
        "query_us": round(cpu_us / load.asked),
        "shard_us": round(cpu_us / load.asked / options.shards, 1),
        "query_bytes": round(bytes_all / load.asked),
        "asks_a_shard": round(load.receipts / load.asked / options.shards, 3),
        "missing_share": round(load.missing / max(1, len(load.took_us)) / options.shards, 5),
        "query_s": [round(v, 4) for v in _quantiles([took / 1e6 for took in load.took_us])],
    }


async def _busy(*, fleet: HollowFleet) -> None:
    options = fleet.options
    tasks: list[asyncio.Task] = []

    async def spread(count: int, work: Callable[[], Any]) -> None:
        for _ in range(count):
            await fleet.sleep(us=options.seconds * SECOND // count)
            tasks.append(asyncio.ensure_future(work()))

    def count_of(an_hour: int) -> int:
        return max(1, round(an_hour * options.seconds / 3600)) if an_hour else 0

    puts = count_of(options.changes)

    async def put_in_turn() -> None:
        for _ in range(puts):
            await fleet.sleep(us=options.seconds * SECOND // puts)
            await fleet.put()

    await asyncio.gather(put_in_turn(), spread(count_of(options.failures), fleet.fail_one))
    await asyncio.gather(*tasks)
    await fleet.sleep(us=DOWN_US)


def _busy_figures(*, fleet: HollowFleet, before: dict, us: int) -> dict[str, Any]:
    rates = fleet.rates(before=before, us=us)
    edges = [rates[name] for name in fleet.edges if name in rates]
    everywhere, acknowledged = [], []
    for version, (asked_us, done_us) in fleet.put_us.items():
        if version == 1:
            continue
        acknowledged.append((done_us - asked_us) / 1e6)
        took = [
            at - asked_us
            for name, at in fleet.in_force.get(version, {}).items()
            if name in fleet.here[version] - fleet.down and fleet.down_us.get(name, 0) < asked_us
        ]
        everywhere.append(max(took, default=0) / 1e6)
    suspected, dead, first = [], [], []
    for loss in fleet.losses:
        suspected += [took / 1e6 for took in loss.suspected_us.values()]
        dead += [took / 1e6 for took in loss.dead_us.values()]
        first.append(min(loss.suspected_us.values(), default=0) / 1e6)
    missed = sum(loss.watchers - len(loss.suspected_us) for loss in fleet.losses)
    out = {
        "puts": len(everywhere),
        "acknowledged_s": [round(v, 3) for v in _quantiles(acknowledged)],
        "everywhere_s": [round(v, 3) for v in _quantiles(everywhere)],
        "losses": len(fleet.losses),
        "first_suspected_s": [round(v, 3) for v in _quantiles(first)],
        "suspected_s": [round(v, 3) for v in _quantiles(suspected)],
        "dead_s": [round(v, 3) for v in _quantiles(dead)],
        "not_noticed": missed,
        "busy_edge_bytes": round(statistics.fmean(rate["bytes"] for rate in edges)),
        "busy_edge_cpu": round(statistics.fmean(rate["cpu"] for rate in edges), 5),
    }
    return out


async def _lose_zone(*, fleet: HollowFleet) -> dict[str, Any]:
    """All edges of one zone at once, in a zone without a core if there is one."""
    options = fleet.options
    zone = f"z{options.zones - 1:02d}"
    numbers = [n for n, m in enumerate(fleet.machines) if m.zone == zone]
    loss = fleet.lose(numbers=numbers)
    await fleet.sleep(us=LATE_US - SECOND)
    pairs = (options.nodes - len(numbers)) * len(numbers)
    at_us = fleet.world.now_us()
    put = await fleet.put()
    took_us = fleet.world.now_us() - at_us
    row = {
        "zone_nodes": len(numbers),
        "zone_suspected_s": [
            round(v, 3) for v in _quantiles([t / 1e6 for t in loss.suspected_us.values()])
        ],
        "zone_dead_s": [round(v, 3) for v in _quantiles([t / 1e6 for t in loss.dead_us.values()])],
        "zone_not_noticed": pairs - len(loss.suspected_us),
        "zone_put_s": round(took_us / 1e6, 3) if put else None,
    }
    at_us = fleet.world.now_us()
    await fleet.raise_again(numbers=numbers)
    await fleet.wait_for(
        what="the zone serving again",
        us=120 * SECOND,
        is_there=lambda: fleet.ready_count() == options.nodes,
    )
    row["zone_again_s"] = round((fleet.world.now_us() - at_us) / 1e6, 3)
    return row


async def _lose_cores(*, fleet: HollowFleet) -> dict[str, Any]:
    """All cores at once, for a while: who serves on, and what that costs the edges."""
    for name in fleet.cores:
        fleet.processes[name].kill()
    await fleet.sleep(us=2 * SECOND)
    before, started_us = fleet.reading(), fleet.world.now_us()
    least = fleet.options.nodes
    for _ in range(2 * fleet.options.seconds):
        await fleet.sleep(us=SECOND // 2)
        least = min(least, fleet.ready_count())
    rates = fleet.rates(before=before, us=fleet.world.now_us() - started_us)
    edges = [rates[name] for name in fleet.edges if name in rates]
    for n in range(fleet.options.cores):
        await fleet._start_core(n=n)
    at_us = fleet.world.now_us()
    await fleet.wait_for(
        what="leases again",
        us=60 * SECOND,
        is_there=lambda: fleet.leader() != "" and fleet.ready_to_put(),
    )
    return {
        "coreless_serving_least": least,
        "coreless_edge_cpu": round(statistics.fmean(rate["cpu"] for rate in edges), 5),
        "coreless_edge_bytes": round(statistics.fmean(rate["bytes"] for rate in edges)),
        "coreless_again_s": round((fleet.world.now_us() - at_us) / 1e6, 3),
    }


async def _cut(*, fleet: HollowFleet) -> dict[str, Any]:
    """One region without the leader is cut off for a while: who serves there, can a
    change be made, and when has everybody it after the cut?"""
    options, world = fleet.options, fleet.world
    leader = fleet.processes[fleet.leader()].machine
    region = next(
        r
        for r in sorted(set(fleet.regions.values()), reverse=True)
        if r != fleet.regions[leader.zone]
    )
    inside = fleet.cut_region(region=region)
    fleet._is_watching = False
    await fleet.sleep(us=min(options.cut_s, 10) * SECOND)
    asked_us = world.now_us()
    is_put = await fleet.put()
    put_s = (world.now_us() - asked_us) / 1e6
    await fleet.sleep(us=max(0, options.cut_s - 10) * SECOND)
    serving = sum(not fleet.edges[name].refusal() for name in inside)
    serving_outside = fleet.ready_count() - serving
    healed_us = world.now_us()
    world.heal()
    await fleet.wait_for(
        what="all serving after the cut",
        us=120 * SECOND,
        is_there=lambda: (
            fleet.ready_count() == options.nodes
            and all(
                e.lease_holder.configuration.version == fleet.version for e in fleet.edges.values()
            )
        ),
    )
    return {
        "cut_nodes": len(inside),
        "cut_serving_inside": serving,
        "cut_serving_outside": serving_outside,
        "cut_put_s": round(put_s, 3) if is_put else None,
        "cut_healed_s": round((world.now_us() - healed_us) / 1e6, 3),
    }


def run_hollow(*, options: Options, say: Callable[[str], None] = lambda text: None) -> dict:
    """Run one hollow fleet in this process; the row of its figures.

    >>> row = run_hollow(options=Options(nodes=6, zones=3, seconds=5))
    >>> row["nodes"], row["false_alarms"]
    (6, 0)
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda _, context: None)
    world = HollowWorld(seed=options.seed, loop=loop)

    async def scenario() -> dict:
        fleet = HollowFleet(world=world, options=options, say=say)
        try:
            return await measure(fleet=fleet)
        finally:
            for process in fleet.processes.values():
                process.kill()
            await asyncio.sleep(0)

    try:
        with metered_loop():
            return loop.run_until_complete(scenario())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
