"""Pass one: may this request be run here, and under which configuration?"""

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
from kelpstage.edge.gather.context import World
from kelpstage.edge.gather.messages import ChildReply, WantState
from kelpstage.edge.gather.request_state import (
    AWAITS,
    CHILD,
    DONE,
    GATHERS,
    NEW,
    ROOT,
    SINGLE,
    Gathering,
)

RESTART_US = 200_000


def admit(*, record: Gathering, world: World) -> None:
    """Bind a new request to a configuration; begin a search again whose configuration
    has been replaced for a while."""
    if record.stage == GATHERS:
        _look_again(record=record, world=world)
    is_awaiting = record.stage == AWAITS and record.kind == ROOT
    if is_awaiting and world.lease_holder.configuration.version >= record.awaits_version:
        record.begin_again()
    if record.stage not in (NEW, AWAITS):
        return
    if world.now_us >= record.due_us:
        _spent(record=record, world=world)
        return
    if record.stage == AWAITS and record.kind == ROOT:
        return
    if record.kind == CHILD:
        _admit_child(record=record, world=world)
        return
    _admit_own(record=record, world=world)


def end(*, record: Gathering, outcome: object) -> None:
    """Settle a record; later events to it are ignored."""
    record.stage = DONE
    record.outcome = outcome


def _spent(*, record: Gathering, world: World) -> None:
    if record.kind == CHILD:
        end(record=record, outcome=ChildReply(message=_stale(record=record, world=world)))
        return
    end(record=record, outcome=DeadlineExceededError(where=f"while it was {record.stage}"))


def _stale(*, record: Gathering, world: World) -> Gathered:
    return Gathered(
        is_stale=True,
        version=world.lease_holder.configuration.version,
        has_sent_nothing=not record.sent_shards,
    )


def _look_again(*, record: Gathering, world: World) -> None:
    """A search ends under a newer configuration if it outlasts the older one."""
    lease_holder = world.lease_holder
    if record.version == lease_holder.configuration.version or record.kind == SINGLE:
        return
    if world.now_us - lease_holder.installed_us < RESTART_US:
        return
    if record.kind == CHILD:
        end(record=record, outcome=ChildReply(message=_stale(record=record, world=world)))
        return
    note_again(record=record, world=world, why="configuration moved on")
    record.begin_again()


def note_again(*, record: Gathering, world: World, why: str) -> None:
    """A search begins again under a newer configuration."""
    world.journal.add(Restarted(collection=record.collection, was=record.version, why=why))
    world.trace.add(SearchRestarted(search=record.search, was=record.version, why=why))


def _admit_child(*, record: Gathering, world: World) -> None:
    lease_holder = world.lease_holder
    if lease_holder.has_moved_on(version=record.version, now_us=world.now_us):
        end(record=record, outcome=ChildReply(message=_stale(record=record, world=world)))
        return
    configuration = lease_holder.configuration_for(version=record.version, now_us=world.now_us)
    if configuration is None:
        if record.stage == NEW:
            record.stage = AWAITS
            world.emit(WantState(version=record.version, source=record.root))
        return
    route = configuration.route(collection=record.collection)
    if route is None:
        end(record=record, outcome=ChildReply(message=_stale(record=record, world=world)))
        return
    record.configuration, record.route = configuration, route
    record.stage = GATHERS


def _bind_forward(*, record: Gathering, world: World) -> bool:
    """Find a forwarded request's route in the configuration now in force: it may begin
    again under one that names other shards for it, or none."""
    path = record.request.target.partition("?")[0]
    host = record.request.host
    route = world.lease_holder.configuration.forward_for(host=host, path=path)
    if route is None:
        end(record=record, outcome=UnknownRouteError(host=host[:200], path=path[:200]))
        return False
    if not route.is_repeatable and record.may_have_run():  # it was, when it was begun
        end(
            record=record,
            outcome=BackendConnectionError(backend="", cause="configuration moved on"),
        )
        return False
    record.collection = route.name
    record.kind = ROOT if route.fan_out else SINGLE
    record.limit = route.limit if route.fan_out else None
    record.shard = "" if route.fan_out else draw(weights=route.weights, lot=world.rand.random())
    record.is_repeatable, record.attempts = route.is_repeatable, route.attempts
    if route.fan_out and not route.is_repeatable:
        record.attempts = 1  # a shard that is lost may have run it
    record.aim_us = route.aim_us
    record.due_us = min(record.due_us, record.arrived_us + route.deadline_us)
    return True


def draw(*, weights: tuple[tuple[str, float], ...], lot: float) -> str:
    """The service that a lot from 0 to 1 falls on.

    >>> weights = (("a", 1.0), ("b", 3.0))
    >>> draw(weights=weights, lot=0.2), draw(weights=weights, lot=0.3)
    ('a', 'b')
    """
    place = lot * sum(weight for _, weight in weights)
    for service, weight in weights:
        place -= weight
        if place < 0:
            return service
    return next(service for service, weight in reversed(weights) if weight > 0)


def _admit_own(*, record: Gathering, world: World) -> None:
    lease_holder = world.lease_holder
    refusal = lease_holder.refusal(now_us=world.now_us)
    if refusal:
        end(record=record, outcome=NotReadyError(why=refusal))
        return
    configuration = lease_holder.configuration
    if record.request is not None and not _bind_forward(record=record, world=world):
        return
    route = configuration.route(collection=record.collection)
    if route is None:
        end(record=record, outcome=UnknownCollectionError(collection=record.collection))
        return
    if record.kind == SINGLE and record.shard not in route.fan_out:
        end(
            record=record,
            outcome=UnknownShardError(collection=record.collection, shard=record.shard),
        )
        return
    record.configuration, record.route = configuration, route
    record.version = configuration.version
    record.stage = GATHERS
