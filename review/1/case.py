"""Case 1: planned work alone, and no request is served any more."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins.case import run_case  # noqa: E402
from stand_ins.deployment import BOUNDS, Deployment, Machine  # noqa: E402
from stand_ins.parties import (  # noqa: E402
    Clients,
    Operator,
    Platform,
    configuration,
    make_backends,
)

WITHOUT_A_DISK = 7
GAP_S = 1.0  # between two machines that leave
DOWN_S = 0.5  # of a process that is started again
MEASURED_S = 6.0  # after `RecoveryS`
LEAST_SHARE = 0.25


async def stop(deployment: Deployment, machine: Machine) -> None:
    """SIGTERM to all processes of a machine, and SIGKILL after `GraceS`."""
    for role in machine.processes:
        deployment.signal(machine=machine, role=role, number=signal.SIGTERM)
    for _ in range(BOUNDS["GraceS"] * 10):
        if all(process.poll() is not None for process in machine.processes.values()):
            break
        await asyncio.sleep(0.1)
    for role, process in list(machine.processes.items()):
        if process.poll() is None:
            deployment.kill(machine=machine, role=role)
        else:
            del machine.processes[role]
    deployment.record.say(f"platform: {machine.name} has stopped")


async def leave(deployment: Deployment) -> None:
    """The machines without a disk leave in turn."""
    leaving = []
    for machine in [machine for machine in deployment.machines if not machine.has_disk]:
        leaving.append(asyncio.create_task(stop(deployment, machine)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*leaving)
    deployment.machines[:] = deployment.cores


async def restart_in_turn(deployment: Deployment) -> None:
    """Each machine that is left is stopped and started again, the next one `CatchUpS` later."""
    for machine in deployment.cores:
        await stop(deployment, machine)
        await asyncio.sleep(DOWN_S)
        for role in ("core", "edge"):
            deployment.start(machine=machine, role=role)
        await asyncio.sleep(BOUNDS["CatchUpS"])


async def replace_in_turn(deployment: Deployment) -> None:
    """Each core machine is replaced as planned: the new, empty one first, then SIGTERM to the
    old one `CatchUpS` later."""
    for place, old in enumerate(deployment.cores):
        new = deployment.machine(
            name=old.name.replace("-1", f"-{place + 7}"),
            place=place + 31,
            zone=old.zone,
            has_disk=True,
        )
        deployment.machines.append(new)
        for role in ("core", "edge"):
            deployment.start(machine=new, role=role)
        await asyncio.sleep(BOUNDS["CatchUpS"])
        await stop(deployment, old)
        deployment.machines.remove(old)
        deployment.seeds = [machine.control for machine in deployment.cores]


async def play(deployment: Deployment, has_trouble: bool) -> str:
    """Planned work, then a kill of all processes, as the closing fault of a day."""
    record = deployment.record
    await Platform(deployment=deployment, backends=make_backends(deployment=deployment)).open()
    for machine in deployment.cores:
        deployment.start(machine=machine, role="core")
    for machine in deployment.machines:
        deployment.start(machine=machine, role="edge")
    operator = Operator(deployment=deployment)
    if await operator.replace(value=configuration(revision=3), base=0, until_s=20.0) is None:
        raise RuntimeError("the first configuration was not taken")
    deployment.is_first_start = False
    clients = Clients(deployment=deployment)
    asking = asyncio.create_task(clients.run(until_s=117.0))
    await asyncio.sleep(3.0)
    if has_trouble:
        await leave(deployment)
        await restart_in_turn(deployment)
        await replace_in_turn(deployment)
        await asyncio.sleep(BOUNDS["CatchUpS"])
    before = clients.served, clients.sent
    record.say(f"clients: {before[0]} of {before[1]} requests were served before the closing fault")
    machines = list(deployment.machines)
    for machine in machines:
        for role in list(machine.processes):
            deployment.kill(machine=machine, role=role)
    await asyncio.sleep(DOWN_S)
    for machine in machines:
        for role in ("core", "edge") if machine.has_disk else ("edge",):
            deployment.start(machine=machine, role=role)
    await asyncio.sleep(BOUNDS["RecoveryS"])
    clients.served = clients.sent = 0
    await asyncio.sleep(MEASURED_S)
    asking.cancel()
    record.say(
        f"clients: {clients.served} of {clients.sent} requests sent later than"
        f" {BOUNDS['RecoveryS']} s after all machines were back were served"
    )
    if before[0] < LEAST_SHARE * before[1]:
        raise RuntimeError("less than a quarter was served before the closing fault")
    if clients.served >= LEAST_SHARE * clients.sent:
        return ""
    return f"after the closing fault {clients.served} of {clients.sent} requests were served"


if __name__ == "__main__":
    run_case(folder=HERE, play=play, edges=WITHOUT_A_DISK)
