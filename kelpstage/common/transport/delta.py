"""Delta encoding of bytes against a base that the receiver has.

A delta is a list of steps, each "copy this part of the base, then add these bytes", compressed
with zlib; the end of the base is the compression dictionary. A digest of the result shows
whether the delta was applied to the right base; a wrong base or damaged bytes give `None`.

Format: the first 8 bytes of the result's SHA-256, then a raw deflate stream of steps. A step is
three varints (offset in the base, length of the copy, length of the added bytes) and the added
bytes.
"""

from __future__ import annotations

import hashlib
import zlib
from bisect import bisect_left
from typing import Iterator, NamedTuple

DIGEST_BYTES = 8
DICTIONARY_BYTES = 32 * 1024  # bytes at the end of the base that are the zlib dictionary
MAX_RESULT_BYTES = 64 * 1024 * 1024  # of a result, and of its decompressed steps
BLOCK_BYTES = 32  # length of the shortest run that is searched for in the base
SEARCH_LIMIT_BYTES = 64 * 1024  # unmatched bytes after which the search stops
COMPRESSION_LEVEL = 6
MAX_VARINT_BYTES = 10  # 64 bits in groups of 7


class Step(NamedTuple):
    """Copy `length` bytes of the base from `offset`, then add `added`."""

    offset: int
    length: int
    added: bytes


def _common_length(*, base: bytes, start: int, target: bytes, position: int) -> int:
    """Return the length of the common run of `base` from `start` and `target` from `position`."""
    limit = min(len(base) - start, len(target) - position)
    matched, size = 0, BLOCK_BYTES
    while matched < limit:
        size = min(size, limit - matched)
        base_offset, target_offset = start + matched, position + matched
        if base[base_offset : base_offset + size] == target[target_offset : target_offset + size]:
            matched += size
            size *= 2
            continue
        if size == 1:
            return matched
        size = (size + 1) // 2 if size <= BLOCK_BYTES else BLOCK_BYTES
    return matched


def _index_blocks(*, base: bytes) -> dict[bytes, list[int]]:
    """Return the offsets of each distinct aligned block of the base."""
    blocks: dict[bytes, list[int]] = {}
    for offset in range(0, len(base) - BLOCK_BYTES + 1, BLOCK_BYTES):
        blocks.setdefault(base[offset : offset + BLOCK_BYTES], []).append(offset)
    return blocks


def _find_steps(*, base: bytes, target: bytes) -> Iterator[Step]:
    """Yield the steps that build `target` from `base`."""
    offset = position = searched = 0
    blocks: dict[bytes, list[int]] | None = None
    while position < len(target) or not target:
        length = _common_length(base=base, start=offset, target=target, position=position)
        added_start = position + length
        position, next_offset = added_start, offset + length
        found = -1
        while base and searched < SEARCH_LIMIT_BYTES and position + BLOCK_BYTES <= len(target):
            if blocks is None:
                blocks = _index_blocks(base=base)
            offsets = blocks.get(target[position : position + BLOCK_BYTES])
            if offsets is not None:
                nearest = min(bisect_left(offsets, next_offset), len(offsets) - 1)
                found = offsets[nearest]
                break
            position += 1
            searched += 1
        if found < 0:
            yield Step(offset=offset, length=length, added=target[added_start:])
            return
        while found and position > added_start and base[found - 1] == target[position - 1]:
            found -= 1
            position -= 1
        yield Step(offset=offset, length=length, added=target[added_start:position])
        offset = found


def _write_varint(*, value: int, out: bytearray) -> None:
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def _read_varint(*, data: bytes, position: int) -> tuple[int, int]:
    value = 0
    for shift in range(0, 7 * MAX_VARINT_BYTES, 7):
        byte = data[position]  # raises IndexError if the data is truncated
        position += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, position
    raise IndexError("varint has too many bytes")


def _digest(*, target: bytes) -> bytes:
    return hashlib.sha256(target).digest()[:DIGEST_BYTES]


def pack_delta(*, base: bytes, target: bytes) -> bytes:
    """Return the delta from `base` to `target`; with an empty base, `target` compressed.

    >>> base = bytes(range(256)) * 40
    >>> target = base[: len(base) // 2] + b"new" + base[len(base) // 2 :]
    >>> len(pack_delta(base=base, target=target)) < 40
    True
    >>> apply_delta(base=base, delta=pack_delta(base=base, target=target)) == target
    True
    """
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL, zlib.DEFLATED, -15, 9, zlib.Z_DEFAULT_STRATEGY, base[-DICTIONARY_BYTES:]
    )
    out = bytearray(_digest(target=target))
    for step in _find_steps(base=base, target=target):
        header = bytearray()
        for value in (step.offset, step.length, len(step.added)):
            _write_varint(value=value, out=header)
        out += compressor.compress(bytes(header) + step.added)
    return bytes(out + compressor.flush())


def apply_delta(*, base: bytes, delta: bytes) -> bytes | None:
    """Return the result, or `None` if the base is a different one or the bytes are damaged.

    >>> apply_delta(base=b"other", delta=pack_delta(base=b"base", target=b"bass")) is None
    True
    >>> apply_delta(base=b"", delta=b"junk") is None
    True
    """
    if len(delta) < DIGEST_BYTES:
        return None
    try:
        decompressor = zlib.decompressobj(-15, base[-DICTIONARY_BYTES:])
        steps = decompressor.decompress(delta[DIGEST_BYTES:], MAX_RESULT_BYTES)
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
        offset, position = _read_varint(data=steps, position=position)
        length, position = _read_varint(data=steps, position=position)
        added, position = _read_varint(data=steps, position=position)
        size += length + added
        if size > MAX_RESULT_BYTES or offset + length > len(base) or position + added > len(steps):
            return None
        parts.append(base[offset : offset + length])
        parts.append(steps[position : position + added])
        position += added
    return b"".join(parts)
