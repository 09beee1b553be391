"""The base class of all typed errors.

Errors are values: a function that may fail returns either its result or an error. `kind` is the
tag that clients see; it is part of the public interface and does not change when a class is
renamed.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any, ClassVar


@dataclass(frozen=True, kw_only=True)
class KelpstageError:
    """The base class of all typed errors.

    >>> KelpstageError().as_json()
    {'kind': 'error'}
    """

    kind: ClassVar[str] = "error"

    def as_json(self) -> dict[str, Any]:
        """Return the error as clients receive it: its tag and its fields."""
        return {"kind": self.kind, **asdict(self)}
