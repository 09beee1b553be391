"""Metric families in the Prometheus text format, through `prometheus_client`.

The library is imported here alone, and this module only when figures are asked for: it costs
2.8 MB and some 55 ms of processor time (docs/metrics.md).
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


class _Families(Collector):
    """Hands families to the library's registry."""

    def __init__(self, families: Iterable[MetricFamily]) -> None:
        self._families = families

    def collect(self) -> Iterator[Metric]:
        """Each family as the library's own type."""
        for family in self._families:
            yield _metric_of(family)


def _metric_of(family: MetricFamily) -> Metric:
    if family.kind is MetricKind.HISTOGRAM:
        return _histogram_of(family)
    make = CounterMetricFamily if family.kind is MetricKind.COUNTER else GaugeMetricFamily
    metric: Metric = make(family.name, family.help, labels=family.labels)
    for labels, value in family.values.items():
        metric.add_metric(labels, value)  # type: ignore[attr-defined]  # both kinds have it
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
    """The families as text.

    >>> text_of(families=[MetricFamily.gauge("up", "Is it up?", 1)])
    b'# HELP up Is it up?\\n# TYPE up gauge\\nup 1.0\\n'
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Families(families))
    return bytes(generate_latest(registry))
