"""Faults that end a scenario: what was acknowledged must outlive them."""

from __future__ import annotations

import asyncio
import random
from typing import Any


async def closing_power(play: Any, rand: random.Random) -> None:
    """Every machine loses power."""
    await asyncio.gather(
        *(play.fleet.cut_power(node=node, for_us=1_000_000) for node in play.fleet.there())
    )


async def closing_kill(play: Any, rand: random.Random) -> None:
    """Every process is killed."""
    await asyncio.gather(*(play.fleet.kill(node=node) for node in play.fleet.there()))


async def closing_wipe(play: Any, rand: random.Random) -> None:
    """As many machines as may be lost lose their disks, while all others lose power."""
    core = play.fleet.core()
    wiped = rand.sample(core, play.shape.tolerance)
    await asyncio.gather(
        *(play.fleet.kill(node=node, is_disk=True, for_us=1_000_000) for node in wiped),
        *(play.fleet.cut_power(node=node, for_us=1_000_000) for node in core if node not in wiped),
    )
