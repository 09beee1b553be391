"""Formats of the files on a core's disk: segments, snapshots, identity, synced mark.

Each file begins with a header: a four-byte magic number and a format version. Checksummed
records follow (a marker, a length, a checksum, a body): any number in a segment, exactly one
in each other file.

A segment's record holds everything that was written between two syncs. At most one record,
the last, can be unsynced. So an invalid record that a valid one follows is damage, while an
invalid record at the end may be a write that a power loss interrupted. The synced mark resolves
the second case: it states how much of the log is known to be synced, and bytes before it that
fail their checksum are damage.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import List, TypeVar

import betterproto as bp

from kelpstage.common.errors.storage import FormatMismatchError, LogDamagedError
from kelpstage.common.log.checksummed import contains_record, decode_record, encode_record
from kelpstage.common.transport.messages import CoreMember, LogEntry

FORMAT = 1
SEGMENT_MAGIC = b"KLOG"
SNAPSHOT_MAGIC = b"KSNP"
IDENTITY_MAGIC = b"KIDN"
MARK_MAGIC = b"KMRK"
_FORMAT_NUMBER = struct.Struct("!H")
_MARK_BODY = struct.Struct("!QQ")
_FORMAT_VERSION = _FORMAT_NUMBER.pack(FORMAT)
SEGMENT_HEADER = SEGMENT_MAGIC + _FORMAT_VERSION
SNAPSHOT_HEADER = SNAPSHOT_MAGIC + _FORMAT_VERSION
IDENTITY_HEADER = IDENTITY_MAGIC + _FORMAT_VERSION
MARK_HEADER = MARK_MAGIC + _FORMAT_VERSION
_Message = TypeVar("_Message", bound=bp.Message)


@dataclass
class DiskStep(bp.Message):
    """One write of a replica: the changes to its log, term and vote.

    With `is_base` the log restarts after a snapshot at `base_index` and replaces all earlier
    steps. Then the log is truncated from index `cut_from` on (0: no truncation), `entries`
    are appended, and `term` and `vote` are set if `has_vote`.
    """

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
    """All steps between two syncs, in order.

    The first record of a segment that continues the previous one holds the size of that
    segment in `previous_size`, so that records missing at its end are detected.
    """

    steps: List[DiskStep] = bp.message_field(1)
    previous_size: int = bp.uint64_field(2)


@dataclass
class DiskSnapshot(bp.Message):
    """The state machine's state with all entries up to `index` applied."""

    index: int = bp.uint64_field(1)
    term: int = bp.uint64_field(2)
    members: List[CoreMember] = bp.message_field(3)
    state: bytes = bp.bytes_field(4)
    cluster: str = bp.string_field(5)


@dataclass
class DiskIdentity(bp.Message):
    """The replica that owns this folder; `cluster` is empty until the replica joins one."""

    replica: str = bp.string_field(1)
    cluster: str = bp.string_field(2)


@dataclass(frozen=True, kw_only=True)
class SyncedMark:
    """All segments before `segment`, and the first `size` bytes of it, are known to be synced."""

    segment: int
    size: int


@dataclass(frozen=True, kw_only=True)
class RecordAtOffset:
    """A record and the byte offset at which it begins."""

    offset: int
    record: DiskRecord


@dataclass(frozen=True, kw_only=True)
class Segment:
    """A segment as read: its valid records, and the offset at which they end."""

    path: str
    number: int
    data: bytes
    records: list[RecordAtOffset]
    end: int

    @property
    def begins_with_base(self) -> bool:
        """True when the first step is a base, which supersedes all older segments."""
        steps = self.records[0].record.steps if self.records else []
        return bool(steps) and steps[0].is_base

    @property
    def last_write_offset(self) -> int:
        """The offset at which the last valid write begins; a segment's header and its first
        record are one write."""
        return self.records[-1].offset if len(self.records) > 1 else 0


def format_mismatch(*, path: str, data: bytes, magic: bytes) -> FormatMismatchError | None:
    """The error for a file of this kind in a format that this version does not read, or `None`.

    >>> format_mismatch(path="p", data=b"KLOG" + struct.pack("!H", 9), magic=b"KLOG").why
    'format 9, this version reads 1'
    """
    if not data.startswith(magic) or len(data) < len(magic) + _FORMAT_NUMBER.size:
        return None
    [theirs] = _FORMAT_NUMBER.unpack_from(data, len(magic))
    if theirs == FORMAT:
        return None
    return FormatMismatchError(path=path, ours=FORMAT, theirs=theirs)


