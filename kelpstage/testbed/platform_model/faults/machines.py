"""Faults of machines and their processes: kills, power losses, freezes, replacement."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change
from kelpstage.testbed.platform_model.faults.timing import sleep

WALL_STEPS_US = (-3_600_000_000, -10_000_000, 0, 10_000_000, 3_600_000_000)


def _machines_without_disk(play: Any) -> list:
    return [node for node in play.fleet.provisioned() if not node.has_disk]


async def node_kill(play: Any, rand: random.Random) -> None:
    """Two machines without a disk are killed, one after another."""
    for node in rand.sample(_machines_without_disk(play), 2):
        play.later(play.fleet.kill(node=node, for_us=rand.choice((250_000, 3_000_000))))
        await sleep(s=rand.random() * 4)


async def core_kill(play: Any, rand: random.Random) -> None:
    """Both processes of a core machine are killed."""
    async with play.loss(node=None):
        node = rand.choice(play.fleet.core())
        await play.fleet.kill(node=node, for_us=rand.choice((250_000, 4_000_000)))


async def power_loss(play: Any, rand: random.Random) -> None:
    """A machine loses power."""
    node = rand.choice(play.fleet.provisioned())
    async with play.loss(node=node):
        await play.fleet.cut_power(node=node, for_us=rand.choice((2_000_000, 6_000_000)))


async def node_freeze(play: Any, rand: random.Random) -> None:
    """A machine freezes."""
    node = rand.choice(play.fleet.provisioned())
    async with play.loss(node=node):
        await play.fleet.freeze(node=node, for_us=rand.choice((800_000, 3_000_000, 7_000_000)))


async def roll_term(play: Any, rand: random.Random) -> None:
    """Machines are stopped and restarted one after another."""
    nodes = play.fleet.provisioned()
    for node in nodes if len(nodes) < 8 else rand.sample(nodes, 4):
        async with play.loss(node=node):
            await play.fleet.stop(node=node)
        await sleep(s=1)


async def herd_kill(play: Any, rand: random.Random) -> None:
    """Half of the machines are killed at the same time, but at most one core machine."""
    async with play.loss(node=None):
        nodes = play.fleet.provisioned()
        chosen = rand.sample(nodes, len(nodes) // 2)
        core = [node for node in chosen if node.has_disk]
        await asyncio.gather(
            *(play.fleet.kill(node=node) for node in chosen if node not in core[1:])
        )


async def core_herd(play: Any, rand: random.Random) -> None:
    """The core processes of all core machines are killed at once and restart within a second."""
    for node in play.fleet.core():
        play.later(play.fleet.kill(node=node, roles=("core",), for_us=0))


async def clock_steps(play: Any, rand: random.Random) -> None:
    """The wall clocks of the core machines are stepped, each by another amount, repeatedly."""
    for _ in range(5):
        for node in play.fleet.core():
            node.machine.wall_offset_us = rand.choice(WALL_STEPS_US)
        await sleep(s=1 + rand.random() * 4)


async def losses_overlap(play: Any, rand: random.Random) -> None:
    """All core machines lose power at staggered times, so that more of them are down at once
    than the tolerance allows; the number of lost disks stays within the tolerance."""
    core = play.fleet.core()
    wiped = rand.sample(core, play.shape.tolerance)
    for node in rand.sample(core, len(core)):
        play.later(play.fleet.cut_power(node=node, for_us=1_500_000, loses_disk=node in wiped))
        await sleep(s=rand.random() * 0.6)
    await sleep(s=8)


async def replace_core(play: Any, rand: random.Random) -> None:
    """A core machine is replaced by a new one, with or without notice."""
    async with play.loss(node=None):
        node = rand.choice(play.fleet.core())
        fresh = await play.fleet.replace_core(node=node, is_graceful=rand.random() < 0.5)
        play.load_balancer.remove(name=node.name)
        play.add_to_load_balancer(node=fresh)


async def seed_turnover(play: Any, rand: random.Random) -> None:
    """The seed addresses change in the settings files, with or without a reload signal."""
    core = play.fleet.core()
    play.fleet.seeds = [node.control for node in rand.sample(core, min(3, len(core)))]
    play.fleet.reread_all()


async def _fault_after_ack(play: Any, rand: random.Random, *, is_disk: bool) -> None:
    """The core machine that just acknowledged a write loses power, or its disk."""
    async with play.loss(node=None):
        await _fail_acknowledging_machine(play, rand, is_disk=is_disk)


async def _fail_acknowledging_machine(play: Any, rand: random.Random, *, is_disk: bool) -> None:
    acked: list[str] = []
    play.operator.on_acked = lambda order, address: acked.append(address)
    await config_change(play, rand)
    play.operator.on_acked = lambda order, address: None
    if not acked:
        return
    node = next((n for n in play.fleet.core() if n.control == acked[-1]), None)
    if node is None:
        return
    if is_disk:
        await play.fleet.kill(node=node, loses_disk=True, for_us=1_000_000)
    else:
        await play.fleet.cut_power(node=node, for_us=2_500_000)


async def after_ack_kill(play: Any, rand: random.Random) -> None:
    """The core machine that just acknowledged a write loses power."""
    await _fault_after_ack(play, rand, is_disk=False)


async def after_ack_wipe(play: Any, rand: random.Random) -> None:
    """The core machine that just acknowledged a write is killed and loses its disk."""
    await _fault_after_ack(play, rand, is_disk=True)
