"""The total order of records, and sorting, merging and packing in that order.

Records are ordered by descending value and, for equal values, by their bytes. Trees of different
shapes over the same parts therefore give the same body, byte for byte.
"""

from __future__ import annotations

import heapq
import struct
from itertools import islice
from typing import Iterable

Record = tuple[int, bytes]  # negated value, the record's exact bytes
RECORD_SIZE = 16
RECORD_HEADER = struct.Struct("!qI")


def leaf_limit(*, limit: int | None) -> int | None:
    """Return how many records a leaf of the tree sends to its parent: Scuba's max(5*limit, 100).

    >>> leaf_limit(limit=5), leaf_limit(limit=50), leaf_limit(limit=None)
    (100, 250, None)
    """
    return None if limit is None else max(5 * limit, 100)


def sort_and_truncate(*, records: Iterable[Record], limit: int | None) -> list[Record]:
    """Sort greatest first and keep the first `limit`.

    >>> sort_and_truncate(records=[(-1, b"a"), (-3, b"b"), (-3, b"a")], limit=2)
    [(-3, b'a'), (-3, b'b')]
    """
    ordered = sorted(records)
    return ordered if limit is None else ordered[:limit]


def merge(*, runs: list[list[Record]], limit: int | None) -> list[Record]:
    """Merge sorted runs and keep the first `limit` records.

    >>> merge(runs=[[(-3, b"x")], [(-4, b"y"), (-1, b"z")]], limit=2)
    [(-4, b'y'), (-3, b'x')]
    """
    runs = [run for run in runs if run]
    if len(runs) == 1:
        return runs[0] if limit is None else runs[0][:limit]
    merged = heapq.merge(*runs)
    return list(merged if limit is None else islice(merged, limit))


def pack_records(*, records: list[Record]) -> bytes:
    """Encode records for a message: value, length, exact bytes.

    >>> unpack_records(data=pack_records(records=[(-7, b"{}")]))
    [(-7, b'{}')]
    """
    return b"".join(
        piece for value, data in records for piece in (RECORD_HEADER.pack(value, len(data)), data)
    )


def unpack_records(*, data: bytes) -> list[Record] | None:
    """Decode what `pack_records` encodes; `None` if the last record is incomplete.

    >>> unpack_records(data=b"x") is None
    True
    """
    out: list[Record] = []
    offset, size = 0, len(data)
    while offset < size:
        if size - offset < RECORD_HEADER.size:
            return None
        value, length = RECORD_HEADER.unpack_from(data, offset)
        offset += RECORD_HEADER.size
        if size - offset < length:
            return None
        out.append((value, data[offset : offset + length]))
        offset += length
    return out


class ValueOrder:
    """Records with a value: a run is a list of (negated value, bytes)."""

    sort_and_truncate = staticmethod(sort_and_truncate)
    merge = staticmethod(merge)
    pack = staticmethod(pack_records)
    unpack = staticmethod(unpack_records)


class ByteOrder:
    """Raw records of a fixed size, greatest first, compared byte by byte.

    Equal records are all kept. A run is a list of records; its encoding is their concatenation.

    >>> ByteOrder.merge(runs=[[b"c", b"a"], [b"b", b"a"]], limit=3)
    [b'c', b'b', b'a']
    >>> ByteOrder.unpack(data=b"x" * 17) is None
    True
    """

    @staticmethod
    def sort_and_truncate(*, records: list[bytes], limit: int | None) -> list[bytes]:
        """Sort greatest first and keep the first `limit`."""
        return sorted(records, reverse=True)[:limit]

    @staticmethod
    def merge(*, runs: list[list[bytes]], limit: int | None) -> list[bytes]:
        """Merge sorted runs and keep the first `limit` records."""
        if len(runs) == 1:
            return runs[0][:limit]
        # CPython's list.sort detects the sorted runs and merges them.
        return sorted((one for run in runs for one in run), reverse=True)[:limit]

    @staticmethod
    def pack(*, records: list[bytes]) -> bytes:
        """Encode records for a message."""
        return b"".join(records)

    @staticmethod
    def unpack(*, data: bytes) -> list[bytes] | None:
        """Decode what `pack` encodes; `None` if the last record is incomplete."""
        if len(data) % RECORD_SIZE:
            return None
        return [data[at : at + RECORD_SIZE] for at in range(0, len(data), RECORD_SIZE)]


ORDER_BY_CODEC = {"json": ValueOrder, "records16": ByteOrder}
