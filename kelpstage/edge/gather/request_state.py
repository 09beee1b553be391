"""The record of a request: what the passes run over."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from kelpstage.common.configuration.types import Configuration, Route
from kelpstage.common.transport.messages import PartMsg
from kelpstage.edge.forward.request import ClientRequest
from kelpstage.edge.gather.record_order import ORDERS, ValueOrder
from kelpstage.edge.gather.tree import Subtree

ROOT, CHILD, SINGLE = "root", "child", "single"
NEW, AWAITS, GATHERS, DONE = "new", "awaits", "gathers", "done"
WAITING, IN, MISSING = "waiting", "in", "missing"


@dataclass(kw_only=True)
class Attempt:
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
    hedge_us: int = 0  # when a second round that was refused is tried again
    rounds: list[Attempt] = field(default_factory=list)
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
class Child:
    """A child in the tree and what came of it."""

    slot: int
    subtree: Subtree
    state: str = WAITING
    is_sent: bool = False
    sent_us: int = 0
    soft_us: int = 0
    was_late: bool = False
    is_regathered: bool = False
    ask_id: int = 0
    is_open: bool = False
    is_resumed: bool = False
    has_sent_nothing: bool = False  # it was not reached, or says that it asked nobody
    attempts: int = 0  # that were handed over to it, for each of its shards
    unknown: dict[str, int] = field(default_factory=dict)  # of them, not heard of yet


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
    subtree: Subtree | None = None
    addresses: dict[str, str] = field(default_factory=dict)
    is_extra: bool = False
    ask_id: int = 0
    search: str = ""  # the id that the root gave it
    request: ClientRequest | None = None  # what is forwarded, where it is not a query of our own
    is_repeatable: bool = True
    attempts: int = 3  # backends that one shard may be sent to
    # By shard: attempts that no other node, and no former generation, has used or may use
    # yet. What is not here has all of them.
    attempts_left: dict[str, int] = field(default_factory=dict)
    is_far: bool = False  # does what it hands up cross regions?
    aim_us: int = 0  # when an answer is still worth most; 0: no such time
    handed: frozenset = frozenset()
    is_partly_settled: bool = False
    is_resumed: bool = False
    shard: str = ""
    record_name: str = ""

    stage: str = NEW
    generation: int = 0
    configuration: Configuration | None = None
    route: Route | None = None
    cells: dict[str, Cell] = field(default_factory=dict)
    children: list[Child] = field(default_factory=list)
    parts: dict[str, PartMsg] = field(default_factory=dict)
    runs: dict[str | int, list] = field(default_factory=dict)  # by shard, or child's slot
    whole: Any = None  # a backend's answer that goes back as it came
    has_run: bool = False  # may a backend have run it?
    missing: dict[str, tuple[str, str]] = field(default_factory=dict)
    inbox: deque = field(default_factory=deque)
    omit_us: int = 0
    awaits_version: int = 0
    reached_backend: bool = False
    sent_shards: set[str] = field(default_factory=set)  # in this generation
    sent_before: set[str] = field(default_factory=set)  # in those before
    sent_cut: str = ""
    outcome: Any = None

    def begin_again(self) -> None:
        """Forget all that was gathered; replies to it no longer count.

        >>> g = Gathering(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.begin_again(); g.generation
        1
        """
        self.generation += 1
        if self.sent_shards:
            self.sent_cut = self.cut_of(shard=min(self.sent_shards))
        self.sent_before |= self.sent_shards
        self.sent_shards = set()
        self.stage = NEW
        self.configuration = self.route = None
        for cell in self.cells.values():
            self._spend(cell=cell)
        self.cells, self.children = {}, []
        self.parts, self.runs, self.missing = {}, {}, {}
        self.whole = None
        self.inbox.clear()
        self.omit_us = 0
        if self.kind == ROOT:
            self.subtree = None

    # --- attempts ---------------------------------------------------------------------

    @property
    def is_bounded(self) -> bool:
        """Does its route bound the backends that one shard may be sent to, over all nodes?"""
        return self.request is not None

    def left_of(self, *, shard: str) -> int:
        """How many backends this node may send the shard to, in this generation."""
        if not self.is_bounded:
            return self.attempts
        return min(self.attempts, self.attempts_left.get(shard, self.attempts))

    def has_attempt(self, *, cell: Cell) -> bool:
        """May this node send the shard to one more backend?

        >>> g = Gathering(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9, attempts=1)
        >>> g.has_attempt(cell=Cell(shard="s"))
        True
        """
        return len(cell.rounds) < self.left_of(shard=cell.shard)

    def hand_over(self, *, child: Child, is_reserved: bool) -> None:
        """Give a helper the attempts for its shards. What becomes of them is unknown from
        here on, so they count as used until it says otherwise. `is_reserved`: one of
        them, if there are two or more, stays here for the case that nothing is heard."""
        shards = child.subtree.all_shards()
        least = min((self.left_of(shard=shard) for shard in shards), default=0)
        child.attempts = least - 1 if is_reserved and least > 1 else least
        child.unknown = dict.fromkeys(shards, child.attempts)
        for shard in shards:
            self.attempts_left[shard] = self.left_of(shard=shard) - child.attempts

    def take_back(self, *, child: Child, shard: str, count: int) -> None:
        """A helper says, once for each shard, that so many attempts were never used."""
        if count and shard in child.unknown:
            back = min(count, child.unknown.pop(shard))
            self.attempts_left[shard] = self.left_of(shard=shard) + back

    def surely_left(self, *, shard: str) -> int:
        """Of the attempts for a shard that nothing is awaited for any more, those that this
        node never uses: what it tells the node above."""
        cell = self.cells.get(shard)
        used = len(cell.rounds) if cell else 0
        return max(0, self.left_of(shard=shard) - used)

    def drop_cell(self, *, shard: str) -> None:
        """Give way to a helper's answer for a shard that this node asked for as well."""
        cell = self.cells.pop(shard, None)
        if cell is not None:
            self._spend(cell=cell)

    def _spend(self, *, cell: Cell) -> None:
        if cell.rounds:
            left = self.left_of(shard=cell.shard) - len(cell.rounds)
            self.attempts_left[cell.shard] = max(0, left)

    # --- what it has come to ------------------------------------------------------------

    def may_have_run(self) -> bool:
        """May a backend have run this request or a part of it, or run it yet?

        >>> g = Gathering(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.may_have_run()
        False
        >>> first = Attempt(number=1, backend="b", sent_us=0, soft_us=1)
        >>> g.cells["s"] = Cell(shard="s", rounds=[first])
        >>> g.may_have_run()
        True
        """
        return (
            self.has_run
            or bool(self.parts)
            or bool(self.sent_before)
            or any(cell.has_open_round() for cell in self.cells.values())
            or any(child.is_sent and not child.has_sent_nothing for child in self.children)
        )

    def is_sent_before(self, *, shard: str) -> bool:
        """Did this search already send, or have sent, what it would now send again? A
        search that was sent under one cut and begins again under another did.

        >>> g = Gathering(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.sent_shards.add("s1"); g.begin_again()
        >>> g.is_sent_before(shard="s1"), g.is_sent_before(shard="s2")
        (True, False)
        """
        if self.is_extra or shard in self.sent_before:
            return True
        return bool(self.sent_before) and self.sent_cut != self.cut_of(shard=shard)

    @property
    def order(self) -> Any:
        """How its records are sorted, merged and packed."""
        if self.configuration is None:
            return ValueOrder
        return ORDERS[self.configuration.collections[self.collection].codec]

    def cut_of(self, *, shard: str) -> str:
        if self.configuration is None:
            return self.sent_cut
        return self.configuration.collections[self.collection].shards[shard].cut

    def waiting_shards(self) -> set[str]:
        """Shards that may still come in."""
        out = {cell.shard for cell in self.cells.values() if cell.state == WAITING}
        for child in self.children:
            if child.state == WAITING:
                out |= set(child.subtree.all_shards())
        return out - set(self.parts)

    def is_settled(self) -> bool:
        """Is nothing on its way any more that could add a shard?"""
        return not self.waiting_shards()
