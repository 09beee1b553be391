"""What stands on the disk: records in segments, snapshots, the identity.

A segment is `KLOG`, a format number, then records. A record is a mark, a
length, a checksum and one `DiskRecord`. One record holds all that was written
between two syncs; so a bad record with a good one behind it is damage, and a
bad record with nothing behind it is the torn end of a write nobody was told of.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.base.defects import FormatMismatch, LogDamaged
from kelpstage.base.log.seal import has_sealed, seal, unseal
from kelpstage.base.wire.messages import CoreMember, LogEntry

FORMAT = 1
SEGMENT_HEAD = b"KLOG" + struct.pack("!H", FORMAT)
SNAPSHOT_HEAD = b"KSNP" + struct.pack("!H", FORMAT)


@dataclass
class DiskStep(bp.Message):
    """One write of the replica's; `cut_from` 0 means none."""

    cut_from: int = bp.uint64_field(1)
    entries: List[LogEntry] = bp.message_field(2)
    has_vote: bool = bp.bool_field(3)
    term: int = bp.uint64_field(4)
    vote: str = bp.string_field(5)
    is_base: bool = bp.bool_field(6)
    base_index: int = bp.uint64_field(7)
    base_term: int = bp.uint64_field(8)


@dataclass
class DiskRecord(bp.Message):
    steps: List[DiskStep] = bp.message_field(1)


@dataclass
class DiskSnapshot(bp.Message):
    index: int = bp.uint64_field(1)
    term: int = bp.uint64_field(2)
    members: List[CoreMember] = bp.message_field(3)
    state: bytes = bp.bytes_field(4)
    cluster: str = bp.string_field(5)


@dataclass
class DiskIdentity(bp.Message):
    replica: str = bp.string_field(1)
    cluster: str = bp.string_field(2)


def other_format(*, path: str, data: bytes, magic: bytes) -> FormatMismatch | None:
    """Is this a file of ours in a format that this version does not read?

    >>> other_format(path="p", data=b"KLOG" + struct.pack("!H", 9), magic=b"KLOG").why
    'format 9, this version reads 1'
    """
    if not data.startswith(magic) or len(data) < len(magic) + 2:
        return None
    [theirs] = struct.unpack_from("!H", data, len(magic))
    if theirs == FORMAT:
        return None
    return FormatMismatch(path=path, ours=FORMAT, theirs=theirs)


def read_segment(
    *, path: str, data: bytes, is_last: bool
) -> tuple[list[tuple[int, DiskRecord]], int] | LogDamaged | FormatMismatch:
    """The records of a segment with their offsets, and where its good part ends.

    >>> data = SEGMENT_HEAD + seal(body=bytes(DiskRecord())) + b"torn"
    >>> records, end = read_segment(path="p", data=data, is_last=True)
    >>> len(records), end == len(data) - 4
    (1, True)
    >>> read_segment(path="p", data=data, is_last=False).offset == len(data) - 4
    True
    """
    other = other_format(path=path, data=data, magic=b"KLOG")
    if other is not None:
        return other
    if not data.startswith(SEGMENT_HEAD):
        if is_last and SEGMENT_HEAD.startswith(data):
            return [], 0
        return LogDamaged(path=path, offset=0, why="not a segment of this format")
    offset = len(SEGMENT_HEAD)
    records: list[tuple[int, DiskRecord]] = []
    while offset < len(data):
        found = unseal(data=data, offset=offset)
        if found is None:
            if not is_last or has_sealed(data=data, start=offset + 1):
                return LogDamaged(path=path, offset=offset, why="a record fails its check")
            return records, offset
        body, behind = found
        try:
            records.append((offset, DiskRecord().parse(body)))
        except Exception as error:  # a checksum that holds over bytes that do not parse
            return LogDamaged(path=path, offset=offset, why=f"unreadable: {type(error).__name__}")
        offset = behind
    return records, offset


def write_snapshot(*, snapshot: DiskSnapshot) -> bytes:
    """A snapshot as its file.

    >>> read_snapshot(path="p", data=write_snapshot(snapshot=DiskSnapshot(index=4))).index
    4
    """
    return SNAPSHOT_HEAD + seal(body=bytes(snapshot))


def read_snapshot(*, path: str, data: bytes) -> DiskSnapshot | LogDamaged | FormatMismatch:
    """The reverse of `write_snapshot`.

    >>> read_snapshot(path="p", data=b"junk").kind
    'log_damaged'
    """
    other = other_format(path=path, data=data, magic=b"KSNP")
    if other is not None:
        return other
    if not data.startswith(SNAPSHOT_HEAD):
        return LogDamaged(path=path, offset=0, why="not a snapshot of this format")
    found = unseal(data=data, offset=len(SNAPSHOT_HEAD))
    if found is None or found[1] != len(data):
        return LogDamaged(path=path, offset=len(SNAPSHOT_HEAD), why="fails its check")
    try:
        return DiskSnapshot().parse(found[0])
    except Exception as error:
        return LogDamaged(path=path, offset=0, why=f"unreadable: {type(error).__name__}")
