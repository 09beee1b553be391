"""What clients do beyond their usual rate."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.testbed.platform_model.faults.backends import many_slow
from kelpstage.testbed.platform_model.faults.timing import sleep


async def burst(play: Any, rand: random.Random) -> None:
    """Many users come at once."""
    play.clients.press = 3.0
    await sleep(s=8)
    play.clients.press = 1.0


async def retry_abuse(play: Any, rand: random.Random) -> None:
    """Some clients repeat at once and often, while backends of many shards are slow."""
    play.clients.abuse = 0.5
    await many_slow(play, rand)
    play.clients.abuse = 0.0
