"""Bytes as their difference from other bytes that the receiver has.

What both begin and end with is left out, the rest is compressed by zlib with the
old middle as its dictionary. A digest of the whole tells whether it was put
together from the right base.
"""

from __future__ import annotations

import hashlib
import struct
import zlib

HEAD = struct.Struct("!II8s")
WINDOW = 32 * 1024
WHOLE_LIMIT = 64 * 1024 * 1024


def _common(*, a: bytes, b: bytes) -> int:
    """Length of what both begin with."""
    low, high = 0, min(len(a), len(b))
    while low < high:
        middle = (low + high + 1) // 2
        if a[low:middle] == b[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def pack_delta(*, base: bytes, whole: bytes) -> bytes:
    """What turns `base` into `whole`; with an empty base, `whole` compressed.

    >>> base = bytes(range(256)) * 40
    >>> whole = base[: len(base) // 2] + b"new" + base[len(base) // 2 :]
    >>> len(pack_delta(base=base, whole=whole)) < 40
    True
    >>> apply_delta(base=base, delta=pack_delta(base=base, whole=whole)) == whole
    True
    """
    head = _common(a=base, b=whole)
    tail = _common(a=base[head:][::-1], b=whole[head:][::-1])
    old = base[head : len(base) - tail][-WINDOW:]
    packer = zlib.compressobj(9, zlib.DEFLATED, -15, 9, zlib.Z_DEFAULT_STRATEGY, old)
    middle = packer.compress(whole[head : len(whole) - tail]) + packer.flush()
    return HEAD.pack(head, tail, hashlib.sha256(whole).digest()[:8]) + middle


def apply_delta(*, base: bytes, delta: bytes) -> bytes | None:
    """The whole, or nothing if this isn't the base or the bytes are damaged.

    >>> apply_delta(base=b"other", delta=pack_delta(base=b"base", whole=b"bass")) is None
    True
    >>> apply_delta(base=b"", delta=b"junk") is None
    True
    """
    if len(delta) < HEAD.size:
        return None
    head, tail, digest = HEAD.unpack(delta[: HEAD.size])
    if head + tail > len(base):
        return None
    old = base[head : len(base) - tail][-WINDOW:]
    try:
        unpacker = zlib.decompressobj(-15, old)
        middle = unpacker.decompress(delta[HEAD.size :], WHOLE_LIMIT)
    except zlib.error:
        return None
    if unpacker.unconsumed_tail or not unpacker.eof:
        return None
    whole = base[:head] + middle + base[len(base) - tail :]
    return whole if hashlib.sha256(whole).digest()[:8] == digest else None
