"""Bytes as their difference from other bytes that the receiver has.

A difference is a list of steps, each "copy this piece of the base, then add these bytes",
compressed by zlib with the base's end as its dictionary. A digest of the result tells
whether it was put together from the right base; a wrong base or damaged bytes give nothing.

Format: 8 bytes of the result's SHA-256, then a raw deflate stream of steps. A step is three
numbers (offset in the base, length of the copy, length of what is added) and what is added.
"""

from __future__ import annotations

import hashlib
import zlib
from bisect import bisect_left
from typing import Iterator, NamedTuple

DIGEST_BYTES = 8
WINDOW = 32 * 1024
WHOLE_LIMIT = 64 * 1024 * 1024
BLOCK = 32  # the shortest piece that is looked for in the base
SEARCH_LIMIT = 64 * 1024  # bytes not found in the base after which no more is looked for
COMPRESSION_LEVEL = 6
VARINT_BYTES = 10


class Step(NamedTuple):
    """Copy `length` bytes of the base from `offset`, then add `added`."""

    offset: int
    length: int
    added: bytes


def _common_length(*, base: bytes, start: int, whole: bytes, place: int) -> int:
    """How long `base` from `start` and `whole` from `place` are the same."""
    most = min(len(base) - start, len(whole) - place)
    known, size = 0, BLOCK
    while known < most:
        size = min(size, most - known)
        here, there = start + known, place + known
        if base[here : here + size] == whole[there : there + size]:
            known += size
            size *= 2
            continue
        if size == 1:
            return known
        size = (size + 1) // 2 if size <= BLOCK else BLOCK
    return known


def _blocks(*, base: bytes) -> dict[bytes, list[int]]:
    """Where each aligned block of the base stands."""
    blocks: dict[bytes, list[int]] = {}
    for offset in range(0, len(base) - BLOCK + 1, BLOCK):
        blocks.setdefault(base[offset : offset + BLOCK], []).append(offset)
    return blocks


def _steps(*, base: bytes, whole: bytes) -> Iterator[Step]:
    """Steps that turn `base` into `whole`."""
    offset = place = searched = 0
    blocks: dict[bytes, list[int]] | None = None
    while place < len(whole) or not whole:
        length = _common_length(base=base, start=offset, whole=whole, place=place)
        begins = place + length  # of what is added
        place, next_offset = begins, offset + length
        found = -1
        while base and searched < SEARCH_LIMIT and place + BLOCK <= len(whole):
            if blocks is None:
                blocks = _blocks(base=base)
            offsets = blocks.get(whole[place : place + BLOCK])
            if offsets is not None:
                nearest = min(bisect_left(offsets, next_offset), len(offsets) - 1)
                found = offsets[nearest]
                break
            place += 1
            searched += 1
        if found < 0:
            yield Step(offset=offset, length=length, added=whole[begins:])
            return
        while found and place > begins and base[found - 1] == whole[place - 1]:
            found -= 1
            place -= 1
        yield Step(offset=offset, length=length, added=whole[begins:place])
        offset = found


def _write_number(*, value: int, out: bytearray) -> None:
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def _read_number(*, data: bytes, place: int) -> tuple[int, int]:
    value = 0
    for shift in range(0, 7 * VARINT_BYTES, 7):
        byte = data[place]  # IndexError: cut short
        place += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, place
    raise IndexError("a number of too many bytes")


def _digest(*, whole: bytes) -> bytes:
    return hashlib.sha256(whole).digest()[:DIGEST_BYTES]


def pack_delta(*, base: bytes, whole: bytes) -> bytes:
    """What turns `base` into `whole`; with an empty base, `whole` compressed.

    >>> base = bytes(range(256)) * 40
    >>> whole = base[: len(base) // 2] + b"new" + base[len(base) // 2 :]
    >>> len(pack_delta(base=base, whole=whole)) < 40
    True
    >>> apply_delta(base=base, delta=pack_delta(base=base, whole=whole)) == whole
    True
    """
    packer = zlib.compressobj(
        COMPRESSION_LEVEL, zlib.DEFLATED, -15, 9, zlib.Z_DEFAULT_STRATEGY, base[-WINDOW:]
    )
    out = bytearray(_digest(whole=whole))
    for step in _steps(base=base, whole=whole):
        head = bytearray()
        for value in (step.offset, step.length, len(step.added)):
            _write_number(value=value, out=head)
        out += packer.compress(bytes(head) + step.added)
    return bytes(out + packer.flush())


def apply_delta(*, base: bytes, delta: bytes) -> bytes | None:
    """The whole, or nothing if this isn't the base or the bytes are damaged.

    >>> apply_delta(base=b"other", delta=pack_delta(base=b"base", whole=b"bass")) is None
    True
    >>> apply_delta(base=b"", delta=b"junk") is None
    True
    """
    if len(delta) < DIGEST_BYTES:
        return None
    try:
        unpacker = zlib.decompressobj(-15, base[-WINDOW:])
        steps = unpacker.decompress(delta[DIGEST_BYTES:], WHOLE_LIMIT)
        if unpacker.unconsumed_tail or not unpacker.eof:
            return None
        whole = _apply_steps(base=base, steps=steps)
    except (zlib.error, IndexError):
        return None
    if whole is None or _digest(whole=whole) != delta[:DIGEST_BYTES]:
        return None
    return whole


def _apply_steps(*, base: bytes, steps: bytes) -> bytes | None:
    pieces: list[bytes] = []
    place = size = 0
    while place < len(steps):
        offset, place = _read_number(data=steps, place=place)
        length, place = _read_number(data=steps, place=place)
        added, place = _read_number(data=steps, place=place)
        size += length + added
        if size > WHOLE_LIMIT or offset + length > len(base) or place + added > len(steps):
            return None
        pieces.append(base[offset : offset + length])
        pieces.append(steps[place : place + added])
        place += added
    return b"".join(pieces)
