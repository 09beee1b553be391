"""Metrics of an edge, read from its live state when they are requested.

Every metric is described in docs/metrics.md; `tests/test_metrics.py` checks that the page
and the code name the same ones.
"""

from __future__ import annotations

from collections import Counter
from typing import Iterator

from kelpstage.common.metrics.families import MetricFamily, MetricKind
from kelpstage.edge.backend.backend_state import STATE_NAMES
from kelpstage.edge.gossip.members import MEMBER_STATUS_NAMES
from kelpstage.edge.web.interfaces import ReportingEdge

MICROSECONDS_PER_SECOND = 1_000_000


def edge_families(*, edge: ReportingEdge) -> Iterator[MetricFamily]:
    """All metric families of an edge."""
    yield from _request_families(edge=edge)
    yield from _stage_families(edge=edge)
    yield from _retry_families(edge=edge)
    yield from _backend_families(edge=edge)
    yield from _configuration_families(edge=edge)
    yield from _membership_families(edge=edge)
    yield from _process_families(edge=edge)


def _request_families(*, edge: ReportingEdge) -> Iterator[MetricFamily]:
    statistics = edge.gather_context.statistics
    yield MetricFamily(
        name="kelpstage_requests_total",
        help="Requests that have ended at this node, by its part in them, route and outcome.",
        kind=MetricKind.COUNTER,
        labels=("kind", "route", "outcome"),
        values={tuple(key): count for key, count in statistics.requests.items()},
    )
    yield MetricFamily.counters(
        "kelpstage_errors_total",
        "Clients' requests that were answered with an error of this node's own, by its kind.",
        "kind",
        {
            name.removeprefix("refused_"): count
            for name, count in edge.counts.items()
            if name.startswith("refused_")
        },
    )


def _stage_families(*, edge: ReportingEdge) -> Iterator[MetricFamily]:
    statistics = edge.gather_context.statistics
    yield MetricFamily.gauge(
        "kelpstage_requests_in_flight",
        "Requests in the gathering table.",
        len(edge.gather.table),
    )
    yield MetricFamily.counters(
        "kelpstage_shards_missing_total",
        "Shards that were left out of an answer of this node as root, by cause.",
        "cause",
        statistics.missing,
    )
    yield MetricFamily.durations(
        "kelpstage_stage_duration_seconds",
        "root, child, single: from arrival to outcome; backend: one attempt; child_query: one "
        "query to a child; child_query_far: those to a child in another region.",
        "stage",
        statistics.durations,
    )
    yield MetricFamily.counters(
        "kelpstage_child_queries_total",
        "Queries to children that have ended, by outcome.",
        "outcome",
        statistics.child_outcomes,
    )
    yield MetricFamily.counters(
        "kelpstage_answers_after_target_total",
        "Answers that took longer than their route's latency target, by route.",
        "route",
        statistics.after_target,
    )
    yield MetricFamily.counter(
        "kelpstage_child_replies_unused_total",
        "Replies of children that arrived after their request had ended.",
        statistics.unused_child_replies,
    )
    yield MetricFamily.counter(
        "kelpstage_child_connections_opened_total",
        "Queries to children that had to open a connection first.",
        statistics.child_connections_opened,
    )


def _retry_families(*, edge: ReportingEdge) -> Iterator[MetricFamily]:
    context = edge.gather_context
    now_us = edge.ports.clock.now_us()
    spent = context.budget.spent(now_us=now_us)
    yield MetricFamily.counters(
        "kelpstage_attempts_total",
        "Attempts sent to backends: first, retry or hedge.",
        "reason",
        context.statistics.attempts,
    )
    yield MetricFamily.gauges(
        "kelpstage_retry_budget_firsts",
        "First sends in the last window, by service.",
        "service",
        {service: row["first"] for service, row in spent.items()},
    )
    yield MetricFamily.gauges(
        "kelpstage_retry_budget_retries",
        "Retries in the last window, by service.",
        "service",
        {service: row["extra"] for service, row in spent.items()},
    )
    yield MetricFamily.gauges(
        "kelpstage_retry_budget_left",
        "Retries that this node may send now, by service.",
        "service",
        {
            service: context.budget.available(
                service=service, now_us=now_us, edges=context.live_edge_count()
            )
            for service in spent
        },
    )
    yield MetricFamily.counters(
        "kelpstage_retries_refused_total",
        "Retries and hedges that the budget refused, by service.",
        "service",
        context.budget.refused,
    )


