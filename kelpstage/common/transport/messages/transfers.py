"""Requests for large values, and the chunks that these come in."""

from __future__ import annotations

from dataclasses import dataclass

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class FetchSnapshot(Message):
    """From a follower to the leader: the next chunk of a snapshot; answered by `Chunk`."""

    cluster: str = bp.string_field(1)
    index: int = bp.uint64_field(2)  # a snapshot of this index or a later one
    offset: int = bp.uint64_field(3)
    pinned: int = bp.uint64_field(4)  # index of the one whose transfer has begun; 0: none


@dataclass
class FetchState(Message):
    """From an edge to a core, or to another edge: the next chunk of the packed `StateDoc`;
    answered by `Chunk`.
    """

    epoch: int = bp.uint64_field(1)  # a state of this epoch or a later one
    offset: int = bp.uint64_field(2)
    pinned: int = bp.uint64_field(3)  # epoch of the one whose transfer has begun; 0: none


@dataclass
class Chunk(Message):
    """A part of a compressed snapshot or state, from byte `offset` of `total`.

    `mark` is the snapshot's index or the state's epoch, `mark_term` the index's term, and
    `digest` the SHA-256 of the complete value. See `transport.chunks`.
    """

    is_found: bool = bp.bool_field(1)
    mark: int = bp.uint64_field(2)
    mark_term: int = bp.uint64_field(3)
    total: int = bp.uint64_field(4)
    offset: int = bp.uint64_field(5)
    data: bytes = bp.bytes_field(6)
    digest: bytes = bp.bytes_field(7)
