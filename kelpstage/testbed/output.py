"""What the commands of the testbed share: a fault of the command line, histories in files."""

from __future__ import annotations

import json
import sys
from typing import Any, NoReturn

BAD_INPUT = 2  # exit code


def say_bad(text: str) -> NoReturn:
    """A fault of the command line on stderr, and exit code 2."""
    print(text, file=sys.stderr)
    raise SystemExit(BAD_INPUT)


def write_history(*, path: str, rows: list[dict[str, Any]]) -> None:
    """Write a history as JSON lines."""
    with open(path, "w", encoding="utf-8") as file:
        for row in rows:
            file.write(json.dumps(row) + "\n")
