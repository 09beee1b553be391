"""Reading the metrics of a process: samples at one moment, rates and quantiles between two."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from prometheus_client.parser import text_string_to_metric_families

Labels = tuple[tuple[str, str], ...]


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


def read_look(*, text: str, at_s: float) -> Look:
    """The samples of a text in the Prometheus format.

    >>> read_look(text='a{b="1"} 2\\n', at_s=0.0).total("a", b="1")
    2
    """
    look = Look(at_s=at_s)
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = tuple(sorted(sample.labels.items()))
            look.samples.setdefault(sample.name, {})[labels] = sample.value
    return look
