"""Changes of the configuration by the operator, valid and not."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.testbed.platform_model.faults.timing import sleep


async def config_change(play: Any, rand: random.Random) -> None:
    """One change: a time-out, weights, a move, a route more or fewer."""
    async with play.changing:
        await _change(play, rand)


async def _change(play: Any, rand: random.Random) -> None:
    before = dict(play.drafts.routes)
    what = rand.choice(("time", "split", "move", "add", "drop"))
    if what == "time":
        play.drafts.change_time_out()
    if what == "split":
        play.drafts.split()
    if what == "move":
        play.drafts.move()
    if what == "add":
        play.drafts.add(kind=rand.choice(play.shape.kinds), is_late=True)
    if what == "drop" and play.drafts.drop() is None:
        play.drafts.change_time_out()
    await play.put(before=before)


async def config_changes(play: Any, rand: random.Random) -> None:
    """Changes in a row, some of whose answers get lost."""
    play.operator.lose_share = 0.3
    for _ in range(4):
        await config_change(play, rand)
        await sleep(s=rand.random() * 2)
    play.operator.lose_share = 0.0


async def config_race(play: Any, rand: random.Random) -> None:
    """Two operators change the configuration on top of the same version."""
    async with play.changing:
        await play.race(rand)


async def config_invalid(play: Any, rand: random.Random) -> None:
    """Configurations that must be refused."""
    async with play.changing:
        await play.put_invalid(rand)


async def big_config(play: Any, rand: random.Random) -> None:
    """The configuration grows by many routes."""
    async with play.changing:
        before = dict(play.drafts.routes)
        for number in range(300):
            play.drafts.add(kind=play.shape.kinds[number % len(play.shape.kinds)], is_late=True)
        await play.put(before=before)


async def reshard(play: Any, rand: random.Random) -> None:
    """The index is cut again: new backends, a version that names them, the old ones drain."""
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
        for backend in play.park.of(service=service):
            play.park.drain(backend=backend)
