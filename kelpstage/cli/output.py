"""Output of the commands as text or JSON, and their exit codes, which stay stable."""

from __future__ import annotations

import json
import sys
from typing import Any, NoReturn

from kelpstage.common.errors.base import KelpstageError

OK, REJECTED, BAD_INPUT, UNRESOLVED, UNREACHABLE = 0, 1, 2, 3, 4


def show(*, body: Any, is_json: bool, text: str | None = None) -> None:
    """Prints a result.

    >>> show(body={"a": 1}, is_json=False, text="one")
    one
    """
    print(json.dumps(body, indent=1, ensure_ascii=False) if is_json or text is None else text)


def fail(*, error: KelpstageError | dict[str, Any], code: int, is_json: bool = False) -> NoReturn:
    """Prints the error and exits with the code; text goes to stderr, JSON to stdout.

    >>> from contextlib import redirect_stderr
    >>> from kelpstage.common.errors.control import NoLeaderError
    >>> with redirect_stderr(sys.stdout):
    ...     fail(error=NoLeaderError(why="x"), code=1)
    Traceback (most recent call last):
    SystemExit: 1
    """
    row = error.as_json() if isinstance(error, KelpstageError) else error
    if is_json:
        print(json.dumps({"defect": row}, indent=1, ensure_ascii=False))
        raise SystemExit(code)
    kind = row.get("kind", "defect")
    if "faults" in row:
        for fault in row["faults"]:
            print(f"{kind} at {fault['path']}: {fault['why']}", file=sys.stderr)
        raise SystemExit(code)
    details = ", ".join(f"{k} {v}" for k, v in row.items() if k != "kind")
    print(f"{kind}: {details}" if details else kind, file=sys.stderr)
    raise SystemExit(code)


def table(*, rows: list[list[Any]], heads: list[str]) -> str:
    """Formats rows in aligned columns under a header.

    >>> print(table(rows=[["a", 1]], heads=["name", "n"]))
    name  n
    a     1
    """
    cells = [heads] + [["-" if v is None else str(v) for v in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(heads))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
