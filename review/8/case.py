"""One machine of three is lost at the first start, and the other two never found a cluster."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))

import fleet as kit

SERVICE = "proofs"


async def main(record: kit.Record, has_trouble: bool) -> int:
    """Start all, lose one machine for good, send the first configuration to the others."""
    net = random.randrange(20, 250)
    machines = [kit.Machine(f"edge-{z}", z, f"127.{net}.{n}.1") for n, z in enumerate("abc")]
    fleet = kit.Fleet(record=record, machines=machines)
    platform = kit.Platform(fleet=fleet)
    try:
        await platform.open()
        for machine in machines:
            await platform.add(service=SERVICE, zone=machine.zone)
        await fleet.start_all()
        await asyncio.sleep(0.1)
        if has_trouble:
            for role in ("core", "edge"):
                fleet.send_signal(machine=machines[2], role=role, number=9)
        routes = [kit.route(name="proof", service=SERVICE)]
        first = kit.configuration(revision=1, routes=routes, services=[SERVICE])
        answer = await fleet.order(path="/api/Config.Replace", body=first, base=0, for_s=45)
        read = await fleet.read(path="/api/Config.Read", for_s=4)
        record.note(f"first configuration: {answer.status}; read back: {read.status}")
        return 0 if answer.status == 200 and read.status == 200 else 1
    finally:
        fleet.close()


kit.run_case(main=main, folder=pathlib.Path(__file__).resolve().parent)
