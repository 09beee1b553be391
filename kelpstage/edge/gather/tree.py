"""The gathering tree: which node merges which shards, level by level.

Scuba's shape: fan-out F counts the node itself, L = ceil(log_F N) levels, and a
last-level fan-out R = N / F^(L-1). Here N is the number of shards on the route.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Callable, Iterator


@dataclass(frozen=True, kw_only=True)
class Subtree:
    """A node, the shards it asks backends for itself, and its children."""

    node: str
    shards: tuple[str, ...]
    children: tuple["Subtree", ...] = field(default_factory=tuple)

    def all_shards(self) -> tuple[str, ...]:
        """Every shard under this node.

        >>> child = Subtree(node="b", shards=("t",))
        >>> Subtree(node="a", shards=("s",), children=(child,)).all_shards()
        ('s', 't')
        """
        return self.shards + tuple(s for child in self.children for s in child.all_shards())

    def nodes(self) -> set[str]:
        """This node and all below it.

        >>> Subtree(node="a", shards=("s",)).nodes()
        {'a'}
        """
        return {self.node}.union(*(child.nodes() for child in self.children))

    def height(self) -> int:
        """Levels under and with this node.

        >>> Subtree(node="a", shards=("s",)).height()
        1
        """
        return 1 + max((child.height() for child in self.children), default=0)


def levels(*, shard_count: int, fan_out: int) -> int:
    """L = ceil(log_F N), at least one, in whole numbers.

    >>> [levels(shard_count=n, fan_out=5) for n in (1, 5, 6, 8, 25, 26, 125, 126)]
    [1, 1, 2, 2, 2, 3, 3, 4]
    """
    level, reach = 1, fan_out
    while reach < shard_count:
        level, reach = level + 1, reach * fan_out
    return level


def last_fan_out(*, shard_count: int, fan_out: int) -> float:
    """R = N / F^(L-1): shards at each lowest node, on average.

    >>> last_fan_out(shard_count=8, fan_out=5)
    1.6
    """
    lowest_nodes: int = fan_out ** (levels(shard_count=shard_count, fan_out=fan_out) - 1)
    return shard_count / lowest_nodes


def split(*, shards: tuple[str, ...], groups: int) -> list[tuple[str, ...]]:
    """Even groups in order, the larger ones first; none is empty.

    >>> split(shards=tuple("abcdefgh"), groups=5)
    [('a', 'b'), ('c', 'd'), ('e', 'f'), ('g',), ('h',)]
    """
    groups = min(groups, len(shards))
    size, extra = divmod(len(shards), groups)
    out, start = [], 0
    for place in range(groups):
        stop = start + size + (place < extra)
        out.append(shards[start:stop])
        start = stop
    return out


def grow(*, root: str, shards: tuple[str, ...], helpers: list[str], fan_out: int) -> Subtree:
    """Grow the tree of a query; with too few helpers a node stands in twice.

    >>> tree = grow(root="r", shards=tuple("abcdefgh"), helpers=["n1", "n2", "n3", "n4"], fan_out=5)
    >>> tree.shards, [(c.node, c.shards) for c in tree.children][:2]
    (('a', 'b'), [('n1', ('c', 'd')), ('n2', ('e', 'f'))])
    >>> grow(root="r", shards=tuple("abcdefgh"), helpers=[], fan_out=5).children
    ()
    """
    turns = _turns(helpers=helpers)
    return _grow(
        node=root,
        shards=shards,
        level=levels(shard_count=len(shards), fan_out=fan_out) if helpers else 1,
        fan_out=fan_out,
        next_helper=lambda: next(turns),
    )


def grow_by_zone(
    *,
    root: str,
    zone: str,
    groups: list[tuple[str, tuple[str, ...]]],
    helpers: dict[str, list[str]],
    fan_out: int,
) -> Subtree:
    """A tree whose levels lie inside zones: `groups` gives each zone the shards to be
    asked for in it. The root keeps those of its own zone, split over helpers there; each
    other zone has one node that gathers for it, so that what crosses a line between zones
    is merged and cut before. Zones without a helper are the root's own work.

    >>> tree = grow_by_zone(
    ...     root="r", zone="a", groups=[("a", ("s1", "s2")), ("b", ("s3", "s4"))],
    ...     helpers={"b": ["n1", "n2"]}, fan_out=5,
    ... )
    >>> tree.shards, [(child.node, child.shards) for child in tree.children]
    (('s1', 's2'), [('n1', ('s3', 's4'))])
    """
    own = tuple(
        shard
        for name, shards in groups
        if name == zone or not helpers.get(name)
        for shard in shards
    )
    others = [(name, shards) for name, shards in groups if name != zone and helpers.get(name)]
    while len(others) > fan_out - 1:  # the least ones go with the greatest, wherever it is
        others.sort(key=lambda group: len(group[1]))
        (_, least), *others = others
        others[-1] = (others[-1][0], others[-1][1] + least)
    far = tuple(
        _grow_within(node=node, shards=shards, helpers=rest, fan_out=fan_out)
        for node, rest, shards in (
            (helpers[name][0], helpers[name][1:], shards) for name, shards in others
        )
    )
    if not own:
        return Subtree(node=root, shards=(), children=far)
    near = _grow_within(
        node=root, shards=own, helpers=helpers.get(zone, []), fan_out=fan_out - len(far)
    )
    return Subtree(node=root, shards=near.shards, children=near.children + far)


def _grow_within(
    *, node: str, shards: tuple[str, ...], helpers: list[str], fan_out: int
) -> Subtree:
    """A subtree of nodes near each other; with few of them its fan-out is less, rather
    than that one is asked twice."""
    fan_out = min(fan_out, len(helpers) + 1)
    if fan_out < 2 or len(shards) <= 1:
        return Subtree(node=node, shards=shards)
    return grow(root=node, shards=shards, helpers=helpers, fan_out=fan_out)


def _turns(*, helpers: list[str]) -> Iterator[str]:
    while True:
        yield from helpers


def _grow(
    *,
    node: str,
    shards: tuple[str, ...],
    level: int,
    fan_out: int,
    next_helper: Callable[[], str],
) -> Subtree:
    if level <= 1:
        return Subtree(node=node, shards=shards)
    groups = split(shards=shards, groups=fan_out)
    own, *others = groups
    children = [
        _grow(
            node=next_helper(),
            shards=group,
            level=level - 1,
            fan_out=fan_out,
            next_helper=next_helper,
        )
        for group in others
    ]
    mine = _grow(node=node, shards=own, level=level - 1, fan_out=fan_out, next_helper=next_helper)
    return Subtree(node=node, shards=mine.shards, children=mine.children + tuple(children))
