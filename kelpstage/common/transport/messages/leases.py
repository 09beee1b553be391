"""Messages between edges and cores about leases and epochs; times in whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message
from kelpstage.common.transport.messages.cluster import EdgeContact
from kelpstage.common.transport.messages.rollouts import RolloutReport


@dataclass
class RegisterEdge(Message):
    """From a starting edge to a core: registers the edge. Answered by `RegisterEdgeReply`."""

    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    contact: EdgeContact = bp.message_field(3)


@dataclass
class RegisterEdgeReply(Message):
    """What an edge needs to start: the name of the cluster, other edges, and the addresses of the
    cores.
    """

    cluster: str = bp.string_field(1)
    peers: List[EdgeContact] = bp.message_field(2)
    cores: List[str] = bp.string_field(3)


@dataclass
class Renew(Message):
    """From an edge to the leader, through any core: renews its lease at `epoch`. Answered by
    `LeaseReply`.

    A core that is not the leader forwards it and increments `hops`. `is_leaving` releases the
    lease.
    """

    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    epoch: int = bp.uint64_field(3)
    cluster: str = bp.string_field(4)
    contact: EdgeContact = bp.message_field(5)
    hops: int = bp.uint32_field(6)
    is_leaving: bool = bp.bool_field(7)
    known: int = bp.uint64_field(8)  # `LeaseReply.known` of the contacts and cores that it has
    relayed_by: str = bp.string_field(9)  # address of the edge that relays this renewal
    is_observer: bool = bp.bool_field(10)  # non-voting: any number of such machines may be lost
    rollouts: List[RolloutReport] = bp.message_field(11)  # while any is rolling


@dataclass
class LeaseReply(Message):
    """From the leader to an edge: a lease for `span_us` from the time of the edge's request, or the
    reason (`why`) for its rejection.

    `epoch` and `version` are the newest committed ones; an edge that is behind fetches the state
    with `FetchState`. The next `Renew` returns `known`, so that `peers` holds only changes.
    """

    is_granted: bool = bp.bool_field(1)
    cluster: str = bp.string_field(2)
    epoch: int = bp.uint64_field(3)
    version: int = bp.uint64_field(4)
    span_us: int = bp.uint64_field(5)
    leader_address: str = bp.string_field(6)
    cores: List[str] = bp.string_field(7)
    is_on_membership: bool = bp.bool_field(8)
    why: str = bp.string_field(9)
    peers: List[EdgeContact] = bp.message_field(10)  # what changed since `known`
    known: int = bp.uint64_field(11)
    newest_incarnation: int = bp.uint64_field(12)  # the edge's next incarnation has to exceed this


@dataclass
class RelayRenew(Message):
    """From an edge that cannot reach a core to another edge: a renewal to relay to `target`, the
    address of a core. Answered by `LeaseReply`.
    """

    target: str = bp.string_field(1)
    renew: Renew = bp.message_field(2)


@dataclass
class Announce(Message):
    """From the leader to edges: a new epoch was committed.

    It carries the state if that is small enough; otherwise the edge fetches the state with
    `FetchState`.
    """

    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    leader_address: str = bp.string_field(3)
    state: bytes = bp.bytes_field(4)  # a complete StateDoc; sent by older cores
    delta: bytes = bp.bytes_field(5)  # a StateDoc, against that of `base_epoch` if set
    base_epoch: int = bp.uint64_field(6)
    hand_on: List[str] = bp.string_field(7)  # addresses to forward this to


@dataclass
class ConfirmEpoch(Message):
    """From an edge that cannot reach a core to its peers: asks to continue at `epoch`. Answered by
    `ConfirmEpochReply`.
    """

    edge: str = bp.string_field(1)
    cluster: str = bp.string_field(2)
    epoch: int = bp.uint64_field(3)


@dataclass
class ConfirmEpochReply(Message):
    """A peer's reply about its installed `epoch`.

    `vouches` is set if the peer may confirm: it has held a lease since it started, so that it
    cannot have lost an epoch in a restart, and its right to confirm has not expired.
    """

    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    vouches: bool = bp.bool_field(3)
    epoch: int = bp.uint64_field(4)
    cluster: str = bp.string_field(5)
    asker_version: int = bp.uint64_field(6)  # newest version that the asker reported to this peer
