"""Validation errors of configurations and settings, with the path of each invalid field."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class InvalidField(KelpstageError):
    """One invalid field of a configuration or of settings, with its path."""

    kind: ClassVar[str] = "fault"
    path: str
    why: str


@dataclass(frozen=True, kw_only=True)
class InvalidConfigurationError(KelpstageError):
    """A configuration is rejected as a whole, with a list of all its invalid fields."""

    kind: ClassVar[str] = "configuration_refused"
    faults: list[InvalidField]

    def as_json(self) -> dict[str, Any]:
        """Return the error as clients receive it; each fault has a path and a reason."""
        return {"kind": self.kind, "faults": [{"path": f.path, "why": f.why} for f in self.faults]}


@dataclass(frozen=True, kw_only=True)
class InvalidSettingsError(KelpstageError):
    """Settings are rejected as a whole, with a list of all their invalid fields."""

    kind: ClassVar[str] = "env_refused"
    faults: list[InvalidField]

    def as_json(self) -> dict[str, Any]:
        """Return the error as clients receive it; each fault has a path and a reason."""
        return {"kind": self.kind, "faults": [{"path": f.path, "why": f.why} for f in self.faults]}
