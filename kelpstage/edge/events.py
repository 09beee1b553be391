"""What an edge writes into its journal."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.common.event_journal import Event


@dataclass(frozen=True, kw_only=True, slots=True)
class Installed(Event):
    epoch: int
    version: int
    source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServingChanged(Event):
    is_serving: bool
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerChanged(Event):
    peer: str
    status: str
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendChanged(Event):
    backend: str
    state: str
    why: str
    seen_by: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BadPart(Event):
    backend: str
    shard: str
    part: str
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchEnded(Event):
    collection: str
    version: int
    outcome: str
    shards_in: int
    shards: int
    took_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Restarted(Event):
    collection: str
    was: int
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StateRefused(Event):
    epoch: int
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Leaving(Event):
    pass


# --- what became of one search; these go to a journal of their own ----------------------


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchEvent(Event):
    """Something that a search, or this node's part of it, came to."""

    search: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Began(SearchEvent):
    part: str  # root, child or single
    collection: str
    limit: int | None
    time_left_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Planned(SearchEvent):
    version: int
    subtree: Any  # the tree from this node down; none for a single record


@dataclass(frozen=True, kw_only=True, slots=True)
class OmissionSet(SearchEvent):
    after_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptSent(SearchEvent):
    shard: str
    number: int
    backend: str
    window_us: int
    why: str
    ranked: tuple  # all backends of the shard as the choice saw them, best first


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRefused(SearchEvent):
    shard: str
    why: str
    ranked: tuple


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(SearchEvent):
    shard: str
    number: int
    backend: str
    outcome: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildQueried(SearchEvent):
    node: str
    shards: tuple[str, ...]
    window_us: int
    is_resumed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildLate(SearchEvent):
    node: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildEnded(SearchEvent):
    node: str
    outcome: str
    shards_in: tuple[str, ...]
    missing: tuple[tuple[str, str, str], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchRestarted(SearchEvent):
    was: int
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended(SearchEvent):
    outcome: str
    shards_in: int
    shards: int
    detail: str
