"""Latency estimates of backends and nodes, and the windows derived from them."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SAMPLE_US = 2_000_000
MEAN_HALF_LIFE_US = 4_000_000


@dataclass(kw_only=True)
class LatencyEstimate:
    """A smoothed latency and its mean deviation, as TCP estimates its round-trip time.

    >>> latency = LatencyEstimate()
    >>> for _ in range(50): latency.observe(took_us=4_000)
    >>> 4_000 <= latency.stretch_us() < 6_000
    True
    """

    mean_us: float = 0.0
    deviation_us: float = 0.0
    sample_count: int = 0
    last_sample_us: int = 0

    def observe(self, *, took_us: int, now_us: int = 0) -> None:
        """Add a measured latency in microseconds."""
        self.last_sample_us = now_us
        took_us = min(took_us, MAX_SAMPLE_US)
        self.sample_count += 1
        if self.sample_count == 1:
            self.mean_us, self.deviation_us = float(took_us), took_us / 2
            return
        self.deviation_us += (abs(took_us - self.mean_us) - self.deviation_us) / 8
        self.mean_us += (took_us - self.mean_us) / 16

    def stretch_us(self) -> int:
        """Return the mean plus four deviations, which a healthy peer rarely exceeds."""
        return int(self.mean_us + 4 * self.deviation_us)


class LatencyEstimates:
    """Latency estimates by name; a name without samples gets the default window.

    >>> LatencyEstimates().window_us(name="n", least_us=10_000)
    10000
    """

    def __init__(self) -> None:
        self._latencies: dict[str, LatencyEstimate] = {}

    def observe(self, *, name: str, took_us: int, now_us: int = 0) -> None:
        """Add a measured latency of a name, in microseconds."""
        self._latencies.setdefault(name, LatencyEstimate()).observe(took_us=took_us, now_us=now_us)

    def window_us(self, *, name: str, least_us: int) -> int:
        """Return the window for a name: `least_us`, or more if its estimate is longer."""
        latency = self._latencies.get(name)
        return least_us if latency is None else max(least_us, latency.stretch_us())

    def mean_us(self, *, name: str, now_us: int) -> int:
        """Return the mean, halved for every `MEAN_HALF_LIFE_US` since the last sample, so that a
        backend that was slow is tried again."""
        latency = self._latencies.get(name)
        if latency is None:
            return 0
        return int(
            latency.mean_us / 2 ** (max(0, now_us - latency.last_sample_us) / MEAN_HALF_LIFE_US)
        )
