"""The root of all typed errors.

Errors are values: a function that may fail returns its result or one of these. `kind` is
the tag that callers see; it belongs to the public interface and does not change when a
class is renamed.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any, ClassVar


@dataclass(frozen=True, kw_only=True)
class KelpstageError:
    """The root of all errors.

    >>> KelpstageError().as_json()
    {'kind': 'error'}
    """

    kind: ClassVar[str] = "error"

    def as_json(self) -> dict[str, Any]:
        """The error as callers get it: its tag and its fields."""
        return {"kind": self.kind, **asdict(self)}
