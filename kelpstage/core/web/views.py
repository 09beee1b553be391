"""Status views that a core serves without asking the leader, and its view of the membership.

The JSON keys are part of the public interface.
"""

from __future__ import annotations

from typing import Any, Callable

from kelpstage.common.errors.control import (
    NoLeaderError,
)
from kelpstage.common.http.replies import error_reply, json_reply
from kelpstage.common.ports.interfaces import HttpReply
from kelpstage.core.context import OperatorContext
from kelpstage.core.leases.lease_service import LeaseService
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.replicated_state import edge_membership


def membership_view(
    *, task: ReplicaTask, lease_service: LeaseService, now_us: int
) -> dict[str, Any]:
    """The membership with the leader's lease and contact data of each edge."""
    state = task.machine.state
    membership = edge_membership(state=state)
    rows = []
    for edge in membership.names:
        holder = lease_service.lease_table.holder(edge=edge)
        has_reported = holder is not None and holder.reported_us > 0
        contact = lease_service.lease_table.contacts.contact_of(edge=edge)
        rows.append(
            {
                "edge": edge,
                "epoch": holder.epoch if holder else 0,
                "is_behind": not holder or holder.epoch < state.epoch,
                "heard_us_ago": now_us - holder.reported_us if holder and has_reported else None,
                "is_voting": not membership.is_observer(edge),
                "has_left": lease_service.lease_table.has_left(edge=edge),
                "address": contact.address if contact else None,
                "domain": contact.zone if contact else None,
            }
        )
    return {
        "epoch": state.epoch,
        "version": state.version,
        "is_settled": lease_service.is_settled(epoch=state.epoch),
        "edges": rows,
    }


def _log_view(*, task: ReplicaTask) -> dict[str, int]:
    replica = task.raft
    return {
        "first": replica.log.base_index + 1,
        "last": replica.log.last_index,
        "durable": replica.durable,
        "commit": replica.commit_index,
        "applied": task.applied,
    }


def _members_view(*, task: ReplicaTask) -> list[dict[str, Any]]:
    return [
        {"replica": member.replica, "address": member.address, "is_voter": member.is_voter}
        for member in task.raft.members.current
    ]


def status_view(*, core: OperatorContext) -> dict[str, Any]:
    """The state of this core and, if it leads, of the other members and of the edges."""
    task = core.task
    identity = core.identity
    view: dict[str, Any] = {
        "program": "kelpstage-control",
        "own": core.own_address,
        "domain": core.settings["domain"],
        "replica": identity.replica if identity else None,
        "cluster": identity.cluster if identity else None,
        "waits_for": core.waits_for or None,
        "counts": dict(sorted(core.counts.items())),
        "events": core.journal.tail(limit=20),
    }
    if task is None:
        return view
    view |= {
        "role": task.raft.role,
        "term": task.raft.term,
        "leader": task.leader_address or None,
        "log": _log_view(task=task),
        "snapshot_transfers": dict(sorted(task.snapshots.counts.items())),
        "members": task.raft.replication_progress() if task.is_leader else _members_view(task=task),
        "version": task.machine.state.version,
        "epoch": task.machine.state.epoch,
    }
    if task.is_leader:
        view["margin"] = task.raft.margin()
        assert core.lease_service is not None, "the lease service exists while the replica runs"
        membership = membership_view(
            task=task, lease_service=core.lease_service, now_us=core.ports.clock.now_us()
        )
        view["is_settled"] = membership["is_settled"]
        view["roster"] = membership["edges"]
    return view


def _ready(core: OperatorContext) -> HttpReply:
    task = core.task
    if task is None or not task.leader_address or core.is_stopping:
        why = "stopping" if core.is_stopping else core.waits_for or "no leader is known"
        return error_reply(error=NoLeaderError(why=why))
    return json_reply(body={"is_ready": True})


def _health(core: OperatorContext) -> HttpReply:
    return json_reply(body={"is_up": True})


def _status(core: OperatorContext) -> HttpReply:
    return json_reply(body=status_view(core=core))


LOCAL_VIEWS: dict[str, Callable[[OperatorContext], HttpReply]] = {
    "/ready": _ready,
    "/health": _health,
    "/v1/status": _status,
}
