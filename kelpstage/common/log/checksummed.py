"""Sealed records: a mark, a length, a checksum, a body; in logs and in days."""

from __future__ import annotations

import struct
import zlib

MARK = b"\xc5KR\x1e"
RECORD = struct.Struct("!4sII")


def seal(*, body: bytes) -> bytes:
    """Put a body between mark and checksum.

    >>> unseal(data=seal(body=b"x"), offset=0)
    (b'x', 13)
    """
    return RECORD.pack(MARK, len(body), zlib.crc32(body)) + body


def unseal(*, data: bytes, offset: int) -> tuple[bytes, int] | None:
    """The body at `offset` and the offset behind it, or `None` if it is bad.

    >>> unseal(data=b"short", offset=0) is None
    True
    """
    if len(data) - offset < RECORD.size:
        return None
    mark, size, check = RECORD.unpack_from(data, offset)
    start = offset + RECORD.size
    if mark != MARK or len(data) - start < size:
        return None
    body = data[start : start + size]
    if zlib.crc32(body) != check:
        return None
    return body, start + size


def has_sealed(*, data: bytes, start: int) -> bool:
    """Does a good record begin at `start` or anywhere behind it? Then a bad one
    before it is damage and not the torn end of a write.

    >>> has_sealed(data=b"bad" + seal(body=b"x"), start=1), has_sealed(data=b"bad", start=0)
    (True, False)
    """
    place = data.find(MARK, start)
    while place >= 0:
        if unseal(data=data, offset=place) is not None:
            return True
        place = data.find(MARK, place + 1)
    return False
