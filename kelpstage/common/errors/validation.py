"""Errors in configurations and settings, each with the path of every invalid field."""

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
    """A configuration that is refused as a whole, with every fault found."""

    kind: ClassVar[str] = "configuration_refused"
    faults: list[InvalidField]

    def as_json(self) -> dict[str, Any]:
        """The fields under their public names; a fault is its path and its reason."""
        return {"kind": self.kind, "faults": [{"path": f.path, "why": f.why} for f in self.faults]}


@dataclass(frozen=True, kw_only=True)
class InvalidSettingsError(KelpstageError):
    """Settings that are refused as a whole, with every fault found."""

    kind: ClassVar[str] = "env_refused"
    faults: list[InvalidField]

    def as_json(self) -> dict[str, Any]:
        """The fields under their public names; a fault is its path and its reason."""
        return {"kind": self.kind, "faults": [{"path": f.path, "why": f.why} for f in self.faults]}
