"""Recording of histories by live and simulated fleets."""

from __future__ import annotations

from typing import Any


class HistoryWriter:
    """Mixin that appends rows to a history in the order of the events.

    The class that uses it supplies the clock and holds `history` and `serial`, the
    number of the last fault.
    """

    history: list[dict]
    serial: int = 0

    def now_us(self) -> int:
        """Return the time for new rows, in microseconds; subclasses implement it."""
        raise NotImplementedError

    def note(self, row: dict) -> None:
        """Append a row; a row without `at_us` gets the current time."""
        row.setdefault("at_us", self.now_us())
        self.history.append(row)

    def fault(self, *, what: str, **row: Any) -> int:
        """Record the start of a fault and return its number, which `fault_end` takes."""
        self.serial += 1
        self.note({"event": "fault", "what": what, "fault": self.serial, **row})
        return self.serial

    def fault_end(self, *, fault: int) -> None:
        """Record the end of the fault with this number."""
        self.note({"event": "fault_end", "fault": fault})
