"""Asks for membership of the cluster while this replica has none, or has no leader.

A core whose address has changed asks as well, so that the members learn the new one.
"""

from __future__ import annotations

from typing import Protocol

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import CoreMember, JoinCore
from kelpstage.core.replica_task import ReplicaTask

REJOIN_US = 1_000_000
JOIN_US = 250_000  # between two requests of a core that is not a member


class JoiningCore(Protocol):
    """What the requests need of a core."""

    ports: Ports
    transport: Transport
    own: str
    http: str
    seeds: list[str]
    task: ReplicaTask | None
    is_stopping: bool


async def keep_membership(*, core: JoiningCore) -> None:
    """Ask again and again, as long as it is needed; runs until it is cancelled."""
    while True:
        task = core.task
        is_member = task is not None and task.raft.members.has(replica=task.me)
        await core.ports.clock.sleep(us=REJOIN_US if is_member else JOIN_US)
        task = core.task
        if task is None or core.is_stopping:
            continue
        member = task.raft.members.get(replica=task.me)
        if member is not None and member.address == core.own and task.raft.leader:
            continue
        if not task.is_leader:
            _request_membership(core=core, task=task)


def _request_membership(*, core: JoiningCore, task: ReplicaTask) -> None:
    member = CoreMember(replica=task.me, address=core.own, http=core.http)
    known = {known.address for known in task.raft.members.current} | set(core.seeds)
    for address in sorted(known - {core.own}):
        core.transport.send(address=address, message=JoinCore(cluster=task.cluster, member=member))
