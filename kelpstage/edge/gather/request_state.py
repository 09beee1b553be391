"""The state of a request, which the stages read and change."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from kelpstage.common.configuration.types import Configuration, Route
from kelpstage.common.transport.messages import PartMsg
from kelpstage.edge.forward.request import ClientRequest
from kelpstage.edge.gather.record_order import ORDER_BY_CODEC, ValueOrder
from kelpstage.edge.gather.tree import Subtree


class RequestKind(StrEnum):
    """The role of this node in a request; the values are written to public timelines."""

    ROOT = "root"  # gathers for a client
    CHILD = "child"  # gathers a subtree for its parent
    SINGLE = "single"  # sends to one backend: a read of a single record, or a forwarded request


class RequestPhase(StrEnum):
    """The phase of a request; the values are written to the details of errors."""

    NEW = "new"
    AWAITING = "awaits"  # a newer configuration has to be fetched first
    GATHERING = "gathers"
    DONE = "done"


class ReplyState(StrEnum):
    """The state of the reply for a shard or from a child."""

    WAITING = "waiting"
    RECEIVED = "in"
    MISSING = "missing"


# Module constants, compared by `is`: accessing a member through its enum class costs a call.
ROOT, CHILD, SINGLE = RequestKind
NEW, AWAITING, GATHERING, DONE = RequestPhase
WAITING, RECEIVED, MISSING = ReplyState


@dataclass(kw_only=True)
class Attempt:
    """One send of a shard's request to one backend."""

    number: int
    backend: str
    sent_us: int
    window_end_us: int
    is_open: bool = True


@dataclass(kw_only=True)
class ShardState:
    """A shard that this node itself requests from backends."""

    shard: str
    is_extra: bool = False
    is_restart: bool = False
    state: ReplyState = WAITING
    wants_attempt: bool = True
    was_hedged: bool = False
    hedge_retry_us: int = 0  # when a hedge that the retry budget refused is tried again
    attempts: list[Attempt] = field(default_factory=list)
    cause: str = ""
    detail: str = ""

    def has_open_attempt(self) -> bool:
        """True while an attempt is in flight."""
        return any(attempt.is_open for attempt in self.attempts)

    def mark_missing(self, *, cause: str, detail: str = "") -> None:
        """Mark the shard as missing; no further attempt is sent for it.

        >>> shard_state = ShardState(shard="s")
        >>> shard_state.mark_missing(cause="window"); str(shard_state.state)
        'missing'
        """
        self.state, self.cause, self.detail = MISSING, cause, detail
        self.wants_attempt = False


@dataclass(kw_only=True)
class Child:
    """A child in the tree and the state of the query to it."""

    slot: int
    subtree: Subtree
    state: ReplyState = WAITING
    is_sent: bool = False
    sent_us: int = 0
    window_end_us: int = 0
    was_late: bool = False
    is_regathered: bool = False
    query_id: int = 0
    is_open: bool = False
    is_resumed: bool = False
    has_sent_nothing: bool = False  # it was not reached, or reports that it sent no attempt
    attempts: int = 0  # attempts delegated to it for each of its shards
    unreported: dict[str, int] = field(default_factory=dict)  # delegated, outcome unknown


