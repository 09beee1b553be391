"""Configuration writes, valid and invalid."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.testbed.platform_model.faults.timing import sleep


async def config_change(play: Any, rand: random.Random) -> None:
    """One configuration write: a new timeout, other weights, a moved, added or removed route."""
    async with play.changing:
        await _write_change(play, rand)


async def _write_change(play: Any, rand: random.Random) -> None:
    before = dict(play.drafts.routes)
    kind = rand.choice(("time", "split", "move", "add", "drop"))
    if kind == "time":
        play.drafts.change_time_out()
    if kind == "split":
        play.drafts.split()
    if kind == "move":
        play.drafts.move()
    if kind == "add":
        play.drafts.add(kind=rand.choice(play.shape.kinds), is_late=True)
    if kind == "drop" and play.drafts.drop() is None:
        play.drafts.change_time_out()
    await play.put(before=before)


async def config_changes(play: Any, rand: random.Random) -> None:
    """Several configuration writes in a row, some of whose answers are lost."""
    play.operator.lose_share = 0.3
    for _ in range(4):
        await config_change(play, rand)
        await sleep(s=rand.random() * 2)
    play.operator.lose_share = 0.0


async def config_race(play: Any, rand: random.Random) -> None:
    """Two operators write different configurations on the same base version."""
    async with play.changing:
        await play.race(rand)


async def config_invalid(play: Any, rand: random.Random) -> None:
    """Configuration writes that must be refused."""
    async with play.changing:
        await play.put_invalid(rand)


async def big_config(play: Any, rand: random.Random) -> None:
    """One configuration write adds 300 routes."""
    async with play.changing:
        before = dict(play.drafts.routes)
        for number in range(300):
            play.drafts.add(kind=play.shape.kinds[number % len(play.shape.kinds)], is_late=True)
        await play.put(before=before)


async def reshard(play: Any, rand: random.Random) -> None:
    """The index is resharded: new backends start, a write routes to them, the old ones drain."""
    async with play.changing:
        draft = next(d for d in play.drafts.routes.values() if d.fan_out)
        old = draft.fan_out
        new = play.shape.recut if old == play.shape.index else play.shape.index
        play.start_services(names=new)
        await sleep(s=4)
        before = dict(play.drafts.routes)
        play.drafts.recut()
        order = await play.put(before=before)
    if not order.acked_us:
        return
    await sleep(s=play.history.bounds.apply_us / 1_000_000 + 1)
    for service in old:
        for backend in play.backend_pool.active_instances(service=service):
            play.backend_pool.drain(backend=backend)
