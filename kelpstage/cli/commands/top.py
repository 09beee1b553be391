"""A fleet's figures, live."""

from __future__ import annotations

import asyncio
import time
from typing import List, Optional

import typer

from kelpstage.cli.client import need_addresses
from kelpstage.cli.options import CORES, EDGES
from kelpstage.cli.output import UNREACHED
from kelpstage.cli.views.top import core_row, edge_row, top_text
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.metrics.reading import Between, Look, read_look
from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.common.ports.live import LiveNet

FETCH_WAIT_US = 2_000_000
CLEAR_SCREEN = "\x1b[H\x1b[2J"


def top(
    core: Optional[List[str]] = CORES,
    edge: Optional[List[str]] = EDGES,
    every: float = typer.Option(2.0, min=0.2, max=60, help="Seconds between two looks."),
    count: int = typer.Option(0, min=0, help="End after so many pages; 0: until interrupted."),
) -> None:
    """Show rates, latencies, retries, roles and lags of cores and edges, from their metrics."""
    addresses = need_addresses(given=[*(core or []), *(edge or [])], what="edge")
    looks = asyncio.run(_look_at(addresses=addresses))
    page = 0
    try:
        while not count or page < count:
            time.sleep(every)
            before, looks = looks, asyncio.run(_look_at(addresses=addresses))
            page += 1
            text = _page(before=before, after=looks, cores=core or [], edges=edge or [])
            print(text if count else CLEAR_SCREEN + text, flush=True)
    except KeyboardInterrupt:
        return
    if not looks:
        raise SystemExit(UNREACHED)


def _page(
    *, before: dict[str, Look], after: dict[str, Look], cores: list[str], edges: list[str]
) -> str:
    pairs = {
        address: Between(before=before[address], after=look)
        for address, look in after.items()
        if address in before
    }
    return top_text(
        edges=[edge_row(address=a, between=pairs[a]) for a in edges if a in pairs],
        cores=[core_row(address=a, between=pairs[a]) for a in cores if a in pairs],
        silent=[address for address in [*cores, *edges] if address not in after],
    )


async def _look_at(*, addresses: list[str]) -> dict[str, Look]:
    """A look at each process that answers, all at the same time."""
    net = LiveNet()

    async def look(address: str) -> tuple[str, Look | None]:
        call = HttpCall(method="GET", url=f"http://{address}/metrics", wait_us=FETCH_WAIT_US)
        reply = await net.fetch(call=call)
        if isinstance(reply, KelpstageError) or reply.status != 200:
            return address, None
        return address, read_look(text=reply.body.decode(), at_s=time.monotonic())

    found = await asyncio.gather(*(look(address) for address in addresses))
    return {address: one for address, one in found if one is not None}
