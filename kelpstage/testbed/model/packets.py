"""Packets on the modelled network, and the messages that are not part of Raft."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.testbed.model import adapter as core


@dataclass(frozen=True, kw_only=True)
class Packet:
    """A message in flight."""

    source: str
    to: str
    body: Any


@dataclass(frozen=True, kw_only=True)
class JoinCall:
    """A request to join, from a replica that is not a member or knows no leader."""

    member: core.CoreMember


@dataclass(frozen=True, kw_only=True)
class LeaveCall:
    """A request for permission to stop permanently."""

    replica: str
    term: int
    last_index: int


@dataclass(frozen=True, kw_only=True)
class LeaveReply:
    """Permission for a replica to stop permanently."""

    replica: str
