"""Random choices of a fault's targets and duration, derived from the seed."""

from __future__ import annotations

import random

from kelpstage.testbed.simulation.fleet import SimFleet

SECOND = 1_000_000


def span_us(*, rand: random.Random, low_s: float, high_s: float) -> int:
    """Return a random duration in microseconds, between two bounds in seconds."""
    return int((low_s + rand.random() * (high_s - low_s)) * SECOND)


def random_backend(*, fleet: SimFleet, rand: random.Random) -> str:
    """Return the name of a random backend."""
    return rand.choice(sorted(fleet.backends))


def running_edges(*, fleet: SimFleet) -> list[str]:
    """Return the edges whose process runs, in the deployment's order."""
    return [n.name for n in fleet.deployment.nodes if fleet.processes[f"edge/{n.name}"].is_alive]


def core_to_lose(*, fleet: SimFleet, rand: random.Random) -> str | None:
    """Return a core to take down, in half of the cases the leader; None if none may be lost."""
    up = sorted(n for n in fleet.core_address if fleet.processes[f"core/{n}"].is_alive)
    leader = fleet.leader()
    if not fleet.are_cores_healthy():
        return None  # the deployments tolerate the loss of one core at a time
    if leader in up and rand.random() < 0.5:
        return leader
    return rand.choice(up) if len(up) == len(fleet.core_address) else None


def backends_of_shard(*, fleet: SimFleet, shard: str) -> list[str]:
    """Return the backends of a shard of the first configuration."""
    return [b.name for b in fleet.deployment.backends if b.shard == shard]
