"""Stage one: admits a request and binds it to a configuration."""

from __future__ import annotations

from kelpstage.common.errors.backends import BackendConnectionError
from kelpstage.common.errors.requests import (
    UnknownCollectionError,
    UnknownRouteError,
    UnknownShardError,
)
from kelpstage.common.errors.serving import DeadlineExceededError, NotReadyError
from kelpstage.common.transport.messages import Gathered
from kelpstage.edge.events import Restarted, SearchRestarted
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import FetchConfiguration, SubtreeReply
from kelpstage.edge.gather.request_state import (
    AWAITING,
    CHILD,
    DONE,
    GATHERING,
    NEW,
    ROOT,
    SINGLE,
    RequestState,
)

RESTART_DELAY_US = 200_000  # a search may end under the replaced configuration for so long


def admit(*, record: RequestState, context: GatherContext) -> None:
    """Bind a new request to a configuration; restart a search whose configuration was replaced
    at least `RESTART_DELAY_US` ago."""
    if record.phase is GATHERING:
        _restart_if_superseded(record=record, context=context)
    is_awaiting = record.phase is AWAITING and record.kind is ROOT
    if is_awaiting and context.lease_holder.configuration.version >= record.awaited_version:
        record.restart()
    if record.phase not in (NEW, AWAITING):
        return
    if context.now_us >= record.due_us:
        _settle_expired(record=record, context=context)
        return
    if record.phase is AWAITING and record.kind is ROOT:
        return
    if record.kind is CHILD:
        _admit_child(record=record, context=context)
        return
    _admit_own(record=record, context=context)


def settle_record(*, record: RequestState, outcome: object) -> None:
    """Give a request its outcome; later events for it are ignored."""
    record.phase = DONE
    record.outcome = outcome


def _settle_expired(*, record: RequestState, context: GatherContext) -> None:
    if record.kind is CHILD:
        settle_record(
            record=record,
            outcome=SubtreeReply(message=_stale_reply(record=record, context=context)),
        )
        return
    settle_record(
        record=record, outcome=DeadlineExceededError(where=f"while it was {record.phase}")
    )


def _stale_reply(*, record: RequestState, context: GatherContext) -> Gathered:
    return Gathered(
        is_stale=True,
        version=context.lease_holder.configuration.version,
        has_sent_nothing=not record.sent_shards,
    )


def _restart_if_superseded(*, record: RequestState, context: GatherContext) -> None:
    """Restart a search that outlasts its configuration by `RESTART_DELAY_US`."""
    lease_holder = context.lease_holder
    if record.version == lease_holder.configuration.version or record.kind is SINGLE:
        return
    if context.now_us - lease_holder.installed_us < RESTART_DELAY_US:
        return
    if record.kind is CHILD:
        settle_record(
            record=record,
            outcome=SubtreeReply(message=_stale_reply(record=record, context=context)),
        )
        return
    note_restart(record=record, context=context, why="configuration changed")
    record.restart()


def note_restart(*, record: RequestState, context: GatherContext, why: str) -> None:
    """Record that a search restarts under a newer configuration."""
    context.journal.add(Restarted(collection=record.collection, was=record.version, why=why))
    context.trace.add(SearchRestarted(search=record.search, was=record.version, why=why))


def _admit_child(*, record: RequestState, context: GatherContext) -> None:
    lease_holder = context.lease_holder
    if lease_holder.is_superseded(version=record.version, now_us=context.now_us):
        settle_record(
            record=record,
            outcome=SubtreeReply(message=_stale_reply(record=record, context=context)),
        )
        return
    configuration = lease_holder.configuration_for(version=record.version, now_us=context.now_us)
    if configuration is None:
        if record.phase is NEW:
            record.phase = AWAITING
            context.emit(FetchConfiguration(version=record.version, source=record.root))
        return
    route = configuration.route(collection=record.collection)
    if route is None:
        settle_record(
            record=record,
            outcome=SubtreeReply(message=_stale_reply(record=record, context=context)),
        )
        return
    record.configuration, record.route = configuration, route
    record.phase = GATHERING


def _bind_forward(*, record: RequestState, context: GatherContext) -> bool:
    """Bind a forwarded request to its route in the configuration in force, which after a restart
    may have other shards for it or no route; returns false if the request is settled instead."""
    path = record.request.target.partition("?")[0]
    host = record.request.host
    route = context.lease_holder.configuration.forward_for(host=host, path=path)
    if route is None:
        settle_record(record=record, outcome=UnknownRouteError(host=host[:200], path=path[:200]))
        return False
    if not route.is_repeatable and record.may_have_run():  # it was when it started
        settle_record(
            record=record,
            outcome=BackendConnectionError(backend="", cause="configuration moved on"),
        )
        return False
    record.collection = route.name
    record.kind = ROOT if route.fan_out else SINGLE
    record.limit = route.limit if route.fan_out else None
    record.shard = "" if route.fan_out else draw(weights=route.weights, lot=context.rand.random())
    record.is_repeatable, record.attempts = route.is_repeatable, route.attempts
    if route.fan_out and not route.is_repeatable:
        record.attempts = 1  # a lost shard's backend may have run it
    record.aim_us = route.aim_us
    record.due_us = min(record.due_us, record.arrived_us + route.deadline_us)
    return True


def draw(*, weights: tuple[tuple[str, float], ...], lot: float) -> str:
    """Return the service at `lot`, a fraction from 0 to 1 of the total weight.

    >>> weights = (("a", 1.0), ("b", 3.0))
    >>> draw(weights=weights, lot=0.2), draw(weights=weights, lot=0.3)
    ('a', 'b')
    """
    position = lot * sum(weight for _, weight in weights)
    for service, weight in weights:
        position -= weight
        if position < 0:
            return service
    return next(service for service, weight in reversed(weights) if weight > 0)


def _admit_own(*, record: RequestState, context: GatherContext) -> None:
    lease_holder = context.lease_holder
    refusal = lease_holder.refusal(now_us=context.now_us)
    if refusal:
        settle_record(record=record, outcome=NotReadyError(why=refusal))
        return
    configuration = lease_holder.configuration
    if record.request is not None and not _bind_forward(record=record, context=context):
        return
    route = configuration.route(collection=record.collection)
    if route is None:
        settle_record(record=record, outcome=UnknownCollectionError(collection=record.collection))
        return
    if record.kind is SINGLE and record.shard not in route.fan_out:
        settle_record(
            record=record,
            outcome=UnknownShardError(collection=record.collection, shard=record.shard),
        )
        return
    record.configuration, record.route = configuration, route
    record.version = configuration.version
    record.phase = GATHERING
