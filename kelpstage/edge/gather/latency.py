"""How long each backend and each node takes, and the windows that follow."""

from __future__ import annotations

from dataclasses import dataclass

LONGEST_US = 2_000_000
HALF_LIFE_US = 4_000_000


@dataclass(kw_only=True)
class Pace:
    """A smoothed time and its spread, as TCP keeps them.

    >>> pace = Pace()
    >>> for _ in range(50): pace.saw(took_us=4_000)
    >>> 4_000 <= pace.stretch_us() < 6_000
    True
    """

    mean_us: float = 0.0
    spread_us: float = 0.0
    seen: int = 0
    seen_us: int = 0

    def saw(self, *, took_us: int, now_us: int = 0) -> None:
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


class Paces:
    """Paces by name; a name never seen has the default window alone.

    >>> Paces().window_us(name="n", least_us=10_000)
    10000
    """

    def __init__(self) -> None:
        self._paces: dict[str, Pace] = {}

    def saw(self, *, name: str, took_us: int, now_us: int = 0) -> None:
        self._paces.setdefault(name, Pace()).saw(took_us=took_us, now_us=now_us)

    def window_us(self, *, name: str, least_us: int) -> int:
        """The window for a child: the default, stretched by what was seen of it."""
        pace = self._paces.get(name)
        return least_us if pace is None else max(least_us, pace.stretch_us())

    def mean_us(self, *, name: str, now_us: int) -> int:
        """The mean, halved for every while in which nothing was seen: a child
        that was slow once is tried again."""
        pace = self._paces.get(name)
        if pace is None:
            return 0
        return int(pace.mean_us / 2 ** (max(0, now_us - pace.seen_us) / HALF_LIFE_US))
