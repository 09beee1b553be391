"""The replicated state as stored in snapshots, with the records of requests.

The field numbers are those of snapshots on disk and never change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Iterator, List

import betterproto as bp

from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.common.transport.messages import RolloutState, StateDoc

DIGEST_PREFIX_BYTES = 16
VERSION_BYTES = 8
DIGEST_ROW_BYTES = DIGEST_PREFIX_BYTES + VERSION_BYTES


@dataclass
class RequestRecord(bp.Message):
    """The record of one decided write: its identity and its outcome."""

    put_id: str = bp.string_field(1)
    digest: bytes = bp.bytes_field(2)
    version: int = bp.uint64_field(3)
    epoch: int = bp.uint64_field(4)
    expected: int = bp.uint64_field(5)
    found: int = bp.uint64_field(6)  # the current version when the write was decided
    asked: int = bp.uint64_field(7)  # version given by the operator; 0: `expected` + 1


@dataclass
class CoreState(bp.Message):
    """The replicated state as stored in snapshots."""

    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    version: int = bp.uint64_field(3)
    document: bytes = bp.bytes_field(4)
    membership: List[str] = bp.string_field(5)
    puts: List[RequestRecord] = bp.message_field(6)  # applied, oldest first
    old_membership: List[str] = bp.string_field(7)  # before the newest epoch, if that one is joint
    refused: List[RequestRecord] = bp.message_field(8)  # oldest first
    superseded: bytes = bp.bytes_field(9)  # rows of writes applied before `puts`, oldest first
    forgotten_to: int = bp.uint64_field(10)  # up to this version, unrecorded writes may exist
    observers: List[str] = bp.string_field(11)  # of the membership
    old_observers: List[str] = bp.string_field(12)  # of `old_membership`
    rollouts: List[RolloutState] = bp.message_field(13)  # the newest of each service
    past_rollouts: List[RolloutState] = bp.message_field(14)  # replaced ones, oldest first


def edge_membership(*, state: CoreState) -> EdgeMembership:
    """The current edge membership."""
    return EdgeMembership.of(names=state.membership, observers=state.observers)


def previous_edge_membership(*, state: CoreState) -> EdgeMembership | None:
    """The membership before the newest epoch, in which that epoch has to settle as well.

    A configuration write leaves the membership unchanged. None if the previous membership is
    not known: in the first epoch, and where an older version of the software added or removed
    a single edge.
    """
    if state.puts and state.puts[-1].epoch == state.epoch:
        return edge_membership(state=state)
    if not state.old_membership:
        return None
    return EdgeMembership.of(names=state.old_membership, observers=state.old_observers)


def adopt(*, state: CoreState, doc: StateDoc) -> None:
    """Adopt the state that an edge has installed, which is newer than any state known here.

    The writes in between have no record, so none of them may be rejected from now on.

    >>> state = CoreState(version=3)
    >>> adopt(state=state, doc=StateDoc(version=9, epoch=4, document=b"{}"))
    >>> state.version, state.forgotten_to
    (9, 9)
    """
    if doc.version > state.version:
        state.forgotten_to = doc.version
    state.version, state.document = doc.version, doc.document
    state.membership, state.epoch = list(doc.membership), doc.epoch
    state.observers = list(doc.observers)
    state.old_membership, state.old_observers = [], []
    state.rollouts, state.past_rollouts = list(doc.rollouts), []


def read_digest_rows(*, rows: bytes) -> Iterator[tuple[bytes, int]]:
    """The digest prefix and the version of each superseded write, oldest first.

    >>> list(read_digest_rows(rows=b"0123456789abcdef" + (7).to_bytes(8, "big")))
    [(b'0123456789abcdef', 7)]
    """
    for start in range(0, len(rows), DIGEST_ROW_BYTES):
        prefix, version = (
            rows[start : start + DIGEST_PREFIX_BYTES],
            rows[start + DIGEST_PREFIX_BYTES : start + DIGEST_ROW_BYTES],
        )
        yield prefix, int.from_bytes(version, "big")
