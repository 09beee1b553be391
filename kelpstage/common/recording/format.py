"""The file format of recordings: events in the order in which they happened.

A file has the magic bytes `KDAY`, a format number, and checksummed records. Each record is a JSON
object with `what` (its kind) and `at_us` (microseconds since the start of the recording). See
docs/notes/replay.md.
"""

from __future__ import annotations

import json
import struct
from typing import Any

from kelpstage.common.errors.storage import InvalidRecordingError, TruncatedRecordingError
from kelpstage.common.log.checksummed import contains_record, decode_record, encode_record

FORMAT = 1
MAGIC = b"KDAY"
FILE_HEADER = MAGIC + struct.pack("!H", FORMAT)
KINDS = ("begin", "call", "put", "fault", "listed", "result")

Row = dict[str, Any]


def encode_row(*, row: Row) -> bytes:
    """Encode a row as a checksummed record.

    >>> read_recording(path="p", data=FILE_HEADER + encode_row(row={"what": "call", "at_us": 1}))
    [{'what': 'call', 'at_us': 1}]
    """
    return encode_record(body=json.dumps(row, separators=(",", ":"), ensure_ascii=False).encode())


def read_recording(
    *, path: str, data: bytes, allows_truncated_tail: bool = False
) -> list[Row] | TruncatedRecordingError | InvalidRecordingError:
    """Decode all rows of a recording. A record that is cut off at the end of the file is an error,
    unless `allows_truncated_tail`.

    >>> whole = FILE_HEADER + encode_row(row={"what": "call", "at_us": 1})
    >>> read_recording(path="p", data=whole + b"torn").offset == len(whole)
    True
    >>> len(read_recording(path="p", data=whole + b"torn", allows_truncated_tail=True))
    1
    >>> read_recording(path="p", data=b"something else").why
    'not a recording'
    """
    if not data.startswith(MAGIC):
        return InvalidRecordingError(path=path, offset=0, why="not a recording")
    if not data.startswith(FILE_HEADER):
        return InvalidRecordingError(path=path, offset=len(MAGIC), why="unsupported format version")
    rows: list[Row] = []
    offset = len(FILE_HEADER)
    while offset < len(data):
        found = decode_record(data=data, offset=offset)
        if found is None:
            if contains_record(data=data, start=offset + 1):
                return InvalidRecordingError(
                    path=path, offset=offset, why="record fails its checksum"
                )
            return (
                rows if allows_truncated_tail else TruncatedRecordingError(path=path, offset=offset)
            )
        row = _read_row(body=found[0])
        if row is None:
            return InvalidRecordingError(path=path, offset=offset, why="invalid JSON, kind or time")
        rows.append(row)
        offset = found[1]
    return rows


def _read_row(*, body: bytes) -> Row | None:
    try:
        row = json.loads(body)
    except ValueError:
        return None
    if not isinstance(row, dict) or row.get("what") not in KINDS:
        return None
    return row if type(row.get("at_us")) is int else None
