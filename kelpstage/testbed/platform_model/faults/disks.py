"""Disk faults of core machines."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change


async def _faulty_disk(play: Any, rand: random.Random, *, how: str) -> None:
    async with play.loss(node=None):
        node = rand.choice(play.fleet.core())
        fault = play.fleet.disturb_disk(node=node, how=how, for_us=6_000_000)
        await asyncio.gather(fault, config_change(play, rand))


async def disk_slow(play: Any, rand: random.Random) -> None:
    """A core machine's disk is slow during a configuration write."""
    await _faulty_disk(play, rand, how="slow")


async def disk_full(play: Any, rand: random.Random) -> None:
    """A core machine's disk is full during a configuration write."""
    await _faulty_disk(play, rand, how="full")


async def disk_stall(play: Any, rand: random.Random) -> None:
    """A core machine's disk completes no operation during a configuration write."""
    await _faulty_disk(play, rand, how="stall")
