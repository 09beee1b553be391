"""Messages between edges and cores, in one module for each subject.

Field numbers and the numbers in `registry.TYPES` are part of the wire format and are never
reused. A message that is not in `TYPES` is nested in another one or sent in datagrams.
Times are whole microseconds (`_us`).

>>> RegisterEdge().parse(bytes(RegisterEdge(edge="n1", incarnation=7))).incarnation
7
"""

from __future__ import annotations

from kelpstage.common.transport.messages.cluster import (
    CoreMember,
    Done,
    EdgeContact,
    JoinCore,
    LeaveCore,
    LeaveCoreReply,
    SeedProbe,
    SeedState,
    StateDoc,
)
from kelpstage.common.transport.messages.diagnostics import (
    FetchTrace,
    Trace,
)
from kelpstage.common.transport.messages.endpoints import (
    EndpointUpdate,
    FetchEndpoints,
    InstanceMsg,
)
from kelpstage.common.transport.messages.gather import (
    Gather,
    Gathered,
    MissingMsg,
    PartMsg,
    SubtreeMsg,
)
from kelpstage.common.transport.messages.gossip import (
    BackendStateMsg,
    FetchMembers,
    GossipMsg,
    MemberMsg,
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
    LogEntry,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from kelpstage.common.transport.messages.registry import NUMBERS, TYPES
from kelpstage.common.transport.messages.rollouts import (
    FetchVersions,
    ListedVersions,
    RolloutReport,
    RolloutState,
    VersionCounts,
)
from kelpstage.common.transport.messages.transfers import (
    Chunk,
    FetchSnapshot,
    FetchState,
)

__all__ = [
    "Announce",
    "AppendEntries",
    "AppendEntriesReply",
    "BackendStateMsg",
    "Chunk",
    "ConfirmEpoch",
    "ConfirmEpochReply",
    "CoreMember",
    "Done",
    "EdgeContact",
    "EndpointUpdate",
    "FetchEndpoints",
    "FetchMembers",
    "FetchSnapshot",
    "FetchState",
    "FetchTrace",
    "FetchVersions",
    "ForwardOperatorCall",
    "ForwardOperatorCallReply",
    "Gather",
    "Gathered",
    "GossipMsg",
    "InstallSnapshot",
    "InstanceMsg",
    "JoinCore",
    "LeaseReply",
    "LeaveCore",
    "LeaveCoreReply",
    "ListedVersions",
    "LogEntry",
    "MemberMsg",
    "Members",
    "MissingMsg",
    "NUMBERS",
    "PartMsg",
    "RegisterEdge",
    "RegisterEdgeReply",
    "RelayRenew",
    "Renew",
    "RequestVote",
    "RequestVoteReply",
    "RolloutReport",
    "RolloutState",
    "SeedProbe",
    "SeedState",
    "StateDoc",
    "SubtreeMsg",
    "TYPES",
    "TimeoutNow",
    "Trace",
    "VersionCounts",
]
