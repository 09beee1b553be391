"""Messages that spread the platform's list of backend instances between edges."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class InstanceMsg(Message):
    """One instance of a backend, as the platform's endpoint list has it.

    `slots` is how many requests it takes at a time, `cold_us` how long it warms up, and
    `revision` the platform's own version of the row.
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
    """From the edge that reads the platform's endpoint list to others: what it read `age_us`
    ago, as changes or complete.

    `digest` is that of the complete list once the changes are in; a receiver whose list then
    differs asks for all of it by `FetchEndpoints`. `tell` are the addresses that the receiver
    forwards it to.
    """

    reader: str = bp.string_field(1)
    sender: str = bp.string_field(2)  # its own address, to ask back at
    digest: int = bp.uint64_field(3)
    age_us: int = bp.uint64_field(4)
    is_whole: bool = bp.bool_field(5)
    changed: List[InstanceMsg] = bp.message_field(6)
    gone: List[str] = bp.string_field(7)
    tell: List[str] = bp.string_field(8)
    is_known: bool = bp.bool_field(9)  # False: the sender has no list either
    is_last: bool = bp.bool_field(10)  # the reader leaves: another may read at once
    reading: int = bp.uint64_field(11)  # number of the reading, above all that it had heard of


@dataclass
class FetchEndpoints(Message):
    """From an edge to another: the endpoint list, unless mine has the same digest; answered by
    `EndpointUpdate`.
    """

    digest: int = bp.uint64_field(1)
    has_list: bool = bp.bool_field(2)
