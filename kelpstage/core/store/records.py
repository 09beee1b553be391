"""Formats of the files on a core's disk: segments, snapshots, identity, synced mark.

Each file begins with four letters and a format number. Then come sealed records (a
marker, a length, a checksum, a body): any number in a segment, one in each other file.

A segment's record holds all that was written between two syncs. At most one record, the
last, can be unsynced, so a bad record with a good one behind it is damage, while one with
nothing behind it may be a write that a loss of power interrupted. The synced mark tells these two
apart: it states how much of the log was synced for certain, and bytes before it that fail
their check are damage.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import List, TypeVar

import betterproto as bp

from kelpstage.common.errors.storage import FormatMismatchError, LogDamagedError
from kelpstage.common.log.checksummed import has_sealed, seal, unseal
from kelpstage.common.transport.messages import CoreMember, LogEntry

FORMAT = 1
SEGMENT_MAGIC = b"KLOG"
SNAPSHOT_MAGIC = b"KSNP"
IDENTITY_MAGIC = b"KIDN"
MARK_MAGIC = b"KMRK"
_FORMAT_NUMBER = struct.Struct("!H")
_MARK_BODY = struct.Struct("!QQ")
_VERSION = _FORMAT_NUMBER.pack(FORMAT)
SEGMENT_HEAD = SEGMENT_MAGIC + _VERSION
SNAPSHOT_HEAD = SNAPSHOT_MAGIC + _VERSION
IDENTITY_HEAD = IDENTITY_MAGIC + _VERSION
MARK_HEAD = MARK_MAGIC + _VERSION
_Message = TypeVar("_Message", bound=bp.Message)


@dataclass
class DiskStep(bp.Message):
    """One write of a replica: the changes to its log, term and vote.

    With `is_base` the log begins anew behind a snapshot at `base_index`, and what earlier
    steps say no longer counts. Then the log is truncated from `cut_from` on (0: it is not),
    then `entries` are added, then `term` and `vote` are set if `has_vote`.
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

    The first record of a segment that goes on from the one before names that one's size,
    so that records missing at its end are noticed.
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
    """Which replica this folder belongs to; without a cluster it is in none yet."""

    replica: str = bp.string_field(1)
    cluster: str = bp.string_field(2)


@dataclass(frozen=True, kw_only=True)
class SyncedMark:
    """All segments before `segment`, and `size` bytes of it, were synced for certain."""

    segment: int
    size: int


@dataclass(frozen=True, kw_only=True)
class PlacedRecord:
    """A record and the offset in bytes at which it begins."""

    offset: int
    record: DiskRecord


@dataclass(frozen=True, kw_only=True)
class Segment:
    """A segment as read: its good records, and the offset at which they end."""

    path: str
    number: int
    data: bytes
    records: list[PlacedRecord]
    end: int

    @property
    def begins_with_base(self) -> bool:
        """Does it supersede all older segments?"""
        steps = self.records[0].record.steps if self.records else []
        return bool(steps) and steps[0].is_base

    @property
    def last_write(self) -> int:
        """The offset at which the newest good write begins; a segment's head and its first
        record are one write."""
        return self.records[-1].offset if len(self.records) > 1 else 0


def other_format(*, path: str, data: bytes, magic: bytes) -> FormatMismatchError | None:
    """Is this a file of ours in a format that this version does not read?

    >>> other_format(path="p", data=b"KLOG" + struct.pack("!H", 9), magic=b"KLOG").why
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

    `synced` bytes of it were synced for certain. Only the last segment may end in a
    record that was being written, and only behind those.

    >>> data = SEGMENT_HEAD + seal(body=bytes(DiskRecord(steps=[DiskStep()]))) + b"torn"
    >>> segment = read_segment(path="p", number=1, data=data, is_last=True)
    >>> len(segment.records), segment.end == len(data) - 4
    (1, True)
    >>> read_segment(path="p", number=1, data=data, is_last=False).offset == len(data) - 4
    True
    >>> read_segment(path="p", number=1, data=data, is_last=True, synced=len(data)).why
    'a record that was synced fails its check'
    """
    records: list[PlacedRecord] = []
    end = 0
    if data.startswith(SEGMENT_HEAD):
        outcome = _read_records(path=path, data=data)
        if isinstance(outcome, LogDamagedError):
            return outcome
        records, end = outcome.records, outcome.end
    is_complete = end == len(data) and end > 0
    if not is_complete and (not is_last or end < synced or has_sealed(data=data, start=end)):
        other = other_format(path=path, data=data, magic=SEGMENT_MAGIC)
        return other or LogDamagedError(path=path, offset=end, why=_why_bad(end=end, synced=synced))
    if end < synced:
        return LogDamagedError(path=path, offset=end, why="synced records are missing")
    return Segment(path=path, number=number, data=data, records=records, end=end)