@dataclass(kw_only=True)
class RequestState:
    """One request: at the root, at a child, or to a single backend."""

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
    query_id: int = 0
    search: str = ""  # the id that the root assigned
    request: ClientRequest | None = None  # the forwarded request; none in the edge's own API
    is_repeatable: bool = True
    attempts: int = 3  # limit on the backends that one shard is sent to
    # By shard: attempts that no other node and no earlier generation has used or may still
    # use. A shard without an entry has all of its attempts.
    attempts_left: dict[str, int] = field(default_factory=dict)
    is_far: bool = False  # true if its reply to the parent crosses regions
    aim_us: int = 0  # latency target, from the arrival on; 0: none
    replied_shards: frozenset[str] = frozenset()
    is_partly_settled: bool = False
    is_resumed: bool = False
    is_abandoned: bool = False  # the client no longer waits for the outcome
    shard: str = ""
    record_name: str = ""

    phase: RequestPhase = NEW
    generation: int = 0
    configuration: Configuration | None = None
    route: Route | None = None
    shard_states: dict[str, ShardState] = field(default_factory=dict)
    children: list[Child] = field(default_factory=list)
    parts: dict[str, PartMsg] = field(default_factory=dict)
    runs: dict[str | int, list[Any]] = field(default_factory=dict)  # by shard or by child slot
    backend_reply: Any = None  # a backend's answer that is returned unchanged
    has_run: bool = False  # true if a backend may have run it
    missing: dict[str, tuple[str, str]] = field(default_factory=dict)
    inbox: deque[Any] = field(default_factory=deque)
    omit_at_us: int = 0
    awaited_version: int = 0
    reached_backend: bool = False
    sent_shards: set[str] = field(default_factory=set)  # sent in this generation
    previously_sent: set[str] = field(default_factory=set)  # sent in earlier generations
    previous_cut: str = ""
    outcome: Any = None

    def restart(self) -> None:
        """Discard all results and start a new generation; replies to the old one are ignored.

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.restart(); g.generation
        1
        """
        self.generation += 1
        if self.sent_shards:
            self.previous_cut = self.cut_of(shard=min(self.sent_shards))
        self.previously_sent |= self.sent_shards
        self.sent_shards = set()
        self.phase = NEW
        self.configuration = self.route = None
        for shard_state in self.shard_states.values():
            self._deduct_attempts(shard_state=shard_state)
        self.shard_states, self.children = {}, []
        self.parts, self.runs, self.missing = {}, {}, {}
        self.backend_reply = None
        self.inbox.clear()
        self.omit_at_us = 0
        if self.kind is ROOT:
            self.subtree = None

    # --- attempts ---------------------------------------------------------------------

    @property
    def is_bounded(self) -> bool:
        """True if its route limits the backends that one shard is sent to, over all nodes."""
        return self.request is not None

    def remaining_attempts(self, *, shard: str) -> int:
        """Return how many backends this node may send the shard to in this generation."""
        if not self.is_bounded:
            return self.attempts
        return min(self.attempts, self.attempts_left.get(shard, self.attempts))

    def has_attempt(self, *, shard_state: ShardState) -> bool:
        """True if this node may send the shard to one more backend.

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9, attempts=1)
        >>> g.has_attempt(shard_state=ShardState(shard="s"))
        True
        """
        return len(shard_state.attempts) < self.remaining_attempts(shard=shard_state.shard)

    def delegate_attempts(self, *, child: Child, keeps_one: bool) -> None:
        """Delegate the attempts for a child's shards to the child.

        They count as used until the child reports otherwise. With `keeps_one`, this node keeps one
        of two or more attempts in case the child does not reply.
        """
        shards = child.subtree.all_shards()
        least = min((self.remaining_attempts(shard=shard) for shard in shards), default=0)
        child.attempts = least - 1 if keeps_one and least > 1 else least
        child.unreported = dict.fromkeys(shards, child.attempts)
        for shard in shards:
            self.attempts_left[shard] = self.remaining_attempts(shard=shard) - child.attempts

    def return_attempts(self, *, child: Child, shard: str, count: int) -> None:
        """Return unused attempts that a child reports; counted once for each shard."""
        if count and shard in child.unreported:
            back = min(count, child.unreported.pop(shard))
            self.attempts_left[shard] = self.remaining_attempts(shard=shard) + back

    def unused_attempts(self, *, shard: str) -> int:
        """Return how many attempts for a settled shard this node will never use; it reports them
        to its parent."""
        shard_state = self.shard_states.get(shard)
        used = len(shard_state.attempts) if shard_state else 0
        return max(0, self.remaining_attempts(shard=shard) - used)

    def drop_shard_state(self, *, shard: str) -> None:
        """Drop this node's own request for a shard whose result a child returned."""
        shard_state = self.shard_states.pop(shard, None)
        if shard_state is not None:
            self._deduct_attempts(shard_state=shard_state)

    def _deduct_attempts(self, *, shard_state: ShardState) -> None:
        if shard_state.attempts:
            left = self.remaining_attempts(shard=shard_state.shard) - len(shard_state.attempts)
            self.attempts_left[shard_state.shard] = max(0, left)

    def is_droppable(self) -> bool:
        """True if the request is abandoned and may be dropped.

        An attempt in flight that may run at most once is not cancelled.

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.is_droppable()
        False
        >>> g.is_abandoned = True; g.is_droppable()
        True
        """
        if not self.is_abandoned:
            return False
        return self.is_repeatable or not any(
            shard_state.has_open_attempt() for shard_state in self.shard_states.values()
        )

    # --- progress -----------------------------------------------------------------------

    def may_have_run(self) -> bool:
        """True if a backend may have run this request or a part of it, or may still run it.

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.may_have_run()
        False
        >>> first = Attempt(number=1, backend="b", sent_us=0, window_end_us=1)
        >>> g.shard_states["s"] = ShardState(shard="s", attempts=[first])
        >>> g.may_have_run()
        True
        """
        return (
            self.has_run
            or bool(self.parts)
            or bool(self.previously_sent)
            or any(shard_state.has_open_attempt() for shard_state in self.shard_states.values())
            or any(child.is_sent and not child.has_sent_nothing for child in self.children)
        )

    def was_sent_before(self, *, shard: str) -> bool:
        """True if an attempt for the shard repeats work of an earlier generation or node.

        After a restart under another cut, this holds for every shard.

        >>> g = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        >>> g.sent_shards.add("s1"); g.restart()
        >>> g.was_sent_before(shard="s1"), g.was_sent_before(shard="s2")
        (True, False)
        """
        if self.is_extra or shard in self.previously_sent:
            return True
        return bool(self.previously_sent) and self.previous_cut != self.cut_of(shard=shard)

    @property
    def order(self) -> Any:
        """Return the order by which its records are sorted, merged and packed."""
        if self.configuration is None:
            return ValueOrder
        return ORDER_BY_CODEC[self.configuration.collections[self.collection].codec]

    def cut_of(self, *, shard: str) -> str:
        """Return the cut of a shard's index in the configuration."""
        if self.configuration is None:
            return self.previous_cut
        return self.configuration.collections[self.collection].shards[shard].cut

    def waiting_shards(self) -> set[str]:
        """Return the shards whose results may still arrive."""
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
        """True if nothing is in flight that could add a shard."""
        return not self.waiting_shards()
