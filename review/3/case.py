"""Case 3: machines without a disk leave in turn; the next change is never acknowledged."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins.case import run_case  # noqa: E402
from stand_ins.deployment import BOUNDS, Deployment  # noqa: E402
from stand_ins.parties import (  # noqa: E402
    Clients,
    Operator,
    Platform,
    configuration,
    make_backends,
)

GAP_S = 1.0
ROUTES = 2
WAIT_S = 50.0  # for the second configuration
WITHOUT_A_DISK = 7


async def leave(deployment: Deployment) -> None:
    """SIGTERM to each machine without a disk, one each second; none starts again."""
    for machine in deployment.machines:
        if not machine.has_disk:
            deployment.signal(machine=machine, role="edge", number=signal.SIGTERM)
            await asyncio.sleep(GAP_S)
    left = [machine for machine in deployment.machines if not machine.has_disk]
    for _ in range(BOUNDS["GraceS"] * 10):
        if all(machine.processes["edge"].poll() is not None for machine in left):
            break
        await asyncio.sleep(0.1)
    for machine in left:
        code = machine.processes["edge"].poll()
        if code is None:
            deployment.kill(machine=machine, role="edge")
        else:
            del machine.processes["edge"]
            deployment.record.say(f"platform: edge on {machine.name} has ended, code {code}")
        deployment.machines.remove(machine)


async def play(deployment: Deployment, has_trouble: bool) -> str:
    """Take a configuration, let seven of ten machines leave, send the next one."""
    record = deployment.record
    await Platform(deployment=deployment, backends=make_backends(deployment=deployment)).open()
    for machine in deployment.cores:
        deployment.start(machine=machine, role="core")
    for machine in deployment.machines:
        deployment.start(machine=machine, role="edge")
    operator = Operator(deployment=deployment)
    first_s = await operator.replace(value=configuration(revision=3), base=0, until_s=20.0)
    if first_s is None:
        raise RuntimeError("the first configuration was not taken")
    clients = Clients(deployment=deployment)
    asking = asyncio.create_task(clients.run(until_s=115.0))
    await asyncio.sleep(3.0)
    if has_trouble:
        await leave(deployment)
    await asyncio.sleep(BOUNDS["TouchMs"] / 1000)
    clients.served = clients.sent = 0
    sent_s = record.now_s()
    due_s = sent_s + BOUNDS["AckWithinMs"] / 1000 + 0.003 * ROUTES
    order = configuration(revision=5, DeadlineMs=2000)
    taken_s = await operator.replace(value=order, base=3, until_s=sent_s + WAIT_S)
    asking.cancel()
    record.say(f"operator: sent at {sent_s:.3f}, due at {due_s:.3f}, acknowledged at {taken_s}")
    record.say(f"clients: {clients.served} of {clients.sent} requests were served meanwhile")
    for machine in deployment.machines:
        for role, process in machine.processes.items():
            record.say(f"{role} on {machine.name}: {'runs' if process.poll() is None else 'ended'}")
    if taken_s is None:
        return f"a valid configuration had no acknowledgement {WAIT_S:.0f} s after it was sent"
    return "" if taken_s <= due_s else f"acknowledged {taken_s - sent_s:.1f} s after it was sent"


if __name__ == "__main__":
    run_case(folder=HERE, play=play, edges=WITHOUT_A_DISK)
