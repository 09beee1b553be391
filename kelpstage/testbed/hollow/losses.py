"""Large losses on a hollow fleet: a zone, all cores, a region that is cut off."""

from __future__ import annotations

import statistics
from typing import Any

from kelpstage.testbed.hollow.figures import quantiles
from kelpstage.testbed.hollow.fleet import LATE_US, SECOND, HollowFleet


async def lose_zone(*, fleet: HollowFleet) -> dict[str, Any]:
    """All edges of one zone at once, in a zone without a core if there is one."""
    options = fleet.options
    zone = f"z{options.zones - 1:02d}"
    numbers = [n for n, m in enumerate(fleet.machines) if m.zone == zone]
    loss = fleet.lose(numbers=numbers)
    await fleet.sleep(us=LATE_US - SECOND)
    pairs = (options.nodes - len(numbers)) * len(numbers)
    at_us = fleet.world.now_us()
    put = await fleet.put()
    took_us = fleet.world.now_us() - at_us
    row = {
        "zone_nodes": len(numbers),
        "zone_suspected_s": [
            round(v, 3) for v in quantiles([t / 1e6 for t in loss.suspected_us.values()])
        ],
        "zone_dead_s": [round(v, 3) for v in quantiles([t / 1e6 for t in loss.dead_us.values()])],
        "zone_not_noticed": pairs - len(loss.suspected_us),
        "zone_put_s": round(took_us / 1e6, 3) if put else None,
    }
    at_us = fleet.world.now_us()
    await fleet.raise_again(numbers=numbers)
    await fleet.wait_for(
        what="the zone serving again",
        us=120 * SECOND,
        is_there=lambda: fleet.ready_count() == options.nodes,
    )
    row["zone_again_s"] = round((fleet.world.now_us() - at_us) / 1e6, 3)
    return row


async def lose_cores(*, fleet: HollowFleet) -> dict[str, Any]:
    """All cores at once, for a while: who serves on, and what that costs the edges."""
    for name in fleet.cores:
        fleet.processes[name].kill()
    await fleet.sleep(us=2 * SECOND)
    before, started_us = fleet.reading(), fleet.world.now_us()
    least = fleet.options.nodes
    for _ in range(2 * fleet.options.seconds):
        await fleet.sleep(us=SECOND // 2)
        least = min(least, fleet.ready_count())
    rates = fleet.rates(before=before, us=fleet.world.now_us() - started_us)
    edges = [rates[name] for name in fleet.edges if name in rates]
    for n in range(fleet.options.cores):
        await fleet.start_core(n=n)
    at_us = fleet.world.now_us()
    await fleet.wait_for(
        what="leases again",
        us=60 * SECOND,
        is_there=lambda: fleet.leader() != "" and fleet.ready_to_put(),
    )
    return {
        "coreless_serving_least": least,
        "coreless_edge_cpu": round(statistics.fmean(rate["cpu"] for rate in edges), 5),
        "coreless_edge_bytes": round(statistics.fmean(rate["bytes"] for rate in edges)),
        "coreless_again_s": round((fleet.world.now_us() - at_us) / 1e6, 3),
    }


async def cut_region(*, fleet: HollowFleet) -> dict[str, Any]:
    """One region without the leader is cut off for a while: who serves there, can a
    change be made, and when has everybody it after the cut?"""
    options, world = fleet.options, fleet.world
    leader = fleet.processes[fleet.leader()].machine
    region = next(
        r
        for r in sorted(set(fleet.regions.values()), reverse=True)
        if r != fleet.regions[leader.zone]
    )
    inside = fleet.cut_region(region=region)
    fleet.is_watching = False
    await fleet.sleep(us=min(options.cut_s, 10) * SECOND)
    asked_us = world.now_us()
    is_put = await fleet.put()
    put_s = (world.now_us() - asked_us) / 1e6
    await fleet.sleep(us=max(0, options.cut_s - 10) * SECOND)
    serving = sum(not fleet.edges[name].refusal() for name in inside)
    serving_outside = fleet.ready_count() - serving
    healed_us = world.now_us()
    world.heal()
    await fleet.wait_for(
        what="all serving after the cut",
        us=120 * SECOND,
        is_there=lambda: (
            fleet.ready_count() == options.nodes
            and all(
                e.lease_holder.configuration.version == fleet.version for e in fleet.edges.values()
            )
        ),
    )
    return {
        "cut_nodes": len(inside),
        "cut_serving_inside": serving,
        "cut_serving_outside": serving_outside,
        "cut_put_s": round(put_s, 3) if is_put else None,
        "cut_healed_s": round((world.now_us() - healed_us) / 1e6, 3),
    }
