"""Recovery after the loss of a majority of cores: a new cluster from one survivor.

Started explicitly by an operator. Refused where it could lose an acknowledged write or leave
two clusters that both consider themselves valid. See docs/notes/recovery.md.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import RecoveryRefusedError
from kelpstage.common.errors.storage import LogDamagedError
from kelpstage.common.ports.interfaces import Clock, Ports
from kelpstage.common.transport.chunks import fetch_chunks
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.delta import apply_delta
from kelpstage.common.transport.messages import (
    ConfirmEpoch,
    ConfirmEpochReply,
    CoreMember,
    FetchState,
    SeedProbe,
    SeedState,
    StateDoc,
)
from kelpstage.core.raft import types as raft
from kelpstage.core.raft.members import read_members
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.replicated_state import CoreState, adopt, edge_membership
from kelpstage.core.store.records import DiskIdentity, DiskSnapshot
from kelpstage.core.store.recovery import Recovered
from kelpstage.core.store.store import Store

QUERY_TIMEOUT_US = 1_500_000


@dataclass(frozen=True, kw_only=True)
class RecoveredCluster:
    """The initial state of the new cluster; `was` is the name of the old one."""

    cluster: str
    was: str
    version: int
    epoch: int
    source: str
    membership: list[str]


@dataclass(frozen=True, kw_only=True)
class EdgeEpoch:
    """The epoch that an edge has installed, and the address from which it replied."""

    edge: str
    epoch: int
    address: str


def replay_log(*, recovered: Recovered) -> CoreState:
    """The state with every entry in the survivor's log applied, committed or not.

    An acknowledged entry is committed, but the survivor may not have been notified of the
    commit. An entry that was never acknowledged may take effect this way: its operator
    received `unresolved`, never a rejection.
    """
    state = CoreState(cluster=recovered.identity.cluster)
    if recovered.snapshot is not None:
        state = CoreState().parse(recovered.snapshot.state)
    machine = Machine(cluster=recovered.identity.cluster, state=state)
    for entry in recovered.log.entries:
        if entry.kind == raft.COMMAND:
            machine.apply(data=entry.data)
    return machine.state


def latest_members(*, recovered: Recovered) -> list[CoreMember]:
    """The newest members of the cluster that the survivor knows.

    >>> latest_members(recovered=Recovered(identity=DiskIdentity(replica="r")))
    []
    """
    members = list(recovered.snapshot.members) if recovered.snapshot else []
    for entry in recovered.log.entries:
        if entry.kind == raft.MEMBERSHIP:
            members = read_members(data=entry.data)
    return members


async def recover_cluster(
    *, ports: Ports, own_address: str, http: str, edges: list[str]
) -> RecoveredCluster | KelpstageError:
    """Make the survivor in this data folder the only voter of a new cluster.

    `edges` are the edges' addresses for messages between processes. More than half of the
    voting members must reply that they may confirm their epoch. At most half of the voting
    members lack an acknowledged epoch and still may confirm theirs, so the newest epoch that
    more than half report is at least the newest acknowledged one.
    """
    store = Store(ports=ports)
    identity = await store.read_identity()
    if isinstance(identity, KelpstageError):
        return identity
    if identity is None or not identity.cluster:
        return RecoveryRefusedError(why="this folder holds no member of a cluster")
    recovered = await store.recover(identity=identity)
    if isinstance(recovered, (KelpstageError, LogDamagedError)):
        return recovered
    transport = Transport(ports=ports, counts=Counter())
    outcome = await _check_and_write(
        ports=ports,
        store=store,
        transport=transport,
        recovered=recovered,
        own_address=own_address,
        http=http,
        edges=edges,
    )
    transport.close()
    return outcome


async def _check_and_write(
    *,
    ports: Ports,
    store: Store,
    transport: Transport,
    recovered: Recovered,
    own_address: str,
    http: str,
    edges: list[str],
) -> RecoveredCluster | KelpstageError:
    members = latest_members(recovered=recovered)
    reachable = await _reachable_cores(
        transport=transport, members=members, own_address=own_address
    )
    if reachable:
        return RecoveryRefusedError(
            why=f"cores answer at {', '.join(reachable)}: stop them or use them"
        )
    state = replay_log(recovered=recovered)
    answers = await _query_edges(
        transport=transport, edges=edges, cluster=recovered.identity.cluster
    )
    missing = _missing_majority(answers=answers, state=state)
    if missing:
        return RecoveryRefusedError(
            why=f"{missing} to determine the newest acknowledged configuration"
        )
    source = await _adopt_newest_state(
        transport=transport, clock=ports.clock, state=state, answers=answers
    )
    if isinstance(source, KelpstageError):
        return source
    return await _write(
        ports=ports,
        store=store,
        recovered=recovered,
        state=state,
        own_address=own_address,
        http=http,
        source=source,
    )


def _missing_majority(*, answers: list[EdgeEpoch], state: CoreState) -> str:
    """The reason why too few voting members answered; empty if a majority did.

    >>> state = CoreState(membership=["a", "b", "c"], observers=["b", "c"])
    >>> _missing_majority(answers=[EdgeEpoch(edge="a", epoch=1, address="a:1")], state=state)
    ''
    >>> _missing_majority(answers=[EdgeEpoch(edge="b", epoch=1, address="b:1")], state=state)
    '0 of 1 edges of the membership answer; most are needed'
    """
    voters = edge_membership(state=state).voters
    count = len({answer.edge for answer in answers} & set(voters))
    if count * 2 > len(voters):
        return ""
    return f"{count} of {len(voters)} edges of the membership answer; most are needed"


async def _adopt_newest_state(
    *, transport: Transport, clock: Clock, state: CoreState, answers: list[EdgeEpoch]
) -> str | KelpstageError:
    """Adopt the newest state of an edge if it is newer; return the state's source."""
    epoch, address = max(((answer.epoch, answer.address) for answer in answers), default=(0, ""))
    if epoch <= state.epoch:
        return "this folder"
    doc = await _fetch_state(transport=transport, clock=clock, address=address, epoch=epoch)
    if doc is None:
        return RecoveryRefusedError(
            why=f"the edge at {address} has epoch {epoch} but did not return it"
        )
    adopt(state=state, doc=doc)
    missing = _missing_majority(answers=answers, state=state)  # by the adopted membership
    return RecoveryRefusedError(why=missing) if missing else f"the edge at {address}"


