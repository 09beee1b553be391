"""Breadth-first search over every interleaving of a small system, up to a depth.

States that are equal but for the names of replicas, or for how long ago the clocks were
moved, count once: a state is written down as plain tuples under each renaming, times as
distances from now, and the least hash stands for it.
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

TIME_FROM_US = 50_000  # numbers above are times; terms, indexes and tokens stay below
TIME_STEP_US = 100_000
FAR_US = 4_000_000
ELECTION_TICK = 4  # the place of a step longer than any election timeout


class EvenRandom(random.Random):
    """A generator that always returns the middle: a search branches instead of drawing."""

    def random(self) -> float:
        """A half."""
        return 0.5


@dataclass(frozen=True, kw_only=True)
class Limits:
    """How often each of the rarer actions may happen on one path."""

    elections: int = 2
    orders: int = 1
    crashes: int = 1
    drops: int = 1
    duplicates: int = 1
    packets: int = 4  # only so many of the oldest may be chosen from


@dataclass(kw_only=True)
class SearchReport:
    """What a search came to."""

    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    is_complete: bool = False
    failure: Outcome | None = None


class SearchWorld(World):
    """A world without chance."""

    def random_for(self, *, name: str) -> random.Random:
        """The same for all."""
        return EvenRandom()


def fork(value: Any) -> Any:
    """A copy that shares what never changes: messages, frozen records, keys.

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
        # The state machine changes its state in place; all other messages are kept as sent.
        return not isinstance(value, core.CoreState)
    return is_dataclass(value) and value.__dataclass_params__.frozen


# --- writing a state down ------------------------------------------------------------------


def canonical(world: World) -> int:
    """A number that equal states share."""
    return min(
        hash(_write_world(world, dict(zip(order, world.nodes, strict=True))))
        for order in _orders(world)
    )


def _orders(world: World) -> Iterator[list[str]]:
    """The orderings of the nodes to try for the canonical form.

    Nodes are sorted by what distinguishes them cheaply; nodes that are equal in that are
    tried in every order.
    """
    marks = {name: repr(_glance(world, name)) for name in world.nodes}
    groups = [
        [name for name in world.nodes if marks[name] == mark]
        for mark in sorted(set(marks.values()))
    ]
    for orders in itertools.product(*(itertools.permutations(group) for group in groups)):
        yield [name for order in orders for name in order]


def _glance(world: World, name: str) -> tuple:
    node = world.nodes[name]
    to = [place for place, packet in enumerate(world.packets) if packet.to == name]
    sent = [place for place, packet in enumerate(world.packets) if packet.source == name]
    basics: tuple = ()
    if node.replica is not None:
        log, replica = node.replica.log, node.replica
        basics = (
            core.role_of(replica),
            core.term_of(replica),
            core.commit_index_of(replica),
            log.last_index,
            len(node.held),
        )
    return (node.is_up, len(node.disk.queue), to, sent, basics)


def _write_world(world: World, names: dict[str, str]) -> Any:
    nodes = sorted(
        (names[node.address], _write(_node_state(node), names, world.now_us))
        for node in world.nodes.values()
    )
    packets = tuple(_write(packet, names, world.now_us) for packet in world.packets)
    seen = _write((world.checks.newest_committed, world.checks.acknowledged), names, 0)
    return repr((nodes, packets, seen))


def _node_state(node: Any) -> tuple:
    replica = vars(node.replica.state) if node.replica else ()
    machine = node.machine.state if node.machine else ()
    return (
        replica,
        machine,
        node.disk,
        node.held,
        node.synced,
        node.proposals,
        node.fetches,
        node.is_up,
        node.is_frozen,
    )


def _write(value: Any, names: dict[str, str], now_us: int) -> Any:
    if isinstance(value, bool) or value is None:
        return value
    if isinstance(value, int):
        if abs(value) < TIME_FROM_US:
            return value
        distance = max(-FAR_US, min(FAR_US, value - now_us))
        return ("at", distance // TIME_STEP_US)
    if isinstance(value, str):
        return names.get(value, value)
    if isinstance(value, (bytes, float)):
        return value
    if isinstance(value, (list, tuple, deque)):
        return tuple(_write(one, names, now_us) for one in value)
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(repr(_write(one, names, now_us)) for one in value))
    if isinstance(value, dict):
        return tuple(
            sorted(
                repr((_write(key, names, now_us), _write(one, names, now_us)))
                for key, one in value.items()
                if key not in ("rand", "timing", "effects", "now_us")
            )
        )
    if isinstance(value, bp.Message):
        written = [_write(getattr(value, one.name), names, now_us) for one in fields(value)]
        return (type(value).__name__, *written)
    return (type(value).__name__, _write(vars(value), names, now_us))


# --- the search ------------------------------------------------------------------------------


@dataclass(kw_only=True)
class Branch:
    """A state on the edge of what was searched, and how it came about."""

    world: World
    path: tuple[Action, ...] = ()
    used: dict[str, int] = field(default_factory=dict)


def _choices(branch: Branch, limits: Limits) -> Iterator[tuple[Action, str]]:
    """Every action that can change this state, and what it uses up."""
    world = branch.world
    count = min(len(world.packets), limits.packets)
    for place in range(count):
        yield Action("deliver", place), ""
    for place, node in enumerate(world.nodes.values()):
        if node.runs and node.disk.queue:
            yield Action("sync", place), ""
        if node.runs and node.fetches:
            yield Action("fetch", place), ""
        if not node.is_up:
            yield Action("start", place), ""
        if node.runs:
            yield Action("tick", place, ELECTION_TICK), "elections"
            yield Action("crash", place, 0), "crashes"
        if node.runs and core.role_of(node.replica) == core.LEADER:
            yield Action("order", 0, place), "orders"
    for place in range(count):
        yield Action("drop", place), "drops"
        yield Action("duplicate", place), "duplicates"


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
    """Every interleaving behind the actions `first`, breadth first, to a depth or until
    so many states were seen or seconds spent; the first failure found is a shortest one."""
    began = time.monotonic()
    world = SearchWorld(scope=scope, seed=0, hooks=hooks)
    for action in first:
        world.act(action)
    report = SearchReport(states=1)
    seen = {canonical(world)}
    level = [Branch(world=world)]
    is_over = False
    while level and report.depth < depth and not is_over:
        following: list[Branch] = []
        for branch in level:
            report.failure = _expand(branch, following, seen, report, limits)
            is_over = report.states >= states or time.monotonic() - began > seconds
            if report.failure is not None or is_over:
                break
        if report.failure is not None:
            actions = [*first, *report.failure.walk.actions]
            report.failure.walk.actions = actions
            break
        if not is_over:
            report.depth += 1
        level = following
    report.is_complete = not level and not is_over
    report.seconds = time.monotonic() - began
    return report


def _expand(
    branch: Branch, following: list[Branch], seen: set[int], report: SearchReport, limits: Limits
) -> Outcome | None:
    for action, kind in _choices(branch, limits):
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
        mark = hash((canonical(world), tuple(sorted(budget.items()))))
        if mark in seen:
            continue
        seen.add(mark)
        report.states += 1
        following.append(Branch(world=world, path=path, used=budget))
    return None


def replay_search(*, walk: Walk, hooks: Hooks | None = None) -> Outcome:
    """Run a path that a search found."""
    return replay(walk=walk, hooks=hooks, make_world=SearchWorld)
