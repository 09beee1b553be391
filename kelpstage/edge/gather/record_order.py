"""The one total order of records, and merging under it.

Greatest value first; records of one value by their bytes. Two trees of another
shape over the same parts therefore give the same body, byte for byte.
"""

from __future__ import annotations

import heapq
import struct
from itertools import islice
from typing import Iterable

Record = tuple[int, bytes]  # the value turned negative, the record's exact bytes
RAW_SIZE = 16
HEAD = struct.Struct("!qI")


def lowest_limit(*, limit: int | None) -> int | None:
    """How many records a lowest node passes up: Scuba's max(5*limit, 100).

    >>> lowest_limit(limit=5), lowest_limit(limit=50), lowest_limit(limit=None)
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
    """Merge sorted runs, keeping `limit` if there is one.

    >>> merge(runs=[[(-3, b"x")], [(-4, b"y"), (-1, b"z")]], limit=2)
    [(-4, b'y'), (-3, b'x')]
    """
    runs = [run for run in runs if run]
    if len(runs) == 1:
        return runs[0] if limit is None else runs[0][:limit]
    merged = heapq.merge(*runs)
    return list(merged if limit is None else islice(merged, limit))


def pack_records(*, records: list[Record]) -> bytes:
    """Records as they travel between nodes: value, length, exact bytes.

    >>> unpack_records(data=pack_records(records=[(-7, b"{}")]))
    [(-7, b'{}')]
    """
    return b"".join(
        piece for value, data in records for piece in (HEAD.pack(value, len(data)), data)
    )


def unpack_records(*, data: bytes) -> list[Record] | None:
    """The reverse of `pack_records`, or `None` if the bytes are not whole.

    >>> unpack_records(data=b"x") is None
    True
    """
    out: list[Record] = []
    place, size = 0, len(data)
    while place < size:
        if size - place < HEAD.size:
            return None
        value, length = HEAD.unpack_from(data, place)
        place += HEAD.size
        if size - place < length:
            return None
        out.append((value, data[place : place + length]))
        place += length
    return out


class ValueOrder:
    """Records that carry a value: runs of (value turned negative, bytes)."""

    sort_and_truncate = staticmethod(sort_and_truncate)
    merge = staticmethod(merge)
    pack = staticmethod(pack_records)
    unpack = staticmethod(unpack_records)


class ByteOrder:
    """Raw records of one size, greatest first, compared byte by byte; equal ones all
    count. A run is a list of them, and travels as their bytes end to end.

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
        """Merge sorted runs, keeping `limit` if there is one."""
        if len(runs) == 1:
            return runs[0][:limit]
        # Sorting finds the runs that are in it and merges them (CPython's list.sort).
        return sorted((one for run in runs for one in run), reverse=True)[:limit]

    @staticmethod
    def pack(*, records: list[bytes]) -> bytes:
        """Records as they travel between nodes."""
        return b"".join(records)

    @staticmethod
    def unpack(*, data: bytes) -> list[bytes] | None:
        """The reverse of `pack`, or `None` if the last record is not complete."""
        if len(data) % RAW_SIZE:
            return None
        return [data[at : at + RAW_SIZE] for at in range(0, len(data), RAW_SIZE)]


ORDERS = {"json": ValueOrder, "records16": ByteOrder}