def _backend_families(*, edge: ReportingEdge) -> Iterator[MetricFamily]:
    now_us = edge.ports.clock.now_us()
    entries = edge.registry.entries.values()
    states = Counter(STATE_NAMES[entry.state] for entry in entries)
    yield MetricFamily.gauges(
        "kelpstage_backends", "Backends that are known, by state.", "state", states
    )
    yield MetricFamily.gauge(
        "kelpstage_backends_ejected",
        "Backends that are ejected as outliers now.",
        sum(entry.outlier_statistics.is_ejected(now_us=now_us) for entry in entries),
    )
    yield MetricFamily.gauge(
        "kelpstage_backends_on_trial",
        "Backends whose ejection is over and that have not answered since.",
        sum(entry.outlier_statistics.is_on_trial(now_us=now_us) for entry in entries),
    )
    yield MetricFamily.gauge(
        "kelpstage_backend_attempts_in_flight",
        "Attempts at backends that are on their way.",
        sum(entry.in_flight for entry in entries),
    )
    yield MetricFamily.counters(
        "kelpstage_backend_replies_total",
        "Attempts that have ended, by outcome.",
        "outcome",
        edge.gather_context.statistics.backend_outcomes,
    )


def _configuration_families(*, edge: ReportingEdge) -> Iterator[MetricFamily]:
    holder, now_us = edge.lease_holder, edge.ports.clock.now_us()
    yield MetricFamily.gauge(
        "kelpstage_ready",
        "Does this node take requests (1) or not (0)?",
        not edge.not_ready_reason(),
    )
    yield MetricFamily.gauge(
        "kelpstage_configuration_version",
        "Version of the configuration that is installed.",
        holder.configuration.version,
    )
    yield MetricFamily.gauge(
        "kelpstage_configuration_age_seconds",
        "How long ago it was installed.",
        (now_us - holder.installed_us) / MICROSECONDS_PER_SECOND
        if holder.configuration.version
        else 0,
    )
    yield MetricFamily.gauge("kelpstage_epoch", "Epoch that is installed.", holder.epoch)
    yield MetricFamily.gauge(
        "kelpstage_newest_epoch", "Newest epoch that is known of.", holder.newest_epoch
    )
    yield MetricFamily.gauge(
        "kelpstage_lease_left_seconds",
        "What is left of this node's lease; 0 without one.",
        max(0, holder.lease_until_us() - now_us) / MICROSECONDS_PER_SECOND,
    )


def _membership_families(*, edge: ReportingEdge) -> Iterator[MetricFamily]:
    members = edge.swim.members.values()
    yield MetricFamily.gauges(
        "kelpstage_members",
        "Other edges that are known, by status.",
        "status",
        Counter(MEMBER_STATUS_NAMES.get(member.info.status, "unknown") for member in members),
    )


def _process_families(*, edge: ReportingEdge) -> Iterator[MetricFamily]:
    yield MetricFamily.gauges(
        "kelpstage_queue_length",
        "Events that wait to be taken.",
        "queue",
        {"gather": edge.gather.inbox.qsize()},
    )
    yield MetricFamily.counters(
        "kelpstage_events_total",
        "Events in the journal, by kind.",
        "event",
        edge.journal.counts,
    )
    yield MetricFamily.counters(
        "kelpstage_transport_events_total",
        "How connections between processes ended, and other counts of the transport.",
        "event",
        {
            name.removeprefix("line_"): count
            for name, count in edge.counts.items()
            if name.startswith("line_")
        },
    )
