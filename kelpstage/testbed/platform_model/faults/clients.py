"""Client faults: bursts, disconnects and aggressive retries."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.testbed.platform_model.faults.backends import many_slow, pick_backends
from kelpstage.testbed.platform_model.faults.timing import sleep


async def burst(play: Any, rand: random.Random) -> None:
    """Clients send at three times their usual rate."""
    play.clients.rate_factor = 3.0
    await sleep(s=8)
    play.clients.rate_factor = 1.0


async def clients_leave(play: Any, rand: random.Random) -> None:
    """Many clients disconnect early while the backends of all shards are so slow that abandoned
    requests would keep running."""
    chosen = pick_backends(play, rand, count=99, gathered=True)
    for backend in chosen:
        backend.injected_faults.slow = 60.0
    play.clients.leaving = 0.6
    await sleep(s=5)
    play.clients.leaving = 0.0
    for backend in chosen:
        backend.injected_faults.slow = 1.0


async def retry_abuse(play: Any, rand: random.Random) -> None:
    """Some clients retry often and without a delay while backends of many shards are slow."""
    play.clients.abuse = 0.5
    await many_slow(play, rand)
    play.clients.abuse = 0.0
