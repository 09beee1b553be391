"""Metric families as plain values: what a process tells, before it is made into text."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Mapping, Self

from kelpstage.common.metrics.histogram import DurationHistogram


class MetricKind(enum.StrEnum):
    """The kinds of the Prometheus text format that are used here."""

    COUNTER = "counter"  # grows from the process's start on; its name ends in `_total`
    GAUGE = "gauge"
    HISTOGRAM = "histogram"  # of durations; its name ends in `_seconds`


@dataclass(kw_only=True)
class MetricFamily:
    """One name with its help text, labels, and a value for each set of labels.

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
        """A value without labels that may rise and fall."""
        return cls(name=name, help=help, kind=MetricKind.GAUGE, values={(): value})

    @classmethod
    def gauges(cls, name: str, help: str, label: str, values: Mapping[str, float]) -> Self:
        """Values that may rise and fall, by one label."""
        return cls(
            name=name,
            help=help,
            kind=MetricKind.GAUGE,
            labels=(label,),
            values={(key,): value for key, value in values.items()},
        )

    @classmethod
    def counters(cls, name: str, help: str, label: str, values: Mapping[str, int]) -> Self:
        """Counts that only grow, by one label."""
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
        """Histograms of durations, by one label."""
        return cls(
            name=name,
            help=help,
            kind=MetricKind.HISTOGRAM,
            labels=(label,),
            histograms={(key,): histogram for key, histogram in histograms.items()},
        )
