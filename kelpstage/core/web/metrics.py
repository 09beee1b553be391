"""The metrics of a core, read from its components on every scrape.

Every name is explained in docs/metrics.md; `tests/test_metrics.py` checks that the page and
the code agree.
"""

from __future__ import annotations

from typing import Iterator

from kelpstage.common.metrics.families import MetricFamily
from kelpstage.common.rollouts.condition import COMPLETE_SHARE, RolloutCondition
from kelpstage.core.context import OperatorContext
from kelpstage.core.leases.lease_service import LeaseService
from kelpstage.core.raft.types import Role
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.replicated_state import edge_membership

MICROS = 1_000_000


def core_families(*, core: OperatorContext) -> Iterator[MetricFamily]:
    """Yield all metrics of a core; those of the replica only while it runs."""
    task, lease_service = core.task, core.lease_service
    yield MetricFamily.gauge(
        "kelpstage_replica_running",
        "Does the replica run (1), or does it wait for its disk or its cluster (0)?",
        task is not None,
    )
    if task is not None and lease_service is not None:
        yield from _raft_families(task=task)
        yield from _lag_families(core=core, task=task)
        yield from _disk_families(core=core, task=task)
        yield from _state_families(task=task, lease_service=lease_service)
    yield MetricFamily.counters(
        "kelpstage_operator_calls_total",
        "Calls of operators, by method, resource and the status of the reply.",
        "call",
        core.operator_calls,
    )
    yield MetricFamily.counters(
        "kelpstage_events_total", "Events in the journal, by kind.", "event", core.journal.counts
    )
    yield MetricFamily.counters(
        "kelpstage_transport_events_total",
        "How connections between processes ended, and other counts of the transport.",
        "event",
        {name.removeprefix("line_"): count for name, count in core.counts.items()},
    )


def _raft_families(*, task: ReplicaTask) -> Iterator[MetricFamily]:
    replica = task.raft
    yield MetricFamily.gauge("kelpstage_raft_term", "Current term.", replica.term)
    yield MetricFamily.gauges(
        "kelpstage_raft_role",
        "1 for the role that this replica has.",
        "role",
        {role: replica.role == role for role in Role},
    )
    voters = sum(member.is_voter for member in replica.members.current)
    yield MetricFamily.gauges(
        "kelpstage_raft_members",
        "Members of the cluster.",
        "kind",
        {"voter": voters, "learner": len(replica.members.current) - voters},
    )
    yield MetricFamily.gauge(
        "kelpstage_raft_last_index", "Last index of the log.", replica.log.last_index
    )
    yield MetricFamily.gauge(
        "kelpstage_raft_commit_index", "Index up to which is committed.", replica.commit_index
    )
    yield MetricFamily.gauge(
        "kelpstage_raft_applied_index", "Index up to which is applied.", task.applied
    )


def _lag_families(*, core: OperatorContext, task: ReplicaTask) -> Iterator[MetricFamily]:
    replica = task.raft
    yield MetricFamily.gauges(
        "kelpstage_raft_lag_entries",
        "commit: entries of the log that are not committed; apply: committed, not applied; "
        "disk: not on this disk.",
        "step",
        {
            "commit": replica.log.last_index - replica.commit_index,
            "apply": replica.commit_index - task.applied,
            "disk": replica.log.last_index - replica.durable,
        },
    )
    if not task.is_leader:
        return
    yield MetricFamily.gauges(
        "kelpstage_raft_peer_lag_entries",
        "At the leader: entries that a member does not have on its disk yet.",
        "replica",
        {
            member.replica: replica.log.last_index
            - replica.state.match_index_of(name=member.replica)
            for member in replica.members.current
        },
    )


def _disk_families(*, core: OperatorContext, task: ReplicaTask) -> Iterator[MetricFamily]:
    now_us = core.ports.clock.now_us()
    yield MetricFamily.durations(
        "kelpstage_disk_write_duration_seconds",
        "Writes to the disk, with their sync: log records and snapshots.",
        "write",
        task.disk.durations,
    )
    yield MetricFamily.gauge(
        "kelpstage_snapshot_index", "Index of the newest snapshot.", task.raft.log.base_index
    )
    yield MetricFamily.gauge(
        "kelpstage_snapshot_age_seconds",
        "Since the newest snapshot was written, or the replica was started.",
        (now_us - task.snapshot_us) / MICROS,
    )
    yield MetricFamily.gauges(
        "kelpstage_queue_length",
        "Events that wait to be taken.",
        "queue",
        {"replica": task.inbox.qsize(), "disk": task.disk.inbox.qsize()},
    )


def _state_families(*, task: ReplicaTask, lease_service: LeaseService) -> Iterator[MetricFamily]:
    state = task.machine.state
    yield MetricFamily.gauge(
        "kelpstage_configuration_version", "Version that is applied.", state.version
    )
    yield MetricFamily.gauge("kelpstage_epoch", "Epoch that is applied.", state.epoch)
    yield MetricFamily.gauge(
        "kelpstage_membership_size", "Edges in the replicated membership.", len(state.membership)
    )
    yield MetricFamily.gauge(
        "kelpstage_membership_voting_members",
        "Edges of the replicated membership whose silence may hold up a change.",
        len(edge_membership(state=state).voters),
    )
    yield MetricFamily.gauge(
        "kelpstage_epoch_settled",
        "At the leader: 1 when no edge can serve an epoch older than the newest.",
        int(task.is_leader and lease_service.is_settled(epoch=state.epoch)),
    )
    yield MetricFamily.gauges(
        "kelpstage_rollouts",
        "Services by the condition of their newest rollout.",
        "condition",
        {
            condition.public_name: sum(one.condition == condition for one in state.rollouts)
            for condition in RolloutCondition
        },
    )
    yield MetricFamily.gauges(
        "kelpstage_rollout_share",
        "Share of a service's requests that its target version may receive, while it is rolling.",
        "service",
        {
            rollout.service: rollout.share / COMPLETE_SHARE
            for rollout in state.rollouts
            if rollout.condition == RolloutCondition.ROLLING
        },
    )
    holders = (lease_service.lease_table.holder(edge=edge) for edge in state.membership)
    yield MetricFamily.gauge(
        "kelpstage_edges_behind",
        "At the leader: edges that have not reported the newest epoch as installed.",
        sum(holder is None or holder.epoch < state.epoch for holder in holders)
        if task.is_leader
        else 0,
    )
    yield MetricFamily.gauge(
        "kelpstage_configuration_writes_in_progress",
        "Configuration writes that this core works on.",
        lease_service.configuration_writes.in_progress,
    )
