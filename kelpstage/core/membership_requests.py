"""Requests membership of the cluster while this replica is no member or has no leader.

A core whose address has changed sends requests too, so that members learn the new address.
"""

from __future__ import annotations

from typing import Protocol

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import CoreMember, JoinCore
from kelpstage.core.replica_task import ReplicaTask

REJOIN_INTERVAL_US = 1_000_000  # between two requests of a member
JOIN_INTERVAL_US = 250_000  # between two requests of a core that is not a member


class JoiningCore(Protocol):
    """What the requests need from a core."""

    ports: Ports
    transport: Transport
    own_address: str
    http: str
    seeds: list[str]
    task: ReplicaTask | None
    is_stopping: bool


async def send_join_requests(*, core: JoiningCore) -> None:
    """Send requests whenever one is needed, until the task is cancelled."""
    while True:
        task = core.task
        is_member = task is not None and task.raft.members.has(replica=task.me)
        await core.ports.clock.sleep(us=REJOIN_INTERVAL_US if is_member else JOIN_INTERVAL_US)
        task = core.task
        if task is None or core.is_stopping:
            continue
        member = task.raft.members.get(replica=task.me)
        if member is not None and member.address == core.own_address and task.raft.leader:
            continue
        if not task.is_leader:
            _request_membership(core=core, task=task)


def _request_membership(*, core: JoiningCore, task: ReplicaTask) -> None:
    member = CoreMember(replica=task.me, address=core.own_address, http=core.http)
    known = {known.address for known in task.raft.members.current} | set(core.seeds)
    for address in sorted(known - {core.own_address}):
        core.transport.send(address=address, message=JoinCore(cluster=task.cluster, member=member))
