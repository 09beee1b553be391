"""A rollout whose target loses one backend for good never ends, and no later order is taken."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))

import fleet as kit

SERVICE, OVER_S, ACK_WITHIN_S = "proofs", 12, 8.0
LISTED_S = 3.0  # a backend that has crashed stays on the list for so long
ENDS_WITHIN_S = 45.0  # how long the first rollout is looked at, from its order on
BOUNDS = {"BadTrafficShare": 0.1, "BadTrafficSlack": 50, "RollbackMs": 5000}


async def client(
    *, fleet: kit.Fleet, number: int, stop: asyncio.Event, statuses: list[int]
) -> None:
    """Send a request each 0.1 s to some machine."""
    count = 0
    while not stop.is_set():
        count += 1
        answer = await fleet.ask(
            machine=random.choice(fleet.machines),
            request_id=f"{number:04x}{count:012x}",
            path="/proof/a",
            deadline_ms=2500,
        )
        statuses.append(answer.status)
        await asyncio.sleep(0.1)


async def condition(*, fleet: kit.Fleet) -> str:
    """The condition of the service's newest rollout."""
    answer = await fleet.read(path=f"/api/Rollouts.Read/{SERVICE}")
    return str(json.loads(answer.body or b"{}").get("Condition"))


async def crash_for_good(*, platform: kit.Platform, backend: kit.Backend) -> None:
    """End a backend without a word; the list shows it for some seconds more."""
    await backend.close()
    await asyncio.sleep(LISTED_S)
    await platform.remove(backend=backend)


async def main(record: kit.Record, has_trouble: bool) -> int:
    """Order v2, whose backends lose one (the trouble); long after its term, order v3."""
    net = random.randrange(20, 250)
    machines = [kit.Machine(f"edge-{z}", z, f"127.{net}.{n}.1") for n, z in enumerate("abc")]
    fleet = kit.Fleet(record=record, machines=machines, bounds=BOUNDS)
    platform = kit.Platform(fleet=fleet)
    stop: asyncio.Event = asyncio.Event()
    statuses: list[int] = []
    try:
        await platform.open()
        old = [await platform.add(service=SERVICE, zone=zone) for zone in "abc"]
        await fleet.start_all()
        routes = [kit.route(name="proof", service=SERVICE)]
        first = kit.configuration(revision=1, routes=routes, services=[SERVICE])
        answer = await fleet.order(path="/api/Config.Replace", body=first, base=0, for_s=20)
        if answer.status != 200 or not await fleet.wait_ready(count=3, for_s=15):
            return 2
        clients = [
            asyncio.create_task(client(fleet=fleet, number=n, stop=stop, statuses=statuses))
            for n in range(6)
        ]
        await asyncio.sleep(3.0)
        ordered = time.monotonic()
        order = {"Service": SERVICE, "TargetVersion": "v2", "OverS": OVER_S}
        answer = await fleet.order(path="/api/Rollouts.Begin", body=order, for_s=ACK_WITHIN_S)
        if answer.status != 200:
            return 2
        new = [await platform.add(service=SERVICE, zone=zone, revision="v2") for zone in "abc"]
        await asyncio.sleep(1.0)
        if has_trouble:
            await crash_for_good(platform=platform, backend=new[0])
        seen = ""
        while time.monotonic() < ordered + ENDS_WITHIN_S and seen != "complete":
            await asyncio.sleep(1.0)
            seen = await condition(fleet=fleet)
        if seen == "complete":
            for backend in old:
                await platform.remove(backend=backend)
        record.note(f"v2, {time.monotonic() - ordered:.0f} s after its order: {seen}")
        order = {"Service": SERVICE, "TargetVersion": "v3", "OverS": OVER_S}
        answer = await fleet.order(path="/api/Rollouts.Begin", body=order, for_s=ACK_WITHIN_S)
        record.note(f"order of v3: {answer.status} {answer.body!r}")
        stop.set()
        await asyncio.gather(*clients)
        record.note(f"{statuses.count(200)} of {len(statuses)} requests were served")
        return 0 if answer.status == 200 else 1
    finally:
        stop.set()
        fleet.close()


kit.run_case(main=main, folder=pathlib.Path(__file__).resolve().parent)
