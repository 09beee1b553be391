"""Faults of the membership: machines that leave, go dark or stand still, most of them at one
time, and machines that are replaced until all are new."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change
from kelpstage.testbed.platform_model.faults.timing import sleep
from kelpstage.testbed.platform_model.machines import Node

LEAST_SHARE = 0.5  # of the machines whose loss does not count


def _uncounted(play: Any) -> list[Node]:
    """The machines of which any number may go."""
    return [node for node in play.fleet.there() if not node.has_disk]


def _most_of(play: Any, rand: random.Random) -> list[Node]:
    nodes = _uncounted(play)
    share = LEAST_SHARE + rand.random() * (1 - LEAST_SHARE)
    return rand.sample(nodes, round(len(nodes) * share))


async def most_leave(play: Any, rand: random.Random) -> None:
    """Most machines leave in order, one soon after the other, while a change is ordered."""
    for node in _most_of(play, rand):
        play.front.remove(name=node.name)
        play.later(play.fleet.stop(node=node, is_for_good=True))
        await sleep(s=rand.random())
    await config_change(play, rand)


async def most_go_dark(play: Any, rand: random.Random) -> None:
    """Most machines lose power at one moment and never return; a change is ordered then."""
    for node in _most_of(play, rand):
        play.front.remove(name=node.name)
        play.fleet.lose(node=node)
    await config_change(play, rand)


async def most_freeze(play: Any, rand: random.Random) -> None:
    """Most machines stand still for longer than a lease, and wake at one moment; changes
    are ordered meanwhile and as they wake."""
    for_us = rand.choice((3_000_000, 5_000_000, 12_000_000))
    freezes = [play.fleet.freeze(node=node, for_us=for_us) for node in _most_of(play, rand)]
    frozen = asyncio.gather(*freezes)
    await config_change(play, rand)
    await frozen
    await config_change(play, rand)


async def all_replaced(play: Any, rand: random.Random) -> None:
    """Each machine is replaced by a new one at another address, the counted ones one at a
    time, with a warning or without."""
    nodes = play.fleet.there()
    for node in rand.sample(nodes, len(nodes)):
        await _replace(play, rand, node=node)
    await config_change(play, rand)


async def _replace(play: Any, rand: random.Random, *, node: Node) -> None:
    is_told = rand.random() < 0.5
    if node.has_disk:
        async with play.loss(node=node):
            fresh = await play.fleet.replace_core(node=node, is_told=is_told)
    else:
        if is_told:
            await play.fleet.stop(node=node, is_for_good=True)
        play.fleet.lose(node=node)
        fresh = await play.fleet.start_new(zone=node.zone)
    play.front.remove(name=node.name)
    play.add_front(node=fresh)
