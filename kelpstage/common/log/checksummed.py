"""Checksummed records of log files and recordings: a marker, a length, a CRC-32 and a body."""

from __future__ import annotations

import struct
import zlib

MARK = b"\xc5KR\x1e"
RECORD_HEADER = struct.Struct("!4sII")


def seal(*, body: bytes) -> bytes:
    """Encode a body as a record with a marker, its length and its checksum.

    >>> unseal(data=seal(body=b"x"), offset=0)
    (b'x', 13)
    """
    return RECORD_HEADER.pack(MARK, len(body), zlib.crc32(body)) + body


def unseal(*, data: bytes, offset: int) -> tuple[bytes, int] | None:
    """Decode the record at `offset`; returns its body and the offset after it, or `None` if the
    record is truncated or fails its checksum.

    >>> unseal(data=b"short", offset=0) is None
    True
    """
    if len(data) - offset < RECORD_HEADER.size:
        return None
    mark, size, check = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    if mark != MARK or len(data) - start < size:
        return None
    body = data[start : start + size]
    if zlib.crc32(body) != check:
        return None
    return body, start + size


def has_sealed(*, data: bytes, start: int) -> bool:
    """True if a valid record begins at `start` or after it. An invalid record before it is then
    damage and not the torn end of a write.

    >>> has_sealed(data=b"bad" + seal(body=b"x"), start=1), has_sealed(data=b"bad", start=0)
    (True, False)
    """
    position = data.find(MARK, start)
    while position >= 0:
        if unseal(data=data, offset=position) is not None:
            return True
        position = data.find(MARK, position + 1)
    return False
