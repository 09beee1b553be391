"""Messages that collect the trace of a search from its nodes."""

from __future__ import annotations

from dataclasses import dataclass

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class FetchTrace(Message):
    """From the edge that an operator asked to another: the trace of a search at this node;
    answered by `Trace`.
    """

    search: str = bp.string_field(1)


@dataclass
class Trace(Message):
    """A node's trace of one search, as JSON."""

    is_found: bool = bp.bool_field(1)
    body: bytes = bp.bytes_field(2)  # JSON
