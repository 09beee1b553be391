"""What the tests of a core's disk share: a disk without a loop, every way to lose power."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from kelpstage.common.ports.interfaces import Ports
from kelpstage.testbed.simulation.disk import Platter, PowerLost, SimDisk, SimFile


class InstantClock:
    """A clock on which nothing takes time; `on_sleep` hears of every wait."""

    def __init__(self) -> None:
        self.on_sleep: Callable[[], None] = lambda: None

    def now_us(self) -> int:
        """Always the same moment."""
        return 0

    async def sleep(self, *, us: int) -> None:
        """Return at once."""
        self.on_sleep()


def finish(work: Coroutine[Any, Any, Any]) -> Any:
    """Run disk work that waits for nothing else to its end."""
    try:
        work.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("it waits for something that is not the disk")


def copy_of(*, platter: Platter, seed: int) -> Platter:
    """Another disk with the same content, names and unsynced changes."""
    copies: dict[int, SimFile] = {}

    def copied(file: SimFile | None) -> SimFile | None:
        if file is None:
            return None
        if id(file) not in copies:
            copies[id(file)] = file.copy()
        return copies[id(file)]

    return Platter(
        rand=random.Random(seed),
        files={path: copied(file) for path, file in platter.files.items()},
        kept={path: copied(file) for path, file in platter.kept.items()},
        changed={path: [copied(f) for f in states] for path, states in platter.changed.items()},
    )


class Machine:
    """One machine: its platter, and ports to it."""

    def __init__(self, *, seed: int = 1) -> None:
        self.clock = InstantClock()
        self.platter = Platter(rand=random.Random(f"{seed}/platter"))
        self.ports = Ports(
            clock=self.clock,  # type: ignore[arg-type]
            net=None,  # type: ignore[arg-type]
            disk=None,  # type: ignore[arg-type]
            rand=random.Random(f"{seed}/process"),
            spawn=lambda work: None,
        )
        self.use(platter=self.platter)

    def use(self, *, platter: Platter) -> None:
        """Put another disk in."""
        self.platter = platter
        self.ports.disk = SimDisk(clock=self.clock, platter=platter, rand=random.Random(1))

    def run_until(
        self,
        *,
        step: int,
        work: Coroutine[Any, Any, Any],
        faults: dict[int, Callable[[], None]] | None = None,
    ) -> tuple[bool, Any]:
        """Run until so many single changes of the disk are made, with faults before some
        of them; was that the end, and what came out?"""
        made = [0]

        def count(name: str) -> None:
            fault = (faults or {}).get(made[0])
            if fault is not None:
                fault()
            if made[0] == step:
                raise PowerLost(name)
            made[0] += 1

        self.platter.on_step = count
        try:
            return True, finish(work)
        except PowerLost:
            return False, None
        finally:
            self.platter.on_step = lambda name: None


class Ways:
    """Every row of choices in turn: hand out `choose`, go on while `advance()`.

    >>> ways = Ways(); rows = [(ways.choose(2), ways.choose(2))]
    >>> while ways.advance(): rows.append((ways.choose(2), ways.choose(2)))
    >>> rows
    [(0, 0), (0, 1), (1, 0), (1, 1)]
    """

    def __init__(self) -> None:
        self._row: list[int] = []
        self._limits: list[int] = []
        self._place = 0

    def choose(self, limit: int) -> int:
        """The next choice, below `limit`."""
        if self._place == len(self._row):
            self._row.append(0)
            self._limits.append(limit)
        self._place += 1
        return self._row[self._place - 1]

    def advance(self) -> bool:
        """Set up the next row; false after the last."""
        self._place = 0
        while self._row and self._row[-1] + 1 == self._limits[-1]:
            self._row.pop()
            self._limits.pop()
        if not self._row:
            return False
        self._row[-1] += 1
        return True


def every_way(*, limit: int, seed: int) -> Iterator[Callable[[int], int]]:
    """Choosers for all ways in which a loss of power can go; of more than `limit` ways
    the first ones and as many random ones."""
    ways = Ways()
    yield ways.choose
    for _ in range(limit - 1):
        if not ways.advance():
            return
        yield ways.choose
    if ways.advance():
        rand = random.Random(seed)
        for _ in range(limit):
            yield rand.randrange
