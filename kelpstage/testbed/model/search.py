"""Breadth-first search over every interleaving of a small system, up to a depth.

States that differ only in the names of replicas or in absolute times count once. A state is
encoded as plain tuples under each renaming of the nodes, with times as distances from now,
and the smallest hash of these encodings identifies it.
"""

from __future__ import annotations

import itertools
import random
import time
from collections import deque
from dataclasses import dataclass, field, fields, is_dataclass
from typing import Any, Iterator

import betterproto as bp

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model.checks import InvariantViolated
from kelpstage.testbed.model.node import Hooks
from kelpstage.testbed.model.system import Action, Scope, World
from kelpstage.testbed.model.walk import Outcome, Walk, replay

MIN_TIME_US = 50_000  # larger integers are times; terms, indexes and tokens are smaller
TIME_RESOLUTION_US = 100_000
MAX_DISTANCE_US = 4_000_000
ELECTION_STEP = 4  # index in TICK_STEPS_US of a step longer than any election timeout


class ConstantRandom(random.Random):
    """A generator that always returns 0.5: a search branches on actions, not on chance."""

    def random(self) -> float:
        """Return 0.5."""
        return 0.5


@dataclass(frozen=True, kw_only=True)
class Limits:
    """How often each of the rarer actions may happen on one path."""

    elections: int = 2
    orders: int = 1
    crashes: int = 1
    drops: int = 1
    duplicates: int = 1
    packets: int = 4  # only this many of the oldest packets are considered


@dataclass(kw_only=True)
class SearchReport:
    """The result of a search."""

    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    is_complete: bool = False
    failure: Outcome | None = None


class SearchWorld(World):
    """A world without randomness."""

    def random_for(self, *, name: str) -> random.Random:
        """Return the same constant generator for all replicas."""
        return ConstantRandom()


def fork(value: Any) -> Any:
    """Return a deep copy that shares immutable parts: messages, frozen dataclasses, keys.

    >>> fork({"a": [1, {2}]})
    {'a': [1, {2}]}
    """
    return _fork(value, {})


def _fork(value: Any, known: dict[int, Any]) -> Any:
    if _is_atomic(value):
        return value
    if id(value) in known:
        return known[id(value)]
    if isinstance(value, tuple):
        return tuple(_fork(one, known) for one in value)
    if isinstance(value, (set, deque)):
        return type(value)(value)
    if isinstance(value, list):
        copy: Any = []
        known[id(value)] = copy
        copy.extend(_fork(one, known) for one in value)
        return copy
    if isinstance(value, dict):
        copy = {}
        known[id(value)] = copy
        copy.update((key, _fork(one, known)) for key, one in value.items())
        return copy
    copy = object.__new__(type(value))
    known[id(value)] = copy
    for name, one in vars(value).items():
        object.__setattr__(copy, name, _fork(one, known))
    return copy


def _is_atomic(value: Any) -> bool:
    if value is None or isinstance(value, (str, bytes, int, float, bool, frozenset)):
        return True
    if isinstance(value, (bp.Message, Hooks, random.Random)):
        # The state machine changes its state in place; no other message changes once sent.
        return not isinstance(value, core.CoreState)
    return is_dataclass(value) and value.__dataclass_params__.frozen


# --- encoding of a state -------------------------------------------------------------------


def canonical_hash(world: World) -> int:
    """Return a hash that is the same for equivalent states."""
    return min(
        hash(_encode_world(world, dict(zip(order, world.nodes, strict=True))))
        for order in _orders(world)
    )


def _orders(world: World) -> Iterator[list[str]]:
    """Yield the orderings of the nodes to try for the canonical form.

    Nodes are sorted by a signature that is cheap to compute; nodes with equal signatures are
    tried in every order.
    """
    marks = {name: repr(_signature(world, name)) for name in world.nodes}
    groups = [
        [name for name in world.nodes if marks[name] == mark]
        for mark in sorted(set(marks.values()))
    ]
    for orders in itertools.product(*(itertools.permutations(group) for group in groups)):
        yield [name for order in orders for name in order]


def _signature(world: World, name: str) -> tuple:
    node = world.nodes[name]
    to = [position for position, packet in enumerate(world.packets) if packet.to == name]
    sent = [position for position, packet in enumerate(world.packets) if packet.source == name]
    basics: tuple = ()
    if node.replica is not None:
        log, replica = node.replica.log, node.replica
        basics = (
            core.role_of(replica),
            core.term_of(replica),
            core.commit_index_of(replica),
            log.last_index,
            len(node.deferred_sends),
        )
    return (node.is_up, len(node.disk.queue), to, sent, basics)


def _encode_world(world: World, names: dict[str, str]) -> Any:
    nodes = sorted(
        (names[node.address], _encode(_node_state(node), names, world.now_us))
        for node in world.nodes.values()
    )
    packets = tuple(_encode(packet, names, world.now_us) for packet in world.packets)
    seen = _encode((world.checks.newest_committed, world.checks.acknowledged), names, 0)
    return repr((nodes, packets, seen))