def _why_bad(*, end: int, synced: int) -> str:
    if not end:
        return "not a segment of this format"
    if end < synced:
        return "a record that was synced fails its check"
    return "a record fails its check"


@dataclass(frozen=True, kw_only=True)
class _Records:
    records: list[PlacedRecord]
    end: int


def _read_records(*, path: str, data: bytes) -> _Records | LogDamagedError:
    """The good records from a segment's beginning on."""
    offset = len(SEGMENT_HEAD)
    records: list[PlacedRecord] = []
    while (found := unseal(data=data, offset=offset)) is not None:
        body, behind = found
        record = _parse(body=body, kind=DiskRecord)
        if record is None:
            return LogDamagedError(path=path, offset=offset, why="a record is unreadable")
        records.append(PlacedRecord(offset=offset, record=record))
        offset = behind
    return _Records(records=records, end=offset)


def _parse(*, body: bytes, kind: type[_Message]) -> _Message | None:
    """A message, or `None` where the checksum holds over bytes that do not parse."""
    message = kind()
    try:
        message.parse(body)
    except Exception:  # betterproto raises whatever its parts do
        return None
    return message


def write_snapshot(*, snapshot: DiskSnapshot) -> bytes:
    """A snapshot as its file.

    >>> read_snapshot(path="p", data=write_snapshot(snapshot=DiskSnapshot(index=4))).index
    4
    """
    return SNAPSHOT_HEAD + seal(body=bytes(snapshot))


def read_snapshot(
    *, path: str, data: bytes
) -> DiskSnapshot | LogDamagedError | FormatMismatchError:
    """The reverse of `write_snapshot`.

    >>> read_snapshot(path="p", data=b"junk").kind
    'log_damaged'
    """
    return _read_one(path=path, data=data, magic=SNAPSHOT_MAGIC, kind=DiskSnapshot)


def write_identity(*, identity: DiskIdentity) -> bytes:
    """An identity as its file.

    >>> read_identity(path="p", data=write_identity(identity=DiskIdentity(replica="a"))).replica
    'a'
    """
    return IDENTITY_HEAD + seal(body=bytes(identity))


def read_identity(
    *, path: str, data: bytes
) -> DiskIdentity | LogDamagedError | FormatMismatchError:
    """The reverse of `write_identity`.

    >>> read_identity(path="p", data=b"").why
    'it fails its check'
    """
    return _read_one(path=path, data=data, magic=IDENTITY_MAGIC, kind=DiskIdentity)


def _read_one(
    *, path: str, data: bytes, magic: bytes, kind: type[_Message]
) -> _Message | LogDamagedError | FormatMismatchError:
    """The single record of a file."""
    other = other_format(path=path, data=data, magic=magic)
    if other is not None:
        return other
    damage = LogDamagedError(path=path, offset=0, why="it fails its check")
    if not data.startswith(magic + _VERSION):
        return damage
    found = unseal(data=data, offset=len(magic + _VERSION))
    if found is None or found[1] != len(data):
        return damage
    return _parse(body=found[0], kind=kind) or damage


def write_mark(*, mark: SyncedMark) -> bytes:
    """A synced mark as its file, always of one size, so that it is replaced in place.

    >>> len(write_mark(mark=SyncedMark(segment=1, size=6)))
    34
    """
    return MARK_HEAD + seal(body=_MARK_BODY.pack(mark.segment, mark.size))


def read_mark(*, data: bytes) -> SyncedMark | None:
    """The reverse; `None` for a mark whose write was interrupted, which states nothing.

    >>> read_mark(data=write_mark(mark=SyncedMark(segment=1, size=6)))
    SyncedMark(segment=1, size=6)
    >>> read_mark(data=b"torn") is None
    True
    """
    if not data.startswith(MARK_HEAD):
        return None
    found = unseal(data=data, offset=len(MARK_HEAD))
    if found is None or len(found[0]) != _MARK_BODY.size:
        return None
    segment, size = _MARK_BODY.unpack(found[0])
    return SyncedMark(segment=segment, size=size)