async def _reachable_cores(
    *, transport: Transport, members: list[CoreMember], own_address: str
) -> list[str]:
    addresses = sorted({m.address for m in members} | {own_address})
    replies = await asyncio.gather(
        *(
            transport.call(address=a, message=SeedProbe(), wait_us=QUERY_TIMEOUT_US)
            for a in addresses
        )
    )
    return [a for a, reply in zip(addresses, replies, strict=True) if isinstance(reply, SeedState)]


async def _query_edges(*, transport: Transport, edges: list[str], cluster: str) -> list[EdgeEpoch]:
    replies = await asyncio.gather(
        *(
            transport.call(
                address=a, message=ConfirmEpoch(cluster=cluster), wait_us=QUERY_TIMEOUT_US
            )
            for a in edges
        )
    )
    return [
        EdgeEpoch(edge=reply.edge, epoch=reply.epoch, address=address)
        for address, reply in zip(edges, replies, strict=True)
        if isinstance(reply, ConfirmEpochReply) and reply.cluster == cluster and reply.vouches
    ]


async def _fetch_state(
    *, transport: Transport, clock: Clock, address: str, epoch: int
) -> StateDoc | None:
    packed = await fetch_chunks(
        transport=transport,
        clock=clock,
        address=address,
        make_request=lambda pinned, offset: FetchState(epoch=epoch, offset=offset, pinned=pinned),
    )
    data = None if packed is None else apply_delta(base=b"", delta=packed)
    if data is None:
        return None
    doc = StateDoc()
    doc.parse(data)
    return doc


async def _write(
    *,
    ports: Ports,
    store: Store,
    recovered: Recovered,
    state: CoreState,
    own_address: str,
    http: str,
    source: str,
) -> RecoveredCluster | KelpstageError:
    was = recovered.identity.cluster
    cluster = f"{ports.rand.getrandbits(64):016x}"
    replica = f"{ports.rand.getrandbits(64):016x}"
    state.cluster = cluster
    state.epoch += 1
    state.old_membership, state.old_observers = [], []
    snapshot = DiskSnapshot(
        index=recovered.log.last_index + 1,
        term=recovered.term + 1,
        members=[CoreMember(replica=replica, address=own_address, http=http, is_voter=True)],
        state=bytes(state),
        cluster=cluster,
    )
    identity = DiskIdentity(replica=replica, cluster=cluster)
    error = await store.initialize_member(
        identity=identity, snapshot=snapshot, term=recovered.term + 1
    )
    if error is not None:
        return error
    return RecoveredCluster(
        cluster=cluster,
        was=was,
        version=state.version,
        epoch=state.epoch,
        source=source,
        membership=list(state.membership),
    )
