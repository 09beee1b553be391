"""Network partitions within the core."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change
from kelpstage.testbed.platform_model.faults.timing import sleep
from kelpstage.testbed.platform_model.history import Cut


async def core_cut(play: Any, rand: random.Random) -> None:
    """One core machine is partitioned from the rest of the core, or from all machines."""
    async with play.loss(node=None):
        await _partition_core_machine(play, rand)


async def core_halves(play: Any, rand: random.Random) -> None:
    """The core is partitioned into two halves, whatever the tolerance; all other machines reach
    both, and operators write and read on both sides."""
    core = play.fleet.core()
    left = rand.sample(core, len(core) // 2)
    cuts = []
    for a in left:
        for b in (node for node in core if node not in left):
            play.world.block_path(a=a.name, b=b.name)
            cuts.append(Cut(a=a.name, b=b.name, begin_us=play.world.now_us()))
    play.history.cuts += cuts
    play.later(config_change(play, rand))
    for _ in range(20):
        await play.second_operator.read()
        await sleep(s=0.3)
    for cut in cuts:
        play.world.blocked_paths -= {(cut.a, cut.b), (cut.b, cut.a)}
        cut.end_us = play.world.now_us()
    play.world.send_waiting()


async def _partition_core_machine(play: Any, rand: random.Random) -> None:
    """Partition a core machine from the core or from all machines, and write meanwhile."""
    node = rand.choice(play.fleet.core())
    is_all = rand.random() < 0.5
    others = [n for n in play.fleet.provisioned() if n is not node and (is_all or n.has_disk)]
    cuts = []
    for other in others:
        play.world.block_path(a=node.name, b=other.name)
        cut = Cut(a=node.name, b=other.name, begin_us=play.world.now_us())
        play.history.cuts.append(cut)
        cuts.append(cut)
    await sleep(s=1.5)
    play.later(config_change(play, rand))
    await sleep(s=6)
    for cut in cuts:
        play.world.blocked_paths -= {(cut.a, cut.b), (cut.b, cut.a)}
        cut.end_us = play.world.now_us()
    play.world.send_waiting()
