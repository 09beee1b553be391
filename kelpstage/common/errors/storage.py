"""Errors of stored data: logs, snapshots and recordings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class DiskError(KelpstageError):
    """A disk operation failed."""

    kind: ClassVar[str] = "disk_defect"
    path: str
    op: str
    why: str


@dataclass(frozen=True, kw_only=True)
class LogDamagedError(KelpstageError):
    """A record fails its checksum and is not the torn end of the log."""

    kind: ClassVar[str] = "log_damaged"
    path: str
    offset: int
    why: str


@dataclass(frozen=True, kw_only=True)
class FormatMismatchError(KelpstageError):
    """An intact file has another format version; since it is not damaged, nothing is discarded."""

    kind: ClassVar[str] = "format_mismatch"
    path: str
    ours: int
    theirs: int

    @property
    def why(self) -> str:
        """The text to display, with both format versions."""
        return f"format {self.theirs}, this version reads {self.ours}"


@dataclass(frozen=True, kw_only=True)
class TruncatedRecordingError(KelpstageError):
    """A recording ends in the middle of a record."""

    kind: ClassVar[str] = "day_torn"
    path: str
    offset: int


@dataclass(frozen=True, kw_only=True)
class InvalidRecordingError(KelpstageError):
    """The file is not a valid recording, or has another format version."""

    kind: ClassVar[str] = "day_foreign"
    path: str
    offset: int
    why: str
