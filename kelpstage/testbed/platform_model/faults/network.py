"""A cut of the network within the core."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change
from kelpstage.testbed.platform_model.faults.timing import sleep
from kelpstage.testbed.platform_model.history import Cut


async def core_cut(play: Any, rand: random.Random) -> None:
    """The core is cut in two, or one of its machines off from all others."""
    async with play.loss(node=None):
        await _cut_for_a_while(play, rand)


async def core_halves(play: Any, rand: random.Random) -> None:
    """The core falls into two halves, whatever may be lost; all others reach both, and the
    operators order and read on both sides."""
    core = play.fleet.core()
    left = rand.sample(core, len(core) // 2)
    cuts = []
    for a in left:
        for b in (node for node in core if node not in left):
            play.world.cut(a=a.name, b=b.name)
            cuts.append(Cut(a=a.name, b=b.name, begin_us=play.world.now_us()))
    play.history.cuts += cuts
    play.later(config_change(play, rand))
    for _ in range(20):
        await play.second.read()
        await sleep(s=0.3)
    for cut in cuts:
        play.world.cuts -= {(cut.a, cut.b), (cut.b, cut.a)}
        cut.end_us = play.world.now_us()
    play.world.flush()


async def _cut_for_a_while(play: Any, rand: random.Random) -> None:
    """Cut a machine of the core off, from the core or from all machines."""
    node = rand.choice(play.fleet.core())
    is_all = rand.random() < 0.5
    others = [n for n in play.fleet.there() if n is not node and (is_all or n.has_disk)]
    cuts = []
    for other in others:
        play.world.cut(a=node.name, b=other.name)
        cut = Cut(a=node.name, b=other.name, begin_us=play.world.now_us())
        play.history.cuts.append(cut)
        cuts.append(cut)
    await sleep(s=1.5)
    play.later(config_change(play, rand))
    await sleep(s=6)
    for cut in cuts:
        play.world.cuts -= {(cut.a, cut.b), (cut.b, cut.a)}
        cut.end_us = play.world.now_us()
    play.world.flush()
