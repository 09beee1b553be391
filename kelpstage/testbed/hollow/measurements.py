"""What is measured on a hollow fleet: idling, searches, changes and failures."""

from __future__ import annotations

import asyncio
import gc
import json
import statistics
from typing import Any, Callable

from kelpstage.testbed.hollow.figures import memory_bytes, quantiles
from kelpstage.testbed.hollow.fleet import (
    DOWN_US,
    SECOND,
    SETTLE_US,
    HollowFleet,
    HollowTimeoutError,
)
from kelpstage.testbed.hollow.losses import cut_region, lose_cores, lose_zone


async def measure(*, fleet: HollowFleet) -> dict[str, Any]:
    """Bring a fleet up, leave it alone, then let things happen; one row of figures."""
    options, world = fleet.options, fleet.world
    empty_bytes = memory_bytes()
    if options.backends or options.shards:
        await fleet.serve_list()
    if options.shards:
        await fleet.load.open()
    await fleet.start()
    start_us = await fleet.wait_for(
        what="everybody ready",
        us=300 * SECOND,
        is_there=lambda: fleet.leader() != "" and fleet.ready_to_put(),
    )
    if not await fleet.put():
        raise HollowTimeoutError("the first configuration was not taken")
    await fleet.wait_for(
        what="everybody serving",
        us=60 * SECOND,
        is_there=lambda: fleet.ready_count() == options.nodes,
    )
    fleet.say(f"up after {start_us / SECOND:.1f} s")
    known_us = await fleet.wait_for(
        what="everybody known to everybody",
        us=600 * SECOND,
        is_there=lambda: min(e.swim.known_count() for e in fleet.edges.values()) >= options.nodes,
    )
    await fleet.sleep(us=SETTLE_US)
    gc.collect()
    gc.freeze()
    gc.disable()
    row: dict[str, Any] = {
        "nodes": options.nodes,
        "cores": options.cores,
        "zones": options.zones,
        "regions": options.regions,
        "backends": options.backends,
        "routes": options.routes,
        "up_s": round(start_us / SECOND, 1),
        "node_kb": round((memory_bytes() - empty_bytes) / options.nodes / 1024),
        "known_s": round((start_us + known_us) / SECOND, 1),
    }
    fleet.is_watching = True
    before, started_us = fleet.reading(), world.now_us()
    await fleet.sleep(us=options.seconds * SECOND)
    row |= _idle(fleet=fleet, before=before, us=world.now_us() - started_us)
    fleet.say(f"idle: {json.dumps(row)}")
    if options.queries:
        row |= await _loaded(fleet=fleet, idle=row)
    if options.changes or options.failures:
        before, started_us = fleet.reading(), world.now_us()
        await _busy(fleet=fleet)
        row |= _busy_figures(fleet=fleet, before=before, us=world.now_us() - started_us)
    if options.zone_loss:
        row |= await lose_zone(fleet=fleet)
    if options.core_loss:
        row |= await lose_cores(fleet=fleet)
    if options.cut_s:
        row |= await cut_region(fleet=fleet)
    row["false_alarms"] = len(fleet.false_alarms)
    gc.enable()
    return row


def _idle(*, fleet: HollowFleet, before: dict, us: int) -> dict[str, Any]:
    rates = fleet.rates(before=before, us=us)
    edges = [rates[name] for name in fleet.edges if name in rates]
    cores = {name: rates[name] for name in fleet.cores if name in rates}
    leader = cores.get(fleet.leader(), {"cpu": 0.0, "bytes": 0.0})
    others = [rate for name, rate in cores.items() if name != fleet.leader()]

    def mean(key: str) -> float:
        return statistics.fmean(rate[key] for rate in edges)

    return {
        "edge_cpu": round(mean("cpu"), 5),
        "edge_cpu_most": round(max(rate["cpu"] for rate in edges), 5),
        "edge_bytes": round(mean("bytes")),
        "edge_udp_bytes": round(mean("udp_bytes")),
        "edge_far_bytes": round(mean("far_bytes")),
        "edge_packets": round(mean("packets"), 1),
        "leader_cpu": round(leader["cpu"], 5),
        "leader_bytes": round(leader["bytes"]),
        "core_cpu": round(statistics.fmean([r["cpu"] for r in others] or [0.0]), 5),
        "far_bytes_all": round(sum(rate["far_bytes"] for rate in rates.values())),
    }


