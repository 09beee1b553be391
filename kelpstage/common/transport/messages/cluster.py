"""Messages about the cluster's members and its replicated state: founding, joining, leaving."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class CoreMember(Message):
    """One core of a cluster: its replica id, its transport address and its HTTP address."""

    replica: str = bp.string_field(1)
    address: str = bp.string_field(2)
    is_voter: bool = bp.bool_field(3)
    http: str = bp.string_field(4)


@dataclass
class EdgeContact(Message):
    """How an edge is reached: transport address, HTTP address and zone.

    `incarnation` is that of the process which answered last at this address.
    """

    name: str = bp.string_field(1)
    address: str = bp.string_field(2)
    zone: str = bp.string_field(3)
    http: str = bp.string_field(4)
    incarnation: int = bp.uint64_field(5)


@dataclass
class StateDoc(Message):
    """What an edge installs: one configuration and one membership under one epoch.

    `version` is the configuration's, `document` its JSON text, and `membership` the names of
    the edges that may hold a lease in this epoch; `observers` are those that do not vote.
    """

    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    version: int = bp.uint64_field(3)
    document: bytes = bp.bytes_field(4)
    membership: List[str] = bp.string_field(5)
    observers: List[str] = bp.string_field(6)


@dataclass
class SeedProbe(Message):
    """From a starting core to each of its seeds: who are you? Answered by `SeedState`."""

    replica: str = bp.string_field(1)


@dataclass
class SeedState(Message):
    """What a core says of itself to another that starts.

    `is_empty` tells that it has no data, so that it may take part in founding a cluster;
    otherwise `cluster`, `leader_address` and `members` say what it belongs to.
    """

    replica: str = bp.string_field(1)
    address: str = bp.string_field(2)
    is_empty: bool = bp.bool_field(3)
    cluster: str = bp.string_field(5)
    leader_address: str = bp.string_field(6)
    members: List[CoreMember] = bp.message_field(7)
    http: str = bp.string_field(8)
    only_joins: bool = bp.bool_field(9)  # it may not found a cluster


@dataclass
class JoinCore(Message):
    """From a core that wants to join to the members; one-way, repeated until it has joined.

    A member that does not lead forwards it to the leader once (`is_forwarded`).
    """

    cluster: str = bp.string_field(1)
    member: CoreMember = bp.message_field(2)
    is_forwarded: bool = bp.bool_field(3)


@dataclass
class Done(Message):
    """The reply that something was done, or why not."""

    is_ok: bool = bp.bool_field(1)
    why: str = bp.string_field(2)


@dataclass
class LeaveCore(Message):
    """From a core that is about to stop to the leader: may it? Answered by `LeaveCoreReply`.

    `term` and `last_index` are those of its log's end.
    """

    cluster: str = bp.string_field(1)
    replica: str = bp.string_field(2)
    term: int = bp.uint64_field(3)
    last_index: int = bp.uint64_field(4)


@dataclass
class LeaveCoreReply(Message):
    """From the leader to a core that wants to stop.

    `state` is a `LeaveState`. `losses_borne` is how many further losses of cores the log
    survives after it has stopped, `losses_wanted` how many it should survive.
    """

    state: int = bp.uint32_field(1)
    losses_borne: int = bp.uint32_field(2)
    losses_wanted: int = bp.uint32_field(3)
