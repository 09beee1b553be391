"""Stand-in backends, and a configuration for them, for a fleet that is started by hand."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal

from kelpstage.common.ports.live import live_ports
from kelpstage.testbed.stand_ins.backend import StandIn
from kelpstage.testbed.stand_ins.records import Cut


def demo_configuration(*, collection: str, cut: Cut, addresses: dict[str, str]) -> dict:
    """Returns a configuration document for the demo's backends.

    >>> cut = Cut(name="c1", shards=("s1",))
    >>> document = demo_configuration(collection="d", cut=cut, addresses={"s1-a": "x"})
    >>> document["routes"]["d"]["Quorum"]
    1
    """
    return {
        "backends": {
            name: {
                "address": address,
                "labels": {
                    "index": collection,
                    "shard": name.split("-")[0],
                    "domain": name.split("-")[1],
                },
            }
            for name, address in addresses.items()
        },
        "collections": {
            collection: {
                "shards": {
                    shard: {"cut": cut.name, "selector": {"index": collection, "shard": shard}}
                    for shard in cut.shards
                }
            }
        },
        "routes": {collection: {"FanOut": list(cut.shards), "Quorum": max(1, len(cut.shards) - 1)}},
    }


async def serve_demo(*, collection: str, count: int, first_port: int, configuration: str) -> None:
    """Open two backends for each shard, write their configuration and serve until SIGTERM or
    SIGINT."""
    cut = Cut(name="c1", shards=tuple(f"s{n + 1}" for n in range(count)))
    ports = live_ports(data_folder=None)
    ports.rand = random.Random(1)
    addresses: dict[str, str] = {}
    for index, (shard, copy) in enumerate((s, c) for s in cut.shards for c in "ab"):
        name = f"{shard}-{copy}"
        addresses[name] = f"127.0.0.1:{first_port + index}"
        stand_in = StandIn(
            name=name,
            address=addresses[name],
            shards=(shard,),
            cuts={cut.name: cut},
            ports=ports,
        )
        await stand_in.open()
    document = demo_configuration(collection=collection, cut=cut, addresses=addresses)
    pathlib.Path(configuration).write_text(  # noqa: ASYNC240 -- before any request is served
        json.dumps(document, indent=1), encoding="utf-8"
    )
    print(f"{len(addresses)} backends; configuration in {configuration}", flush=True)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
