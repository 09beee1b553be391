"""Events that the gathering task receives, and effects that its stages emit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.edge.gather.request_state import RequestState

# --- events ---------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class RequestArrived:
    """A request arrived; its state is added to the table."""

    record: RequestState


@dataclass(frozen=True, kw_only=True)
class ResumeRequested:
    """The root, below its quorum, requests the shards that a child left out of its reply."""

    key: int


@dataclass(frozen=True, kw_only=True)
class CallerGone:
    """The client no longer waits for a request's outcome.

    Nothing more is sent for it. Attempts in flight are cancelled, except one that may run at most
    once: it continues to its end.
    """

    key: int


@dataclass(frozen=True, kw_only=True)
class BackendReplied:
    """A backend's reply to one attempt, or the error that ended it."""

    key: int
    generation: int
    shard: str
    number: int
    backend: str
    sent_us: int
    outcome: Any
    route: str = ""
    exchange_us: int = 0  # as in `HttpReply`


@dataclass(frozen=True, kw_only=True)
class ChildReplied:
    """A child's reply, or the error that ended its query."""

    key: int
    generation: int
    slot: int
    node: str
    sent_us: int
    outcome: Any


@dataclass(frozen=True, kw_only=True)
class TimerFired:
    """The time at which a request has to be processed again has come."""


@dataclass(frozen=True, kw_only=True)
class ConfigurationChanged:
    """The configuration in force on this node has changed."""


# --- effects ----------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class QueryBackend:
    """Send one attempt to a backend; `BackendReplied` follows."""

    record: RequestState
    generation: int
    shard: str
    cut: str
    number: int
    backend: str
    address: str
    wait_us: int
    connection_limit: int = 0


@dataclass(frozen=True, kw_only=True)
class QueryChild:
    """Query a child for its subtree; `ChildReplied` follows."""

    record: RequestState
    generation: int
    slot: int
    node: str
    address: str
    wait_us: int
    query_id: int
    is_resumed: bool


@dataclass(frozen=True, kw_only=True)
class PartialReplyReady:
    """The window of a subtree query is over: the reply has what is there, the rest is pending."""

    record: RequestState
    outcome: Any


@dataclass(frozen=True, kw_only=True)
class FetchConfiguration:
    """Fetch a newer configuration that is known to exist, from `source` if possible."""

    version: int
    source: str


@dataclass(frozen=True, kw_only=True)
class RequestSettled:
    """A request has its outcome and was removed from the table."""

    record: RequestState


# --- outcomes ---------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class GatherResult:
    """The result of a successful search or of a successful read of a single record."""

    version: int
    coverage: float
    shards: int
    body: bytes
    seals: tuple[str, ...] = ()
    missing: int = 0
    backend_reply: Any = None  # a backend's answer, returned unchanged


@dataclass(frozen=True, kw_only=True)
class SubtreeReply:
    """The reply of a subtree query to its parent."""

    message: Any


Outcome = GatherResult | SubtreeReply | KelpstageError
