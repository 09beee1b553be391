"""Bytes as their difference from other bytes that the receiver has.

A difference is a list of steps, each "copy this part of the base, then add these bytes",
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
WINDOW = 32 * 1024  # bytes at the base's end that serve as zlib's dictionary
RESULT_LIMIT = 64 * 1024 * 1024  # bytes of a result, and of its steps
BLOCK = 32  # bytes of the shortest run that is looked for in the base
SEARCH_LIMIT = 64 * 1024  # bytes not found in the base after which no more is looked for
COMPRESSION_LEVEL = 6
VARINT_BYTES = 10  # the longest number: 64 bits in groups of 7


class Step(NamedTuple):
    """Copy `length` bytes of the base from `offset`, then add `added`."""

    offset: int
    length: int
    added: bytes


def _common_length(*, base: bytes, start: int, target: bytes, position: int) -> int:
    """How long `base` from `start` and `target` from `position` are the same."""
    most = min(len(base) - start, len(target) - position)
    known, size = 0, BLOCK
    while known < most:
        size = min(size, most - known)
        here, there = start + known, position + known
        if base[here : here + size] == target[there : there + size]:
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


def _steps(*, base: bytes, target: bytes) -> Iterator[Step]:
    """Steps that turn `base` into `target`."""
    offset = position = searched = 0
    blocks: dict[bytes, list[int]] | None = None
    while position < len(target) or not target:
        length = _common_length(base=base, start=offset, target=target, position=position)
        begins = position + length  # of what is added
        position, next_offset = begins, offset + length
        found = -1
        while base and searched < SEARCH_LIMIT and position + BLOCK <= len(target):
            if blocks is None:
                blocks = _blocks(base=base)
            offsets = blocks.get(target[position : position + BLOCK])
            if offsets is not None:
                nearest = min(bisect_left(offsets, next_offset), len(offsets) - 1)
                found = offsets[nearest]
                break
            position += 1
            searched += 1
        if found < 0:
            yield Step(offset=offset, length=length, added=target[begins:])
            return
        while found and position > begins and base[found - 1] == target[position - 1]:
            found -= 1
            position -= 1
        yield Step(offset=offset, length=length, added=target[begins:position])
        offset = found


def _write_number(*, value: int, out: bytearray) -> None:
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def _read_number(*, data: bytes, position: int) -> tuple[int, int]:
    value = 0
    for shift in range(0, 7 * VARINT_BYTES, 7):
        byte = data[position]  # IndexError: cut short
        position += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, position
    raise IndexError("a number of too many bytes")


def _digest(*, target: bytes) -> bytes:
    return hashlib.sha256(target).digest()[:DIGEST_BYTES]


def pack_delta(*, base: bytes, target: bytes) -> bytes:
    """The delta from `base` to `target`; with an empty base, `target` compressed.

    >>> base = bytes(range(256)) * 40
    >>> target = base[: len(base) // 2] + b"new" + base[len(base) // 2 :]
    >>> len(pack_delta(base=base, target=target)) < 40
    True
    >>> apply_delta(base=base, delta=pack_delta(base=base, target=target)) == target
    True
    """
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL, zlib.DEFLATED, -15, 9, zlib.Z_DEFAULT_STRATEGY, base[-WINDOW:]
    )
    out = bytearray(_digest(target=target))
    for step in _steps(base=base, target=target):
        head = bytearray()
        for value in (step.offset, step.length, len(step.added)):
            _write_number(value=value, out=head)
        out += compressor.compress(bytes(head) + step.added)
    return bytes(out + compressor.flush())


def apply_delta(*, base: bytes, delta: bytes) -> bytes | None:
    """The result, or nothing if this isn't the base or the bytes are damaged.

    >>> apply_delta(base=b"other", delta=pack_delta(base=b"base", target=b"bass")) is None
    True
    >>> apply_delta(base=b"", delta=b"junk") is None
    True
    """
    if len(delta) < DIGEST_BYTES:
        return None
    try:
        decompressor = zlib.decompressobj(-15, base[-WINDOW:])
        steps = decompressor.decompress(delta[DIGEST_BYTES:], RESULT_LIMIT)
        if decompressor.unconsumed_tail or not decompressor.eof:
            return None
        target = _apply_steps(base=base, steps=steps)
    except (zlib.error, IndexError):
        return None
    if target is None or _digest(target=target) != delta[:DIGEST_BYTES]:
        return None
    return target


def _apply_steps(*, base: bytes, steps: bytes) -> bytes | None:
    parts: list[bytes] = []
    position = size = 0
    while position < len(steps):
        offset, position = _read_number(data=steps, position=position)
        length, position = _read_number(data=steps, position=position)
        added, position = _read_number(data=steps, position=position)
        size += length + added
        if size > RESULT_LIMIT or offset + length > len(base) or position + added > len(steps):
            return None
        parts.append(base[offset : offset + length])
        parts.append(steps[position : position + added])
        position += added
    return b"".join(parts)
