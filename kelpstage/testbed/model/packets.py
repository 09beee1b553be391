"""What travels between the machines of the model, beside the replicas' own messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.testbed.model import adapter as core


@dataclass(frozen=True, kw_only=True)
class Packet:
    """Something under way."""

    source: str
    to: str
    body: Any


@dataclass(frozen=True, kw_only=True)
class JoinCall:
    """A replica without a place, or without a leader, asks for one."""

    member: core.CoreMember


@dataclass(frozen=True, kw_only=True)
class LeaveCall:
    """A replica is about to stop for good and asks whether it may."""

    replica: str
    term: int
    last_index: int


@dataclass(frozen=True, kw_only=True)
class LeaveAnswer:
    """It may."""

    replica: str
