"""The outcomes of commands, as the state machine decides them.

An outcome is a value, not an error: it is the same on every replica, and it is stored with
the request's record. The leader derives the errors that operators see from it.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.core.state.replicated_state import (
    RequestRecord,
)


@dataclass(frozen=True, kw_only=True)
class PutApplied:
    """The write was applied and produced this version and epoch."""

    version: int
    epoch: int


@dataclass(frozen=True, kw_only=True)
class PutSuperseded:
    """The write's base version was not the current one: the write changed nothing."""

    expected: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutNotAbove:
    """The write's version is not above the current one: the write changed nothing."""

    version: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutIdTaken:
    """The write's id was already used for other content."""


@dataclass(frozen=True, kw_only=True)
class PutOutcomeUnknown:
    """The write was neither applied nor rejected now: its outcome is not known."""

    why: str


@dataclass(frozen=True, kw_only=True)
class PutDeltaMismatch:
    """The write's delta does not match the current document: the write changed nothing."""


@dataclass(frozen=True, kw_only=True)
class MembershipSet:
    """The edge membership was set, under this epoch."""

    epoch: int


@dataclass(frozen=True, kw_only=True)
class RolloutBegun:
    """The rollout is in the log, by this order or an equal one before it; `number` is its epoch."""

    number: int


@dataclass(frozen=True, kw_only=True)
class RolloutUnderWay:
    """Another rollout of the service is rolling, to version `target`: the order did nothing."""

    target: str


@dataclass(frozen=True, kw_only=True)
class RolloutSuperseded:
    """The service has a newer rollout than the leader saw: the order did nothing."""

    service: str


@dataclass(frozen=True, kw_only=True)
class RolloutChanged:
    """The rollout was changed, under this epoch."""

    epoch: int


@dataclass(frozen=True, kw_only=True)
class RolloutUnchanged:
    """The rollout has ended, was replaced, or has that share already: nothing was changed."""


PutOutcome = (
    PutApplied | PutSuperseded | PutNotAbove | PutIdTaken | PutOutcomeUnknown | PutDeltaMismatch
)
RolloutOutcome = (
    RolloutBegun | RolloutUnderWay | RolloutSuperseded | RolloutChanged | RolloutUnchanged
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
