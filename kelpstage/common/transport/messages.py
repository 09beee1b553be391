"""Messages between the project's own processes.

Field numbers are part of the wire: never reuse one. `TYPES` gives each message
that travels in a frame its number.

>>> RegisterEdge().parse(bytes(RegisterEdge(edge="n1", incarnation=7))).incarnation
7
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message

# --- shared pieces -------------------------------------------------------------


@dataclass
class CoreMember(Message):
    replica: str = bp.string_field(1)
    address: str = bp.string_field(2)
    is_voter: bool = bp.bool_field(3)
    http: str = bp.string_field(4)


@dataclass
class EdgeContact(Message):
    name: str = bp.string_field(1)
    address: str = bp.string_field(2)
    zone: str = bp.string_field(3)
    http: str = bp.string_field(4)
    incarnation: int = bp.uint64_field(5)


@dataclass
class StateDoc(Message):
    """What an edge installs: one configuration and one membership under one epoch."""

    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    version: int = bp.uint64_field(3)
    document: bytes = bp.bytes_field(4)
    membership: List[str] = bp.string_field(5)


# --- raft ------------------------------------------------------------------------


@dataclass
class LogEntry(Message):
    index: int = bp.uint64_field(1)
    term: int = bp.uint64_field(2)
    kind: int = bp.uint32_field(3)
    data: bytes = bp.bytes_field(4)


@dataclass
class RequestVote(Message):
    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    last_log_index: int = bp.uint64_field(5)
    last_log_term: int = bp.uint64_field(6)
    is_pre_vote: bool = bp.bool_field(7)
    is_transfer: bool = bp.bool_field(8)
    address: str = bp.string_field(9)


@dataclass
class RequestVoteReply(Message):
    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    is_pre_vote: bool = bp.bool_field(5)
    is_granted: bool = bp.bool_field(6)


@dataclass
class AppendEntries(Message):
    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    prev_log_index: int = bp.uint64_field(5)
    prev_log_term: int = bp.uint64_field(6)
    entries: List[LogEntry] = bp.message_field(7)
    commit_index: int = bp.uint64_field(8)
    heartbeat: int = bp.uint64_field(9)
    leader_address: str = bp.string_field(10)


@dataclass
class AppendEntriesReply(Message):
    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    is_ok: bool = bp.bool_field(5)
    match_index: int = bp.uint64_field(6)
    conflict_index: int = bp.uint64_field(7)
    heartbeat: int = bp.uint64_field(8)


@dataclass
class InstallSnapshot(Message):
    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    last_included_index: int = bp.uint64_field(5)
    last_included_term: int = bp.uint64_field(6)
    leader_address: str = bp.string_field(7)
    heartbeat: int = bp.uint64_field(8)


@dataclass
class TimeoutNow(Message):
    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)


# --- founding, joining, proxying between cores ---------------------------------------


@dataclass
class SeedProbe(Message):
    replica: str = bp.string_field(1)


@dataclass
class SeedState(Message):
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
    cluster: str = bp.string_field(1)
    member: CoreMember = bp.message_field(2)
    is_forwarded: bool = bp.bool_field(3)


@dataclass
class Done(Message):
    is_ok: bool = bp.bool_field(1)
    why: str = bp.string_field(2)


@dataclass
class LeaveCore(Message):
    """A core that is about to stop asks the leader whether it may."""

    cluster: str = bp.string_field(1)
    replica: str = bp.string_field(2)
    term: int = bp.uint64_field(3)
    last_index: int = bp.uint64_field(4)


@dataclass
class LeaveCoreReply(Message):
    """`state` is a `LeaveState`."""

    state: int = bp.uint32_field(1)
    losses_borne: int = bp.uint32_field(2)
    losses_wanted: int = bp.uint32_field(3)


@dataclass
class ForwardOperatorCall(Message):
    method: str = bp.string_field(1)
    url: str = bp.string_field(2)
    if_match: str = bp.string_field(3)
    put_id: str = bp.string_field(4)
    body: bytes = bp.bytes_field(5)
    wait_us: int = bp.uint64_field(6)
    version: int = bp.uint64_field(7)  # that a put is given; 0: the next one
    packed: bytes = bp.bytes_field(8)  # the body compressed, in its place


@dataclass
class ForwardOperatorCallReply(Message):
    status: int = bp.uint32_field(1)
    body: bytes = bp.bytes_field(2)
    retry_after: str = bp.string_field(3)
    etag: str = bp.string_field(4)
    is_leader: bool = bp.bool_field(5)
    location: str = bp.string_field(6)
    packed: bytes = bp.bytes_field(7)  # the body compressed, in its place


@dataclass
class FetchSnapshot(Message):
    cluster: str = bp.string_field(1)
    index: int = bp.uint64_field(2)  # a snapshot of this index or a later one
    offset: int = bp.uint64_field(3)
    pinned: int = bp.uint64_field(4)  # index of the one whose transfer has begun; 0: none


@dataclass
class FetchState(Message):
    epoch: int = bp.uint64_field(1)  # a state of this epoch or a later one
    offset: int = bp.uint64_field(2)
    pinned: int = bp.uint64_field(3)  # epoch of the one whose transfer has begun; 0: none


@dataclass
class Chunk(Message):
    """A piece of a compressed snapshot or state; `mark` is its index or epoch."""

    is_found: bool = bp.bool_field(1)
    mark: int = bp.uint64_field(2)
    mark_term: int = bp.uint64_field(3)
    total: int = bp.uint64_field(4)
    offset: int = bp.uint64_field(5)
    data: bytes = bp.bytes_field(6)
    digest: bytes = bp.bytes_field(7)


# --- edges and cores --------------------------------------------------------------------


@dataclass
class RegisterEdge(Message):
    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    contact: EdgeContact = bp.message_field(3)


@dataclass
class RegisterEdgeReply(Message):
    cluster: str = bp.string_field(1)
    peers: List[EdgeContact] = bp.message_field(2)
    cores: List[str] = bp.string_field(3)


@dataclass
class Renew(Message):
    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    epoch: int = bp.uint64_field(3)
    cluster: str = bp.string_field(4)
    contact: EdgeContact = bp.message_field(5)
    hops: int = bp.uint32_field(6)
    is_leaving: bool = bp.bool_field(7)
    known: int = bp.uint64_field(8)  # mark of the contacts and cores that it knows
    relayed_by: str = bp.string_field(9)  # address of the edge that carried this for it


@dataclass
class LeaseReply(Message):
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
    target: str = bp.string_field(1)
    renew: Renew = bp.message_field(2)


@dataclass
class Announce(Message):
    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    leader_address: str = bp.string_field(3)
    state: bytes = bp.bytes_field(4)  # a whole StateDoc, as older cores send it
    delta: bytes = bp.bytes_field(5)  # a StateDoc, from the one of `base_epoch` if that is set
    base_epoch: int = bp.uint64_field(6)
    hand_on: List[str] = bp.string_field(7)  # addresses to hand this on to


@dataclass
class ConfirmEpoch(Message):
    edge: str = bp.string_field(1)
    cluster: str = bp.string_field(2)
    epoch: int = bp.uint64_field(3)


@dataclass
class ConfirmEpochReply(Message):
    edge: str = bp.string_field(1)
    incarnation: int = bp.uint64_field(2)
    vouches: bool = bp.bool_field(3)
    epoch: int = bp.uint64_field(4)
    cluster: str = bp.string_field(5)
    asker_version: int = bp.uint64_field(6)  # what the applicant was last heard to serve


# --- gathering -----------------------------------------------------------------------------


@dataclass
class SubtreeMsg(Message):
    node: str = bp.string_field(1)
    address: str = bp.string_field(2)
    shards: List[str] = bp.string_field(3)
    children: List["SubtreeMsg"] = bp.message_field(4)


@dataclass
class Gather(Message):
    root: str = bp.string_field(1)
    query_id: int = bp.uint64_field(2)
    collection: str = bp.string_field(3)
    version: int = bp.uint64_field(4)
    has_limit: bool = bp.bool_field(5)
    limit: int = bp.uint64_field(6)
    query: bytes = bp.bytes_field(7)
    content_type: str = bp.string_field(8)
    subtree: SubtreeMsg = bp.message_field(9)
    wait_us: int = bp.uint64_field(10)
    is_extra: bool = bp.bool_field(11)
    cluster: str = bp.string_field(12)
    due_us: int = bp.uint64_field(13)
    is_resumed: bool = bp.bool_field(14)
    search: str = bp.string_field(15)
    method: str = bp.string_field(16)  # from here on: a client's request that is forwarded
    target: str = bp.string_field(17)
    request_id: str = bp.string_field(18)
    headers: List[str] = bp.string_field(19)
    attempts: int = bp.uint32_field(20)
    aim_us: int = bp.uint64_field(21)  # what is left of it
    is_far: bool = bp.bool_field(22)  # the answer crosses regions: no more than the limit


@dataclass
class PartMsg(Message):
    shard: str = bp.string_field(1)
    backend: str = bp.string_field(2)
    stamp: str = bp.string_field(3)
    count: int = bp.uint64_field(4)
    cut: str = bp.string_field(5)
    attempts_left: int = bp.uint32_field(6)  # of those handed over: surely never used


@dataclass
class MissingMsg(Message):
    shard: str = bp.string_field(1)
    cause: str = bp.string_field(2)
    detail: str = bp.string_field(3)
    attempts_left: int = bp.uint32_field(4)  # of those handed over: surely never used


@dataclass
class Gathered(Message):
    is_stale: bool = bp.bool_field(1)
    version: int = bp.uint64_field(2)
    parts: List[PartMsg] = bp.message_field(3)
    missing: List[MissingMsg] = bp.message_field(4)
    records: bytes = bp.bytes_field(5)
    is_open: bool = bp.bool_field(6)

    # --- gossip (datagrams) -------------------------------------------------------------------
    has_sent_nothing: bool = bp.bool_field(7)  # stale before it asked anybody


@dataclass
class MemberMsg(Message):
    name: str = bp.string_field(1)
    address: str = bp.string_field(2)
    incarnation: int = bp.uint64_field(3)
    beat: int = bp.uint64_field(4)
    status: int = bp.uint32_field(5)
    zone: str = bp.string_field(6)
    load: int = bp.uint32_field(7)
    version: int = bp.uint64_field(8)
    is_ready: bool = bp.bool_field(9)
    http: str = bp.string_field(10)


@dataclass
class BackendStateMsg(Message):
    """What somebody saw of a backend; the higher `turn` is the later."""

    backend: str = bp.string_field(1)
    address: str = bp.string_field(2)
    state: int = bp.uint32_field(3)
    turn: int = bp.uint64_field(4)
    seen_by: str = bp.string_field(5)
    why: str = bp.string_field(6)


@dataclass
class GossipMsg(Message):
    kind: int = bp.uint32_field(1)
    number: int = bp.uint64_field(2)
    target: str = bp.string_field(3)
    target_address: str = bp.string_field(4)
    sender: MemberMsg = bp.message_field(5)
    members: List[bytes] = bp.bytes_field(6)  # each a MemberMsg, kept as it travels
    backend_states: List[BackendStateMsg] = bp.message_field(7)
    cluster: str = bp.string_field(8)


@dataclass
class FetchMembers(Message):
    """Tell me all edges that you know."""

    cluster: str = bp.string_field(1)


@dataclass
class Members(Message):
    cluster: str = bp.string_field(1)
    members: List[bytes] = bp.bytes_field(2)  # each a MemberMsg


@dataclass
class FetchTrace(Message):
    """What became of a search at this node?"""

    search: str = bp.string_field(1)


@dataclass
class Trace(Message):
    is_found: bool = bp.bool_field(1)
    body: bytes = bp.bytes_field(2)  # JSON


@dataclass
class InstanceMsg(Message):
    """One start of a backend, as the list has it."""

    instance_id: str = bp.string_field(1)
    service: str = bp.string_field(2)
    address: str = bp.string_field(3)
    zone: str = bp.string_field(4)
    slots: int = bp.uint32_field(5)
    is_draining: bool = bp.bool_field(6)
    cold_us: int = bp.uint64_field(7)
    revision: str = bp.string_field(8)


@dataclass
class EndpointUpdate(Message):
    """What the list of lives came to, `age_us` ago: changes, or the whole of it.

    `digest` is that of the whole list once the changes are in; `tell` are the addresses
    that the receiver passes it on to.
    """

    reader: str = bp.string_field(1)
    sender: str = bp.string_field(2)  # its own address, to ask back at
    digest: int = bp.uint64_field(3)
    age_us: int = bp.uint64_field(4)
    is_whole: bool = bp.bool_field(5)
    changed: List[InstanceMsg] = bp.message_field(6)
    gone: List[str] = bp.string_field(7)
    tell: List[str] = bp.string_field(8)
    is_known: bool = bp.bool_field(9)  # False: the sender has no list either
    is_last: bool = bp.bool_field(10)  # the reader leaves: another may read at once
    reading: int = bp.uint64_field(11)  # number of the reading, above all that it had heard of


@dataclass
class FetchEndpoints(Message):
    """Tell me the list, unless mine is the same."""

    digest: int = bp.uint64_field(1)
    has_list: bool = bp.bool_field(2)


TYPES: dict[int, type] = {
    1: RequestVote,
    2: RequestVoteReply,
    3: AppendEntries,
    4: AppendEntriesReply,
    5: InstallSnapshot,
    6: TimeoutNow,
    10: SeedProbe,
    11: SeedState,
    13: JoinCore,
    14: Done,
    15: ForwardOperatorCall,
    16: ForwardOperatorCallReply,
    17: FetchSnapshot,
    18: FetchState,
    19: Chunk,
    20: LeaveCore,
    21: LeaveCoreReply,
    30: RegisterEdge,
    31: RegisterEdgeReply,
    32: Renew,
    33: LeaseReply,
    34: RelayRenew,
    35: Announce,
    36: ConfirmEpoch,
    37: ConfirmEpochReply,
    38: FetchMembers,
    39: Members,
    50: Gather,
    51: Gathered,
    52: FetchTrace,
    53: Trace,
    70: EndpointUpdate,
    71: FetchEndpoints,
}
NUMBERS: dict[type, int] = {kind: number for number, kind in TYPES.items()}