async def _loaded(*, fleet: HollowFleet, idle: dict[str, Any]) -> dict[str, Any]:
    """What a search costs all edges together beyond idling, and how it goes."""
    options, load = fleet.options, fleet.load
    before, started_us = fleet.reading(), fleet.world.now_us()
    await load.run(seconds=options.seconds)
    us = fleet.world.now_us() - started_us
    rates = fleet.rates(before=before, us=us)
    edges = [rates[name] for name in fleet.edges if name in rates]
    cpu_us = sum(rate["cpu"] for rate in edges) * us - idle["edge_cpu"] * us * len(edges)
    bytes_all = (
        (sum(rate["bytes"] for rate in edges) - idle["edge_bytes"] * len(edges)) * us / SECOND
    )
    return {
        "shards": options.shards,
        "queries": load.asked,
        "queries_failed": load.failed,
        "query_us": round(cpu_us / load.asked),
        "shard_us": round(cpu_us / load.asked / options.shards, 1),
        "query_bytes": round(bytes_all / load.asked),
        "asks_a_shard": round(load.receipts / load.asked / options.shards, 3),
        "missing_share": round(load.missing / max(1, len(load.took_us)) / options.shards, 5),
        "query_s": [round(v, 4) for v in quantiles([took / 1e6 for took in load.took_us])],
    }


async def _busy(*, fleet: HollowFleet) -> None:
    options = fleet.options
    tasks: list[asyncio.Task] = []

    async def spread(count: int, work: Callable[[], Any]) -> None:
        for _ in range(count):
            await fleet.sleep(us=options.seconds * SECOND // count)
            tasks.append(asyncio.ensure_future(work()))

    def count_of(an_hour: int) -> int:
        return max(1, round(an_hour * options.seconds / 3600)) if an_hour else 0

    puts = count_of(options.changes)

    async def put_in_turn() -> None:
        for _ in range(puts):
            await fleet.sleep(us=options.seconds * SECOND // puts)
            await fleet.put()

    await asyncio.gather(put_in_turn(), spread(count_of(options.failures), fleet.fail_one))
    await asyncio.gather(*tasks)
    await fleet.sleep(us=DOWN_US)


def _busy_figures(*, fleet: HollowFleet, before: dict, us: int) -> dict[str, Any]:
    rates = fleet.rates(before=before, us=us)
    edges = [rates[name] for name in fleet.edges if name in rates]
    everywhere, acknowledged = [], []
    for version, (asked_us, done_us) in fleet.put_us.items():
        if version == 1:
            continue
        acknowledged.append((done_us - asked_us) / 1e6)
        took = [
            at - asked_us
            for name, at in fleet.in_force.get(version, {}).items()
            if name in fleet.here[version] - fleet.down and fleet.down_us.get(name, 0) < asked_us
        ]
        everywhere.append(max(took, default=0) / 1e6)
    suspected, dead, first = [], [], []
    for loss in fleet.losses:
        suspected += [took / 1e6 for took in loss.suspected_us.values()]
        dead += [took / 1e6 for took in loss.dead_us.values()]
        first.append(min(loss.suspected_us.values(), default=0) / 1e6)
    missed = sum(loss.watchers - len(loss.suspected_us) for loss in fleet.losses)
    out = {
        "puts": len(everywhere),
        "acknowledged_s": [round(v, 3) for v in quantiles(acknowledged)],
        "everywhere_s": [round(v, 3) for v in quantiles(everywhere)],
        "losses": len(fleet.losses),
        "first_suspected_s": [round(v, 3) for v in quantiles(first)],
        "suspected_s": [round(v, 3) for v in quantiles(suspected)],
        "dead_s": [round(v, 3) for v in quantiles(dead)],
        "not_noticed": missed,
        "busy_edge_bytes": round(statistics.fmean(rate["bytes"] for rate in edges)),
        "busy_edge_cpu": round(statistics.fmean(rate["cpu"] for rate in edges), 5),
    }
    return out
