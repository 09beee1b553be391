"""Messages that collect the trace of a search from its nodes."""

from __future__ import annotations

from dataclasses import dataclass

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class FetchTrace(Message):
    """From the edge that serves an operator's request to another edge: asks for its trace of a
    search. Answered by `Trace`.
    """

    search: str = bp.string_field(1)


@dataclass
class Trace(Message):
    """A node's trace of one search, as JSON."""

    is_found: bool = bp.bool_field(1)
    body: bytes = bp.bytes_field(2)
