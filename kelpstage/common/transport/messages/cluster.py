"""Messages about the founding, joining and leaving of cores, and the replicated state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message
from kelpstage.common.transport.messages.rollouts import RolloutState


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

    `incarnation` is that of the process that last answered at this address.
    """

    name: str = bp.string_field(1)
    address: str = bp.string_field(2)
    zone: str = bp.string_field(3)
    http: str = bp.string_field(4)
    incarnation: int = bp.uint64_field(5)


@dataclass
class StateDoc(Message):
    """The state of one epoch that an edge installs: a configuration and a membership.

    `version` is the version of the configuration and `document` its JSON text. `membership` holds
    the names of the edges that may hold a lease in this epoch, `observers` those of its
    non-voting members. `rollouts` says which versions of a service may receive requests.
    """

    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    version: int = bp.uint64_field(3)
    document: bytes = bp.bytes_field(4)
    membership: List[str] = bp.string_field(5)
    observers: List[str] = bp.string_field(6)
    rollouts: List[RolloutState] = bp.message_field(7)  # the newest of each service


@dataclass
class SeedProbe(Message):
    """From a starting core to each of its seeds: asks for its state. Answered by `SeedState`."""

    replica: str = bp.string_field(1)


@dataclass
class SeedState(Message):
    """The state of a core, for a core that starts.

    `is_empty` is set if it has no data and may take part in founding a cluster; otherwise
    `cluster`, `leader_address` and `members` describe the cluster that it belongs to.
    """

    replica: str = bp.string_field(1)
    address: str = bp.string_field(2)
    is_empty: bool = bp.bool_field(3)
    cluster: str = bp.string_field(5)
    leader_address: str = bp.string_field(6)
    members: List[CoreMember] = bp.message_field(7)
    http: str = bp.string_field(8)
    only_joins: bool = bp.bool_field(9)  # it must not found a cluster


@dataclass
class JoinCore(Message):
    """From a joining core to the members: a one-way request, repeated until it has joined.

    A member that is not the leader forwards it to the leader once (`is_forwarded`).
    """

    cluster: str = bp.string_field(1)
    member: CoreMember = bp.message_field(2)
    is_forwarded: bool = bp.bool_field(3)


@dataclass
class Done(Message):
    """A generic reply: whether the request succeeded, and the reason if not."""

    is_ok: bool = bp.bool_field(1)
    why: str = bp.string_field(2)


@dataclass
class LeaveCore(Message):
    """From a stopping core to the leader: asks to leave. Answered by `LeaveCoreReply`.

    `term` and `last_index` are those of the last entry of its log.
    """

    cluster: str = bp.string_field(1)
    replica: str = bp.string_field(2)
    term: int = bp.uint64_field(3)
    last_index: int = bp.uint64_field(4)


@dataclass
class LeaveCoreReply(Message):
    """From the leader to a stopping core.

    `state` is a `LeaveState`. `losses_borne` is the number of further core losses that the log
    survives after this core has stopped, `losses_wanted` the number that it should survive.
    """

    state: int = bp.uint32_field(1)
    losses_borne: int = bp.uint32_field(2)
    losses_wanted: int = bp.uint32_field(3)
