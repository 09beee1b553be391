"""Messages between edges and cores about leases and epochs; times in whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message
from kelpstage.common.transport.messages.cluster import EdgeContact


@dataclass
class RegisterEdge(Message):
    """From a starting edge to a core: let the cluster know me; answered by `RegisterEdgeReply`."""

    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    contact: EdgeContact = bp.message_field(3)


@dataclass
class RegisterEdgeReply(Message):
    """What an edge needs in order to start: the cluster's name, other edges, and the cores'
    addresses.
    """

    cluster: str = bp.string_field(1)
    peers: List[EdgeContact] = bp.message_field(2)
    cores: List[str] = bp.string_field(3)


@dataclass
class Renew(Message):
    """From an edge to the leader, over any core: renew my lease at `epoch`; answered by
    `LeaseReply`.

    A core that does not lead forwards it and counts `hops`. `is_leaving` gives the lease up.
    """

    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    epoch: int = bp.uint64_field(3)
    cluster: str = bp.string_field(4)
    contact: EdgeContact = bp.message_field(5)
    hops: int = bp.uint32_field(6)
    is_leaving: bool = bp.bool_field(7)
    known: int = bp.uint64_field(8)  # mark of the contacts and cores that it knows
    relayed_by: str = bp.string_field(9)  # address of the edge that carried this for it
    is_observer: bool = bp.bool_field(10)  # its machine is one of which any number may go


@dataclass
class LeaseReply(Message):
    """From the leader to an edge: the lease for `span_us` from when the edge asked, or `why`
    there is none.

    `epoch` and `version` are the newest that are committed; an edge that is behind fetches
    them by `FetchState`. `known` goes back in the next `Renew`, so that `peers` holds only
    changes.
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
    newest_incarnation: int = bp.uint64_field(12)  # that the asker has to be above


@dataclass
class RelayRenew(Message):
    """From an edge that reaches no core to another edge: carry this renewal to `target`, the
    address of a core. Answered by `LeaseReply`.
    """

    target: str = bp.string_field(1)
    renew: Renew = bp.message_field(2)


@dataclass
class Announce(Message):
    """From the leader to edges: a new epoch was committed.

    It carries the state itself where that is small enough; without it, the edge fetches the
    state by `FetchState`.
    """

    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    leader_address: str = bp.string_field(3)
    state: bytes = bp.bytes_field(4)  # a whole StateDoc, as older cores send it
    delta: bytes = bp.bytes_field(5)  # a StateDoc, from the one of `base_epoch` if that is set
    base_epoch: int = bp.uint64_field(6)
    hand_on: List[str] = bp.string_field(7)  # addresses to hand this on to


@dataclass
class ConfirmEpoch(Message):
    """From an edge without a core to its peers: may I go on at `epoch`? Answered by
    `ConfirmEpochReply`.
    """

    edge: str = bp.string_field(1)
    cluster: str = bp.string_field(2)
    epoch: int = bp.uint64_field(3)


@dataclass
class ConfirmEpochReply(Message):
    """What a peer knows of the epoch that it was asked about.

    `vouches` tells that it has had a lease since it started, so that it cannot have forgotten
    an epoch, and that it may still confirm; `epoch` is the one that it has installed.
    """

    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    vouches: bool = bp.bool_field(3)
    epoch: int = bp.uint64_field(4)
    cluster: str = bp.string_field(5)
    asker_version: int = bp.uint64_field(6)  # what the applicant was last heard to serve
