"""The gathering tree: which node merges which shards, level by level.

The shape is that of Scuba: the fan-out F counts the node itself, the tree has L = ceil(log_F N)
levels, and the last level has a fan-out R = N / F^(L-1). N is the number of shards on the route.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Callable, Iterator


@dataclass(frozen=True, kw_only=True)
class Subtree:
    """A node, the shards that it requests from backends itself, and its children."""

    node: str
    shards: tuple[str, ...]
    children: tuple["Subtree", ...] = field(default_factory=tuple)

    def all_shards(self) -> tuple[str, ...]:
        """Return every shard in this subtree.

        >>> child = Subtree(node="b", shards=("t",))
        >>> Subtree(node="a", shards=("s",), children=(child,)).all_shards()
        ('s', 't')
        """
        return self.shards + tuple(s for child in self.children for s in child.all_shards())

    def nodes(self) -> set[str]:
        """Return this node and all nodes below it.

        >>> Subtree(node="a", shards=("s",)).nodes()
        {'a'}
        """
        return {self.node}.union(*(child.nodes() for child in self.children))

    def height(self) -> int:
        """Return the number of levels in this subtree.

        >>> Subtree(node="a", shards=("s",)).height()
        1
        """
        return 1 + max((child.height() for child in self.children), default=0)


def levels(*, shard_count: int, fan_out: int) -> int:
    """Return L = ceil(log_F N), at least one, computed in integers.

    >>> [levels(shard_count=n, fan_out=5) for n in (1, 5, 6, 8, 25, 26, 125, 126)]
    [1, 1, 2, 2, 2, 3, 3, 4]
    """
    level, reach = 1, fan_out
    while reach < shard_count:
        level, reach = level + 1, reach * fan_out
    return level


def last_fan_out(*, shard_count: int, fan_out: int) -> float:
    """Return R = N / F^(L-1), the average number of shards at each leaf.

    >>> last_fan_out(shard_count=8, fan_out=5)
    1.6
    """
    lowest_nodes: int = fan_out ** (levels(shard_count=shard_count, fan_out=fan_out) - 1)
    return shard_count / lowest_nodes


def split(*, shards: tuple[str, ...], groups: int) -> list[tuple[str, ...]]:
    """Split shards in order into groups of nearly equal size, the larger first; none is empty.

    >>> split(shards=tuple("abcdefgh"), groups=5)
    [('a', 'b'), ('c', 'd'), ('e', 'f'), ('g',), ('h',)]
    """
    groups = min(groups, len(shards))
    size, extra = divmod(len(shards), groups)
    out, start = [], 0
    for index in range(groups):
        stop = start + size + (index < extra)
        out.append(shards[start:stop])
        start = stop
    return out


def build_tree(*, root: str, shards: tuple[str, ...], helpers: list[str], fan_out: int) -> Subtree:
    """Build the tree of a query; with too few helpers, a node takes several places.

    >>> tree = build_tree(
    ...     root="r", shards=tuple("abcdefgh"), helpers=["n1", "n2", "n3", "n4"], fan_out=5)
    >>> tree.shards, [(c.node, c.shards) for c in tree.children][:2]
    (('a', 'b'), [('n1', ('c', 'd')), ('n2', ('e', 'f'))])
    >>> build_tree(root="r", shards=tuple("abcdefgh"), helpers=[], fan_out=5).children
    ()
    """
    helper_cycle = _cycle(helpers=helpers)
    return _build_levels(
        node=root,
        shards=shards,
        level=levels(shard_count=len(shards), fan_out=fan_out) if helpers else 1,
        fan_out=fan_out,
        next_helper=lambda: next(helper_cycle),
    )


def build_zone_tree(
    *,
    root: str,
    zone: str,
    groups: list[tuple[str, tuple[str, ...]]],
    helpers: dict[str, list[str]],
    fan_out: int,
) -> Subtree:
    """Build a tree whose levels lie inside zones.

    `groups` assigns to each zone the shards that are requested there. The root gathers those of
    its own zone, with the helpers there, and those of zones without a helper. One node in each
    other zone gathers for that zone, so that results are merged and truncated before they cross
    zones.

    >>> tree = build_zone_tree(
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
    while len(others) > fan_out - 1:  # merge the smallest group into the largest, in any zone
        others.sort(key=lambda group: len(group[1]))
        (_, least), *others = others
        others[-1] = (others[-1][0], others[-1][1] + least)
    far = tuple(
        _build_within_zone(node=node, shards=shards, helpers=rest, fan_out=fan_out)
        for node, rest, shards in (
            (helpers[name][0], helpers[name][1:], shards) for name, shards in others
        )
    )
    if not own:
        return Subtree(node=root, shards=(), children=far)
    near = _build_within_zone(
        node=root,
        shards=own,
        helpers=helpers.get(zone, []),
        fan_out=fan_out,
        root_fan_out=fan_out - len(far),
    )
    return Subtree(node=root, shards=near.shards, children=near.children + far)


def _build_within_zone(
    *,
    node: str,
    shards: tuple[str, ...],
    helpers: list[str],
    fan_out: int,
    root_fan_out: int | None = None,
) -> Subtree:
    """Build a subtree of nodes in one zone; with few of them, the fan-out is reduced so that no
    node takes several places.

    `root_fan_out` is what the subtree's root has left of its fan-out. It does not add levels: each
    level costs all shards below it a hop.
    """
    fan_out = min(fan_out, len(helpers) + 1)
    root_fan_out = fan_out if root_fan_out is None else min(root_fan_out, fan_out)
    if root_fan_out < 2:
        return Subtree(node=node, shards=shards)
    helper_cycle = _cycle(helpers=helpers)
    return _build_levels(
        node=node,
        shards=shards,
        level=levels(shard_count=len(shards), fan_out=fan_out),
        fan_out=fan_out,
        next_helper=lambda: next(helper_cycle),
        root_fan_out=root_fan_out,
    )


def _cycle(*, helpers: list[str]) -> Iterator[str]:
    while True:
        yield from helpers


def _build_levels(
    *,
    node: str,
    shards: tuple[str, ...],
    level: int,
    fan_out: int,
    next_helper: Callable[[], str],
    root_fan_out: int | None = None,
) -> Subtree:
    if level <= 1:
        return Subtree(node=node, shards=shards)
    groups = split(shards=shards, groups=root_fan_out or fan_out)
    own, *others = groups
    children = [
        _build_levels(
            node=next_helper(),
            shards=group,
            level=level - 1,
            fan_out=fan_out,
            next_helper=next_helper,
        )
        for group in others
    ]
    own_subtree = _build_levels(
        node=node, shards=own, level=level - 1, fan_out=fan_out, next_helper=next_helper
    )
    return Subtree(
        node=node, shards=own_subtree.shards, children=own_subtree.children + tuple(children)
    )
