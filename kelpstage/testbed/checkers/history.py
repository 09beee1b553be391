"""How fleets, live or simulated, write their histories."""

from __future__ import annotations

from typing import Any


class HistoryWriter:
    """Rows in the order they happened; the class that mixes this in tells the time
    and keeps `history` and `serial`."""

    history: list[dict]
    serial: int = 0

    def now_us(self) -> int:
        raise NotImplementedError

    def note(self, row: dict) -> None:
        row.setdefault("at_us", self.now_us())
        self.history.append(row)

    def fault(self, *, what: str, **row: Any) -> int:
        """Note that a fault begins; its number ends it."""
        self.serial += 1
        self.note({"event": "fault", "what": what, "fault": self.serial, **row})
        return self.serial

    def fault_end(self, *, fault: int) -> None:
        self.note({"event": "fault_end", "fault": fault})
