"""Messages that send a search down the gather tree and its results up."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class SubtreeMsg(Message):
    """A node of a gather tree: the shards that it queries itself, and its child nodes."""

    node: str = bp.string_field(1)
    address: str = bp.string_field(2)
    shards: List[str] = bp.string_field(3)
    children: List["SubtreeMsg"] = bp.message_field(4)


@dataclass
class Gather(Message):
    """From a parent node of the gather tree to a child: a request to gather a subtree.

    Times are relative to the time of sending: the child has to settle its reply within `due_us`,
    and the parent stops waiting after `wait_us`. `is_extra` is set if one of the shards was
    queried before. `is_resumed` requests the rest of the reply `query_id`, which was `is_open`.
    `is_cancelled` cancels the query `query_id`: the child drops it together with its own queries
    for it, and does not reply. It is sent with `is_resumed` set, so that an older node that does
    not know the field starts no new query. All other requests are answered by `Gathered`.
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
    method: str = bp.string_field(16)  # from here on: fields of a forwarded client request
    target: str = bp.string_field(17)
    request_id: str = bp.string_field(18)
    headers: List[str] = bp.string_field(19)
    attempts: int = bp.uint32_field(20)
    aim_us: int = bp.uint64_field(21)  # remaining part of the route's target time
    is_far: bool = bp.bool_field(22)  # the reply crosses regions: return at most `limit` records
    is_cancelled: bool = bp.bool_field(23)


@dataclass
class PartMsg(Message):
    """The contribution of one shard to a reply."""

    shard: str = bp.string_field(1)
    backend: str = bp.string_field(2)
    stamp: str = bp.string_field(3)
    count: int = bp.uint64_field(4)
    cut: str = bp.string_field(5)
    attempts_left: int = bp.uint32_field(6)  # granted attempts that were certainly not used


@dataclass
class MissingMsg(Message):
    """A shard without a contribution, with the cause as in the public reply."""

    shard: str = bp.string_field(1)
    cause: str = bp.string_field(2)
    detail: str = bp.string_field(3)
    attempts_left: int = bp.uint32_field(4)  # granted attempts that were certainly not used


@dataclass
class Gathered(Message):
    """From a child to its parent: the merged records of its subtree.

    `is_stale` is set if the child serves a configuration other than `Gather.version`; `version`
    is then its own. `is_open` is set if the child is still gathering; the parent may request
    the rest.
    """

    is_stale: bool = bp.bool_field(1)
    version: int = bp.uint64_field(2)
    parts: List[PartMsg] = bp.message_field(3)
    missing: List[MissingMsg] = bp.message_field(4)
    records: bytes = bp.bytes_field(5)
    is_open: bool = bp.bool_field(6)
    has_sent_nothing: bool = bp.bool_field(7)  # stale before it sent any query
