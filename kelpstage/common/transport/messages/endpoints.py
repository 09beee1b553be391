"""Messages that distribute the platform's list of backend instances among edges."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class InstanceMsg(Message):
    """One instance of a backend, as in the platform's endpoint list.

    `slots` is its limit on concurrent requests, `cold_us` the duration of its slow start, and
    `revision` the platform's version of the entry.
    """

    instance_id: str = bp.string_field(1)
    service: str = bp.string_field(2)
    address: str = bp.string_field(3)
    zone: str = bp.string_field(4)
    slots: int = bp.uint32_field(5)
    is_draining: bool = bp.bool_field(6)
    cold_us: int = bp.uint64_field(7)
    revision: str = bp.string_field(8)


@dataclass
class EndpointUpdate(Message):
    """From the edge that reads the platform's endpoint list to other edges: the complete list
    (`is_whole`) or the changes, as read `age_us` ago.

    `digest` is that of the complete list with the changes applied; a receiver whose list then
    differs requests the complete list with `FetchEndpoints`. `tell` holds the addresses to which
    the receiver forwards the update.
    """

    reader: str = bp.string_field(1)
    sender: str = bp.string_field(2)  # its transport address, for `FetchEndpoints`
    digest: int = bp.uint64_field(3)
    age_us: int = bp.uint64_field(4)
    is_whole: bool = bp.bool_field(5)
    changed: List[InstanceMsg] = bp.message_field(6)
    gone: List[str] = bp.string_field(7)
    tell: List[str] = bp.string_field(8)
    is_known: bool = bp.bool_field(9)  # false if the sender has no list itself
    is_last: bool = bp.bool_field(10)  # the reader is leaving; another edge may read at once
    reading: int = bp.uint64_field(11)  # number of this read, above all known ones


@dataclass
class FetchEndpoints(Message):
    """From an edge to another: asks for the endpoint list, unless it has the same digest.
    Answered by `EndpointUpdate`.
    """

    digest: int = bp.uint64_field(1)
    has_list: bool = bp.bool_field(2)
