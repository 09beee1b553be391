"""The outcomes of commands, as the state machine decides them.

An outcome is a value, not an error: it is the same on every replica, and it is kept with
the applied request. The errors that operators see are derived from it by the leader.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.core.state.replicated_state import (
    RequestRecord,
)


@dataclass(frozen=True, kw_only=True)
class PutApplied:
    """The write was applied, as this version and epoch."""

    version: int
    epoch: int


@dataclass(frozen=True, kw_only=True)
class PutSuperseded:
    """Another version was in force: the write changed nothing."""

    expected: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutNotAbove:
    """The version given to the write is not above the one in force: it changed nothing."""

    version: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutVersionTaken:
    """The write's id was used before, for other content."""


@dataclass(frozen=True, kw_only=True)
class PutOutcomeUnknown:
    """Neither applied now nor refused: this log no longer holds the outcome."""

    why: str


@dataclass(frozen=True, kw_only=True)
class PutUnreadable:
    """The write's delta does not fit the document in force: it changed nothing."""


@dataclass(frozen=True, kw_only=True)
class MembershipSet:
    """The membership of edges was changed, under this epoch."""

    epoch: int


PutOutcome = (
    PutApplied | PutSuperseded | PutNotAbove | PutVersionTaken | PutOutcomeUnknown | PutUnreadable
)


def outcome_of(*, record: RequestRecord) -> PutApplied | PutSuperseded | PutNotAbove:
    """The outcome of a write that was decided, from its record.

    >>> outcome_of(record=RequestRecord(put_id="p", expected=3, found=4))
    PutSuperseded(expected=3, current=4)
    """
    if record.version:
        return PutApplied(version=record.version, epoch=record.epoch)
    if record.expected == record.found:
        return PutNotAbove(version=record.asked, current=record.found)
    return PutSuperseded(expected=record.expected, current=record.found)
