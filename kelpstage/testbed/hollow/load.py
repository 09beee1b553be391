"""A made-up load on a hollow fleet: searches over many shards, and their backends.

Each shard has two backends in different zones. A backend works for some milliseconds,
pauses now and then, and answers with a hundred records. Virtual time knows nothing of
the processor time that the nodes take: the latencies are those of the ways, the
backends and the rules, for nodes that are quick enough.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Protocol

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.hollow.metered_network import HollowProcess, HollowWorld
from kelpstage.testbed.hollow.options import Options
from kelpstage.testbed.simulation.world import Machine

SECOND = 1_000_000
WORK_US = (4_000, 12_000)
PAUSE_US, PAUSE_SHARE = 40_000, 0.01
RECORDS, RECORD_SIZE = 100, 16
BACKENDS_A_SHARD = 2
DEADLINE_US, AIM_US, LIMIT, QUORUM = 800_000, 100_000, 50, 0.5
HOST, PREFIX = "search.example", "/search/"
PORT, FRONT_PORT = 9000, 8200


class LoadedFleet(Protocol):
    """What the load needs of the fleet that it is put on."""

    world: HollowWorld
    options: Options
    regions: dict[str, str]
    processes: dict[str, HollowProcess]
    outside: HollowProcess

    @staticmethod
    def address(*, n: int, port: int) -> str:
        """The address of a node's port."""

    def add_process(self, *, name: str, machine: Machine) -> HollowProcess:
        """Start a process on a machine."""

    async def sleep(self, *, us: int) -> None:
        """Let virtual time pass."""


@dataclass(kw_only=True)
class Load:
    """The backends of the shards and the searches."""

    fleet: LoadedFleet
    rand: random.Random = field(default_factory=lambda: random.Random(5))
    asked: int = 0
    receipts: int = 0
    took_us: list[int] = field(default_factory=list)
    missing: int = 0
    failed: int = 0

    def rows(self) -> list[dict]:
        """The instances of the backends, as the list has them."""
        fleet, out = self.fleet, []
        for n in range(fleet.options.shards * BACKENDS_A_SHARD):
            zone = f"z{n % fleet.options.zones:02d}"
            out.append(
                {
                    "instance": f"i-{n:06d}",
                    "service": f"shard-{n // BACKENDS_A_SHARD:04d}",
                    "address": self.address(n=n),
                    "slots": 64,
                    "zone": zone,
                }
            )
        return out

    @staticmethod
    def address(*, n: int) -> str:
        """The virtual address, `host:port`, of backend number `n`."""
        return f"10.253.{n // 250}.{n % 250 + 1}:{PORT}"

    async def open(self) -> None:
        """One process a zone answers for all backends there."""
        fleet, world = self.fleet, self.fleet.world
        for zone in sorted(fleet.regions):
            machine = world.add_machine(name=f"backends-{zone}", zone=zone)
            fleet.add_process(name=f"backends-{zone}", machine=machine)
        for row in self.rows():
            process = fleet.processes[f"backends-{row['zone']}"]
            world.homes[row["address"]] = process.machine
            await process.ports.net.serve_http(
                address=row["address"],
                on_call=self._server(instance_id=row["instance"]),
                body_limit=65_536,
            )

    def _server(self, *, instance_id: str):
        rand = random.Random(instance_id)
        ports = self.fleet.outside.ports

        async def serve(call: HttpCall) -> HttpReply:
            work_us = rand.randint(*WORK_US)
            if rand.random() < PAUSE_SHARE:
                work_us += rand.randrange(PAUSE_US)
            await ports.clock.sleep(us=work_us)
            self.receipts += 1
            asked = call.headers.get("kelp-request-id", "")
            return HttpReply(
                status=200,
                headers={
                    "Kelp-Seal": f"{instance_id}.{asked}",
                    "Kelp-Request-Id": asked,
                    "Kelp-Instance": instance_id,
                },
                body=rand.randbytes(RECORDS * RECORD_SIZE),
            )

        return serve

    async def run(self, *, seconds: int) -> None:
        """Send searches at an even rate, each to a random node."""
        fleet = self.fleet
        gap_us = SECOND // fleet.options.queries
        for _ in range(seconds * fleet.options.queries):
            fleet.outside.spawn(self._search(n=self.rand.randrange(fleet.options.nodes)))
            await fleet.sleep(us=gap_us)
        await fleet.sleep(us=2 * SECOND)

    async def _search(self, *, n: int) -> None:
        fleet = self.fleet
        self.asked += 1
        asked_us = fleet.world.now_us()
        reply = await fleet.outside.ports.net.fetch(
            call=HttpCall(
                method="GET",
                url=f"http://{fleet.address(n=n, port=FRONT_PORT)}{PREFIX}q",
                headers={
                    "Host": HOST,
                    "Kelp-Request-Id": f"q{self.asked}",
                    "Kelp-Deadline-Ms": "800",
                },
                wait_us=2 * SECOND,
            )
        )
        if isinstance(reply, KelpstageError) or reply.status != 200:
            self.failed += 1
            return
        self.missing += int(reply.headers.get("kelp-missing-parts", "0"))
        self.took_us.append(fleet.world.now_us() - asked_us)
