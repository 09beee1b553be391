"""The number of each message that is sent in a frame; numbers are never reused."""

from __future__ import annotations

from kelpstage.common.transport.codec import Message
from kelpstage.common.transport.messages.cluster import (
    Done,
    JoinCore,
    LeaveCore,
    LeaveCoreReply,
    SeedProbe,
    SeedState,
)
from kelpstage.common.transport.messages.diagnostics import (
    FetchTrace,
    Trace,
)
from kelpstage.common.transport.messages.endpoints import (
    EndpointUpdate,
    FetchEndpoints,
)
from kelpstage.common.transport.messages.gather import (
    Gather,
    Gathered,
)
from kelpstage.common.transport.messages.gossip import (
    FetchMembers,
    Members,
)
from kelpstage.common.transport.messages.leases import (
    Announce,
    ConfirmEpoch,
    ConfirmEpochReply,
    LeaseReply,
    RegisterEdge,
    RegisterEdgeReply,
    RelayRenew,
    Renew,
)
from kelpstage.common.transport.messages.operators import (
    ForwardOperatorCall,
    ForwardOperatorCallReply,
)
from kelpstage.common.transport.messages.raft import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from kelpstage.common.transport.messages.rollouts import (
    FetchVersions,
    ListedVersions,
)
from kelpstage.common.transport.messages.transfers import (
    Chunk,
    FetchSnapshot,
    FetchState,
)

TYPES: dict[int, type[Message]] = {
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
    72: FetchVersions,
    73: ListedVersions,
}
NUMBERS: dict[type[Message], int] = {kind: number for number, kind in TYPES.items()}
