"""Helpers for tests of a core's disk: synchronous disk access, enumerated power losses."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from kelpstage.common.ports.interfaces import Ports
from kelpstage.testbed.simulation.disk import DiskImage, PowerLost, SimDisk, SimFile


class InstantClock:
    """A clock that never advances; `on_sleep` is called on every sleep."""

    def __init__(self) -> None:
        self.on_sleep: Callable[[], None] = lambda: None

    def now_us(self) -> int:
        """Returns 0 always."""
        return 0

    async def sleep(self, *, us: int) -> None:
        """Return at once."""
        self.on_sleep()


def finish(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that waits only for the simulated disk, and return its result."""
    try:
        work.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine waits for something other than the disk")


def copy_disk_image(*, disk_image: DiskImage, seed: int) -> DiskImage:
    """Copy a disk image with its content, names and unsynced changes."""
    copies: dict[int, SimFile] = {}

    def copied(file: SimFile | None) -> SimFile | None:
        if file is None:
            return None
        if id(file) not in copies:
            copies[id(file)] = file.copy()
        return copies[id(file)]

    return DiskImage(
        rand=random.Random(seed),
        files={path: copied(file) for path, file in disk_image.files.items()},
        kept={path: copied(file) for path, file in disk_image.kept.items()},
        changed={path: [copied(f) for f in states] for path, states in disk_image.changed.items()},
    )


class Machine:
    """A machine with a disk image, and ports that access it."""

    def __init__(self, *, seed: int = 1) -> None:
        self.clock = InstantClock()
        self.disk_image = DiskImage(rand=random.Random(f"{seed}/platter"))
        self.ports = Ports(
            clock=self.clock,  # type: ignore[arg-type]
            net=None,  # type: ignore[arg-type]
            disk=None,  # type: ignore[arg-type]
            rand=random.Random(f"{seed}/process"),
            spawn=lambda work: None,
        )
        self.attach(disk_image=self.disk_image)

    def attach(self, *, disk_image: DiskImage) -> None:
        """Replace the disk."""
        self.disk_image = disk_image
        self.ports.disk = SimDisk(clock=self.clock, disk_image=disk_image, rand=random.Random(1))

    def run_until(
        self,
        *,
        step: int,
        work: Coroutine[Any, Any, Any],
        faults: dict[int, Callable[[], None]] | None = None,
    ) -> tuple[bool, Any]:
        """Run `work` until `step` changes of the disk are made, injecting `faults` by step.

        Returns whether the work completed, and its result.
        """
        made = [0]

        def count(name: str) -> None:
            fault = (faults or {}).get(made[0])
            if fault is not None:
                fault()
            if made[0] == step:
                raise PowerLost(name)
            made[0] += 1

        self.disk_image.before_change = count
        try:
            return True, finish(work)
        except PowerLost:
            return False, None
        finally:
            self.disk_image.before_change = lambda name: None


class ChoiceSequences:
    """Enumerates all sequences of choices: use `choose`, then repeat while `advance()`.

    >>> choices = ChoiceSequences(); rows = [(choices.choose(2), choices.choose(2))]
    >>> while choices.advance(): rows.append((choices.choose(2), choices.choose(2)))
    >>> rows
    [(0, 0), (0, 1), (1, 0), (1, 1)]
    """

    def __init__(self) -> None:
        self._choices: list[int] = []
        self._limits: list[int] = []
        self._position = 0

    def choose(self, limit: int) -> int:
        """Returns the next choice of the sequence, below `limit`."""
        if self._position == len(self._choices):
            self._choices.append(0)
            self._limits.append(limit)
        self._position += 1
        return self._choices[self._position - 1]

    def advance(self) -> bool:
        """Go to the next sequence; false after the last one."""
        self._position = 0
        while self._choices and self._choices[-1] + 1 == self._limits[-1]:
            self._choices.pop()
            self._limits.pop()
        if not self._choices:
            return False
        self._choices[-1] += 1
        return True


def power_loss_outcomes(*, limit: int, seed: int) -> Iterator[Callable[[int], int]]:
    """Yield a chooser for each outcome of a power loss.

    With more than `limit` outcomes, yield the first `limit` and as many random ones.
    """
    sequences = ChoiceSequences()
    yield sequences.choose
    for _ in range(limit - 1):
        if not sequences.advance():
            return
        yield sequences.choose
    if sequences.advance():
        rand = random.Random(seed)
        for _ in range(limit):
            yield rand.randrange
