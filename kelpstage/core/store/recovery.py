"""Rebuilds a replica's term, vote and log from segments and a snapshot that were read.

No I/O. The log counts from the newest segment on that begins with a base; older ones are
leftovers, any of which may have survived a loss of power.
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
    """What a replica finds on its disk."""

    identity: DiskIdentity
    term: int = 0
    vote: str = ""
    log: MemoryLog = field(default_factory=lambda: MemoryLog(base_index=0, base_term=0))
    snapshot: DiskSnapshot | None = None


@dataclass(kw_only=True)
class _Replay:
    """Term, vote and log as the steps taken so far leave them."""

    term: int = 0
    vote: str = ""
    base_index: int = 0
    base_term: int = 0
    entries: list[LogEntry] = field(default_factory=list)

    def take(self, *, step: DiskStep) -> bool:
        """Follow one step; false when it does not fit what came before."""
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
    """A replica's state from the segments that count, oldest first, and its newest snapshot.

    >>> rebuild(identity=DiskIdentity(replica="a"), segments=[], snapshot=None, mark=None).term
    0
    >>> rebuild(identity=DiskIdentity(replica="a"), segments=[],
    ...     snapshot=DiskSnapshot(index=4), mark=None).why
    'there is no log beside the snapshot'
    """
    damage = _cut_short(segments=segments)
    damage = damage or _missing(segments=segments, snapshot=snapshot, mark=mark)
    if damage is not None:
        return damage
    replay = _Replay()
    for segment in segments:
        for placed in segment.records:
            if not all(replay.take(step=step) for step in placed.record.steps):
                return LogDamagedError(
                    path=segment.path, offset=placed.offset, why="entries out of order"
                )
    return _join(identity=identity, replay=replay, snapshot=snapshot)


def is_to_begin_anew(*, segments: list[Segment], index: int) -> bool:
    """Is a new segment to be begun, with all that a log behind this index has?

    So it is where the last one was not begun any more, and where the log on disk has
    another base: a snapshot survived, but not the segment behind it. Entries behind the
    snapshot would then follow on ones that they do not fit.

    >>> is_to_begin_anew(segments=[], index=0), is_to_begin_anew(segments=[], index=4)
    (False, True)
    """
    if not segments:
        return index > 0
    if not segments[-1].records:
        return True
    first = segments[0].records[0].record.steps[0] if segments[0].begins_with_base else DiskStep()
    return first.base_index != index


def base_behind(*, snapshot: DiskSnapshot, tail: list[LogEntry], term: int, vote: str) -> DiskStep:
    """The step that begins a segment behind a snapshot; `tail` are the entries behind it.

    >>> base_behind(snapshot=DiskSnapshot(index=7, term=2), tail=[], term=3, vote="a").base_index
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


def base_of(*, recovered: Recovered) -> DiskStep:
    """The step that begins a segment with all that a replica has.

    >>> base_of(recovered=Recovered(identity=DiskIdentity(replica="a"), term=3)).term
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


def _missing(
    *, segments: list[Segment], snapshot: DiskSnapshot | None, mark: SyncedMark | None
) -> LogDamagedError | None:
    """Is a segment gone that must be there?"""
    numbers = [segment.number for segment in segments]
    why = ""
    if mark is not None and mark.segment > max(numbers, default=0):
        why = f"segment {mark.segment} is missing"
    elif segments and not segments[0].begins_with_base and numbers[0] != FIRST_SEGMENT:
        why = "the beginning of the log is missing"
    elif segments and numbers != list(range(numbers[0], numbers[0] + len(numbers))):
        why = "a segment is missing"
    elif snapshot is not None and not any(segment.records for segment in segments):
        why = "there is no log beside the snapshot"
    return LogDamagedError(path=LOG_FOLDER, offset=0, why=why) if why else None


def _cut_short(*, segments: list[Segment]) -> LogDamagedError | None:
    """Are records missing at the end of a segment that another one goes on from?"""
    for before, after in zip(segments, segments[1:], strict=False):
        if after.records and after.records[0].record.previous_size != before.end:
            return LogDamagedError(path=before.path, offset=before.end, why="records are missing")
    return None


def _join(
    *, identity: DiskIdentity, replay: _Replay, snapshot: DiskSnapshot | None
) -> Recovered | LogDamagedError:
    """Put the log behind the snapshot, which may be newer than the log's base."""
    base = snapshot.index if snapshot else 0
    if replay.base_index > base:
        return LogDamagedError(path=SNAPSHOT_FOLDER, offset=0, why="the log's snapshot is not here")
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
