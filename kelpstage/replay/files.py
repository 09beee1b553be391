"""Reads and writes the files of the command line: recordings and results."""

from __future__ import annotations

import pathlib
import sys
from typing import NoReturn

from kelpstage.cli.files import write_file_atomically
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.storage import InvalidRecordingError
from kelpstage.common.recording.format import FILE_HEADER, Row, encode_row, read_recording

BAD_INPUT = 2
TORN_TAIL_HINT = "the file ends within a record; --torn-tail reads the records before it"


def exit_bad_input(text: str) -> NoReturn:
    """Prints the error on stderr and exits with the code for bad input."""
    print(text, file=sys.stderr)
    raise SystemExit(BAD_INPUT)


def load(*, path: str, allows_truncated_tail: bool) -> list[Row]:
    """Returns the rows of a file; if it is invalid, exits with the error and its offset."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        exit_bad_input(f"unreadable: {path}: {error.strerror}")
    rows = read_recording(path=path, data=data, allows_truncated_tail=allows_truncated_tail)
    if isinstance(rows, KelpstageError):
        why = rows.why if isinstance(rows, InvalidRecordingError) else TORN_TAIL_HINT
        exit_bad_input(f"{rows.kind}: {path} at offset {rows.offset}: {why}")
    return rows


def save(*, path: str, rows: list[Row]) -> None:
    """Writes the rows atomically: to a temporary file that is then renamed."""
    write_file_atomically(
        path=path, data=FILE_HEADER + b"".join(encode_row(row=row) for row in rows)
    )
