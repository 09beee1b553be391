"""The state of a request: what the stages run over."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from kelpstage.common.configuration.types import Configuration, Route
from kelpstage.common.transport.messages import PartMsg
from kelpstage.edge.forward.request import ClientRequest
from kelpstage.edge.gather.record_order import ORDERS, ValueOrder
from kelpstage.edge.gather.tree import Subtree


class RequestKind(StrEnum):
    """Which part this node has in a request; the values stand in public timelines."""

    ROOT = "root"  # gathers for a caller or client
    CHILD = "child"  # gathers a subtree for the node above
    SINGLE = "single"  # asks one backend: a single record, or a forwarded request


class RequestPhase(StrEnum):
    """How far a request has come; the values stand in errors' details."""

    NEW = "new"
    AWAITING = "awaits"  # a newer configuration has to be fetched first
    GATHERING = "gathers"
    DONE = "done"


class ReplyState(StrEnum):
    """What came of a shard or a child."""

    WAITING = "waiting"
    RECEIVED = "in"
    MISSING = "missing"


# Compared by `is`, as module constants: looking a member up on its enum costs a call.
ROOT, CHILD, SINGLE = RequestKind
NEW, AWAITING, GATHERING, DONE = RequestPhase
WAITING, RECEIVED, MISSING = ReplyState


@dataclass(kw_only=True)
class Attempt:
    """One send to one backend."""

    number: int
    backend: str
    sent_us: int
    soft_us: int
    is_open: bool = True


@dataclass(kw_only=True)
class ShardState:
    """A shard that this node asks a backend for itself."""

    shard: str
    is_extra: bool = False
    is_forced: bool = False
    state: ReplyState = WAITING
    wants_attempt: bool = True
    was_hedged: bool = False
    hedge_us: int = 0  # when a second attempt that was refused is tried again
    attempts: list[Attempt] = field(default_factory=list)
    cause: str = ""
    detail: str = ""

    def has_open_attempt(self) -> bool:
        """Is an attempt still on its way?"""
        return any(attempt.is_open for attempt in self.attempts)

    def miss(self, *, cause: str, detail: str = "") -> None:
        """Give the shard up.

        >>> shard_state = ShardState(shard="s")
        >>> shard_state.miss(cause="window"); str(shard_state.state)
        'missing'
        """
        self.state, self.cause, self.detail = MISSING, cause, detail
        self.wants_attempt = False


@dataclass(kw_only=True)
class Child:
    """A child in the tree and what came of it."""

    slot: int
    subtree: Subtree
    state: ReplyState = WAITING
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
class RequestState:
    """One request, at the root, at a child, or for a single record."""

    key: int
    kind: RequestKind
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
    handed: frozenset[str] = frozenset()
    is_partly_settled: bool = False
    is_resumed: bool = False
    is_abandoned: bool = False  # nobody waits for the outcome any more
    shard: str = ""
    record_name: str = ""

    phase: RequestPhase = NEW
    generation: int = 0
    configuration: Configuration | None = None
    route: Route | None = None
    shard_states: dict[str, ShardState] = field(default_factory=dict)
    children: list[Child] = field(default_factory=list)
    parts: dict[str, PartMsg] = field(default_factory=dict)
    runs: dict[str | int, list[Any]] = field(default_factory=dict)  # by shard, or child's slot
    backend_reply: Any = None  # a backend's answer that goes back as it came
    has_run: bool = False  # may a backend have run it?
    missing: dict[str, tuple[str, str]] = field(default_factory=dict)
    inbox: deque[Any] = field(default_factory=deque)
    omit_us: int = 0
    awaits_version: int = 0
    reached_backend: bool = False
    sent_shards: set[str] = field(default_factory=set)  # in this generation
    sent_before: set[str] = field(default_factory=set)  # in those before
    sent_cut: str = ""
    outcome: Any = None

    def begin_again(self) -> None:
        """Forget all that was gathered; replies to it no longer count.

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.begin_again(); g.generation
        1
        """
        self.generation += 1
        if self.sent_shards:
            self.sent_cut = self.cut_of(shard=min(self.sent_shards))
        self.sent_before |= self.sent_shards
        self.sent_shards = set()
        self.phase = NEW
        self.configuration = self.route = None
        for shard_state in self.shard_states.values():
            self._spend(shard_state=shard_state)
        self.shard_states, self.children = {}, []
        self.parts, self.runs, self.missing = {}, {}, {}
        self.backend_reply = None
        self.inbox.clear()
        self.omit_us = 0
        if self.kind is ROOT:
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

    def has_attempt(self, *, shard_state: ShardState) -> bool:
        """May this node send the shard to one more backend?

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9, attempts=1)
        >>> g.has_attempt(shard_state=ShardState(shard="s"))
        True
        """
        return len(shard_state.attempts) < self.left_of(shard=shard_state.shard)

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
        shard_state = self.shard_states.get(shard)
        used = len(shard_state.attempts) if shard_state else 0
        return max(0, self.left_of(shard=shard) - used)

    def drop_shard_state(self, *, shard: str) -> None:
        """Give way to a helper's answer for a shard that this node asked for as well."""
        shard_state = self.shard_states.pop(shard, None)
        if shard_state is not None:
            self._spend(shard_state=shard_state)

    def _spend(self, *, shard_state: ShardState) -> None:
        if shard_state.attempts:
            left = self.left_of(shard=shard_state.shard) - len(shard_state.attempts)
            self.attempts_left[shard_state.shard] = max(0, left)

    def is_over_for_caller(self) -> bool:
        """Is its work in vain, and may it be dropped?

        An attempt that may run at most once is not broken off.

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.is_over_for_caller()
        False
        >>> g.is_abandoned = True; g.is_over_for_caller()
        True
        """
        if not self.is_abandoned:
            return False
        return self.is_repeatable or not any(
            shard_state.has_open_attempt() for shard_state in self.shard_states.values()
        )

    # --- what it has come to ------------------------------------------------------------

    def may_have_run(self) -> bool:
        """May a backend have run this request or a part of it, or run it yet?

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.may_have_run()
        False
        >>> first = Attempt(number=1, backend="b", sent_us=0, soft_us=1)
        >>> g.shard_states["s"] = ShardState(shard="s", attempts=[first])
        >>> g.may_have_run()
        True
        """
        return (
            self.has_run
            or bool(self.parts)
            or bool(self.sent_before)
            or any(shard_state.has_open_attempt() for shard_state in self.shard_states.values())
            or any(child.is_sent and not child.has_sent_nothing for child in self.children)
        )

    def is_sent_before(self, *, shard: str) -> bool:
        """Did this search already send, or have sent, what it would now send again? A
        search that was sent under one cut and begins again under another did.

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
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
        """The cut of a shard's index that the configuration names."""
        if self.configuration is None:
            return self.sent_cut
        return self.configuration.collections[self.collection].shards[shard].cut

    def waiting_shards(self) -> set[str]:
        """Shards that may still come in."""
        out = {
            shard_state.shard
            for shard_state in self.shard_states.values()
            if shard_state.state is WAITING
        }
        for child in self.children:
            if child.state is WAITING:
                out |= set(child.subtree.all_shards())
        return out - set(self.parts)

    def is_settled(self) -> bool:
        """Is nothing on its way any more that could add a shard?"""
        return not self.waiting_shards()
