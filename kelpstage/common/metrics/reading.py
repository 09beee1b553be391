"""Parses the metrics of a process and computes rates and quantiles between two scrapes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from prometheus_client.parser import text_string_to_metric_families

Labels = tuple[tuple[str, str], ...]


@dataclass(kw_only=True)
class Scrape:
    """One scrape of a process: its samples by name and labels."""

    at_s: float
    samples: dict[str, dict[Labels, float]] = field(default_factory=dict)

    def total(self, name: str, **labels: str) -> float:
        """Returns the sum of all samples of this name that have these labels.

        >>> Scrape(at_s=0, samples={"a": {(("b", "1"),): 2, (("b", "2"),): 3}}).total("a", b="2")
        3
        """
        wanted = set(labels.items())
        return sum(v for key, v in self.samples.get(name, {}).items() if wanted <= set(key))

    def buckets(self, name: str, **labels: str) -> dict[float, float]:
        """Returns a histogram's cumulative counts by upper bound, over all matching samples."""
        wanted, counts = set(labels.items()), dict[float, float]()
        for key, value in self.samples.get(f"{name}_bucket", {}).items():
            if wanted <= set(key):
                bound = float(dict(key)["le"])
                counts[bound] = counts.get(bound, 0.0) + value
        return counts


@dataclass(kw_only=True)
class ScrapePair:
    """Two scrapes of one process, the older one first."""

    before: Scrape
    after: Scrape

    def rate(self, name: str, **labels: str) -> float:
        """Returns the increase of a counter per second; 0 if the process restarted meanwhile."""
        duration_s = self.after.at_s - self.before.at_s
        increase = self.after.total(name, **labels) - self.before.total(name, **labels)
        return max(0.0, increase) / duration_s if duration_s > 0 else 0.0

    def quantile_s(self, name: str, *, share: float, **labels: str) -> float | None:
        """Returns the upper bound of the bucket with this quantile of the new observations."""
        before = self.before.buckets(name, **labels)
        after = self.after.buckets(name, **labels)
        counts = {bound: count - before.get(bound, 0.0) for bound, count in after.items()}
        return quantile(counts=counts, share=share)


def quantile(*, counts: dict[float, float], share: float) -> float | None:
    """Returns the smallest upper bound that covers this share of the observations.

    >>> quantile(counts={0.1: 5, 0.2: 9, math.inf: 10}, share=0.9)
    0.2
    >>> quantile(counts={math.inf: 0}, share=0.5) is None
    True
    """
    total = counts.get(math.inf, 0.0)
    if total <= 0:
        return None
    return next(bound for bound in sorted(counts) if counts[bound] >= share * total)


def parse_scrape(*, text: str, at_s: float) -> Scrape:
    """Parses a text in the Prometheus format.

    >>> parse_scrape(text='a{b="1"} 2\\n', at_s=0.0).total("a", b="1")
    2
    """
    scrape = Scrape(at_s=at_s)
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = tuple(sorted(sample.labels.items()))
            scrape.samples.setdefault(sample.name, {})[labels] = sample.value
    return scrape
