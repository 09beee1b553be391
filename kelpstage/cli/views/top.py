"""Formats the metrics between two scrapes as tables: rates, quantiles, roles, lags."""

from __future__ import annotations

import math
from typing import Any, Iterable

from kelpstage.cli.output import table
from kelpstage.common.metrics.reading import ScrapePair

EDGE_HEADS = [
    "edge",
    "ready",
    "version",
    "epoch",
    "req/s",
    "p50 ms",
    "p99 ms",
    "errors/s",
    "retries",
    "missing/s",
    "in flight",
    "ejected",
    "lag ms",
]
CORE_HEADS = [
    "core",
    "role",
    "term",
    "version",
    "epoch",
    "commit",
    "behind",
    "edges behind",
    "disk p99 ms",
    "queue",
    "lag ms",
]
SERVED_KINDS = ("root", "single")  # whole requests of clients, not their child requests


def _milliseconds(seconds: float | None) -> str:
    if seconds is None:
        return "-"
    return ">10000" if math.isinf(seconds) else f"{seconds * 1000:.3g}"


def edge_row(*, address: str, between: ScrapePair) -> list[Any]:
    """Returns a row of the table of edges."""
    latest = between.after
    attempts = between.rate("kelpstage_attempts_total")
    retries = attempts - between.rate("kelpstage_attempts_total", reason="first")
    served = sum(between.rate("kelpstage_requests_total", kind=kind) for kind in SERVED_KINDS)
    duration = "kelpstage_stage_duration_seconds"
    stage = "root" if between.rate("kelpstage_requests_total", kind="root") else "single"
    return [
        address,
        "yes" if latest.total("kelpstage_ready") else "no",
        int(latest.total("kelpstage_configuration_version")),
        int(latest.total("kelpstage_epoch")),
        f"{served:.1f}",
        _milliseconds(between.quantile_s(duration, share=0.5, stage=stage)),
        _milliseconds(between.quantile_s(duration, share=0.99, stage=stage)),
        f"{between.rate('kelpstage_errors_total'):.1f}",
        f"{retries / attempts:.1%}" if attempts else "-",
        f"{between.rate('kelpstage_shards_missing_total'):.1f}",
        int(latest.total("kelpstage_requests_in_flight")),
        int(latest.total("kelpstage_backends_ejected")),
        f"{latest.total('kelpstage_event_loop_lag_seconds') * 1000:.1f}",
    ]


def core_row(*, address: str, between: ScrapePair) -> list[Any]:
    """Returns a row of the table of cores."""
    latest = between.after
    roles = latest.samples.get("kelpstage_raft_role", {})
    role = next((dict(key)["role"] for key, value in roles.items() if value), "not running")
    disk = "kelpstage_disk_write_duration_seconds"
    return [
        address,
        role,
        int(latest.total("kelpstage_raft_term")),
        int(latest.total("kelpstage_configuration_version")),
        int(latest.total("kelpstage_epoch")),
        int(latest.total("kelpstage_raft_commit_index")),
        int(latest.total("kelpstage_raft_lag_entries")),
        int(latest.total("kelpstage_edges_behind")),
        _milliseconds(between.quantile_s(disk, share=0.99)),
        int(latest.total("kelpstage_queue_length")),
        f"{latest.total('kelpstage_event_loop_lag_seconds') * 1000:.1f}",
    ]


def top_text(*, edges: Iterable[list[Any]], cores: Iterable[list[Any]], silent: list[str]) -> str:
    """Formats the whole page.

    >>> print(top_text(edges=[], cores=[], silent=["127.0.0.1:1"]))
    no answer from 127.0.0.1:1
    """
    parts = []
    for rows, heads in ((list(cores), CORE_HEADS), (list(edges), EDGE_HEADS)):
        if rows:
            parts.append(table(rows=rows, heads=heads))
    parts += [f"no answer from {address}" for address in silent]
    return "\n\n".join(parts)
