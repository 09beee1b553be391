"""Membership faults: most machines without a disk leave, fail or freeze at once, or all
machines are replaced."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change
from kelpstage.testbed.platform_model.faults.timing import sleep
from kelpstage.testbed.platform_model.machines import Node

MIN_SHARE = 0.5  # of the machines without a disk, whose losses do not count against the tolerance


def _machines_without_disk(play: Any) -> list[Node]:
    """Return the machines of which any number may fail."""
    return [node for node in play.fleet.provisioned() if not node.has_disk]


def _pick_most(play: Any, rand: random.Random) -> list[Node]:
    nodes = _machines_without_disk(play)
    share = MIN_SHARE + rand.random() * (1 - MIN_SHARE)
    return rand.sample(nodes, round(len(nodes) * share))


async def most_leave(play: Any, rand: random.Random) -> None:
    """Most machines without a disk stop for good, shortly one after another, while a write is
    sent."""
    for node in _pick_most(play, rand):
        play.load_balancer.remove(name=node.name)
        play.later(play.fleet.stop(node=node, is_for_good=True))
        await sleep(s=rand.random())
    await config_change(play, rand)


async def most_go_dark(play: Any, rand: random.Random) -> None:
    """Most machines without a disk fail at once and never return; a write follows."""
    for node in _pick_most(play, rand):
        play.load_balancer.remove(name=node.name)
        play.fleet.remove_for_good(node=node)
    await config_change(play, rand)


async def most_freeze(play: Any, rand: random.Random) -> None:
    """Most machines without a disk freeze for longer than a lease and resume at the same time;
    writes are sent while they are frozen and after they resume."""
    for_us = rand.choice((3_000_000, 5_000_000, 12_000_000))
    freezes = [play.fleet.freeze(node=node, for_us=for_us) for node in _pick_most(play, rand)]
    frozen = asyncio.gather(*freezes)
    await config_change(play, rand)
    await frozen
    await config_change(play, rand)


async def all_replaced(play: Any, rand: random.Random) -> None:
    """Each machine is replaced by a new one at another address, with or without notice; core
    machines are replaced one at a time."""
    nodes = play.fleet.provisioned()
    for node in rand.sample(nodes, len(nodes)):
        await _replace(play, rand, node=node)
    await config_change(play, rand)


async def _replace(play: Any, rand: random.Random, *, node: Node) -> None:
    is_told = rand.random() < 0.5
    if node.has_disk:
        async with play.loss(node=node):
            fresh = await play.fleet.replace_core(node=node, is_graceful=is_told)
    else:
        if is_told:
            await play.fleet.stop(node=node, is_for_good=True)
        play.fleet.remove_for_good(node=node)
        fresh = await play.fleet.start_new(zone=node.zone)
    play.load_balancer.remove(name=node.name)
    play.add_to_load_balancer(node=fresh)
