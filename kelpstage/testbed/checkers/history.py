"""How fleets, live or simulated, write their histories."""

from __future__ import annotations

from typing import Any


class HistoryWriter:
    """A mixin that appends rows to a history in the order they happened.

    The class that uses it supplies the clock and keeps `history` and `serial`, the
    number of the last fault.
    """

    history: list[dict]
    serial: int = 0

    def now_us(self) -> int:
        """The clock that rows are stamped with, in microseconds; subclasses supply it."""
        raise NotImplementedError

    def note(self, row: dict) -> None:
        """Append a row; without an `at_us` of its own it is stamped with the current time."""
        row.setdefault("at_us", self.now_us())
        self.history.append(row)

    def fault(self, *, what: str, **row: Any) -> int:
        """Note that a fault begins; its number ends it."""
        self.serial += 1
        self.note({"event": "fault", "what": what, "fault": self.serial, **row})
        return self.serial

    def fault_end(self, *, fault: int) -> None:
        """Note the end of the fault that `fault` returned this number for."""
        self.note({"event": "fault_end", "fault": fault})
