"""Messages of the gossip protocol between edges; `GossipMsg` is sent in datagrams, unframed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class MemberMsg(Message):
    """The gossiped state of one edge; the higher `(incarnation, beat)` is the newer state.

    `status` is one of the statuses of `edge.gossip.swim` (alive, suspect, dead, leaving), `load`
    the number of searches in flight, and `version` the configuration version that it serves.
    """

    name: str = bp.string_field(1)
    address: str = bp.string_field(2)
    incarnation: int = bp.uint64_field(3)
    beat: int = bp.uint64_field(4)
    status: int = bp.uint32_field(5)
    zone: str = bp.string_field(6)
    load: int = bp.uint32_field(7)
    version: int = bp.uint64_field(8)
    is_ready: bool = bp.bool_field(9)
    http: str = bp.string_field(10)


@dataclass
class BackendStateMsg(Message):
    """A backend state as observed by an edge; the higher `turn` is the later one."""

    backend: str = bp.string_field(1)
    address: str = bp.string_field(2)
    state: int = bp.uint32_field(3)
    turn: int = bp.uint64_field(4)
    seen_by: str = bp.string_field(5)
    why: str = bp.string_field(6)


@dataclass
class GossipMsg(Message):
    """A datagram between edges: ping, ack or indirect ping (`kind`, see `edge.gossip.swim`).

    `number` correlates an ack with its ping; `members` and `backend_states` are
    piggybacked updates.
    """

    kind: int = bp.uint32_field(1)
    number: int = bp.uint64_field(2)
    target: str = bp.string_field(3)
    target_address: str = bp.string_field(4)
    sender: MemberMsg = bp.message_field(5)
    members: List[bytes] = bp.bytes_field(6)  # each an encoded MemberMsg, forwarded unchanged
    backend_states: List[BackendStateMsg] = bp.message_field(7)
    cluster: str = bp.string_field(8)


@dataclass
class FetchMembers(Message):
    """From an edge to another: asks for all edges that it knows. Answered by `Members`."""

    cluster: str = bp.string_field(1)


@dataclass
class Members(Message):
    """All edges that the sender knows."""

    cluster: str = bp.string_field(1)
    members: List[bytes] = bp.bytes_field(2)  # each an encoded MemberMsg
