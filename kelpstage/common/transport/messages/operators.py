"""Operators' HTTP calls that a core forwards to the leader."""

from __future__ import annotations

from dataclasses import dataclass

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class ForwardOperatorCall(Message):
    """From a core that does not lead to the leader: an operator's HTTP call.

    `put_id` makes a repeated put safe; `wait_us` is the time left for the answer. Answered
    by `ForwardOperatorCallReply`.
    """

    method: str = bp.string_field(1)
    url: str = bp.string_field(2)
    if_match: str = bp.string_field(3)
    put_id: str = bp.string_field(4)
    body: bytes = bp.bytes_field(5)
    wait_us: int = bp.uint64_field(6)
    version: int = bp.uint64_field(7)  # that a put is given; 0: the next one
    packed: bytes = bp.bytes_field(8)  # the body compressed, in its place


@dataclass
class ForwardOperatorCallReply(Message):
    """The leader's HTTP reply to a forwarded call, for the operator who made it."""

    status: int = bp.uint32_field(1)
    body: bytes = bp.bytes_field(2)
    retry_after: str = bp.string_field(3)
    etag: str = bp.string_field(4)
    is_leader: bool = bp.bool_field(5)
    location: str = bp.string_field(6)
    packed: bytes = bp.bytes_field(7)  # the body compressed, in its place
