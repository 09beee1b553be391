"""Sealed records: a mark, a length, a checksum, a body; in logs and in days."""

from __future__ import annotations

import struct
import zlib

RECORD_MARKER = b"\xc5KR\x1e"
RECORD = struct.Struct("!4sII")


def encode_record(*, body: bytes) -> bytes:
    """Put a body between mark and checksum.

    >>> decode_record(data=encode_record(body=b"x"), offset=0)
    (b'x', 13)
    """
    return RECORD.pack(RECORD_MARKER, len(body), zlib.crc32(body)) + body


def decode_record(*, data: bytes, offset: int) -> tuple[bytes, int] | None:
    """The body at `offset` and the offset behind it, or `None` if it is bad.

    >>> decode_record(data=b"short", offset=0) is None
    True
    """
    if len(data) - offset < RECORD.size:
        return None
    mark, size, check = RECORD.unpack_from(data, offset)
    start = offset + RECORD.size
    if mark != RECORD_MARKER or len(data) - start < size:
        return None
    body = data[start : start + size]
    if zlib.crc32(body) != check:
        return None
    return body, start + size


def contains_record(*, data: bytes, start: int) -> bool:
    """Does a good record begin at `start` or anywhere behind it? Then a bad one
    before it is damage and not the torn end of a write.

    >>> (contains_record(data=b"bad" + encode_record(body=b"x"), start=1),
    ...     contains_record(data=b"bad", start=0))
    (True, False)
    """
    place = data.find(RECORD_MARKER, start)
    while place >= 0:
        if decode_record(data=data, offset=place) is not None:
            return True
        place = data.find(RECORD_MARKER, place + 1)
    return False
