"""Checksummed records of log files and recordings: a marker, a length, a CRC-32 and a body."""

from __future__ import annotations

import struct
import zlib

RECORD_MARKER = b"\xc5KR\x1e"
RECORD_HEADER = struct.Struct("!4sII")


def encode_record(*, body: bytes) -> bytes:
    """Encode a body as a record with a marker, its length and its checksum.

    >>> decode_record(data=encode_record(body=b"x"), offset=0)
    (b'x', 13)
    """
    return RECORD_HEADER.pack(RECORD_MARKER, len(body), zlib.crc32(body)) + body


def decode_record(*, data: bytes, offset: int) -> tuple[bytes, int] | None:
    """Decode the record at `offset`; returns its body and the offset after it, or `None` if the
    record is truncated or fails its checksum.

    >>> decode_record(data=b"short", offset=0) is None
    True
    """
    if len(data) - offset < RECORD_HEADER.size:
        return None
    mark, size, check = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    if mark != RECORD_MARKER or len(data) - start < size:
        return None
    body = data[start : start + size]
    if zlib.crc32(body) != check:
        return None
    return body, start + size


def contains_record(*, data: bytes, start: int) -> bool:
    """True if a valid record begins at `start` or after it. An invalid record before it is then
    damage and not the torn end of a write.

    >>> (contains_record(data=b"bad" + encode_record(body=b"x"), start=1),
    ...     contains_record(data=b"bad", start=0))
    (True, False)
    """
    position = data.find(RECORD_MARKER, start)
    while position >= 0:
        if decode_record(data=data, offset=position) is not None:
            return True
        position = data.find(RECORD_MARKER, position + 1)
    return False
