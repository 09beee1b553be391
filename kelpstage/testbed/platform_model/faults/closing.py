"""Faults at the end of a scenario, which acknowledged configuration writes have to survive."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change
from kelpstage.testbed.platform_model.faults.timing import sleep


async def closing_power(play: Any, rand: random.Random) -> None:
    """Every machine loses power."""
    await asyncio.gather(
        *(play.fleet.cut_power(node=node, for_us=1_000_000) for node in play.fleet.provisioned())
    )


async def closing_dark(play: Any, rand: random.Random) -> None:
    """The tolerated number of core machines lose their disks while all other machines, with
    or without a disk, lose power."""
    wiped = rand.sample(play.fleet.core(), play.shape.tolerance)
    await asyncio.gather(
        *(
            play.fleet.cut_power(node=node, for_us=1_000_000, loses_disk=node in wiped)
            for node in play.fleet.provisioned()
        )
    )


async def closing_early(play: Any, rand: random.Random) -> None:
    """As `closing_dark`, 5 to 400 ms after a write was sent, acknowledged or not."""
    play.later(config_change(play, rand))
    await sleep(s=0.005 + 0.395 * rand.random())
    await closing_dark(play, rand)


async def closing_kill(play: Any, rand: random.Random) -> None:
    """Every process is killed."""
    await asyncio.gather(*(play.fleet.kill(node=node) for node in play.fleet.provisioned()))


async def closing_wipe(play: Any, rand: random.Random) -> None:
    """The tolerated number of core machines are killed and lose their disks while the other core
    machines lose power."""
    core = play.fleet.core()
    wiped = rand.sample(core, play.shape.tolerance)
    await asyncio.gather(
        *(play.fleet.kill(node=node, loses_disk=True, for_us=1_000_000) for node in wiped),
        *(play.fleet.cut_power(node=node, for_us=1_000_000) for node in core if node not in wiped),
    )
