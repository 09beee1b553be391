"""Rebuilds a replica's term, vote and log from its segments and snapshot, without I/O.

The log starts at the newest segment that begins with a base. Older segments are obsolete;
a power loss may restore any of them after they were deleted.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.common.errors.storage import LogDamagedError
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.store.layout import LOG_FOLDER, SNAPSHOT_FOLDER
from kelpstage.core.store.records import (
    DiskIdentity,
    DiskSnapshot,
    DiskStep,
    Segment,
    SyncedMark,
)

FIRST_SEGMENT = 1


@dataclass(kw_only=True)
class Recovered:
    """The state of a replica as recovered from its disk."""

    identity: DiskIdentity
    term: int = 0
    vote: str = ""
    log: MemoryLog = field(default_factory=lambda: MemoryLog(base_index=0, base_term=0))
    snapshot: DiskSnapshot | None = None


@dataclass(kw_only=True)
class _Replay:
    """Term, vote and log after the steps that were applied so far."""

    term: int = 0
    vote: str = ""
    base_index: int = 0
    base_term: int = 0
    entries: list[LogEntry] = field(default_factory=list)

    def apply(self, *, step: DiskStep) -> bool:
        """Apply one step; false when its entries do not continue the log."""
        if step.is_base:
            self.base_index, self.base_term = step.base_index, step.base_term
            self.entries = []
        if step.cut_from:
            del self.entries[max(0, step.cut_from - self.base_index - 1) :]
        for entry in step.entries:
            if entry.index != self.base_index + len(self.entries) + 1:
                return False
            self.entries.append(entry)
        if step.has_vote:
            self.term, self.vote = step.term, step.vote
        return True


def rebuild(
    *,
    identity: DiskIdentity,
    segments: list[Segment],
    snapshot: DiskSnapshot | None,
    mark: SyncedMark | None,
) -> Recovered | LogDamagedError:
    """Rebuild a replica's state from its valid segments, oldest first, and its newest snapshot.

    >>> rebuild(identity=DiskIdentity(replica="a"), segments=[], snapshot=None, mark=None).term
    0
    >>> rebuild(identity=DiskIdentity(replica="a"), segments=[],
    ...     snapshot=DiskSnapshot(index=4), mark=None).why
    'the snapshot has no log'
    """
    damage = _truncated_segment(segments=segments)
    damage = damage or _missing_segment(segments=segments, snapshot=snapshot, mark=mark)
    if damage is not None:
        return damage
    replay = _Replay()
    for segment in segments:
        for located in segment.records:
            if not all(replay.apply(step=step) for step in located.record.steps):
                return LogDamagedError(
                    path=segment.path, offset=located.offset, why="entries out of order"
                )
    return _combine_log_and_snapshot(identity=identity, replay=replay, snapshot=snapshot)


def must_start_segment(*, segments: list[Segment], index: int) -> bool:
    """True when a new segment must be written that holds the whole log after `index`.

    This is so when the last segment holds no record, and when the log on disk has another
    base: a snapshot survived a power loss but the segment after it did not. Without a new
    segment, entries after the snapshot would follow entries that they do not continue.

    >>> must_start_segment(segments=[], index=0), must_start_segment(segments=[], index=4)
    (False, True)
    """
    if not segments:
        return index > 0
    if not segments[-1].records:
        return True
    first = segments[0].records[0].record.steps[0] if segments[0].begins_with_base else DiskStep()
    return first.base_index != index


def base_after_snapshot(
    *, snapshot: DiskSnapshot, tail: list[LogEntry], term: int, vote: str
) -> DiskStep:
    """The first step of the segment after a snapshot; `tail` are the later entries.

    >>> snapshot = DiskSnapshot(index=7, term=2)
    >>> base_after_snapshot(snapshot=snapshot, tail=[], term=3, vote="a").base_index
    7
    """
    return DiskStep(
        is_base=True,
        base_index=snapshot.index,
        base_term=snapshot.term,
        entries=tail,
        has_vote=True,
        term=term,
        vote=vote,
    )


def base_from_recovered(*, recovered: Recovered) -> DiskStep:
    """The first step of a segment that holds the complete recovered state of a replica.

    >>> base_from_recovered(recovered=Recovered(identity=DiskIdentity(replica="a"), term=3)).term
    3
    """
    return DiskStep(
        is_base=True,
        base_index=recovered.log.base_index,
        base_term=recovered.log.base_term,
        entries=list(recovered.log.entries),
        has_vote=True,
        term=recovered.term,
        vote=recovered.vote,
    )


def _missing_segment(
    *, segments: list[Segment], snapshot: DiskSnapshot | None, mark: SyncedMark | None
) -> LogDamagedError | None:
    """The damage if a required segment is missing, else `None`."""
    numbers = [segment.number for segment in segments]
    why = ""
    if mark is not None and mark.segment > max(numbers, default=0):
        why = f"segment {mark.segment} is missing"
    elif segments and not segments[0].begins_with_base and numbers[0] != FIRST_SEGMENT:
        why = "the beginning of the log is missing"
    elif segments and numbers != list(range(numbers[0], numbers[0] + len(numbers))):
        why = "a segment is missing"
    elif snapshot is not None and not any(segment.records for segment in segments):
        why = "the snapshot has no log"
    return LogDamagedError(path=LOG_FOLDER, offset=0, why=why) if why else None


def _truncated_segment(*, segments: list[Segment]) -> LogDamagedError | None:
    """The damage if a segment that another one continues lacks records at its end, else `None`."""
    for before, after in zip(segments, segments[1:], strict=False):
        if after.records and after.records[0].record.previous_size != before.end:
            return LogDamagedError(path=before.path, offset=before.end, why="records are missing")
    return None


def _combine_log_and_snapshot(
    *, identity: DiskIdentity, replay: _Replay, snapshot: DiskSnapshot | None
) -> Recovered | LogDamagedError:
    """Start the log after the snapshot, which may be newer than the log's base."""
    base = snapshot.index if snapshot else 0
    if replay.base_index > base:
        return LogDamagedError(
            path=SNAPSHOT_FOLDER, offset=0, why="the snapshot at the log's base is missing"
        )
    log = MemoryLog(
        base_index=replay.base_index, base_term=replay.base_term, entries=replay.entries
    )
    if snapshot is not None:
        if log.term_at(index=base) == snapshot.term:
            log.compact(index=base)
        else:
            log = MemoryLog(base_index=base, base_term=snapshot.term)
    return Recovered(
        identity=identity, term=replay.term, vote=replay.vote, log=log, snapshot=snapshot
    )
