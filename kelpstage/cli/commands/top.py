"""The top command: metrics of a fleet, refreshed at an interval."""

from __future__ import annotations

import asyncio
import time
from typing import List, Optional

import typer

from kelpstage.cli.client import require_addresses
from kelpstage.cli.options import CORES, EDGES
from kelpstage.cli.output import UNREACHABLE
from kelpstage.cli.views.top import core_row, edge_row, top_text
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.metrics.reading import Scrape, ScrapePair, parse_scrape
from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.common.ports.live import LiveNet

SCRAPE_TIMEOUT_US = 2_000_000
CLEAR_SCREEN = "\x1b[H\x1b[2J"


def top(
    core: Optional[List[str]] = CORES,
    edge: Optional[List[str]] = EDGES,
    every: float = typer.Option(2.0, min=0.2, max=60, help="Seconds between two scrapes."),
    count: int = typer.Option(
        0, min=0, help="Exit after this many pages; 0: run until interrupted."
    ),
) -> None:
    """Show rates, latencies, retries, roles and lags of cores and edges, from their metrics."""
    addresses = require_addresses(given=[*(core or []), *(edge or [])], what="edge")
    scrapes = asyncio.run(_scrape_all(addresses=addresses))
    page = 0
    try:
        while not count or page < count:
            time.sleep(every)
            before, scrapes = scrapes, asyncio.run(_scrape_all(addresses=addresses))
            page += 1
            text = _page(before=before, after=scrapes, cores=core or [], edges=edge or [])
            print(text if count else CLEAR_SCREEN + text, flush=True)
    except KeyboardInterrupt:
        return
    if not scrapes:
        raise SystemExit(UNREACHABLE)


def _page(
    *, before: dict[str, Scrape], after: dict[str, Scrape], cores: list[str], edges: list[str]
) -> str:
    pairs = {
        address: ScrapePair(before=before[address], after=scrape)
        for address, scrape in after.items()
        if address in before
    }
    return top_text(
        edges=[edge_row(address=a, between=pairs[a]) for a in edges if a in pairs],
        cores=[core_row(address=a, between=pairs[a]) for a in cores if a in pairs],
        silent=[address for address in [*cores, *edges] if address not in after],
    )


async def _scrape_all(*, addresses: list[str]) -> dict[str, Scrape]:
    """Scrapes all processes concurrently; returns a scrape of each that replies."""
    net = LiveNet()

    async def scrape(address: str) -> tuple[str, Scrape | None]:
        call = HttpCall(method="GET", url=f"http://{address}/metrics", wait_us=SCRAPE_TIMEOUT_US)
        reply = await net.fetch(call=call)
        if isinstance(reply, KelpstageError) or reply.status != 200:
            return address, None
        return address, parse_scrape(text=reply.body.decode(), at_s=time.monotonic())

    results = await asyncio.gather(*(scrape(address) for address in addresses))
    return {address: result for address, result in results if result is not None}
