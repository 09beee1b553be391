"""An order back to the version in place refuses almost all requests of the service."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))

import fleet as kit

SERVICE, OVER_S, ACK_WITHIN_S, RECOVERY_S = "proofs", 45, 8.0, 15.0
BOUNDS = {"BadTrafficShare": 0.1, "BadTrafficSlack": 50, "RollbackMs": 5000, "RecoveryS": 15}


async def work(backend: kit.Backend, request_id: str) -> tuple[int, bytes]:
    """A version whose name ends in `bad` fails half of its answers."""
    await asyncio.sleep(0.01)
    is_failure = backend.revision.endswith("bad") and random.random() < 0.5
    return (500, b"failed") if is_failure else (200, request_id.encode())


async def client(
    *, fleet: kit.Fleet, number: int, stop: asyncio.Event, answers: list[tuple[float, int]]
) -> None:
    """Send a request each 0.1 s to some machine, and once more to another one if it is refused."""
    count = 0
    while not stop.is_set():
        began = time.monotonic()
        for _ in range(2):
            count += 1
            answer = await fleet.ask(
                machine=random.choice(fleet.machines),
                request_id=f"{number:04x}{count:012x}",
                path="/proof/a",
                deadline_ms=2500,
            )
            if answer.status == 200:
                break
        answers.append((began, answer.status))
        await asyncio.sleep(max(0.0, began + 0.1 - time.monotonic()))


async def begin(*, fleet: kit.Fleet, target: str) -> int:
    """Order a version; the status of the answer."""
    body = {"Service": SERVICE, "TargetVersion": target, "OverS": OVER_S}
    return (await fleet.order(path="/api/Rollouts.Begin", body=body, for_s=ACK_WITHIN_S)).status


async def bad_version_and_back(*, fleet: kit.Fleet, platform: kit.Platform) -> bool:
    """Order a bad version, wait for its revert, drain it, and order the old version again."""
    if await begin(fleet=fleet, target="v2-bad") != 200:
        return False
    new = [
        await platform.add(service=SERVICE, zone=zone, revision="v2-bad", work=work)
        for zone in "abcabc"
    ]
    until = time.monotonic() + 40
    while time.monotonic() < until:
        view = json.loads((await fleet.read(path=f"/api/Rollouts.Read/{SERVICE}")).body or b"{}")
        if view.get("Condition") == "reverted":
            break
        await asyncio.sleep(0.5)
    else:
        return False
    for backend in new:
        backend.condition = "draining"
    await asyncio.sleep(4.0)
    for backend in new:
        await platform.remove(backend=backend)
    if await begin(fleet=fleet, target="v1") != 200:
        return False
    for zone in "abcabc":
        await platform.add(service=SERVICE, zone=zone, revision="v1", work=work)
    return True


def share_served(*, answers: list[tuple[float, int]], since: float, until: float) -> float:
    """The share of the requests sent in a span that were served."""
    found = [status for at, status in answers if since <= at < until]
    return sum(status == 200 for status in found) / max(1, len(found))


async def main(record: kit.Record, has_trouble: bool) -> int:
    """A bad version, the order back (the trouble), then the closing fault."""
    net = random.randrange(20, 250)
    machines = [kit.Machine(f"edge-{z}", z, f"127.{net}.{n}.1") for n, z in enumerate("abc")]
    fleet = kit.Fleet(record=record, machines=machines, bounds=BOUNDS)
    platform = kit.Platform(fleet=fleet)
    stop: asyncio.Event = asyncio.Event()
    answers: list[tuple[float, int]] = []
    try:
        await platform.open()
        for zone in "abcabc":
            await platform.add(service=SERVICE, zone=zone, work=work)
        await fleet.start_all()
        routes = [kit.route(name="proof", service=SERVICE)]
        first = kit.configuration(revision=1, routes=routes, services=[SERVICE])
        answer = await fleet.order(path="/api/Config.Replace", body=first, base=0, for_s=20)
        if answer.status != 200 or not await fleet.wait_ready(count=3, for_s=15):
            return 2
        began = time.monotonic()
        clients = [
            asyncio.create_task(client(fleet=fleet, number=n, stop=stop, answers=answers))
            for n in range(6)
        ]
        await asyncio.sleep(3.0)
        if has_trouble and not await bad_version_and_back(fleet=fleet, platform=platform):
            return 2
        closing = time.monotonic()
        for machine in machines:
            for role in ("core", "edge"):
                fleet.send_signal(machine=machine, role=role, number=9)
        await asyncio.sleep(0.5)
        for machine in machines:
            for role in ("core", "edge"):
                fleet.start(machine=machine, role=role)
        await asyncio.sleep(RECOVERY_S + 4.5)
        stop.set()
        await asyncio.gather(*clients)
        before = share_served(answers=answers, since=began, until=closing)
        after = share_served(
            answers=answers, since=closing + 0.5 + RECOVERY_S, until=time.monotonic()
        )
        view = (await fleet.read(path=f"/api/Rollouts.Read/{SERVICE}", for_s=2)).body
        record.note(f"served before the closing fault {before:.2f}, after it {after:.2f}; {view!r}")
        return 1 if before >= 0.25 and after < 0.25 else 0
    finally:
        stop.set()
        fleet.close()


kit.run_case(main=main, folder=pathlib.Path(__file__).resolve().parent)
