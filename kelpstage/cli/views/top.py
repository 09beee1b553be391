"""The figures of a fleet between two looks, as a table: rates, quantiles, roles, lags."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any, Iterable

from kelpstage.cli.output import table

Labels = tuple[tuple[str, str], ...]
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
SERVED_KINDS = ("root", "single")  # requests of clients and callers, not parts of them


@dataclass(kw_only=True)
class Look:
    """What one process told at one moment: samples by name and labels."""

    at_s: float
    samples: dict[str, dict[Labels, float]] = field(default_factory=dict)

    def total(self, name: str, **labels: str) -> float:
        """The sum over all samples of a name that have these labels.

        >>> Look(at_s=0, samples={"a": {(("b", "1"),): 2, (("b", "2"),): 3}}).total("a", b="2")
        3
        """
        wanted = set(labels.items())
        return sum(v for key, v in self.samples.get(name, {}).items() if wanted <= set(key))

    def buckets(self, name: str, **labels: str) -> dict[float, float]:
        """Cumulative counts of a histogram by upper bound, over all sets of labels."""
        wanted, out = set(labels.items()), dict[float, float]()
        for key, value in self.samples.get(f"{name}_bucket", {}).items():
            if wanted <= set(key):
                bound = float(dict(key)["le"])
                out[bound] = out.get(bound, 0.0) + value
        return out


@dataclass(kw_only=True)
class Between:
    """Two looks at one process, the newer one second."""

    before: Look
    after: Look

    def rate(self, name: str, **labels: str) -> float:
        """How much a counter grew a second; 0 where the process began anew meanwhile."""
        span_s = self.after.at_s - self.before.at_s
        grown = self.after.total(name, **labels) - self.before.total(name, **labels)
        return max(0.0, grown) / span_s if span_s > 0 else 0.0

    def quantile_s(self, name: str, *, share: float, **labels: str) -> float | None:
        """The upper bound of the bucket that holds this quantile of what came in between."""
        before = self.before.buckets(name, **labels)
        after = self.after.buckets(name, **labels)
        counts = {bound: count - before.get(bound, 0.0) for bound, count in after.items()}
        return quantile(counts=counts, share=share)


def quantile(*, counts: dict[float, float], share: float) -> float | None:
    """The least upper bound below which this share of the observations lies.

    >>> quantile(counts={0.1: 5, 0.2: 9, math.inf: 10}, share=0.9)
    0.2
    >>> quantile(counts={math.inf: 0}, share=0.5) is None
    True
    """
    total = counts.get(math.inf, 0.0)
    if total <= 0:
        return None
    return next(bound for bound in sorted(counts) if counts[bound] >= share * total)


def _milliseconds(seconds: float | None) -> str:
    if seconds is None:
        return "-"
    return ">10000" if math.isinf(seconds) else f"{seconds * 1000:.3g}"


def edge_row(*, address: str, between: Between) -> list[Any]:
    """One line of the table of edges."""
    now = between.after
    attempts = between.rate("kelpstage_attempts_total")
    again = attempts - between.rate("kelpstage_attempts_total", reason="first")
    served = sum(between.rate("kelpstage_requests_total", kind=kind) for kind in SERVED_KINDS)
    duration = "kelpstage_stage_duration_seconds"
    stage = "root" if between.rate("kelpstage_requests_total", kind="root") else "single"
    return [
        address,
        "yes" if now.total("kelpstage_ready") else "no",
        int(now.total("kelpstage_configuration_version")),
        int(now.total("kelpstage_epoch")),
        f"{served:.1f}",
        _milliseconds(between.quantile_s(duration, share=0.5, stage=stage)),
        _milliseconds(between.quantile_s(duration, share=0.99, stage=stage)),
        f"{between.rate('kelpstage_errors_total'):.1f}",
        f"{again / attempts:.1%}" if attempts else "-",
        f"{between.rate('kelpstage_shards_missing_total'):.1f}",
        int(now.total("kelpstage_requests_in_flight")),
        int(now.total("kelpstage_backends_ejected")),
        f"{now.total('kelpstage_event_loop_lag_seconds') * 1000:.1f}",
    ]


def core_row(*, address: str, between: Between) -> list[Any]:
    """One line of the table of cores."""
    now = between.after
    roles = now.samples.get("kelpstage_raft_role", {})
    role = next((dict(key)["role"] for key, value in roles.items() if value), "not running")
    disk = "kelpstage_disk_write_duration_seconds"
    return [
        address,
        role,
        int(now.total("kelpstage_raft_term")),
        int(now.total("kelpstage_configuration_version")),
        int(now.total("kelpstage_epoch")),
        int(now.total("kelpstage_raft_commit_index")),
        int(now.total("kelpstage_raft_lag_entries")),
        int(now.total("kelpstage_edges_behind")),
        _milliseconds(between.quantile_s(disk, share=0.99)),
        int(now.total("kelpstage_queue_length")),
        f"{now.total('kelpstage_event_loop_lag_seconds') * 1000:.1f}",
    ]


def top_text(*, edges: Iterable[list[Any]], cores: Iterable[list[Any]], silent: list[str]) -> str:
    """The whole page.

    >>> print(top_text(edges=[], cores=[], silent=["127.0.0.1:1"]))
    no answer from 127.0.0.1:1
    """
    parts = []
    for rows, heads in ((list(cores), CORE_HEADS), (list(edges), EDGE_HEADS)):
        if rows:
            parts.append(table(rows=rows, heads=heads))
    parts += [f"no answer from {address}" for address in silent]
    return "\n\n".join(parts)