def read_segment(
    *, path: str, number: int, data: bytes, is_last: bool, synced: int = 0
) -> Segment | LogDamagedError | FormatMismatchError:
    """Read a segment's records.

    The first `synced` bytes are known to be synced. Only the last segment may end in an
    incomplete record, and only after those bytes.

    >>> data = SEGMENT_HEADER + encode_record(body=bytes(DiskRecord(steps=[DiskStep()]))) + b"torn"
    >>> segment = read_segment(path="p", number=1, data=data, is_last=True)
    >>> len(segment.records), segment.end == len(data) - 4
    (1, True)
    >>> read_segment(path="p", number=1, data=data, is_last=False).offset == len(data) - 4
    True
    >>> read_segment(path="p", number=1, data=data, is_last=True, synced=len(data)).why
    'a synced record fails its checksum'
    """
    records: list[RecordAtOffset] = []
    end = 0
    if data.startswith(SEGMENT_HEADER):
        outcome = _read_records(path=path, data=data)
        if isinstance(outcome, LogDamagedError):
            return outcome
        records, end = outcome.records, outcome.end
    is_complete = end == len(data) and end > 0
    if not is_complete and (not is_last or end < synced or contains_record(data=data, start=end)):
        mismatch = format_mismatch(path=path, data=data, magic=SEGMENT_MAGIC)
        return mismatch or LogDamagedError(
            path=path, offset=end, why=_damage_reason(end=end, synced=synced)
        )
    if end < synced:
        return LogDamagedError(path=path, offset=end, why="synced records are missing")
    return Segment(path=path, number=number, data=data, records=records, end=end)


def _damage_reason(*, end: int, synced: int) -> str:
    if not end:
        return "segment header is not valid"
    if end < synced:
        return "a synced record fails its checksum"
    return "a record fails its checksum"


@dataclass(frozen=True, kw_only=True)
class _ReadRecords:
    records: list[RecordAtOffset]
    end: int


def _read_records(*, path: str, data: bytes) -> _ReadRecords | LogDamagedError:
    """Read the valid records from the beginning of a segment up to the first invalid one."""
    offset = len(SEGMENT_HEADER)
    records: list[RecordAtOffset] = []
    while (found := decode_record(data=data, offset=offset)) is not None:
        body, next_offset = found
        record = _parse(body=body, kind=DiskRecord)
        if record is None:
            return LogDamagedError(path=path, offset=offset, why="a record does not parse")
        records.append(RecordAtOffset(offset=offset, record=record))
        offset = next_offset
    return _ReadRecords(records=records, end=offset)


def _parse(*, body: bytes, kind: type[_Message]) -> _Message | None:
    """Parse a message; `None` if bytes with a valid checksum do not parse."""
    message = kind()
    try:
        message.parse(body)
    except Exception:  # betterproto passes on any exception of its field decoders
        return None
    return message


def write_snapshot(*, snapshot: DiskSnapshot) -> bytes:
    """Encode a snapshot as the content of its file.

    >>> read_snapshot(path="p", data=write_snapshot(snapshot=DiskSnapshot(index=4))).index
    4
    """
    return SNAPSHOT_HEADER + encode_record(body=bytes(snapshot))


def read_snapshot(
    *, path: str, data: bytes
) -> DiskSnapshot | LogDamagedError | FormatMismatchError:
    """Decode the content of a snapshot file.

    >>> read_snapshot(path="p", data=b"junk").kind
    'log_damaged'
    """
    return _read_single_record(path=path, data=data, magic=SNAPSHOT_MAGIC, kind=DiskSnapshot)


def write_identity(*, identity: DiskIdentity) -> bytes:
    """Encode an identity as the content of its file.

    >>> read_identity(path="p", data=write_identity(identity=DiskIdentity(replica="a"))).replica
    'a'
    """
    return IDENTITY_HEADER + encode_record(body=bytes(identity))


def read_identity(
    *, path: str, data: bytes
) -> DiskIdentity | LogDamagedError | FormatMismatchError:
    """Decode the content of the identity file.

    >>> read_identity(path="p", data=b"").why
    'header or checksum is not valid'
    """
    return _read_single_record(path=path, data=data, magic=IDENTITY_MAGIC, kind=DiskIdentity)


def _read_single_record(
    *, path: str, data: bytes, magic: bytes, kind: type[_Message]
) -> _Message | LogDamagedError | FormatMismatchError:
    """Decode a file that holds exactly one record."""
    mismatch = format_mismatch(path=path, data=data, magic=magic)
    if mismatch is not None:
        return mismatch
    damage = LogDamagedError(path=path, offset=0, why="header or checksum is not valid")
    if not data.startswith(magic + _FORMAT_VERSION):
        return damage
    found = decode_record(data=data, offset=len(magic + _FORMAT_VERSION))
    if found is None or found[1] != len(data):
        return damage
    return _parse(body=found[0], kind=kind) or damage


def write_mark(*, mark: SyncedMark) -> bytes:
    """Encode a synced mark as its file, which has a fixed size so that it is overwritten in place.

    >>> len(write_mark(mark=SyncedMark(segment=1, size=6)))
    34
    """
    return MARK_HEADER + encode_record(body=_MARK_BODY.pack(mark.segment, mark.size))


def read_mark(*, data: bytes) -> SyncedMark | None:
    """Decode a synced mark; `None` if its write was interrupted, which says nothing about the log.

    >>> read_mark(data=write_mark(mark=SyncedMark(segment=1, size=6)))
    SyncedMark(segment=1, size=6)
    >>> read_mark(data=b"torn") is None
    True
    """
    if not data.startswith(MARK_HEADER):
        return None
    found = decode_record(data=data, offset=len(MARK_HEADER))
    if found is None or len(found[0]) != _MARK_BODY.size:
        return None
    segment, size = _MARK_BODY.unpack(found[0])
    return SyncedMark(segment=segment, size=size)
