"""What changes of a large configuration cost: bytes between regions by message type, the
bytes that a core's log and snapshots hold, and how long an acknowledgement takes.

The daemons' own code on virtual time, in the metered world of the hollow fleet. One
change follows the other at a steady pace; each differs from the one before in one route.
"""

from __future__ import annotations

import asyncio
import statistics
import tracemalloc
from collections import Counter
from dataclasses import dataclass
from typing import Any

from kelpstage.testbed.hollow.fleet import HollowFleet
from kelpstage.testbed.hollow.metered_network import FAR, HollowWorld
from kelpstage.testbed.hollow.options import Options
from kelpstage.testbed.simulation.loop import VirtualLoop

SECOND = 1_000_000
TOP_TYPES = 8


@dataclass(frozen=True, kw_only=True)
class ChangesOptions:
    """One run: `changes` puts over `seconds`, to `edges` nodes of which some are cores."""

    edges: int = 10
    cores: int = 6
    zones: int = 6
    regions: int = 3
    routes: int = 300
    changes: int = 170
    seconds: int = 80
    seed: int = 1
    traces_memory: bool = False  # slow: traces each allocation of all processes together


def log_bytes(*, fleet: HollowFleet) -> list[int]:
    """Bytes of data in the log that each core holds in memory."""
    return [
        sum(len(entry.data) for entry in core.task.raft.log.entries)
        for core in fleet.cores.values()
        if core.task is not None
    ]


def sent_far(*, fleet: HollowFleet) -> Counter:
    """Bytes sent between regions, by message type, all processes."""
    total: Counter = Counter()
    for process in fleet.processes.values():
        total["all"] += process.sent[FAR]
        for (way, name), size in process.messages.items():
            if way == FAR:
                total[name] += size
    return total


async def _play(*, fleet: HollowFleet, options: ChangesOptions) -> dict[str, Any]:
    await fleet.start()
    await fleet.wait_for(
        what="everybody ready",
        us=60 * SECOND,
        is_there=lambda: fleet.leader() != "" and fleet.ready_to_put(),
    )
    assert await fleet.put()
    await fleet.sleep(us=4 * SECOND)
    if options.traces_memory:
        tracemalloc.start()
    before, most_log, began_us = sent_far(fleet=fleet), 0, fleet.world.now_us()
    for turn in range(1, options.changes + 1):
        assert await fleet.put()
        most_log = max(most_log, *log_bytes(fleet=fleet))
        due_us = began_us + turn * options.seconds * SECOND // options.changes
        await fleet.sleep(us=max(0, due_us - fleet.world.now_us()))
    far = sent_far(fleet=fleet) - before
    peak_bytes = tracemalloc.get_traced_memory()[1]  # 0 if it was not traced
    tracemalloc.stop()
    took = [done - asked for asked, done in fleet.put_us.values()][1:]
    return {
        "changes": len(took),
        "far_bytes": far["all"],
        "far_bytes_a_change": far["all"] // len(took),
        "far_by_type": dict(far.most_common(TOP_TYPES + 1)[1:]),
        "log_bytes_most": most_log,
        "traced_peak_bytes": peak_bytes,
        "acknowledged_ms_median": round(statistics.median(took) / 1_000, 1),
        "acknowledged_ms_most": round(max(took) / 1_000, 1),
    }


def measure_changes(*, options: ChangesOptions) -> dict[str, Any]:
    """Run one fleet; the row of its figures.

    >>> row = measure_changes(options=ChangesOptions(edges=3, cores=3, changes=2, seconds=1))
    >>> row["changes"]
    2
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = HollowWorld(seed=options.seed, loop=loop)
    hollow = Options(
        nodes=options.edges,
        cores=options.cores,
        zones=options.zones,
        regions=options.regions,
        routes=options.routes,
        seed=options.seed,
    )

    async def scenario() -> dict[str, Any]:
        fleet = HollowFleet(world=world, options=hollow, say=print)
        try:
            return await _play(fleet=fleet, options=options)
        finally:
            for process in fleet.processes.values():
                process.kill()
            await asyncio.sleep(0)

    try:
        return loop.run_until_complete(scenario())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
