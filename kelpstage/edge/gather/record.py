"""The record of a request: what the passes run over."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from kelpstage.base.blueprint.types import Blueprint, Route
from kelpstage.base.wire.messages import PartMsg
from kelpstage.edge.gather.order import Record
from kelpstage.edge.gather.tree import Branch

ROOT, CHILD, SINGLE = "root", "child", "single"
NEW, AWAITS, GATHERS, DONE = "new", "awaits", "gathers", "done"
WAITING, IN, MISSING = "waiting", "in", "missing"


@dataclass(kw_only=True)
class Round:
    """One send to one backend."""

    number: int
    backend: str
    sent_us: int
    soft_us: int
    is_open: bool = True


@dataclass(kw_only=True)
class Cell:
    """A shard that this node asks a backend for itself."""

    shard: str
    is_extra: bool = False
    is_forced: bool = False
    state: str = WAITING
    wants_round: bool = True
    was_hedged: bool = False
    rounds: list[Round] = field(default_factory=list)
    cause: str = ""
    detail: str = ""

    def has_open_round(self) -> bool:
        return any(r.is_open for r in self.rounds)

    def miss(self, *, cause: str, detail: str = "") -> None:
        """Give the shard up.

        >>> cell = Cell(shard="s"); cell.miss(cause="window"); cell.state
        'missing'
        """
        self.state, self.cause, self.detail = MISSING, cause, detail
        self.wants_round = False


@dataclass(kw_only=True)
class Kid:
    """A child in the tree and what came of it."""

    slot: int
    branch: Branch
    state: str = WAITING
    is_sent: bool = False
    sent_us: int = 0
    soft_us: int = 0
    was_late: bool = False
    is_regathered: bool = False
    ask_id: int = 0
    is_open: bool = False
    is_resumed: bool = False


@dataclass(kw_only=True)
class Gathering:
    """One request, at the root, at a child, or for a single record."""

    key: int
    kind: str
    collection: str
    arrived_us: int
    due_us: int
    query: bytes = b""
    content_type: str = ""
    limit: int | None = None
    root: str = ""
    version: int = 0
    branch: Branch | None = None
    addresses: dict[str, str] = field(default_factory=dict)
    is_extra: bool = False
    ask_id: int = 0
    search: str = ""  # the id that the root gave it
    handed: frozenset = frozenset()
    is_partly_settled: bool = False
    is_resumed: bool = False
    shard: str = ""
    record_name: str = ""

    stage: str = NEW
    generation: int = 0
    blueprint: Blueprint | None = None
    route: Route | None = None
    cells: dict[str, Cell] = field(default_factory=dict)
    kids: list[Kid] = field(default_factory=list)
    parts: dict[str, PartMsg] = field(default_factory=dict)
    runs: dict[str | int, list[Record]] = field(default_factory=dict)  # by shard, or kid's slot
    missing: dict[str, tuple[str, str]] = field(default_factory=dict)
    inbox: deque = field(default_factory=deque)
    omit_us: int = 0
    awaits_version: int = 0
    reached_backend: bool = False
    outcome: Any = None

    def begin_again(self) -> None:
        """Forget all that was gathered; replies to it no longer count.

        >>> g = Gathering(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.begin_again(); g.generation
        1
        """
        self.generation += 1
        self.stage = NEW
        self.blueprint = self.route = None
        self.cells, self.kids = {}, []
        self.parts, self.runs, self.missing = {}, {}, {}
        self.inbox.clear()
        self.omit_us = 0
        if self.kind == ROOT:
            self.branch = None

    @property
    def is_repeated(self) -> bool:
        return self.generation > 0 or self.is_extra

    def waiting_shards(self) -> set[str]:
        """Shards that may still come in."""
        out = {cell.shard for cell in self.cells.values() if cell.state == WAITING}
        for kid in self.kids:
            if kid.state == WAITING:
                out |= set(kid.branch.all_shards())
        return out - set(self.parts)

    def is_settled(self) -> bool:
        """Is nothing on its way any more that could add a shard?"""
        return not self.waiting_shards()
