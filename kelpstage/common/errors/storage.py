"""Errors of the disk: logs, snapshots and recordings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class DiskError(KelpstageError):
    """An operation of the disk failed."""

    kind: ClassVar[str] = "disk_defect"
    path: str
    op: str
    why: str


@dataclass(frozen=True, kw_only=True)
class LogDamagedError(KelpstageError):
    """A record that is not the torn end of the log fails its checksum."""

    kind: ClassVar[str] = "log_damaged"
    path: str
    offset: int
    why: str


@dataclass(frozen=True, kw_only=True)
class FormatMismatchError(KelpstageError):
    """Intact files of another format version: not damage, so nothing is discarded."""

    kind: ClassVar[str] = "format_mismatch"
    path: str
    ours: int
    theirs: int

    @property
    def why(self) -> str:
        """What to show: both format versions."""
        return f"format {self.theirs}, this version reads {self.ours}"


@dataclass(frozen=True, kw_only=True)
class TruncatedRecordingError(KelpstageError):
    """A recording ends in the middle of a record."""

    kind: ClassVar[str] = "day_torn"
    path: str
    offset: int


@dataclass(frozen=True, kw_only=True)
class InvalidRecordingError(KelpstageError):
    """Not a recording, or one of another format version."""

    kind: ClassVar[str] = "day_foreign"
    path: str
    offset: int
    why: str
