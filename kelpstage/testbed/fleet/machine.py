"""Monitors interference by the host machine: CPU steal time and the lag of the test process."""

from __future__ import annotations

import pathlib
from typing import Any

from kelpstage.testbed.checkers.history import HistoryWriter

SECOND_US = 1_000_000
NOISY_STEAL_SHARE = 0.10
NOISY_LAG_US = 250_000


def read_times() -> tuple[int, int]:
    """Returns the total processor time and the steal time, in ticks since boot.

    >>> total, stolen = read_times(); total >= stolen
    True
    """
    fields = pathlib.Path("/proc/stat").read_text(encoding="ascii").splitlines()[0].split()[1:]
    numbers = [int(field) for field in fields]
    return sum(numbers[:8]), numbers[7]


async def watch_machine(*, notes: HistoryWriter, clock: Any) -> None:
    """Records the share of steal time and the lag of this process for each second.

    A second whose share of steal time exceeds `NOISY_STEAL_SHARE`, or whose lag exceeds
    `NOISY_LAG_US`, is recorded as a fault that excuses late replies.
    """
    total, stolen = read_times()
    while True:
        due_us = clock.now_us() + SECOND_US
        await clock.sleep(us=SECOND_US)
        lag_us = clock.now_us() - due_us
        now_total, now_stolen = read_times()
        share = (now_stolen - stolen) / max(1, now_total - total)
        total, stolen = now_total, now_stolen
        notes.note({"event": "machine", "stolen": round(share, 4), "lag_us": lag_us})
        if share > NOISY_STEAL_SHARE or lag_us > NOISY_LAG_US:
            row = {
                "event": "fault",
                "what": "machine taken by others",
                "fault": -clock.now_us(),
                "excuses": ["machine"],
                "after_us": SECOND_US,
                "at_us": due_us - SECOND_US,
            }
            notes.note(row)
            notes.fault_end(fault=row["fault"])
