"""Events in an edge's journal; the class names are part of the public JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.common.event_journal import Event


@dataclass(frozen=True, kw_only=True, slots=True)
class Installed(Event):
    """A state was installed."""

    epoch: int
    version: int
    source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServingChanged(Event):
    """This edge became ready or stopped being ready."""

    is_serving: bool
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerChanged(Event):
    """The status of a peer changed."""

    peer: str
    status: str
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendChanged(Event):
    """The state of a backend changed."""

    backend: str
    state: str
    why: str
    seen_by: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BadPart(Event):
    """A backend's reply was rejected as invalid."""

    backend: str
    shard: str
    part: str
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchEnded(Event):
    """A search ended at its root."""

    collection: str
    version: int
    outcome: str
    shards_in: int
    shards: int
    took_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Restarted(Event):
    """A search was restarted under a newer configuration."""

    collection: str
    was: int
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StateRefused(Event):
    """A state could not be installed."""

    epoch: int
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Leaving(Event):
    """This edge began a graceful shutdown."""


# --- the course of one search; these events go to a separate journal --------------------


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchEvent(Event):
    """The base class of events of one search, or of this node's part of it."""

    search: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Began(SearchEvent):
    """A request, or a part of one, arrived at this node."""

    part: str  # root, child or single
    collection: str
    limit: int | None
    time_left_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Planned(SearchEvent):
    """The tree of a search was chosen."""

    version: int
    subtree: Any  # the tree from this node down; None for a single record


@dataclass(frozen=True, kw_only=True, slots=True)
class OmissionSet(SearchEvent):
    """The time was set after which late shards are omitted."""

    after_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptSent(SearchEvent):
    """An attempt was sent to a backend."""

    shard: str
    number: int
    backend: str
    window_us: int
    why: str
    ranked: tuple[Any, ...]  # all backends of the shard as ranked for this attempt, best first


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRefused(SearchEvent):
    """No attempt was sent for a shard."""

    shard: str
    why: str
    ranked: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(SearchEvent):
    """An attempt ended."""

    shard: str
    number: int
    backend: str
    outcome: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildQueried(SearchEvent):
    """A query for its subtree was sent to a child."""

    node: str
    shards: tuple[str, ...]
    window_us: int
    is_resumed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildLate(SearchEvent):
    """A child did not reply within its window."""

    node: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildEnded(SearchEvent):
    """A query to a child ended."""

    node: str
    outcome: str
    shards_in: tuple[str, ...]
    missing: tuple[tuple[str, str, str], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchRestarted(SearchEvent):
    """A search was restarted under a newer configuration."""

    was: int
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended(SearchEvent):
    """A request, or this node's part of one, ended."""

    outcome: str
    shards_in: int
    shards: int
    detail: str
