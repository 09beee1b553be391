"""How long each backend and each node takes, and the windows that follow."""

from __future__ import annotations

from dataclasses import dataclass

LONGEST_US = 2_000_000
HALF_LIFE_US = 4_000_000


@dataclass(kw_only=True)
class LatencyEstimate:
    """A smoothed time and its spread, as TCP keeps them.

    >>> latency = LatencyEstimate()
    >>> for _ in range(50): latency.saw(took_us=4_000)
    >>> 4_000 <= latency.stretch_us() < 6_000
    True
    """

    mean_us: float = 0.0
    spread_us: float = 0.0
    seen: int = 0
    seen_us: int = 0

    def saw(self, *, took_us: int, now_us: int = 0) -> None:
        """Take one measured time (microseconds)."""
        self.seen_us = now_us
        took_us = min(took_us, LONGEST_US)
        self.seen += 1
        if self.seen == 1:
            self.mean_us, self.spread_us = float(took_us), took_us / 2
            return
        self.spread_us += (abs(took_us - self.mean_us) - self.spread_us) / 8
        self.mean_us += (took_us - self.mean_us) / 16

    def stretch_us(self) -> int:
        """Mean and four times the spread: rarely passed by a healthy child."""
        return int(self.mean_us + 4 * self.spread_us)


class LatencyEstimates:
    """Latency estimates by name; a name never seen has the default window alone.

    >>> LatencyEstimates().window_us(name="n", least_us=10_000)
    10000
    """

    def __init__(self) -> None:
        self._latencies: dict[str, LatencyEstimate] = {}

    def saw(self, *, name: str, took_us: int, now_us: int = 0) -> None:
        """Take one measured time of a name (microseconds)."""
        self._latencies.setdefault(name, LatencyEstimate()).saw(took_us=took_us, now_us=now_us)

    def window_us(self, *, name: str, least_us: int) -> int:
        """The window for a child: the default, stretched by what was seen of it."""
        latency = self._latencies.get(name)
        return least_us if latency is None else max(least_us, latency.stretch_us())

    def mean_us(self, *, name: str, now_us: int) -> int:
        """The mean, halved for every while in which nothing was seen: a child
        that was slow once is tried again."""
        latency = self._latencies.get(name)
        if latency is None:
            return 0
        return int(latency.mean_us / 2 ** (max(0, now_us - latency.seen_us) / HALF_LIFE_US))
