"""What an edge writes into its journal; the class names stand in public JSON."""

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
    """This edge became ready, or ceased to be."""

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
    """A backend's reply was refused as invalid."""

    backend: str
    shard: str
    part: str
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchEnded(Event):
    """A search came to its end at its root."""

    collection: str
    version: int
    outcome: str
    shards_in: int
    shards: int
    took_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Restarted(Event):
    """A search began again under a newer configuration."""

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
    """This edge was told to stop."""


# --- what became of one search; these go to a journal of their own ----------------------


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchEvent(Event):
    """Something that a search, or this node's part of it, came to."""

    search: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Began(SearchEvent):
    """A request arrived, or a part of one."""

    part: str  # root, child or single
    collection: str
    limit: int | None
    time_left_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Planned(SearchEvent):
    """The tree of a search was chosen."""

    version: int
    subtree: Any  # the tree from this node down; none for a single record


@dataclass(frozen=True, kw_only=True, slots=True)
class OmissionSet(SearchEvent):
    """The time was set after which late shards are left out."""

    after_us: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptSent(SearchEvent):
    """An attempt was sent to a backend."""

    shard: str
    number: int
    backend: str
    window_us: int
    why: str
    ranked: tuple[Any, ...]  # all backends of the shard as the choice saw them, best first


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRefused(SearchEvent):
    """No backend was asked for a shard."""

    shard: str
    why: str
    ranked: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(SearchEvent):
    """An attempt came to its end."""

    shard: str
    number: int
    backend: str
    outcome: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildQueried(SearchEvent):
    """A child was asked for its subtree."""

    node: str
    shards: tuple[str, ...]
    window_us: int
    is_resumed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildLate(SearchEvent):
    """A child let its window pass."""

    node: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChildEnded(SearchEvent):
    """A child's query came to its end."""

    node: str
    outcome: str
    shards_in: tuple[str, ...]
    missing: tuple[tuple[str, str, str], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchRestarted(SearchEvent):
    """A search began again under a newer configuration."""

    was: int
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended(SearchEvent):
    """A request, or this node's part of one, came to its end."""

    outcome: str
    shards_in: int
    shards: int
    detail: str
