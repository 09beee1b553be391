"""Messages of a search on its way down and up the gather tree."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class SubtreeMsg(Message):
    """A node of a gather tree: what it asks itself, and what it hands to its children."""

    node: str = bp.string_field(1)
    address: str = bp.string_field(2)
    shards: List[str] = bp.string_field(3)
    children: List["SubtreeMsg"] = bp.message_field(4)


@dataclass
class Gather(Message):
    """From the root of a search, or from an inner node, to a child: gather this subtree.

    All times count from when it is sent: `due_us` until the child has to settle, `wait_us`
    until the parent no longer waits. `is_extra` tells that one of the shards was asked before.
    `is_resumed` asks for the rest of an answer that was `is_open`; `query_id` names it.
    `is_cancelled` says that nobody waits for the answer that `query_id` names: the child drops
    it and all that it has asked for it. It is sent with `is_resumed`, so that an older node,
    which does not know it, begins nothing new. Otherwise answered by `Gathered`.
    """

    root: str = bp.string_field(1)
    query_id: int = bp.uint64_field(2)
    collection: str = bp.string_field(3)
    version: int = bp.uint64_field(4)
    has_limit: bool = bp.bool_field(5)
    limit: int = bp.uint64_field(6)
    query: bytes = bp.bytes_field(7)
    content_type: str = bp.string_field(8)
    subtree: SubtreeMsg = bp.message_field(9)
    wait_us: int = bp.uint64_field(10)
    is_extra: bool = bp.bool_field(11)
    cluster: str = bp.string_field(12)
    due_us: int = bp.uint64_field(13)
    is_resumed: bool = bp.bool_field(14)
    search: str = bp.string_field(15)
    method: str = bp.string_field(16)  # from here on: a client's request that is forwarded
    target: str = bp.string_field(17)
    request_id: str = bp.string_field(18)
    headers: List[str] = bp.string_field(19)
    attempts: int = bp.uint32_field(20)
    aim_us: int = bp.uint64_field(21)  # what is left of it
    is_far: bool = bp.bool_field(22)  # the answer crosses regions: no more than the limit
    is_cancelled: bool = bp.bool_field(23)


@dataclass
class PartMsg(Message):
    """What one shard contributed to an answer."""

    shard: str = bp.string_field(1)
    backend: str = bp.string_field(2)
    stamp: str = bp.string_field(3)
    count: int = bp.uint64_field(4)
    cut: str = bp.string_field(5)
    attempts_left: int = bp.uint32_field(6)  # of those handed over: surely never used


@dataclass
class MissingMsg(Message):
    """A shard without a contribution, and the cause as in the public reply."""

    shard: str = bp.string_field(1)
    cause: str = bp.string_field(2)
    detail: str = bp.string_field(3)
    attempts_left: int = bp.uint32_field(4)  # of those handed over: surely never used


@dataclass
class Gathered(Message):
    """From a child to its parent: the merged records of its subtree.

    `is_stale` tells that the child serves another configuration than `Gather.version`;
    `version` is then its own. `is_open` tells that the child still gathers: the
    parent may ask for the rest.
    """

    is_stale: bool = bp.bool_field(1)
    version: int = bp.uint64_field(2)
    parts: List[PartMsg] = bp.message_field(3)
    missing: List[MissingMsg] = bp.message_field(4)
    records: bytes = bp.bytes_field(5)
    is_open: bool = bp.bool_field(6)
    has_sent_nothing: bool = bp.bool_field(7)  # stale before it asked anybody
