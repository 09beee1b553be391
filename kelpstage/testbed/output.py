"""Output shared by the testbed's commands: usage errors and files of histories."""

from __future__ import annotations

import json
import sys
from typing import Any, NoReturn

BAD_INPUT = 2  # exit code


def say_bad(text: str) -> NoReturn:
    """Prints a usage error to stderr and exits with code 2."""
    print(text, file=sys.stderr)
    raise SystemExit(BAD_INPUT)


def write_history(*, path: str, rows: list[dict[str, Any]]) -> None:
    """Writes a history as JSON lines."""
    with open(path, "w", encoding="utf-8") as file:
        for row in rows:
            file.write(json.dumps(row) + "\n")
