"""The commands of the replicated log: what one entry does to the state machine.

The field numbers are those of the log on disk and never change. A conditional write names
the version that it replaces (`expected`), as `If-Match` does (RFC 9110, section 13.1.1).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.delta import pack_delta
from kelpstage.core.state.digests import document_digest, put_digest
from kelpstage.core.state.replicated_state import (
    CoreState,
)

MIN_COMPRESSED_BYTES = 512  # shorter documents are proposed uncompressed


@dataclass
class PutConfiguration(bp.Message):
    """A conditional write: replace the document of version `expected` by this one."""

    put_id: str = bp.string_field(1)
    expected: int = bp.uint64_field(2)
    document: bytes = bp.bytes_field(3)
    version: int = bp.uint64_field(4)  # given by the operator; 0: `expected` + 1


@dataclass
class RefusePut(bp.Message):
    """Makes the rejection of a write final whose base version does not exist yet.

    A copy of the write that arrives once that version is current is not applied.
    """

    put_id: str = bp.string_field(1)
    digest: bytes = bp.bytes_field(2)
    expected: int = bp.uint64_field(3)
    version: int = bp.uint64_field(4)


@dataclass
class PutDelta(bp.Message):
    """A write whose document is encoded as a delta against the one that it replaces.

    `expected` names the base; with `has_base` false the document is only compressed.
    """

    put_id: str = bp.string_field(1)
    expected: int = bp.uint64_field(2)
    delta: bytes = bp.bytes_field(3)
    version: int = bp.uint64_field(4)  # given by the operator; 0: `expected` + 1
    digest: bytes = bp.bytes_field(5)  # of the complete write, from `put_digest`
    has_base: bool = bp.bool_field(6)
    base_digest: bytes = bp.bytes_field(7)


Put = PutConfiguration | PutDelta | RefusePut


def version_of(*, put: Put) -> int:
    """The version that a write would produce.

    >>> [version_of(put=PutConfiguration(expected=4, version=version)) for version in (0, 9)]
    [5, 9]
    """
    return put.version or put.expected + 1


@dataclass
class AddEdge(bp.Message):
    """Adds edges to the membership, or changes whether they vote."""

    edge: str = bp.string_field(1)
    more: List[str] = bp.string_field(2)  # that join together with `edge`
    observers: List[str] = bp.string_field(3)  # those of these edges that do not vote
    is_joint: bool = bp.bool_field(4)  # the epoch settles in the previous membership as well


@dataclass
class RemoveEdge(bp.Message):
    """Removes an edge from the membership."""

    edge: str = bp.string_field(1)
    is_joint: bool = bp.bool_field(2)  # the epoch settles in the previous membership as well


@dataclass
class BeginRollout(bp.Message):
    """An order to move the traffic of a service to version `target`, within `over_us`.

    `at_us` is the leader's time of day, in microseconds. With `is_new` the leader has established
    that this is no repetition of an order that was taken; `follows` is the number of the service's
    newest rollout then, 0 if it had none. `in_place` holds the versions that the service runs,
    if they are known. Orders in logs of version 0.1.0 lack all three.
    """

    service: str = bp.string_field(1)
    target: str = bp.string_field(2)
    over_us: int = bp.uint64_field(3)
    at_us: int = bp.uint64_field(4)
    is_new: bool = bp.bool_field(5)
    follows: int = bp.uint64_field(6)
    in_place: List[str] = bp.string_field(7)


@dataclass
class ChangeRollout(bp.Message):
    """Raises the share of a rolling rollout, or ends it; `number` identifies the rollout.

    `condition` is a `RolloutCondition`, `share` in thousandths, `at_us` the leader's time of day,
    and `elapsed_us` the least time that has passed since the order.
    """

    service: str = bp.string_field(1)
    number: int = bp.uint64_field(2)
    condition: int = bp.uint32_field(3)
    share: int = bp.uint32_field(4)
    why: str = bp.string_field(5)
    at_us: int = bp.uint64_field(6)
    elapsed_us: int = bp.uint64_field(7)


@dataclass
class Command(bp.Message):
    """What one log entry does to the state."""

    put: PutConfiguration = bp.message_field(1, group="what")
    add: AddEdge = bp.message_field(2, group="what")
    remove: RemoveEdge = bp.message_field(3, group="what")
    put_delta: PutDelta = bp.message_field(4, group="what")
    refuse: RefusePut = bp.message_field(5, group="what")
    begin_rollout: BeginRollout = bp.message_field(6, group="what")
    change_rollout: ChangeRollout = bp.message_field(7, group="what")


def put_command(*, put: PutConfiguration, state: CoreState) -> Command:
    """The command for a write, in a compact encoding.

    A write that replaces the current document is encoded as a delta against it. This is
    safe: a version belongs to one document only, and a write that does not match the current
    version is rejected without decoding its document.

    >>> before = CoreState(version=1, document=b"0123456789abcdef" * 64)
    >>> put = PutConfiguration(put_id="p", expected=1, document=before.document + b"!")
    >>> len(bytes(put_command(put=put, state=before))) < 100
    True
    """
    if len(put.document) < MIN_COMPRESSED_BYTES:
        return Command(put=put)
    base = state.document if put.expected == state.version else b""
    return Command(
        put_delta=PutDelta(
            put_id=put.put_id,
            expected=put.expected,
            delta=pack_delta(base=base, target=put.document),
            version=put.version,
            digest=put_digest(document=put.document, expected=put.expected, version=put.version),
            has_base=bool(base),
            base_digest=document_digest(document=base) if base else b"",
        )
    )
