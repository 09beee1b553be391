"""Samples the metrics of the edges once a second while a fleet runs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.metrics.reading import Scrape, ScrapePair, parse_scrape
from kelpstage.common.ports.interfaces import HttpCall, Ports

SAMPLE_INTERVAL_US = 1_000_000
FETCH_TIMEOUT_US = 900_000
DURATION_METRIC = "kelpstage_stage_duration_seconds"
COLUMNS = ("second", "requests", "p50_ms", "p99_ms", "retries", "missing", "not_ready")


@dataclass(kw_only=True)
class Sampler:
    """Fetches the metrics of `edges` (name to address) and keeps one row for each second."""

    ports: Ports
    edges: dict[str, str]
    rows: list[dict[str, float]] = field(default_factory=list)
    _last_looks: dict[str, Scrape] = field(default_factory=dict)

    async def run(self) -> None:
        """Sample until cancelled."""
        clock = self.ports.clock
        started_us = clock.now_us()
        while True:
            looks = await self._fetch_all()
            pairs = [
                ScrapePair(before=self._last_looks[name], after=look)
                for name, look in looks.items()
                if name in self._last_looks
            ]
            if pairs:
                second = (clock.now_us() - started_us) / 1_000_000
                ready = sum(bool(look.total("kelpstage_ready")) for look in looks.values())
                self.rows.append(
                    row_of(pairs=pairs, second=second, not_ready=len(self.edges) - ready)
                )
            self._last_looks = looks
            await clock.sleep(us=SAMPLE_INTERVAL_US)

    async def _fetch_all(self) -> dict[str, Scrape]:
        found = await asyncio.gather(*(self._fetch(name) for name in self.edges))
        return {name: look for name, look in zip(self.edges, found, strict=True) if look}

    async def _fetch(self, name: str) -> Scrape | None:
        url = f"http://{self.edges[name]}/metrics"
        reply = await self.ports.net.fetch(
            call=HttpCall(method="GET", url=url, wait_us=FETCH_TIMEOUT_US)
        )
        if isinstance(reply, KelpstageError) or reply.status != 200:
            return None
        return parse_scrape(text=reply.body.decode(), at_s=self.ports.clock.now_us() / 1_000_000)


def row_of(*, pairs: list[ScrapePair], second: float, not_ready: int) -> dict[str, float]:
    """Returns one second of all edges, summed; the quantiles are those of the slowest edge.

    >>> row_of(pairs=[ScrapePair(before=Scrape(at_s=0), after=Scrape(at_s=1))], second=1,
    ...     not_ready=0)["requests"]
    0.0
    """

    def worst_ms(share: float) -> float:
        found = (pair.quantile_s(DURATION_METRIC, share=share, stage="root") for pair in pairs)
        return max((s * 1000 for s in found if s is not None), default=0.0)

    def rate(name: str, **labels: str) -> float:
        return sum(pair.rate(name, **labels) for pair in pairs)

    attempts = "kelpstage_attempts_total"
    values = {
        "second": second,
        "requests": rate("kelpstage_requests_total", kind="root"),
        "p50_ms": worst_ms(0.5),
        "p99_ms": worst_ms(0.99),
        "retries": rate(attempts) - rate(attempts, reason="first"),
        "missing": rate("kelpstage_shards_missing_total"),
        "not_ready": float(not_ready),
    }
    return {name: round(value, 2) for name, value in values.items()}
