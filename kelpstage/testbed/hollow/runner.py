"""Running one hollow fleet on virtual time."""

from __future__ import annotations

import asyncio
from typing import Callable

from kelpstage.testbed.hollow.fleet import HollowFleet
from kelpstage.testbed.hollow.measurements import measure
from kelpstage.testbed.hollow.metered_network import HollowWorld, metered_loop
from kelpstage.testbed.hollow.options import Options
from kelpstage.testbed.simulation.loop import VirtualLoop


def run_hollow(*, options: Options, say: Callable[[str], None] = lambda text: None) -> dict:
    """Run one hollow fleet in this process; the row of its figures.

    >>> row = run_hollow(options=Options(nodes=6, zones=3, seconds=5))
    >>> row["nodes"], row["false_alarms"]
    (6, 0)
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda _, context: None)
    world = HollowWorld(seed=options.seed, loop=loop)

    async def scenario() -> dict:
        fleet = HollowFleet(world=world, options=options, say=say)
        try:
            return await measure(fleet=fleet)
        finally:
            for process in fleet.processes.values():
                process.kill()
            await asyncio.sleep(0)

    try:
        with metered_loop():
            return loop.run_until_complete(scenario())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
