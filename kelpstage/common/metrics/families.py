"""Metric families as plain values, before they are formatted as text."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Mapping, Self

from kelpstage.common.metrics.histogram import DurationHistogram


class MetricKind(enum.StrEnum):
    """The metric types of the Prometheus text format that are used here."""

    COUNTER = "counter"  # only increases while the process runs; its name ends in `_total`
    GAUGE = "gauge"
    HISTOGRAM = "histogram"  # of durations; its name ends in `_seconds`


@dataclass(kw_only=True)
class MetricFamily:
    """A metric name with its help text, label names and one value for each set of label values.

    >>> MetricFamily.gauge("up", "Is it up?", 1).values
    {(): 1}
    """

    name: str
    help: str
    kind: MetricKind
    labels: tuple[str, ...] = ()
    values: dict[tuple[str, ...], float] = field(default_factory=dict)
    histograms: dict[tuple[str, ...], DurationHistogram] = field(default_factory=dict)

    @classmethod
    def gauge(cls, name: str, help: str, value: float) -> Self:
        """Returns a gauge without labels."""
        return cls(name=name, help=help, kind=MetricKind.GAUGE, values={(): value})

    @classmethod
    def gauges(cls, name: str, help: str, label: str, values: Mapping[str, float]) -> Self:
        """Returns a gauge with one label."""
        return cls(
            name=name,
            help=help,
            kind=MetricKind.GAUGE,
            labels=(label,),
            values={(key,): value for key, value in values.items()},
        )

    @classmethod
    def counter(cls, name: str, help: str, value: int) -> Self:
        """Returns a counter without labels."""
        return cls(name=name, help=help, kind=MetricKind.COUNTER, values={(): value})

    @classmethod
    def counters(cls, name: str, help: str, label: str, values: Mapping[str, int]) -> Self:
        """Returns a counter with one label."""
        return cls(
            name=name,
            help=help,
            kind=MetricKind.COUNTER,
            labels=(label,),
            values={(key,): value for key, value in values.items()},
        )

    @classmethod
    def durations(
        cls, name: str, help: str, label: str, histograms: Mapping[str, DurationHistogram]
    ) -> Self:
        """Returns a histogram of durations with one label."""
        return cls(
            name=name,
            help=help,
            kind=MetricKind.HISTOGRAM,
            labels=(label,),
            histograms={(key,): histogram for key, histogram in histograms.items()},
        )
