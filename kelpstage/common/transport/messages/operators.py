"""Operators' HTTP requests that a core forwards to the leader."""

from __future__ import annotations

from dataclasses import dataclass

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class ForwardOperatorCall(Message):
    """From a core that is not the leader to the leader: an operator's HTTP request.

    `put_id` makes a repeated configuration write idempotent; `wait_us` is the time left for the
    reply. Answered by `ForwardOperatorCallReply`.
    """

    method: str = bp.string_field(1)
    url: str = bp.string_field(2)
    if_match: str = bp.string_field(3)
    put_id: str = bp.string_field(4)
    body: bytes = bp.bytes_field(5)
    wait_us: int = bp.uint64_field(6)
    version: int = bp.uint64_field(7)  # of the new configuration; 0 for the next version
    packed: bytes = bp.bytes_field(8)  # compressed body, sent instead of `body`


@dataclass
class ForwardOperatorCallReply(Message):
    """The leader's HTTP reply to a forwarded request."""

    status: int = bp.uint32_field(1)
    body: bytes = bp.bytes_field(2)
    retry_after: str = bp.string_field(3)
    etag: str = bp.string_field(4)
    is_leader: bool = bp.bool_field(5)
    location: str = bp.string_field(6)
    packed: bytes = bp.bytes_field(7)  # compressed body, sent instead of `body`
