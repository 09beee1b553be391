"""Requests for large values, and the chunks in which these are sent."""

from __future__ import annotations

from dataclasses import dataclass

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class FetchSnapshot(Message):
    """From a follower to the leader: requests the next chunk of a snapshot. Answered by `Chunk`."""

    cluster: str = bp.string_field(1)
    index: int = bp.uint64_field(2)  # a snapshot of this index or a later one
    offset: int = bp.uint64_field(3)
    pinned: int = bp.uint64_field(4)  # index of the snapshot in transfer; 0 if none


@dataclass
class FetchState(Message):
    """From an edge to a core or another edge: requests the next chunk of the compressed `StateDoc`.
    Answered by `Chunk`.
    """

    epoch: int = bp.uint64_field(1)  # a state of this epoch or a later one
    offset: int = bp.uint64_field(2)
    pinned: int = bp.uint64_field(3)  # epoch of the state in transfer; 0 if none


@dataclass
class Chunk(Message):
    """A part of a compressed snapshot or state, from byte `offset` of `total`.

    `mark` is the snapshot's index or the state's epoch, `mark_term` the term of that index, and
    `digest` the SHA-256 of the complete value. See `transport.chunks`.
    """

    is_found: bool = bp.bool_field(1)
    mark: int = bp.uint64_field(2)
    mark_term: int = bp.uint64_field(3)
    total: int = bp.uint64_field(4)
    offset: int = bp.uint64_field(5)
    data: bytes = bp.bytes_field(6)
    digest: bytes = bp.bytes_field(7)
