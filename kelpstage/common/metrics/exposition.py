"""Formats metric families in the Prometheus text format with `prometheus_client`.

Only this module imports the library, and it is itself imported at the first request for metrics,
because the library costs 2.8 MB of memory and about 55 ms of CPU time (docs/metrics.md).
"""

from __future__ import annotations

import math
from typing import Iterable, Iterator

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from kelpstage.common.metrics.families import MetricFamily, MetricKind

CONTENT_TYPE = CONTENT_TYPE_LATEST


class _FamilyCollector(Collector):
    """A collector that passes families to the registry of `prometheus_client`."""

    def __init__(self, families: Iterable[MetricFamily]) -> None:
        self._families = families

    def collect(self) -> Iterator[Metric]:
        """Yields each family as a metric of `prometheus_client`."""
        for family in self._families:
            yield _metric_of(family)


def _metric_of(family: MetricFamily) -> Metric:
    if family.kind is MetricKind.HISTOGRAM:
        return _histogram_of(family)
    make = CounterMetricFamily if family.kind is MetricKind.COUNTER else GaugeMetricFamily
    metric: Metric = make(family.name, family.help, labels=family.labels)
    for labels, value in family.values.items():
        metric.add_metric(labels, value)  # type: ignore[attr-defined]  # both types have it
    return metric


def _histogram_of(family: MetricFamily) -> HistogramMetricFamily:
    metric = HistogramMetricFamily(family.name, family.help, labels=family.labels)
    for labels, histogram in family.histograms.items():
        buckets = [
            ("+Inf" if bound == math.inf else str(bound), count)
            for bound, count in histogram.cumulative()
        ]
        metric.add_metric(labels, buckets=buckets, sum_value=histogram.sum_us / 1_000_000)
    return metric


def text_of(*, families: Iterable[MetricFamily]) -> bytes:
    """Returns the families in the Prometheus text format.

    >>> text_of(families=[MetricFamily.gauge("up", "Is it up?", 1)])
    b'# HELP up Is it up?\\n# TYPE up gauge\\nup 1.0\\n'
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_FamilyCollector(families))
    return bytes(generate_latest(registry))