def _node_state(node: Any) -> tuple:
    replica = vars(node.replica.state) if node.replica else ()
    machine = node.machine.state if node.machine else ()
    return (
        replica,
        machine,
        node.disk,
        node.deferred_sends,
        node.last_synced,
        node.proposals,
        node.fetches,
        node.is_up,
        node.is_frozen,
    )


def _encode(value: Any, names: dict[str, str], now_us: int) -> Any:
    if isinstance(value, bool) or value is None:
        return value
    if isinstance(value, int):
        if abs(value) < MIN_TIME_US:
            return value
        distance = max(-MAX_DISTANCE_US, min(MAX_DISTANCE_US, value - now_us))
        return ("at", distance // TIME_RESOLUTION_US)
    if isinstance(value, str):
        return names.get(value, value)
    if isinstance(value, (bytes, float)):
        return value
    if isinstance(value, (list, tuple, deque)):
        return tuple(_encode(one, names, now_us) for one in value)
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(repr(_encode(one, names, now_us)) for one in value))
    if isinstance(value, dict):
        return tuple(
            sorted(
                repr((_encode(key, names, now_us), _encode(one, names, now_us)))
                for key, one in value.items()
                if key not in ("rand", "timing", "effects", "now_us")
            )
        )
    if isinstance(value, bp.Message):
        encoded = [_encode(getattr(value, one.name), names, now_us) for one in fields(value)]
        return (type(value).__name__, *encoded)
    return (type(value).__name__, _encode(vars(value), names, now_us))


# --- the search ------------------------------------------------------------------------------


@dataclass(kw_only=True)
class Branch:
    """A state to expand, the actions that led to it, and the uses of limited actions."""

    world: World
    path: tuple[Action, ...] = ()
    used: dict[str, int] = field(default_factory=dict)


def _enabled_actions(branch: Branch, limits: Limits) -> Iterator[tuple[Action, str]]:
    """Yield every action that can change this state, with the limit that it counts against."""
    world = branch.world
    count = min(len(world.packets), limits.packets)
    for position in range(count):
        yield Action("deliver", position), ""
    for position, node in enumerate(world.nodes.values()):
        if node.is_running and node.disk.queue:
            yield Action("sync", position), ""
        if node.is_running and node.fetches:
            yield Action("fetch", position), ""
        if not node.is_up:
            yield Action("start", position), ""
        if node.is_running:
            yield Action("tick", position, ELECTION_STEP), "elections"
            yield Action("crash", position, 0), "crashes"
        if node.is_running and core.role_of(node.replica) == core.LEADER:
            yield Action("order", 0, position), "orders"
    for position in range(count):
        yield Action("drop", position), "drops"
        yield Action("duplicate", position), "duplicates"


def search(
    *,
    scope: Scope,
    depth: int,
    limits: Limits = Limits(),
    first: tuple[Action, ...] = (),
    hooks: Hooks | None = None,
    states: int = 1_000_000,
    seconds: float = 3_600.0,
) -> SearchReport:
    """Search every interleaving after the actions `first`, breadth first.

    It ends at a depth, a number of states or a number of seconds. The trace of the first
    failure that it finds is a shortest one.
    """
    began = time.monotonic()
    world = SearchWorld(scope=scope, seed=0, hooks=hooks)
    for action in first:
        world.act(action)
    report = SearchReport(states=1)
    seen = {canonical_hash(world)}
    level = [Branch(world=world)]
    is_limit_reached = False
    while level and report.depth < depth and not is_limit_reached:
        next_level: list[Branch] = []
        for branch in level:
            report.failure = _expand(branch, next_level, seen, report, limits)
            is_limit_reached = report.states >= states or time.monotonic() - began > seconds
            if report.failure is not None or is_limit_reached:
                break
        if report.failure is not None:
            actions = [*first, *report.failure.walk.actions]
            report.failure.walk.actions = actions
            break
        if not is_limit_reached:
            report.depth += 1
        level = next_level
    report.is_complete = not level and not is_limit_reached
    report.seconds = time.monotonic() - began
    return report


def _expand(
    branch: Branch, next_level: list[Branch], seen: set[int], report: SearchReport, limits: Limits
) -> Outcome | None:
    for action, kind in _enabled_actions(branch, limits):
        used = branch.used.get(kind, 0)
        if kind and used >= getattr(limits, kind):
            continue
        world = fork(branch.world)
        path = (*branch.path, action)
        report.transitions += 1
        try:
            world.act(action)
        except InvariantViolated as violated:
            walk = Walk(scope=world.scope, seed=0, actions=list(path), is_settled_at_end=False)
            return Outcome(walk=walk, invariant=violated.invariant, detail=violated.detail)
        budget = branch.used | {kind: used + 1} if kind else branch.used
        mark = hash((canonical_hash(world), tuple(sorted(budget.items()))))
        if mark in seen:
            continue
        seen.add(mark)
        report.states += 1
        next_level.append(Branch(world=world, path=path, used=budget))
    return None


def replay_search(*, walk: Walk, hooks: Hooks | None = None) -> Outcome:
    """Run a path that a search found."""
    return replay(walk=walk, hooks=hooks, make_world=SearchWorld)
