"""An order that brings a version in again is acknowledged and never carried out."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))

import fleet as kit

SERVICE, OVER_S, ACK_WITHIN_S = "proofs", 4, 8.0


async def clients(*, fleet: kit.Fleet, stop: asyncio.Event, answers: list[kit.Answer]) -> None:
    """Send 40 requests a second, each to a node in turn."""
    number = 0
    tasks: list[asyncio.Task] = []

    async def one(request_id: str, machine: kit.Machine) -> None:
        answers.append(
            await fleet.ask(
                machine=machine, request_id=request_id, path="/proof/a", deadline_ms=2500
            )
        )

    while not stop.is_set():
        number += 1
        machine = fleet.machines[number % len(fleet.machines)]
        tasks.append(asyncio.create_task(one(f"{number:016x}", machine)))
        await asyncio.sleep(0.025)
    await asyncio.gather(*tasks)


async def roll(
    *, fleet: kit.Fleet, platform: kit.Platform, target: str, zones: list[str]
) -> tuple[int, dict]:
    """Order a version, start its backends, wait until the rollout has ended as PROTOCOL says."""
    body = {"Service": SERVICE, "TargetVersion": target, "OverS": OVER_S}
    old = [b for b in platform.backends if b.revision != target]
    answer = await fleet.order(path="/api/Rollouts.Begin", body=body, for_s=ACK_WITHIN_S)
    if answer.status != 200:
        return answer.status, {}
    for zone in zones:
        await platform.add(service=SERVICE, zone=zone, revision=target)
    until, view = time.monotonic() + 20, {}
    while time.monotonic() < until:
        view = json.loads((await fleet.read(path=f"/api/Rollouts.Read/{SERVICE}")).body or b"{}")
        if view.get("TargetVersion") == target and view.get("Condition") == "complete":
            for backend in old:
                await platform.remove(backend=backend)
            break
        await asyncio.sleep(0.5)
    return 200, view


async def main(record: kit.Record, has_trouble: bool) -> int:
    """Order v2, then v1 again (the trouble), then v2; then kill all cores, and read."""
    net = random.randrange(20, 250)
    machines = [kit.Machine(f"edge-{z}", z, f"127.{net}.{n}.1") for n, z in enumerate("abc")]
    fleet = kit.Fleet(record=record, machines=machines, bounds={"BadTrafficShare": 0.1})
    platform = kit.Platform(fleet=fleet)
    zones = [m.zone for m in machines] * 2
    stop, answers = asyncio.Event(), []
    try:
        await platform.open()
        for zone in zones:
            await platform.add(service=SERVICE, zone=zone, revision="v1")
        await fleet.start_all()
        routes = [kit.route(name="proof", service=SERVICE)]
        first = kit.configuration(revision=1, routes=routes, services=[SERVICE])
        answer = await fleet.order(path="/api/Config.Replace", body=first, base=0, for_s=30)
        if answer.status != 200:
            return 2
        if not await fleet.wait_ready(count=3, for_s=20):
            return 2
        sending = asyncio.create_task(clients(fleet=fleet, stop=stop, answers=answers))
        await asyncio.sleep(2)
        for target in ["v2", "v1"] if has_trouble else ["v2"]:
            status, view = await roll(fleet=fleet, platform=platform, target=target, zones=zones)
            record.note(f"rollout to {target}: {status} {view}")
            if status != 200 or view.get("Condition") != "complete":
                return 2
        await asyncio.sleep(ACK_WITHIN_S + 1)
        status, view = await roll(fleet=fleet, platform=platform, target="v2", zones=zones)
        record.note(f"last order, to v2: {status}; 20 s later at the latest: {view}")
        if status != 200:
            return 2
        for machine in machines:
            fleet.send_signal(machine=machine, role="core", number=9)
        await asyncio.sleep(0.5)
        for machine in machines:
            fleet.start(machine=machine, role="core")
        after = await fleet.read(path=f"/api/Rollouts.Read/{SERVICE}", for_s=15)
        last = json.loads(after.body or b"{}")
        since = time.monotonic()
        stop.set()
        await sending
        runs = [r for b in platform.backends for r in b.runs if r.at > since - 5]
        versions = {b.instance: b.revision for b in platform.backends}
        counts = {v: sum(versions[r.backend] == v for r in runs) for v in ("v1", "v2")}
        record.note(f"after the closing fault: {last}; runs of the last 5 s by version: {counts}")
        if after.status != 200:
            return 2
        return 0 if last.get("TargetVersion") == "v2" else 1
    finally:
        stop.set()
        fleet.close()


kit.run_case(main=main, folder=pathlib.Path(__file__).resolve().parent)
